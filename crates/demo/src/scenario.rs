use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use skylarkpulley_admin::{JobState, Preemption, SubmitReply, SubmitRequest};
use skylarkpulley_placement::usable_accelerators;
use skylarkpulley_standins::TaskState;
use skylarkpulley_store::Fault;
use skylarkpulley_tables::{Pool, PoolKind, Tables, parse};
use skylarkpulley_types::{Locality, Shape};

use crate::callers::{CallResult, CallerSpec, EntryAddresses, count_outcomes, send_requests};
use crate::report::DemoReport;
use crate::{DemoError, Deployment, DeploymentSpec};

const CLAIM_STARTS: &str = "I1 a claimed guarantee starts within 6.9 s";
const GANG_RUNS_WHOLE: &str = "I2 no part of a gang runs over 2 s without the rest";
const ANSWER_MATCHES: &str = "I3 every answer is whole and belongs to its request";
const NOT_RUN_IS_TRUE: &str = "I4 what was refused as not run was not run";
const RUNS_AT_MOST_ONCE: &str = "I5 a request that is not idempotent runs at most once";
const LEAVING_GETS_NO_WORK: &str = "I6 a leaving upstream gets no new work after 3 s";
const SHUTDOWN_IS_GRACEFUL: &str = "I7 a graceful shutdown cuts no request short";
const EDIT_TAKES_EFFECT: &str = "I8 an edit is in force everywhere within 5 s, none reverts";
const CAPACITY_NOT_EXCEEDED: &str = "limits: slots and accelerators are never exceeded";

/// The gang of a claimed guarantee must start within this time.
const CLAIM_START_LIMIT: Duration = Duration::from_millis(6900);

/// Longest time for which a part of a gang may run without the rest: the gang lease of 2 s with 1 %
/// of clock drift, and the time between two samples.
const PARTIAL_GANG_LIMIT: Duration = Duration::from_millis(2020 + 100);

/// Every entry and agent must use an edit within this time.
const EDIT_PROPAGATION_LIMIT: Duration = Duration::from_secs(5);

/// A leaving upstream must get no new requests after this time.
const LEAVING_NOTICE_LIMIT: Duration = Duration::from_secs(3);

/// Time for which callers send requests.
const TRAFFIC_DURATION: Duration = Duration::from_secs(10);

/// Longest wait for the last jobs to end, after the store is available again.
const JOBS_END_LIMIT: Duration = Duration::from_secs(8);

/// Time between two samples of the workers and of the versions of the tables.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// The properties in which the two sample deployments differ.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name in the report.
    pub name: String,
    /// Text of the routes table.
    pub routes: String,
    /// Text of the pools table.
    pub pools: String,
    /// True when one entry is shut down gracefully, false when it crashes.
    pub graceful: bool,
}

/// Values that are sampled while the scenario runs.
#[derive(Debug, Default)]
struct Observations {
    fragmentation: Vec<f64>,
    partial_since: BTreeMap<String, Instant>,
    violations: Vec<String>,
    gangs: BTreeSet<String>,
    highest_versions: BTreeMap<String, u64>,
    version_cases: u64,
    reversions: Vec<String>,
}

impl Scenario {
    /// Runs the scenario; `progress` receives one line for each step.
    ///
    /// # Errors
    /// When a program does not start.
    pub async fn run(&self, progress: impl Fn(&str)) -> Result<DemoReport, DemoError> {
        let log_step = |text: &str| progress(&format!("{}: {text}", self.name));
        let tables = parse(self.routes.as_bytes(), self.pools.as_bytes())
            .map_err(|faults| DemoError::Apply { detail: format!("{faults:?}") })?;
        log_step("starting 3 entries, 11 upstreams and 11 workers with their agents");
        let spec = DeploymentSpec::new(&self.routes, &self.pools)
            .with_entries(3)
            .with_upstreams(11)
            .with_service_time(Duration::from_millis(8));
        let mut deployment = Deployment::start(spec).await?;
        let mut report = DemoReport::new(&self.name, &self.promises());
        let entries: EntryAddresses =
            Arc::new(Mutex::new(deployment.live_entries().map(|entry| entry.callers).collect()));
        log_step("callers start to send requests");
        let traffic: Vec<_> = self
            .callers(&tables)
            .into_iter()
            .map(|spec| tokio::spawn(send_requests(spec, Arc::clone(&entries), TRAFFIC_DURATION)))
            .collect();
        let observations = Arc::new(Mutex::new(Observations::default()));
        self.inject_faults(
            &mut deployment,
            &tables,
            &entries,
            &observations,
            &mut report,
            &log_step,
        )
        .await?;
        let mut results = Vec::new();
        for task in traffic {
            results.extend(task.await.unwrap_or_default());
        }
        log_step("traffic has ended; checking the promises");
        self.evaluate(&deployment, &results, &observations, &mut report);
        Ok(report)
    }

