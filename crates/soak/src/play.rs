use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rustix::process::{Resource, Rlimit, Signal, getrlimit, setrlimit};
use skylarkpulley_client_crowd::free_address;
use skylarkpulley_platform_standins::{
    Callers, EndKind, Gangs, LostAnswers, Observation, Observations, POOL, Store, WorkerHost,
    WorkerLimits, WorkerSettings, listen, tables_document,
};

use crate::links::Links;
use crate::processes::{EntryValues, Process, agent_settings, entry_settings};
use crate::scenario::{Connections, Cut, CutTarget, Direction};
use crate::{HoldRule, JudgeLimits, Party, Scenario, SoakError, Step, Violation, judge};

/// Number of failure domains.
const DOMAINS: usize = 3;

/// Time limit for the entries to become ready, also on a busy machine.
const READY_LIMIT: Duration = Duration::from_secs(120);

/// Time for which a member of a gang waits for the others, as on the users' sites.
const GANG_WAIT: Duration = Duration::from_secs(3);

/// Number of times that the deployment is started. Another process may take a port between its choice
/// and its use.
const START_ATTEMPTS: u32 = 3;

/// Time between readiness and the start of the traffic, in which agents and workers join.
const JOIN_TIME: Duration = Duration::from_secs(3);

/// Interval at which the leader's record is observed.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Time after the start of a cut from which starts show that work goes on.
const CUT_SETTLED: Duration = Duration::from_millis(500);

/// Settings of a play.
#[derive(Clone, Debug)]
pub struct PlaySettings {
    /// Number of entries.
    pub entries: usize,
    /// Time after traffic and faults within which accepted jobs and all runs have to end.
    pub finish_limit: Duration,
    /// Folder for settings and logs of the processes.
    pub folder: PathBuf,
    /// Limits of the times that are judged.
    pub limits: JudgeLimits,
    /// Folder of the programs.
    pub programs: PathBuf,
    /// Seed of jobs and lost answers.
    pub seed: u64,
    /// Number of workers, each with an agent.
    pub workers: usize,
}

/// What happened during a cut or a pause of the leader.
#[derive(Clone, Debug)]
pub struct CutReport {
    /// Start after that of the traffic.
    pub at: Duration,
    /// Time until the first start at any worker; `None` without a start until the end.
    pub first_start: Option<Duration>,
    /// Time until the first order of a later leader at each worker; `None` without one until the
    /// end.
    pub moved: Vec<Option<Duration>>,
    /// Starts between 0.5 s after the beginning and the end.
    pub starts: usize,
    /// Time until the record named another leader.
    pub taken_over: Option<Duration>,
    /// End after the start of the traffic.
    pub until: Duration,
}

/// Outcome of a play.
#[derive(Clone, Debug)]
pub struct PlayReport {
    /// Runs of gangs that ended because a member did not come.
    pub alone: usize,
    /// Runs that ended with a crash of their worker.
    pub crashed: usize,
    /// Cuts and pauses of a leader, in order.
    pub cuts: Vec<CutReport>,
    /// Runs that ended as done.
    pub done: usize,
    /// Changes of the leader during the traffic.
    pub epochs: usize,
    /// Time from the end of traffic and faults to the end of the last run.
    pub finished: Duration,
    /// Runs whose lease lapsed.
    pub lapsed: usize,
    /// Runs that were started.
    pub starts: usize,
    /// Broken promises.
    pub violations: Vec<Violation>,
}

/// The deployment under test, its stand-ins and the faults that are in effect.
struct Deployment {
    /// Kept so that the agents run as long as the deployment.
    _agents: Vec<Process>,
    callers: Callers,
    entries: Vec<Arc<Mutex<Process>>>,
    links: Links,
    observations: Observations,
    store: Store,
    workers: Vec<Arc<WorkerHost>>,
}

/// Beginning and end of the cut of a leader, after the start of the traffic.
type CutTimes = Arc<Mutex<Vec<(Duration, Duration)>>>;

/// Changes of the leader's epoch, with their times after the start of the traffic.
type EpochChanges = Arc<Mutex<Vec<(Duration, u64)>>>;

