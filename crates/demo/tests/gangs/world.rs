//! A deployment with workers, whose true state is checked at every look.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use skylarkpulley_admin::{Client, JobState, JobView, Preemption, SubmitReply, SubmitRequest};
use skylarkpulley_demo::{Deployment, DeploymentSpec};
use skylarkpulley_standins::TaskState;
use skylarkpulley_types::{Locality, Shape, rank_nodes};

const ROUTES: &str = include_str!("../../../../samples/canteen/routes.toml");
const POOLS: &str = include_str!("../../../../samples/canteen/pools.toml");
pub const POOL: &str = "rebuilds";

/// Guards against hanging; far longer than anything that is waited for.
const HANG: Duration = Duration::from_secs(40);
const LOOK: Duration = Duration::from_millis(10);
/// Gang lease with the drift that is allowed.
const PARTIAL_LIMIT: Duration = Duration::from_millis(2020);
/// Slack for the scheduling of the test itself.
const SLACK: Duration = Duration::from_millis(150);

pub fn job(accelerators: u32, workers: u32, run_time_ms: u64) -> SubmitRequest {
    SubmitRequest {
        claim: None,
        cores: 4,
        kind: "rebuild".to_owned(),
        memory_mib: 1024,
        preemption: Preemption::Checkpoint,
        route: "rebuild".to_owned(),
        run_time_ms,
        shape: Shape::new(accelerators, workers, Locality::Rack),
        team: "offices".to_owned(),
        urgent: false,
    }
}

/// The shape that the team campus has guaranteed.
pub fn claim(run_time_ms: u64) -> SubmitRequest {
    SubmitRequest {
        claim: Some("campus-menus".to_owned()),
        team: "campus".to_owned(),
        urgent: true,
        ..job(8, 2, run_time_ms)
    }
}

/// What is expected of a submitted job.
struct Watched {
    cancelled: bool,
    workers: usize,
}

pub struct World {
    pub deployment: Deployment,
    looked: Instant,
    partial: BTreeMap<(String, u64), Instant>,
    twice: BTreeMap<String, Instant>,
    watched: BTreeMap<String, Watched>,
    /// Longest time that two tries of one job ran at once.
    pub overlap: Duration,
}

impl World {
    pub async fn start(entries: usize) -> Self {
        let spec = DeploymentSpec::new(ROUTES, POOLS).with_entries(entries).with_upstreams(1);
        let deployment = Deployment::start(spec).await.expect("the deployment starts");
        Self {
            deployment,
            looked: Instant::now(),
            partial: BTreeMap::new(),
            twice: BTreeMap::new(),
            watched: BTreeMap::new(),
            overlap: Duration::ZERO,
        }
    }

    /// Index of the entry that places jobs, among those that are up.
    pub fn preferred(&self) -> usize {
        let up = |index: &usize| self.deployment.entries[*index].vm.program().is_some();
        let live: Vec<usize> = (0..self.deployment.entries.len()).filter(up).collect();
        let names: Vec<String> = live.iter().map(|index| format!("entry-{}", index + 1)).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let first = rank_nodes(POOL, &names)[0].to_owned();
        live[names.iter().position(|name| *name == first).expect("one of the names")]
    }

    /// An entry that is up and does not place jobs.
    pub fn other(&self) -> usize {
        let preferred = self.preferred();
        (0..self.deployment.entries.len())
            .find(|index| {
                *index != preferred && self.deployment.entries[*index].vm.program().is_some()
            })
            .expect("a second entry")
    }

    pub fn client(&self, entry: usize) -> Client {
        Client::new(&format!("http://{}", self.deployment.entries[entry].admin)).expect("a client")
    }

    pub async fn submit(&mut self, entry: usize, job: &SubmitRequest) -> String {
        self.try_submit(entry, job).await.expect("an accepted job")
    }