    fn promises(&self) -> Vec<&'static str> {
        let mut promises = vec![
            CLAIM_STARTS,
            GANG_RUNS_WHOLE,
            ANSWER_MATCHES,
            NOT_RUN_IS_TRUE,
            RUNS_AT_MOST_ONCE,
            LEAVING_GETS_NO_WORK,
            EDIT_TAKES_EFFECT,
            CAPACITY_NOT_EXCEEDED,
        ];
        if self.graceful {
            promises.push(SHUTDOWN_IS_GRACEFUL);
        }
        promises
    }

    fn callers(&self, tables: &Tables) -> Vec<CallerSpec> {
        let upstream =
            |name: &str| tables.pool(name).filter(|pool| pool.kind == PoolKind::Upstream);
        let spec = |route: &skylarkpulley_tables::Route| {
            let pool = upstream(&route.pool)?;
            Some(CallerSpec {
                path: route.path.clone(),
                rate: if route.idempotent { 120 } else { 60 },
                keyed: !route.idempotent,
                deadline: None,
                teams: pool.teams.iter().map(|team| team.name.clone()).collect(),
            })
        };
        let mut specs: Vec<CallerSpec> = tables.routes.iter().filter_map(spec).collect();
        // The deadline of 1 ms cannot be met, so that refusals are observed as well.
        let short_deadline = specs.iter().find(|spec| spec.keyed).map(|spec| CallerSpec {
            deadline: Some(Duration::from_millis(1)),
            path: format!("{}/hopeless", spec.path),
            rate: 5,
            ..spec.clone()
        });
        specs.extend(short_deadline);
        specs
    }

    async fn inject_faults(
        &self,
        deployment: &mut Deployment,
        tables: &Tables,
        entries: &EntryAddresses,
        observations: &Arc<Mutex<Observations>>,
        report: &mut DemoReport,
        log_step: &impl Fn(&str),
    ) -> Result<(), DemoError> {
        let Some((route, pool)) = worker_route(tables) else { return Ok(()) };
        let mut jobs = Jobs::new(route, pool);
        log_step("borrowing jobs fill the pool");
        jobs.submit_borrowers(deployment, 12).await;
        observe(deployment, observations, &mut jobs, Duration::from_millis(800)).await;

        log_step("an operator edits the tables");
        let edited = self.pools.replacen("weight = 8", "weight = 7", 1);
        let start = Instant::now();
        let version =
            deployment.apply(deployment_version(deployment).await, &self.routes, &edited).await?;
        let propagated = deployment
            .wait_status("the edit at all entries and agents", |status| {
                status.version >= version && status.oldest_version >= version
            })
            .await;
        let elapsed = start.elapsed();
        report.edit_times.push(elapsed);
        report.observe(
            EDIT_TAKES_EFFECT,
            (propagated.is_err() || elapsed > EDIT_PROPAGATION_LIMIT)
                .then(|| format!("{elapsed:?}")),
        );

        log_step("one team claims its guarantee while borrowing jobs run");
        jobs.claim(deployment, 0, report).await;
        observe(deployment, observations, &mut jobs, Duration::from_millis(300)).await;

        log_step("one upstream leaves, one upstream's agent and one worker's agent are killed");
        deployment.upstreams[0].upstream.leave();
        let left_at = Instant::now();
        deployment.upstreams[1].agent.kill();
        deployment.workers[0].agent.kill();
        observe(deployment, observations, &mut jobs, Duration::from_millis(600)).await;

        self.remove_entry(deployment, entries, log_step).await;
        observe(deployment, observations, &mut jobs, Duration::from_millis(600)).await;

        log_step("the store becomes unavailable");
        deployment.store.faults().set(Some(Fault::Outage));
        jobs.claim(deployment, 1, report).await;
        let remaining = LEAVING_NOTICE_LIMIT.saturating_sub(left_at.elapsed());
        observe(deployment, observations, &mut jobs, remaining).await;
        let runs_at_limit = deployment.upstreams[0].upstream.runs();
        observe(deployment, observations, &mut jobs, Duration::from_millis(1000)).await;
        log_step("the store is available again");
        deployment.store.faults().set(None);
        jobs.wait_ended(deployment, observations).await;
        report.completion_times = jobs.ended.values().copied().collect();
        let runs_after_limit = deployment.upstreams[0].upstream.runs();
        report.observe(
            LEAVING_GETS_NO_WORK,
            (runs_after_limit > runs_at_limit)
                .then(|| format!("{} requests", runs_after_limit - runs_at_limit)),
        );
        Ok(())
    }

    async fn remove_entry(
        &self,
        deployment: &mut Deployment,
        entries: &EntryAddresses,
        log_step: &impl Fn(&str),
    ) {
        let removed = deployment.entries[0].callers;
        let remove_from_balancer = || {
            entries
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .retain(|entry| *entry != removed);
        };
        if self.graceful {
            log_step("one entry shuts down gracefully");
            let admin = deployment.entries[0].admin;
            let balancer = tokio::spawn(await_unready(admin));
            let stopping = deployment.entries[0].vm.stop(|entry| entry.shut_down());
            tokio::pin!(stopping);
            // The load balancer removes the entry when it is no longer ready.
            tokio::select! {
                () = &mut stopping => {}
                _ = balancer => {
                    remove_from_balancer();
                    stopping.await;
                }
            }
        } else {
            log_step("one entry crashes");
            deployment.entries[0].vm.kill();
        }
        remove_from_balancer();
    }

    fn evaluate(
        &self,
        deployment: &Deployment,
        results: &[CallResult],
        observations: &Arc<Mutex<Observations>>,
        report: &mut DemoReport,
    ) {
        let count_executions = |key: &str| -> u64 {
            deployment.upstreams.iter().map(|member| member.upstream.executions(key)).sum()
        };
        for result in results {
            let answered = result.outcomes.last().is_some_and(|outcome| outcome == "answered");
            if answered {
                report.latencies.push(result.elapsed);
                report.observe(
                    ANSWER_MATCHES,
                    (!result.body_matches).then(|| format!("{:?}", result.key)),
                );
            } else {
                *report.refusals.entry(result.reason.clone()).or_default() += 1;
            }
            if self.graceful {
                let interrupted = result.outcomes.iter().any(|outcome| outcome == "broken");
                report.observe(
                    SHUTDOWN_IS_GRACEFUL,
                    interrupted.then(|| format!("{:?} {:?}", result.key, result.outcomes)),
                );
            }
            let Some(key) = &result.key else { continue };
            let executions = count_executions(key);
            report.observe(
                RUNS_AT_MOST_ONCE,
                (executions > 1).then(|| format!("{key} ran {executions} times")),
            );
            let all_not_run = !result.outcomes.is_empty()
                && result.outcomes.iter().all(|outcome| outcome == "not-run");
            if all_not_run {
                report.observe(
                    NOT_RUN_IS_TRUE,
                    (executions > 0).then(|| format!("{key} ran {executions} times")),
                );
            }
            if answered && executions == 0 {
                report.observe(ANSWER_MATCHES, Some(format!("{key} was answered and did not run")));
            }
        }
        report.outcomes = count_outcomes(results);
        let observations = observations.lock().unwrap_or_else(PoisonError::into_inner);
        for _ in &observations.gangs {
            report.observe(GANG_RUNS_WHOLE, None);
        }
        for violation in &observations.violations {
            report.observe(GANG_RUNS_WHOLE, Some(violation.clone()));
        }
        for index in 0..observations.version_cases {
            report.observe(EDIT_TAKES_EFFECT, observations.reversions.get(index as usize).cloned());
        }
        report.fragmentation.clone_from(&observations.fragmentation);
        for member in &deployment.upstreams {
            let most_active = member.upstream.most_active();
            report.most_active = report.most_active.max(most_active);
            report.observe(
                CAPACITY_NOT_EXCEEDED,
                (most_active > 8).then(|| format!("{most_active} requests at once")),
            );
        }
        for member in &deployment.workers {
            let overlaps = member.worker.overlaps();
            report.observe(
                CAPACITY_NOT_EXCEEDED,
                (overlaps > 0).then(|| format!("{overlaps} overlaps")),
            );
        }
    }
}

