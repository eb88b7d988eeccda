use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_admin::{
    GangStatus, JobView, ProcessStatus, QueueStatus, Status, TeamStatus, UpstreamStatus,
    WorkerStatus,
};
use skylarkpulley_placement::{InstanceStatus, JobStatus, Status as PoolStatus};
use skylarkpulley_proto::v1;
use skylarkpulley_routing::{MemberState, PoolView, RouterView};
use skylarkpulley_tables::{PoolKind, Tables};
use skylarkpulley_types::AgentId;
use tokio::sync::{mpsc, oneshot};

use crate::hub::{Hub, MemberEvent, agent_id};
use crate::jobs::Jobs;
use crate::router_task::Router;
use crate::session_service::SILENCE_LIMIT;

/// An agent whose last message is older than this is no longer listed.
const PROCESS_RETENTION: Duration = Duration::from_secs(60);

/// Time after which a gang lease lapses without renewal, in milliseconds.
const GANG_LEASE_MS: u64 = 2000;

#[derive(Clone, Debug)]
struct Process {
    hello: Arc<v1::Hello>,
    /// Time of the last Hello or report.
    last_message: Instant,
    report: Option<Arc<v1::Report>>,
}

type Processes = BTreeMap<AgentId, Process>;

/// Collects the status of the whole system for operators.
#[derive(Clone)]
pub struct StatusTask {
    hub: Arc<Hub>,
    jobs: Jobs,
    router: Router,
    snapshots: mpsc::UnboundedSender<oneshot::Sender<Processes>>,
}

impl StatusTask {
    /// Starts the task that keeps the latest report of every agent.
    pub fn new(
        hub: &Arc<Hub>,
        router: Router,
        jobs: Jobs,
        members: mpsc::UnboundedReceiver<MemberEvent>,
    ) -> Self {
        let (snapshots, snapshot_requests) = mpsc::unbounded_channel();
        tokio::spawn(track_processes(Arc::clone(hub), members, snapshot_requests));
        Self { hub: Arc::clone(hub), jobs, router, snapshots }
    }

    /// Returns the names and control addresses of the listed agents.
    pub async fn controls(&self) -> Vec<(String, String)> {
        let name_and_control =
            |(agent, process): (AgentId, Process)| (agent.name, process.hello.control.clone());
        self.processes().await.into_iter().map(name_and_control).collect()
    }

    /// Returns the status of the system according to this entry.
    pub async fn status(&self) -> Status {
        let now = self.hub.clock.now();
        let processes = self.processes().await;
        let router = self.router.snapshot().await;
        let pools = self.jobs.status().await;
        let (version, tables) = {
            let config = self.hub.config.borrow();
            (config.version(), config.tables())
        };
        let mut status = Status { entry: self.hub.name.clone(), version, ..Status::default() };
        self.add_processes(&mut status, &processes, now);
        if let (Some(router), Some(tables)) = (router, &tables) {
            add_upstreams(&mut status, &router, tables);
        }
        add_workers(&mut status, &processes, &pools, now);
        add_gangs(&mut status, &processes, &self.jobs.list().await);
        for (name, pool) in &pools {
            if let Some(tables) = &tables {
                add_teams(&mut status, name, pool, tables);
            }
        }
        status
    }

    async fn processes(&self) -> Processes {
        let (reply, answer) = oneshot::channel();
        if self.snapshots.send(reply).is_err() {
            return Processes::new();
        }
        answer.await.unwrap_or_default()
    }

