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

/// An agent that was last heard of this long ago is no longer listed.
const LISTED_FOR: Duration = Duration::from_secs(60);

/// A gang lease lasts this long without a renewal, in milliseconds.
const LEASE_MS: u64 = 2000;

#[derive(Clone, Debug)]
struct Process {
    heard: Instant,
    hello: Arc<v1::Hello>,
    report: Option<Arc<v1::Report>>,
}

type Processes = BTreeMap<AgentId, Process>;

/// Collects what operators see of the whole system.
#[derive(Clone)]
pub struct StatusTask {
    hub: Arc<Hub>,
    jobs: Jobs,
    router: Router,
    snapshots: mpsc::UnboundedSender<oneshot::Sender<Processes>>,
}

impl StatusTask {
    /// Starts the task that remembers the latest report of every agent.
    pub fn new(
        hub: &Arc<Hub>,
        router: Router,
        jobs: Jobs,
        members: mpsc::UnboundedReceiver<MemberEvent>,
    ) -> Self {
        let (snapshots, asked) = mpsc::unbounded_channel();
        tokio::spawn(remember(Arc::clone(hub), members, asked));
        Self { hub: Arc::clone(hub), jobs, router, snapshots }
    }

    /// Returns names and control addresses of the live agents.
    pub async fn controls(&self) -> Vec<(String, String)> {
        let named =
            |(agent, process): (AgentId, Process)| (agent.name, process.hello.control.clone());
        self.processes().await.into_iter().map(named).collect()
    }

    /// Returns the system as this entry sees it.
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
                seen_ms: ms(now.saturating_duration_since(process.heard)),
            });
        }
        status.processes.sort_by(|a, b| a.process.cmp(&b.process));
        let oldest = status.processes.iter().map(|process| process.version).min();
        status.oldest_version = oldest.unwrap_or(version);
        if status.oldest_version < version {
            let since = self.hub.config.borrow().since();
            status.oldest_age_ms =
                since.map_or(0, |since| ms(now.saturating_duration_since(since)));
        }
    }
}

fn ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}

async fn remember(
    hub: Arc<Hub>,
    mut members: mpsc::UnboundedReceiver<MemberEvent>,
    mut asked: mpsc::UnboundedReceiver<oneshot::Sender<Processes>>,
) {
    let mut processes = Processes::new();
    loop {
        tokio::select! {
            event = members.recv() => match event {
                Some(event) => take_in(&mut processes, event, hub.clock.now()),
                None => return,
            },
            Some(reply) = asked.recv() => {
                let now = hub.clock.now();
                processes.retain(|_, process| {
                    now.saturating_duration_since(process.heard) < LISTED_FOR
                });
                let _ = reply.send(processes.clone());
            }
        }
    }
}

fn take_in(processes: &mut Processes, event: MemberEvent, now: Instant) {
    let agent = agent_id(event.hello());
    match event {
        MemberEvent::Joined { hello, .. } => {
            processes.retain(|known, _| !agent.supersedes(known));
            processes.insert(agent, Process { heard: now, hello, report: None });
        }
        MemberEvent::Report { report, .. } => {
            if let Some(process) = processes.get_mut(&agent) {
                process.heard = now;
                process.report = Some(report);
            }
        }
        MemberEvent::Leaving { .. } | MemberEvent::Closed { .. } => {}
    }
}

fn add_upstreams(status: &mut Status, router: &RouterView, tables: &Tables) {
    for pool in &router.pools {
        let Some(described) = tables.pool(&pool.name) else { continue };
        if described.kind != PoolKind::Upstream {
            continue;
        }
        for member in &pool.members {
            status.upstreams.push(UpstreamStatus {
                pool: pool.name.clone(),
                name: member.agent.name.clone(),
                domain: member.domain.clone(),
                state: state_name(member.state).to_owned(),
                busy: member.own_attempts + member.other_slots,
                slots: described.slots,
                connections: member.own_attempts + member.other_slots,
            });
        }
        for team in &described.teams {
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
    count(teams.filter(|(name, _)| name == team).map(|(_, waiting)| waiting).sum())
}

/// Adds workers and gangs from the agents' reports, which reach every entry. What only the placer
/// knows, such as a quarantine, is shown by the entry that places for the pool.
fn add_workers(
    status: &mut Status,
    processes: &Processes,
    pools: &[(String, PoolStatus)],
    now: Instant,
) {
    let known: BTreeMap<&AgentId, &skylarkpulley_placement::WorkerStatus> = pools
        .iter()
        .flat_map(|(_, pool)| &pool.workers)
        .map(|worker| (&worker.agent, worker))
        .collect();
    for (agent, process) in processes {
        let Some(state) = process.report.as_ref().and_then(|report| report.worker.as_ref()) else {
            continue;
        };
        let silent = now.saturating_duration_since(process.heard) >= SILENCE_LIMIT;
        let placed = known.get(agent);
        let name = match placed {
            _ if silent => "silent",
            Some(worker) if worker.quarantined => "quarantined",
            Some(worker) if worker.draining => "draining",
            _ if !state.serving => "draining",
            _ => "serving",
        };
        let sum = |guaranteed: bool| {
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
            state: name.to_owned(),
            accelerators: state.accelerators,
            guaranteed: sum(true),
            borrowed: sum(false),
            reserved: state.reservations.iter().map(|held| held.accelerators).sum(),
        });
    }
}

/// Adds gangs with their leads, from the grants that agents report and the jobs of this entry.
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
            lease_ms: LEASE_MS,
            claim: (!grant.instance.is_empty()).then(|| grant.instance.clone()),
        });
    }
}

fn add_teams(status: &mut Status, pool: &str, view: &PoolStatus, tables: &Tables) {
    let Some(described) = tables.pool(pool) else { return };
    for team in &described.teams {
        let jobs: Vec<&JobStatus> = view.jobs.iter().filter(|job| job.team == team.name).collect();
        let owned: Vec<&InstanceStatus> = view
            .instances
            .iter()
            .filter(|instance| {
                let guarantee = instance.name.split('/').next().unwrap_or_default();
                described.guarantee(guarantee).is_some_and(|held| held.team == team.name)
            })
            .collect();
        status.teams.push(TeamStatus {
            pool: pool.to_owned(),
            team: team.name.clone(),
            weight: team.weight,
            waiting: count(jobs.iter().filter(|job| job.state == "waiting").count()),
            used: jobs.iter().flat_map(|job| &job.members).map(|(_, n)| n).sum(),
            guarantees: count(owned.len()),
            claimed: count(owned.iter().filter(|instance| instance.claimant.is_some()).count()),
            at_risk: count(owned.iter().filter(|instance| instance.at_risk).count()),
        });
    }
}