/// Plays a scenario and judges what was observed.
///
/// # Errors
/// [`SoakError`] when the deployment cannot be started.
pub async fn play(settings: &PlaySettings, scenario: &Scenario) -> Result<PlayReport, SoakError> {
    raise_descriptor_limit();
    let started = Instant::now();
    let observations = Observations::new(started);
    let mut attempt = 1;
    let deployment = loop {
        match Deployment::start(settings, scenario, observations.clone()).await {
            Ok(deployment) => break deployment,
            Err(SoakError::Ended { party }) if attempt < START_ATTEMPTS => {
                eprintln!("{party} ended at its start; starting the deployment again");
            }
            Err(error) => return Err(error),
        }
        attempt += 1;
    };
    tokio::time::sleep(JOIN_TIME).await;
    let traffic_start = tokio::time::Instant::now();
    let offset = started.elapsed();
    let cuts: CutTimes = Arc::default();
    let epochs: EpochChanges = Arc::default();
    let watch = tokio::spawn(watch_leader(deployment.store.clone(), traffic_start, epochs.clone()));
    let traffic = deployment.callers.run(&scenario.traffic, settings.seed);
    tokio::join!(traffic, deployment.inject(scenario, traffic_start, &cuts));
    let calm = started.elapsed();
    let deadline = Instant::now() + settings.finish_limit;
    deployment.callers.await_ends(settings.finish_limit).await;
    // Stops of cancelled runs may take longer than the answer to their cancel.
    while observations.open_runs() > 0 && Instant::now() < deadline {
        tokio::time::sleep(WATCH_INTERVAL).await;
    }
    watch.abort();
    let observed = deployment.observations.snapshot();
    write_observed(&settings.folder.join("observed.txt"), &observed)?;
    let epochs = lock(&epochs).clone();
    let cuts = lock(&cuts).clone();
    let report_cut =
        |(at, until)| report_cut(&observed, &epochs, offset, (at, until), settings.workers);
    let count = |matches: fn(&Observation) -> bool| {
        observed.iter().filter(|(_, observation)| matches(observation)).count()
    };
    let last_end =
        observed.iter().rfind(|(_, observation)| matches!(observation, Observation::Ended { .. }));
    let violations = judge(&observed, settings.limits);
    let lines: String = violations.iter().map(|violation| format!("{violation}\n")).collect();
    let path = settings.folder.join("violations.txt");
    std::fs::write(path, lines).map_err(SoakError::io("file of the violations"))?;
    Ok(PlayReport {
        alone: count(|seen| matches!(seen, Observation::Ended { kind: EndKind::Alone, .. })),
        crashed: count(|seen| matches!(seen, Observation::Ended { kind: EndKind::Crashed, .. })),
        cuts: cuts.into_iter().map(report_cut).collect(),
        done: count(|seen| matches!(seen, Observation::Ended { kind: EndKind::Done, .. })),
        epochs: epochs.len().saturating_sub(1),
        finished: last_end.map_or(Duration::ZERO, |(at, _)| at.saturating_sub(calm)),
        lapsed: count(|seen| matches!(seen, Observation::Ended { kind: EndKind::Lapsed, .. })),
        starts: count(|seen| matches!(seen, Observation::Started { .. })),
        violations,
    })
}

/// Writes what was observed beside the logs of the processes.
fn write_observed(path: &Path, observed: &[(Duration, Observation)]) -> Result<(), SoakError> {
    let lines: String = observed.iter().map(|(at, seen)| format!("{at:.3?} {seen:?}\n")).collect();
    std::fs::write(path, lines).map_err(SoakError::io("file of the observations"))
}

/// Raises the limit of open files to what the system allows. Each connection takes three descriptors
/// in this process, and stays open while its bytes are held.
fn raise_descriptor_limit() {
    let limit = getrlimit(Resource::Nofile);
    if setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, ..limit }).is_err() {
        eprintln!("limit of open files stays at {:?}", limit.current);
    }
}