    fn add_processes(&self, status: &mut Status, processes: &Processes, now: Instant) {
        let version = status.version;
        for entry in self.hub.entries.borrow().iter() {
            let own = entry.name == self.hub.name;
            status.processes.push(ProcessStatus {
                process: entry.name.clone(),
                kind: "entry".to_owned(),
                version: if own { version } else { entry.config },
                seen_ms: 0,
            });
        }
        for (agent, process) in processes {
            status.processes.push(ProcessStatus {
                process: agent.name.clone(),
                kind: "agent".to_owned(),
                version: process.report.as_ref().map_or(0, |report| report.config_version),
                seen_ms: to_ms(now.saturating_duration_since(process.last_message)),
            });
        }
        status.processes.sort_by(|a, b| a.process.cmp(&b.process));
        let oldest = status.processes.iter().map(|process| process.version).min();
        status.oldest_version = oldest.unwrap_or(version);
        if status.oldest_version < version {
            let since = self.hub.config.borrow().since();
            status.oldest_age_ms =
                since.map_or(0, |since| to_ms(now.saturating_duration_since(since)));
        }
    }
}

fn to_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn to_count(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Keeps the latest report of every agent and answers requests for snapshots of them.
async fn track_processes(
    hub: Arc<Hub>,
    mut members: mpsc::UnboundedReceiver<MemberEvent>,
    mut snapshot_requests: mpsc::UnboundedReceiver<oneshot::Sender<Processes>>,
) {
    let mut processes = Processes::new();
    loop {
        tokio::select! {
            event = members.recv() => match event {
                Some(event) => apply_event(&mut processes, event, hub.clock.now()),
                None => return,
            },
            Some(reply) = snapshot_requests.recv() => {
                let now = hub.clock.now();
                processes.retain(|_, process| {
                    now.saturating_duration_since(process.last_message) < PROCESS_RETENTION
                });
                let _ = reply.send(processes.clone());
            }
        }
    }
}

fn apply_event(processes: &mut Processes, event: MemberEvent, now: Instant) {
    let agent = agent_id(event.hello());
    match event {
        MemberEvent::Joined { hello, .. } => {
            processes.retain(|existing, _| !agent.supersedes(existing));
            processes.insert(agent, Process { hello, last_message: now, report: None });
        }
        MemberEvent::Report { report, .. } => {
            if let Some(process) = processes.get_mut(&agent) {
                process.last_message = now;
                process.report = Some(report);
            }
        }
        MemberEvent::Leaving { .. } | MemberEvent::Closed { .. } => {}
    }
}

fn add_upstreams(status: &mut Status, router: &RouterView, tables: &Tables) {
    for pool in &router.pools {
        let Some(pool_table) = tables.pool(&pool.name) else { continue };
        if pool_table.kind != PoolKind::Upstream {
            continue;
        }
        for member in &pool.members {
            status.upstreams.push(UpstreamStatus {
                pool: pool.name.clone(),
                name: member.agent.name.clone(),
                domain: member.domain.clone(),
                state: state_name(member.state).to_owned(),
                busy: member.own_attempts + member.other_slots,
                slots: pool_table.slots,
                connections: member.own_attempts + member.other_slots,
            });
        }
        for team in &pool_table.teams {
            status.teams.push(TeamStatus {
                pool: pool.name.clone(),
                team: team.name.clone(),
                weight: team.weight,
                waiting: waiting(pool, &team.name),
                used: 0,
                guarantees: 0,
                claimed: 0,
                at_risk: 0,
            });
        }
    }
    for route in router.routes.iter().filter(|route| route.waiting > 0) {
        status.queues.push(QueueStatus {
            route: route.name.clone(),
            team: String::new(),
            waiting: route.waiting,
            oldest_ms: 0,
        });
    }
}

fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Serving | MemberState::Probing => "serving",
        MemberState::Silent => "silent",
        MemberState::Leaving => "leaving",
        MemberState::Ejected(_) => "ejected",
    }
}

fn waiting(pool: &PoolView, team: &str) -> u32 {
    let teams = pool.classes.iter().flat_map(|class| &class.teams);
    to_count(teams.filter(|(name, _)| name == team).map(|(_, waiting)| waiting).sum())
}

