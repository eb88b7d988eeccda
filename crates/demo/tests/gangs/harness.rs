//! A deployment with workers. Every wait repeatedly compares the tasks that the workers run with
//! what is allowed to run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use skylarkpulley_admin::{Client, JobState, JobView, Preemption, SubmitReply, SubmitRequest};
use skylarkpulley_demo::{Deployment, DeploymentSpec};
use skylarkpulley_standins::TaskState;
use skylarkpulley_types::{Locality, Shape, rank_nodes};

const ROUTES: &str = include_str!("../../../../samples/canteen/routes.toml");
const POOLS: &str = include_str!("../../../../samples/canteen/pools.toml");
pub const POOL: &str = "rebuilds";

/// Time after which a wait fails, so that a test does not hang. It is much longer than any event
/// that is waited for takes.
const WAIT_LIMIT: Duration = Duration::from_secs(40);
/// Pause between two checks.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time for which a part of a gang may run without the rest: the gang lease with the
/// allowed clock drift.
const PARTIAL_GANG_LIMIT: Duration = Duration::from_millis(2020);
/// Allowance for delays in the scheduling of the test itself.
const SCHEDULING_SLACK: Duration = Duration::from_millis(150);

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

/// Returns a claim on the guarantee of the team campus.
pub fn claim(run_time_ms: u64) -> SubmitRequest {
    SubmitRequest {
        claim: Some("campus-menus".to_owned()),
        team: "campus".to_owned(),
        urgent: true,
        ..job(8, 2, run_time_ms)
    }
}

/// The expected state of a submitted job.
struct ExpectedJob {
    cancelled: bool,
    workers: usize,
}

pub struct GangHarness {
    pub deployment: Deployment,
    last_check: Instant,
    partial_since: BTreeMap<(String, u64), Instant>,
    overlap_since: BTreeMap<String, Instant>,
    expected_jobs: BTreeMap<String, ExpectedJob>,
    /// Longest time for which two placements of one job ran at once.
    pub longest_overlap: Duration,
}

impl GangHarness {
    pub async fn start(entries: usize) -> Self {
        let spec = DeploymentSpec::new(ROUTES, POOLS).with_entries(entries).with_upstreams(1);
        let deployment = Deployment::start(spec).await.expect("the deployment starts");
        Self {
            deployment,
            last_check: Instant::now(),
            partial_since: BTreeMap::new(),
            overlap_since: BTreeMap::new(),
            expected_jobs: BTreeMap::new(),
            longest_overlap: Duration::ZERO,
        }
    }

    /// Returns the index of the running entry that places jobs.
    pub fn preferred(&self) -> usize {
        let is_running = |index: &usize| self.deployment.entries[*index].vm.program().is_some();
        let running_entries: Vec<usize> =
            (0..self.deployment.entries.len()).filter(is_running).collect();
        let names: Vec<String> =
            running_entries.iter().map(|index| format!("entry-{}", index + 1)).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let first = rank_nodes(POOL, &names)[0].to_owned();
        running_entries[names.iter().position(|name| *name == first).expect("one of the names")]
    }

    /// Returns the index of a running entry that does not place jobs.
    pub fn non_preferred(&self) -> usize {
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
        self.expected_jobs.insert(id.clone(), ExpectedJob { cancelled: false, workers });
        Ok(id)
    }