impl Deployment {
    async fn start(
        settings: &PlaySettings,
        scenario: &Scenario,
        observations: Observations,
    ) -> Result<Self, SoakError> {
        let links = Links::new();
        let store = Store::new(&tables_document(POOL, scenario.enforced), settings.seed);
        let store_address = links.serve(listen().await?, Party::Store, store.start().await?)?;
        let lease_ms = u64::try_from(scenario.lease.as_millis()).unwrap_or(u64::MAX);
        let (mut entries, mut callers, mut readiness) = (Vec::new(), Vec::new(), Vec::new());
        for index in 0..settings.entries {
            let party = Party::Entry(index);
            let control = new_address().await?;
            let values = EntryValues {
                announced: links.serve(listen().await?, party, control)?,
                callers: new_address().await?,
                control,
                lease_ms,
                readiness: new_address().await?,
                store: store_address,
            };
            let program = settings.programs.join("skylarkpulley-platform-entry");
            let text = entry_settings(party, &values);
            let process = Process::start(&program, &settings.folder, party, &text, &links)?;
            entries.push(Arc::new(Mutex::new(process)));
            callers.push(values.callers);
            readiness.push(values.readiness);
        }
        let (mut agents, mut workers, gangs) = (Vec::new(), Vec::new(), Gangs::default());
        for index in 0..settings.workers {
            let party = Party::Agent(index);
            let announcements = new_address().await?;
            let text = agent_settings(party, announcements, store_address, lease_ms);
            let program = settings.programs.join("skylarkpulley-platform-agent");
            agents.push(Process::start(&program, &settings.folder, party, &text, &links)?);
            let limits = WorkerLimits {
                accelerators: 8,
                clock_rate: if index % 2 == 0 { 1.0 } else { 0.98 },
                enforced: scenario.enforced,
                gang_wait: GANG_WAIT,
                longest_lease: scenario.lease,
                stop: Duration::from_millis(200),
            };
            let host = WorkerHost::start(WorkerSettings {
                agent: announcements,
                domain: format!("domain-{}", index % DOMAINS),
                gangs: gangs.clone(),
                limits,
                name: worker_id(index),
                observations: observations.clone(),
            });
            workers.push(Arc::new(host.await?));
        }
        await_ready(&readiness, &entries).await?;
        for agent in &mut agents {
            agent.check_running()?;
        }
        let callers = Callers::new(&callers, observations.clone());
        Ok(Self { _agents: agents, callers, entries, links, observations, store, workers })
    }

    /// Carries out the steps of a scenario, and ends all its faults.
    async fn inject(
        &self,
        scenario: &Scenario,
        traffic_start: tokio::time::Instant,
        cuts: &CutTimes,
    ) {
        let mut ends = tokio::task::JoinSet::new();
        for (fault, planned) in scenario.steps.iter().enumerate() {
            tokio::time::sleep_until(traffic_start + planned.at).await;
            let leader = self.leader();
            let interval = |length| (traffic_start.elapsed(), traffic_start.elapsed() + length);
            match &planned.step {
                Step::Cut(cut) => {
                    let Some(leader) = leader else { continue };
                    lock(cuts).push(interval(cut.length));
                    let fault = u64::try_from(fault).unwrap_or(u64::MAX);
                    let rules = cut_rules(fault, leader, cut, self.entries.len());
                    self.links.add_rules(rules);
                    let (links, length) = (self.links.clone(), cut.length);
                    // Connections that have become silent stay so.
                    if cut.connections != Connections::Earlier {
                        ends.spawn(async move {
                            tokio::time::sleep(length).await;
                            links.remove_rules(fault);
                        });
                    }
                }
                Step::LoseAnswers(lost, length) => {
                    self.store.lose_answers(lost.clone());
                    let (store, length) = (self.store.clone(), *length);
                    ends.spawn(async move {
                        tokio::time::sleep(length).await;
                        store.lose_answers(LostAnswers::default());
                    });
                }
                Step::KillLeader(down) => {
                    let Some(leader) = leader else { continue };
                    let (process, down) = (self.entries[leader].clone(), *down);
                    lock(&process).kill();
                    ends.spawn(async move {
                        tokio::time::sleep(down).await;
                        if let Err(error) = lock(&process).restart() {
                            eprintln!("{error}");
                        }
                    });
                }
                Step::PauseLeader(length) => {
                    let Some(leader) = leader else { continue };
                    lock(cuts).push(interval(*length));
                    ends.spawn(pause(self.entries[leader].clone(), *length));
                }
                Step::PauseEntry(index, length) => {
                    ends.spawn(pause(self.entries[*index].clone(), *length));
                }
                Step::CrashWorkers(indexes, down) => {
                    for index in indexes {
                        self.workers[*index].crash(*down);
                    }
                    ends.spawn(tokio::time::sleep(*down));
                }
                Step::ShrinkWorkers(indexes, left, length) => {
                    for index in indexes {
                        let (host, left, length) = (self.workers[*index].clone(), *left, *length);
                        ends.spawn(async move {
                            host.set_capacity(left);
                            tokio::time::sleep(length).await;
                            host.set_capacity(1.0);
                        });
                    }
                }
                Step::StoreAway(outage, length) => {
                    self.store.set_outage(Some(*outage));
                    let (store, length) = (self.store.clone(), *length);
                    ends.spawn(async move {
                        tokio::time::sleep(length).await;
                        store.set_outage(None);
                    });
                }
            }
        }
        while ends.join_next().await.is_some() {}
        self.observations.record(Instant::now(), Observation::FaultsEnded);
    }