    /// Returns the error of a job that is not accepted.
    pub async fn try_submit(
        &mut self,
        entry: usize,
        job: &SubmitRequest,
    ) -> Result<String, String> {
        let reply = self.client(entry).submit(job).await.map_err(|error| error.to_string())?;
        let SubmitReply::Accepted { id, .. } = reply else { return Err(format!("{reply:?}")) };
        let workers = job.shape.workers as usize;
        self.watched.insert(id.clone(), Watched { cancelled: false, workers });
        Ok(id)
    }

    /// Submits to an entry that may not have the configuration yet.
    pub async fn until_submitted(&mut self, entry: usize, job: &SubmitRequest) -> String {
        let begun = Instant::now();
        loop {
            match self.try_submit(entry, job).await {
                Ok(id) => return id,
                Err(error) => assert!(begun.elapsed() < HANG, "not accepted: {error}"),
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Cancels the job; from the answer on it may only stop.
    pub async fn cancel(&mut self, entry: usize, id: &str) {
        self.client(entry).cancel(id).await.expect("an answer");
        self.watched.get_mut(id).expect("a submitted job").cancelled = true;
    }

    /// Kills an entry and starts a new one in its place.
    pub async fn replace_entry(&mut self, entry: usize) {
        self.deployment.entries[entry].vm.kill();
        self.deployment.add_entry().await.expect("an entry");
    }

    /// Kills the agent of a worker and starts it again.
    pub async fn restart_agent(&mut self, worker: usize) {
        self.deployment.workers[worker].agent.kill();
        let settings = self.deployment.workers[worker].settings.clone();
        self.deployment.workers[worker].agent =
            self.deployment.start_agent(&settings).await.expect("an agent");
    }

    /// Index of the worker whose agent is called `name`.
    pub fn worker(&self, name: &str) -> usize {
        self.deployment
            .workers
            .iter()
            .position(|worker| worker.settings.name == name)
            .expect("a worker of the deployment")
    }

    pub fn starts(&self) -> u64 {
        self.deployment.workers.iter().map(|worker| worker.worker.starts()).sum()
    }

    /// Workers on which a task of the job runs.
    pub fn running(&self, id: &str) -> Vec<usize> {
        let runs = |index: &usize| {
            let tasks = self.deployment.workers[*index].worker.tasks();
            tasks.iter().any(|task| task.id == id && task.state == TaskState::Running)
        };
        (0..self.deployment.workers.len()).filter(runs).collect()
    }

    /// Reports whether a task of the job is in the state on any worker.
    pub fn has_task(&self, id: &str, state: TaskState) -> bool {
        let workers = self.deployment.workers.iter();
        let mut tasks = workers.flat_map(|worker| worker.worker.tasks());
        tasks.any(|task| task.id == id && task.state == state)
    }

    /// Members of one try of the job that have finished, for the try with the most of them.
    pub fn finished(&self, id: &str) -> usize {
        let mut tries: BTreeMap<u64, usize> = BTreeMap::new();
        for worker in &self.deployment.workers {
            for task in worker.worker.tasks() {
                if task.id == id && task.state == TaskState::Finished {
                    *tries.entry(task.epoch).or_default() += 1;
                }
            }
        }
        tries.into_values().max().unwrap_or(0)
    }

    /// Compares what really runs with what may run.
    pub fn check(&mut self) {
        let now = Instant::now();
        let gap = now - self.looked;
        self.looked = now;
        let mut states: BTreeMap<(String, u64), (usize, usize)> = BTreeMap::new();
        for worker in &self.deployment.workers {
            let name = &worker.settings.name;
            assert_eq!(worker.worker.overlaps(), 0, "accelerators of {name} granted twice");
            for task in worker.worker.tasks() {
                let state = states.entry((task.id.clone(), task.epoch)).or_default();
                state.0 += usize::from(task.state == TaskState::Running);
                state.1 += usize::from(task.state == TaskState::Finished);
            }
        }
        let mut tries: BTreeMap<&str, BTreeSet<u64>> = BTreeMap::new();
        let (mut partial, mut twice) = (BTreeMap::new(), BTreeMap::new());
        for ((id, epoch), (running, finished)) in &states {
            let Some(job) = self.watched.get(id) else { continue };
            if *running == 0 {
                continue;
            }
            tries.entry(id).or_default().insert(*epoch);
            if running + finished >= job.workers && !job.cancelled {
                continue;
            }
            let key = (id.clone(), *epoch);
            // A longer gap between two looks may hide that the gang was whole in between.
            let known = self.partial.get(&key).filter(|_| gap < SLACK);
            let since = known.copied().unwrap_or(now);
            let limit = PARTIAL_LIMIT + SLACK;
            assert!(now - since <= limit, "{id} epoch {epoch}: {running} of {}", job.workers);
            partial.insert(key, since);
        }
        for (id, epochs) in tries {
            if epochs.len() > 1 {
                let since = self.twice.get(id).copied().unwrap_or(now);
                self.overlap = self.overlap.max(now - since);
                let limit = PARTIAL_LIMIT + SLACK;
                assert!(now - since <= limit || gap >= SLACK, "{id}: {epochs:?} run at once");
                twice.insert(id.to_owned(), since);
            }
        }
        (self.partial, self.twice) = (partial, twice);
    }

    /// Looks until `test` holds.
    pub async fn until(&mut self, what: &str, mut test: impl FnMut(&Self) -> bool) {
        let begun = Instant::now();
        loop {
            self.check();
            if test(self) {
                return;
            }
            assert!(begun.elapsed() < HANG, "{what}: not seen; {}", self.describe().await);
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Looks for a time without expecting anything.
    pub async fn pass(&mut self, time: Duration) {
        let end = Instant::now() + time;
        self.until("time passes", |_| Instant::now() >= end).await;
    }

    /// Looks until an entry shows the job in the state, and returns the job.
    pub async fn until_state(&mut self, entry: usize, id: &str, state: JobState) -> JobView {
        let client = self.client(entry);
        let begun = Instant::now();
        loop {
            self.check();
            let view = client.job(id).await.ok();
            if let Some(view) = view.as_ref().filter(|view| view.state == state) {
                return view.clone();
            }
            if begun.elapsed() >= HANG {
                panic!("{id} is not {state}: {view:?}; {}", self.describe().await);
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Waits until workers were chosen for the job, and returns the first one.
    pub async fn until_member(&mut self, entry: usize, id: &str) -> usize {
        let client = self.client(entry);
        let begun = Instant::now();
        loop {
            self.check();
            let members = client.job(id).await.map(|job| job.members).unwrap_or_default();
            if let Some(first) = members.first() {
                return self.worker(first);
            }
            assert!(begun.elapsed() < HANG, "{id} has no members; {}", self.describe().await);
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    /// Waits until the records on the job show the event.
    pub async fn until_event(&mut self, entry: usize, id: &str, event: &str) {
        let client = self.client(entry);
        let begun = Instant::now();
        loop {
            self.check();
            let lines = client.explain(id).await.map(|records| records.lines).unwrap_or_default();
            if lines.iter().any(|line| line.event == event) {
                return;
            }
            assert!(begun.elapsed() < HANG, "{id}: no {event}; {}", self.describe().await);
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Waits until the job is done, and checks that it was run whole.
    pub async fn until_done(&mut self, entry: usize, id: &str) {
        self.until_state(entry, id, JobState::Done).await;
        let workers = self.watched[id].workers;
        assert_eq!(self.finished(id), workers, "{id} is done: {}", self.describe().await);
    }

    async fn describe(&self) -> String {
        let mut text = String::new();
        for id in self.watched.keys() {
            for entry in self.deployment.live_entries() {
                let client = Client::new(&format!("http://{}", entry.admin)).expect("a client");
                let lines = client.explain(id).await.map(|records| records.lines);
                text += &format!("\n{} {id}: {lines:#?}", entry.admin);
            }
        }
        for worker in &self.deployment.workers {
            let tasks = worker.worker.tasks();
            if !tasks.is_empty() {
                text += &format!("\n{}: {tasks:?}", worker.settings.name);
            }
        }
        text
    }
}