    /// Submits to an entry that may not have the configuration yet.
    pub async fn submit_when_accepted(&mut self, entry: usize, job: &SubmitRequest) -> String {
        let start = Instant::now();
        loop {
            match self.try_submit(entry, job).await {
                Ok(id) => return id,
                Err(error) => {
                    assert!(start.elapsed() < WAIT_LIMIT, "the job was not accepted: {error}")
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Cancels the job. After the reply its gang must not start, and a running gang must stop.
    pub async fn cancel(&mut self, entry: usize, id: &str) {
        self.client(entry).cancel(id).await.expect("an answer");
        self.expected_jobs.get_mut(id).expect("a submitted job").cancelled = true;
    }

    /// Kills an entry and starts a new entry.
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

    /// Returns the index of the worker whose agent is called `name`.
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

    /// Returns the workers on which a task of the job runs.
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

    /// Returns the number of finished members of that placement of the job which has the most of
    /// them.
    pub fn finished_members(&self, id: &str) -> usize {
        let mut finished_by_epoch: BTreeMap<u64, usize> = BTreeMap::new();
        for worker in &self.deployment.workers {
            for task in worker.worker.tasks() {
                if task.id == id && task.state == TaskState::Finished {
                    *finished_by_epoch.entry(task.epoch).or_default() += 1;
                }
            }
        }
        finished_by_epoch.into_values().max().unwrap_or(0)
    }

    /// Asserts that no accelerator is granted twice, that no gang runs partly, or after its
    /// cancellation, for longer than a lease, and that two placements of a job do not overlap for
    /// longer than a lease.
    pub fn check(&mut self) {
        let now = Instant::now();
        let gap = now - self.last_check;
        self.last_check = now;
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
        let mut running_epochs: BTreeMap<&str, BTreeSet<u64>> = BTreeMap::new();
        let (mut partial_since, mut overlap_since) = (BTreeMap::new(), BTreeMap::new());
        for ((id, epoch), (running, finished_members)) in &states {
            let Some(job) = self.expected_jobs.get(id) else { continue };
            if *running == 0 {
                continue;
            }
            running_epochs.entry(id).or_default().insert(*epoch);
            if running + finished_members >= job.workers && !job.cancelled {
                continue;
            }
            let key = (id.clone(), *epoch);
            // After a longer gap between two checks, the gang may have been complete in between.
            let previous = self.partial_since.get(&key).filter(|_| gap < SCHEDULING_SLACK);
            let since = previous.copied().unwrap_or(now);
            let limit = PARTIAL_GANG_LIMIT + SCHEDULING_SLACK;
            assert!(
                now - since <= limit,
                "{id} epoch {epoch}: {running} of {} members run",
                job.workers
            );
            partial_since.insert(key, since);
        }
        for (id, epochs) in running_epochs {
            if epochs.len() > 1 {
                let since = self.overlap_since.get(id).copied().unwrap_or(now);
                self.longest_overlap = self.longest_overlap.max(now - since);
                let limit = PARTIAL_GANG_LIMIT + SCHEDULING_SLACK;
                assert!(
                    now - since <= limit || gap >= SCHEDULING_SLACK,
                    "{id}: the epochs {epochs:?} run at once"
                );
                overlap_since.insert(id.to_owned(), since);
            }
        }
        (self.partial_since, self.overlap_since) = (partial_since, overlap_since);
    }

    /// Repeats the check until `test` returns true.
    pub async fn wait_until(&mut self, what: &str, mut test: impl FnMut(&Self) -> bool) {
        let start = Instant::now();
        loop {
            self.check();
            if test(self) {
                return;
            }
            assert!(
                start.elapsed() < WAIT_LIMIT,
                "timed out waiting for {what}; {}",
                self.describe_state().await
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Repeats the check for `time`.
    pub async fn check_for(&mut self, time: Duration) {
        let end = Instant::now() + time;
        self.wait_until("the end of the period", |_| Instant::now() >= end).await;
    }

    /// Repeats the check until an entry reports the job in the state, and returns the job.
    pub async fn wait_for_state(&mut self, entry: usize, id: &str, state: JobState) -> JobView {
        let client = self.client(entry);
        let start = Instant::now();
        loop {
            self.check();
            let view = client.job(id).await.ok();
            if let Some(view) = view.as_ref().filter(|view| view.state == state) {
                return view.clone();
            }
            if start.elapsed() >= WAIT_LIMIT {
                panic!("{id} is not {state}: {view:?}; {}", self.describe_state().await);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the job has been placed, and returns its first worker.
    pub async fn wait_for_member(&mut self, entry: usize, id: &str) -> usize {
        let client = self.client(entry);
        let start = Instant::now();
        loop {
            self.check();
            let members = client.job(id).await.map(|job| job.members).unwrap_or_default();
            if let Some(first) = members.first() {
                return self.worker(first);
            }
            assert!(
                start.elapsed() < WAIT_LIMIT,
                "{id} has no members; {}",
                self.describe_state().await
            );
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    /// Waits until the records of the job contain the event.
    pub async fn wait_for_event(&mut self, entry: usize, id: &str, event: &str) {
        let client = self.client(entry);
        let start = Instant::now();
        loop {
            self.check();
            let lines = client.explain(id).await.map(|records| records.lines).unwrap_or_default();
            if lines.iter().any(|line| line.event == event) {
                return;
            }
            assert!(
                start.elapsed() < WAIT_LIMIT,
                "{id} has no event {event}; {}",
                self.describe_state().await
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the job is done, and asserts that all its members have finished.
    pub async fn wait_until_done(&mut self, entry: usize, id: &str) {
        self.wait_for_state(entry, id, JobState::Done).await;
        let workers = self.expected_jobs[id].workers;
        assert_eq!(
            self.finished_members(id),
            workers,
            "{id} is done: {}",
            self.describe_state().await
        );
    }

    async fn describe_state(&self) -> String {
        let mut text = String::new();
        for id in self.expected_jobs.keys() {
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