async fn await_unready(admin: std::net::SocketAddr) {
    let url = format!("http://{admin}/readyz");
    while reqwest::get(&url).await.is_ok_and(|reply| reply.status().is_success()) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn deployment_version(deployment: &Deployment) -> u64 {
    deployment.status().await.map_or(0, |status| status.version)
}

fn worker_route(tables: &Tables) -> Option<(String, Pool)> {
    tables.routes.iter().find_map(|route| {
        let pool = tables.pool(&route.pool)?;
        (pool.kind == PoolKind::Worker).then(|| (route.name.clone(), pool.clone()))
    })
}

/// The jobs that one scenario has submitted.
struct Jobs {
    pool: Pool,
    route: String,
    submitted: BTreeMap<String, (Instant, Shape)>,
    ended: BTreeMap<String, Duration>,
}

impl Jobs {
    fn new(route: String, pool: Pool) -> Self {
        Self { pool, route, submitted: BTreeMap::new(), ended: BTreeMap::new() }
    }

    fn request(&self, team: &str, shape: Shape, run_ms: u64) -> SubmitRequest {
        SubmitRequest {
            claim: None,
            cores: 4,
            kind: "demo".to_owned(),
            memory_mib: 4096,
            preemption: Preemption::Checkpoint,
            route: self.route.clone(),
            run_time_ms: run_ms,
            shape,
            team: team.to_owned(),
            urgent: false,
        }
    }

    async fn submit(&mut self, deployment: &Deployment, request: &SubmitRequest) -> Option<String> {
        let start = Instant::now();
        let reply = deployment.admin().ok()?.submit(request).await;
        let Ok(SubmitReply::Accepted { id, .. }) = reply else { return None };
        self.submitted.insert(id.clone(), (start, request.shape));
        Some(id)
    }

    async fn submit_borrowers(&mut self, deployment: &Deployment, count: u64) {
        let teams: Vec<String> = self.pool.teams.iter().map(|team| team.name.clone()).collect();
        for number in 0..count {
            let team = &teams[number as usize % teams.len()];
            let shape = match number % 3 {
                0 => Shape::new(8, 1, Locality::Worker),
                1 => Shape::new(4, 2, Locality::Rack),
                _ => Shape::new(2, 1, Locality::Worker),
            };
            let request = self.request(team, shape, 1500 + 300 * (number % 5));
            self.submit(deployment, &request).await;
        }
    }

    /// Submits a claim on guarantee number `index` and waits until its gang starts.
    async fn claim(&mut self, deployment: &Deployment, index: usize, report: &mut DemoReport) {
        let guarantees = &self.pool.guarantees;
        let Some(guarantee) = guarantees.get(index % guarantees.len().max(1)).cloned() else {
            return;
        };
        let request = SubmitRequest {
            claim: Some(guarantee.name.clone()),
            urgent: true,
            ..self.request(&guarantee.team, guarantee.shape, 1500)
        };
        let start = Instant::now();
        let Some(id) = self.submit(deployment, &request).await else {
            return report.observe(
                CLAIM_STARTS,
                Some(format!("the claim on {} was refused", guarantee.name)),
            );
        };
        let mut state = JobState::Queued;
        while start.elapsed() < 2 * CLAIM_START_LIMIT {
            if let Ok(admin) = deployment.admin()
                && let Ok(view) = admin.job(&id).await
            {
                state = view.state;
            }
            if matches!(state, JobState::Running | JobState::Done) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let elapsed = start.elapsed();
        report.claim_waits.push(elapsed);
        let violated =
            elapsed > CLAIM_START_LIMIT || !matches!(state, JobState::Running | JobState::Done);
        report.observe(
            CLAIM_STARTS,
            violated.then(|| format!("{} was {state} after {elapsed:?}", guarantee.name)),
        );
    }

    async fn wait_ended(
        &mut self,
        deployment: &Deployment,
        observations: &Arc<Mutex<Observations>>,
    ) {
        let start = Instant::now();
        while start.elapsed() < JOBS_END_LIMIT && self.ended.len() < self.submitted.len() {
            observe(deployment, observations, self, SAMPLE_INTERVAL).await;
        }
    }

    /// Records which jobs have ended since the last sample.
    async fn record_ended(&mut self, deployment: &Deployment) {
        let Ok(admin) = deployment.admin() else { return };
        for (id, (submitted, _)) in &self.submitted {
            if !self.ended.contains_key(id)
                && admin.job(id).await.is_ok_and(|view| view.state == JobState::Done)
            {
                self.ended.insert(id.clone(), submitted.elapsed());
            }
        }
    }
}

/// Samples the workers and the versions of the tables for `duration`.
async fn observe(
    deployment: &Deployment,
    observations: &Arc<Mutex<Observations>>,
    jobs: &mut Jobs,
    duration: Duration,
) {
    let until = Instant::now() + duration;
    while Instant::now() < until {
        let status = deployment.status().await.unwrap_or_default();
        {
            let mut observations = observations.lock().unwrap_or_else(PoisonError::into_inner);
            observations.sample_gangs(deployment, jobs);
            observations.sample_versions(&status);
            observations.sample_fragmentation(&status, jobs);
        }
        jobs.record_ended(deployment).await;
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

impl Observations {
    fn sample_gangs(&mut self, deployment: &Deployment, jobs: &Jobs) {
        let now = Instant::now();
        let mut running: BTreeMap<String, u32> = BTreeMap::new();
        for member in &deployment.workers {
            for task in member.worker.tasks() {
                if task.state == TaskState::Running {
                    *running.entry(task.id).or_default() += 1;
                }
            }
        }
        self.partial_since.retain(|gang, _| running.contains_key(gang));
        for (gang, count) in running {
            self.gangs.insert(gang.clone());
            let is_whole =
                jobs.submitted.get(&gang).is_none_or(|(_, shape)| shape.workers == count);
            if is_whole {
                self.partial_since.remove(&gang);
                continue;
            }
            let since = *self.partial_since.entry(gang.clone()).or_insert(now);
            if now.saturating_duration_since(since) > PARTIAL_GANG_LIMIT {
                self.violations.push(format!("{gang} had {count} members running"));
                self.partial_since.remove(&gang);
            }
        }
    }

    fn sample_versions(&mut self, status: &skylarkpulley_admin::Status) {
        for process in status.processes.iter().filter(|process| process.version > 0) {
            self.version_cases += 1;
            let highest = self.highest_versions.entry(process.process.clone()).or_default();
            if process.version < *highest {
                let text = format!("{} from {highest} to {}", process.process, process.version);
                self.reversions.push(text);
            }
            *highest = process.version.max(*highest);
        }
    }

    fn sample_fragmentation(&mut self, status: &skylarkpulley_admin::Status, jobs: &Jobs) {
        let Some(largest) =
            jobs.pool.guarantees.iter().max_by_key(|guarantee| guarantee.shape.total())
        else {
            return;
        };
        let domains: Vec<&str> =
            status.workers.iter().map(|worker| worker.domain.as_str()).collect();
        let racks: Vec<&str> = status.workers.iter().map(|worker| worker.rack.as_str()).collect();
        let index = |names: &[&str], name: &str| {
            names.iter().position(|other| *other == name).unwrap_or_default()
        };
        let free: Vec<(usize, usize, u32)> = status
            .workers
            .iter()
            .filter(|worker| worker.state == "serving")
            .map(|worker| {
                let used = worker.guaranteed + worker.borrowed;
                let domain = index(&domains, &worker.domain);
                let rack = index(&racks, &worker.rack);
                (domain, rack, worker.accelerators.saturating_sub(used))
            })
            .collect();
        let total: u64 = free.iter().map(|(_, _, free)| u64::from(*free)).sum();
        if total > 0 {
            let usable = usable_accelerators(&free, largest.shape);
            let unusable = total.saturating_sub(usable);
            self.fragmentation.push(unusable as f64 / total as f64);
        }
    }
}