/// Adds workers from the agents' reports, which reach every entry. State that only the placer has,
/// such as a quarantine, is shown only by the entry that runs the placer of the pool.
fn add_workers(
    status: &mut Status,
    processes: &Processes,
    pools: &[(String, PoolStatus)],
    now: Instant,
) {
    let placer_workers: BTreeMap<&AgentId, &skylarkpulley_placement::WorkerStatus> = pools
        .iter()
        .flat_map(|(_, pool)| &pool.workers)
        .map(|worker| (&worker.agent, worker))
        .collect();
    for (agent, process) in processes {
        let Some(state) = process.report.as_ref().and_then(|report| report.worker.as_ref()) else {
            continue;
        };
        let silent = now.saturating_duration_since(process.last_message) >= SILENCE_LIMIT;
        let placer_worker = placer_workers.get(agent);
        let state_name = match placer_worker {
            _ if silent => "silent",
            Some(worker) if worker.quarantined => "quarantined",
            Some(worker) if worker.draining => "draining",
            _ if !state.serving => "draining",
            _ => "serving",
        };
        let sum_accelerators = |guaranteed: bool| {
            let grants = state.grants.iter();
            grants
                .filter(|grant| grant.instance.is_empty() != guaranteed)
                .map(|grant| grant.accelerators)
                .sum()
        };
        status.workers.push(WorkerStatus {
            pool: process.hello.pool.clone(),
            name: agent.name.clone(),
            domain: process.hello.domain.clone(),
            rack: process.hello.rack.clone(),
            state: state_name.to_owned(),
            accelerators: state.accelerators,
            guaranteed: sum_accelerators(true),
            borrowed: sum_accelerators(false),
            reserved: state.reservations.iter().map(|reservation| reservation.accelerators).sum(),
            slowness: None,
        });
    }
}

/// Adds the gangs of the jobs of this entry, with their leads, from the grants that agents report.
fn add_gangs(status: &mut Status, processes: &Processes, jobs: &[JobView]) {
    let mut gangs: BTreeMap<&str, (&v1::Grant, &str)> = BTreeMap::new();
    for process in processes.values() {
        let Some(state) = process.report.as_ref().and_then(|report| report.worker.as_ref()) else {
            continue;
        };
        for grant in &state.grants {
            gangs.entry(&grant.gang).or_insert((grant, &process.hello.pool));
        }
    }
    for job in jobs {
        let Some((grant, pool)) = gangs.get(job.id.as_str()) else { continue };
        status.gangs.push(GangStatus {
            pool: (*pool).to_owned(),
            job: job.id.clone(),
            team: job.team.clone(),
            shape: job.shape,
            state: if grant.running { "running" } else { "starting" }.to_owned(),
            lead: grant.lead.as_ref().map(|lead| lead.name.clone()).unwrap_or_default(),
            lease_ms: GANG_LEASE_MS,
            claim: (!grant.instance.is_empty()).then(|| grant.instance.clone()),
        });
    }
}

fn add_teams(status: &mut Status, pool: &str, view: &PoolStatus, tables: &Tables) {
    let Some(pool_table) = tables.pool(pool) else { return };
    for team in &pool_table.teams {
        let jobs: Vec<&JobStatus> = view.jobs.iter().filter(|job| job.team == team.name).collect();
        let team_instances: Vec<&InstanceStatus> = view
            .instances
            .iter()
            .filter(|instance| {
                let guarantee = instance.name.split('/').next().unwrap_or_default();
                pool_table.guarantee(guarantee).is_some_and(|guarantee| guarantee.team == team.name)
            })
            .collect();
        status.teams.push(TeamStatus {
            pool: pool.to_owned(),
            team: team.name.clone(),
            weight: team.weight,
            waiting: to_count(jobs.iter().filter(|job| job.state == "waiting").count()),
            used: jobs
                .iter()
                .flat_map(|job| &job.members)
                .map(|(_, accelerators)| accelerators)
                .sum(),
            guarantees: to_count(team_instances.len()),
            claimed: to_count(
                team_instances.iter().filter(|instance| instance.claimant.is_some()).count(),
            ),
            at_risk: to_count(team_instances.iter().filter(|instance| instance.at_risk).count()),
        });
    }
}