    /// Returns the index of the entry that the leader's record names.
    fn leader(&self) -> Option<usize> {
        let (_, name) = self.store.leader()?;
        (0..self.entries.len()).find(|index| Party::Entry(*index).to_string() == name)
    }
}

async fn pause(process: Arc<Mutex<Process>>, length: Duration) {
    lock(&process).signal(Signal::STOP);
    tokio::time::sleep(length).await;
    lock(&process).signal(Signal::CONT);
}

fn cut_rules(fault: u64, leader: usize, cut: &Cut, entries: usize) -> Vec<HoldRule> {
    let now = Instant::now();
    let (opened_before, opened_from) = match cut.connections {
        Connections::All => (None, None),
        Connections::Earlier => (Some(now), None),
        Connections::Later => (None, Some(now)),
    };
    let others = (0..entries).filter(|index| *index != leader).map(Party::Entry);
    let mut parties: Vec<Party> = Vec::new();
    if cut.targets.contains(&CutTarget::Entries) {
        parties.extend(others);
    }
    if cut.targets.contains(&CutTarget::Store) {
        parties.push(Party::Store);
    }
    let rule = |from, to| HoldRule { fault, from, to, opened_before, opened_from };
    let leader = Party::Entry(leader);
    let mut rules = Vec::new();
    if cut.targets.contains(&CutTarget::Agents) {
        // Nothing but agents is left then.
        rules.push(rule(Some(leader), None));
        rules.push(rule(None, Some(leader)));
    }
    for party in parties {
        rules.push(rule(Some(leader), Some(party)));
        rules.push(rule(Some(party), Some(leader)));
    }
    rules.retain(|rule| match cut.direction {
        Direction::Both => true,
        Direction::Sent => rule.from == Some(leader),
        Direction::Received => rule.to == Some(leader),
    });
    rules
}

fn worker_id(index: usize) -> String {
    format!("worker-{index}")
}

async fn new_address() -> Result<SocketAddr, SoakError> {
    free_address().await.map_err(SoakError::io("a free port"))
}

async fn await_ready(
    readiness: &[SocketAddr],
    entries: &[Arc<Mutex<Process>>],
) -> Result<(), SoakError> {
    let client = reqwest::Client::new();
    let deadline = Instant::now() + READY_LIMIT;
    for address in readiness {
        loop {
            let url = format!("http://{address}/readiness");
            let answer = client.get(url).timeout(Duration::from_secs(1)).send().await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                break;
            }
            for entry in entries {
                lock(entry).check_running()?;
            }
            if Instant::now() > deadline {
                return Err(SoakError::NotReady { seconds: READY_LIMIT.as_secs() });
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

async fn watch_leader(store: Store, traffic_start: tokio::time::Instant, changes: EpochChanges) {
    loop {
        if let Some((epoch, _)) = store.leader() {
            let mut changes = lock(&changes);
            if changes.last().is_none_or(|(_, known)| *known != epoch) {
                changes.push((traffic_start.elapsed(), epoch));
            }
        }
        tokio::time::sleep(WATCH_INTERVAL).await;
    }
}

/// Summarises what workers observed during a cut. `offset` is the time of the start of the traffic.
fn report_cut(
    observed: &[(Duration, Observation)],
    epochs: &[(Duration, u64)],
    offset: Duration,
    (at, until): (Duration, Duration),
    workers: usize,
) -> CutReport {
    let during: Vec<(Duration, &Observation)> = observed
        .iter()
        .filter_map(|(time, observation)| Some((time.checked_sub(offset)?, observation)))
        .filter(|(time, _)| *time > at && *time <= until)
        .map(|(time, observation)| (time - at, observation))
        .collect();
    let epoch_before = epochs.iter().rfind(|(time, _)| *time <= at).map_or(0, |(_, epoch)| *epoch);
    let moved = (0..workers).map(|index| {
        let id = worker_id(index);
        let first = during.iter().find(|(_, observation)| {
            matches!(observation, Observation::EpochRaised { epoch, worker }
                if *epoch > epoch_before && *worker == id)
        });
        first.map(|(time, _)| *time)
    });
    let settled_starts = during.iter().filter(|(time, observation)| {
        *time > CUT_SETTLED && matches!(observation, Observation::Started { .. })
    });
    CutReport {
        at,
        first_start: settled_starts.clone().next().map(|(time, _)| *time),
        moved: moved.collect(),
        starts: settled_starts.count(),
        taken_over: epochs.iter().find(|(time, _)| *time > at).map(|(time, _)| *time - at),
        until,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the folder of the running program, where cargo puts the other programs as well.
pub fn program_folder() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.parent().map(Path::to_owned).unwrap_or_default()
}
