use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use skylarkpulley_admin::{JobState, Preemption, SubmitReply, SubmitRequest};
use skylarkpulley_placement::usable_accelerators;
use skylarkpulley_standins::TaskState;
use skylarkpulley_store::Fault;
use skylarkpulley_tables::{Pool, PoolKind, Tables, parse};
use skylarkpulley_types::{Locality, Shape};

use crate::callers::{CallEnd, CallerSpec, Entries, count_outcomes, send_requests};
use crate::report::DemoReport;
use crate::{DemoError, Deployment, DeploymentSpec};

const I1: &str = "I1 a claimed guarantee starts within 6.9 s";
const I2: &str = "I2 no part of a gang runs over 2 s without the rest";
const I3: &str = "I3 every answer is whole and belongs to its request";
const I4: &str = "I4 what was refused as not run was not run";
const I5: &str = "I5 a request that is not idempotent runs at most once";
const I6: &str = "I6 a leaving upstream gets no new work after 3 s";
const I7: &str = "I7 a graceful shutdown cuts no request short";
const I8: &str = "I8 an edit is in force everywhere within 5 s, none reverts";
const LIMITS: &str = "limits: slots and accelerators are never exceeded";

/// Every guarantee must be met within this time.
const CLAIM_LIMIT: Duration = Duration::from_millis(6900);

/// A gang lease, with 1 % of clock drift and the time between two samples.
const PARTIAL_LIMIT: Duration = Duration::from_millis(2020 + 100);

/// An edit must be in force everywhere within this time.
const EDIT_LIMIT: Duration = Duration::from_secs(5);

/// A leaving upstream must get no new work after this time.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// Length of the traffic.
const TRAFFIC: Duration = Duration::from_secs(10);

/// Time for the last jobs to end.
const JOBS_LIMIT: Duration = Duration::from_secs(8);

/// Time between two samples of workers and versions.
const SAMPLE: Duration = Duration::from_millis(100);

/// What differs between the two deployments.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name in the report.
    pub name: String,
    /// Text of the routes table.
    pub routes: String,
    /// Text of the pools table.
    pub pools: String,
    /// True when the entry is shut down gracefully, false when it crashes.
    pub graceful: bool,
}

/// Numbers that are collected while the scenario runs.
#[derive(Debug, Default)]
struct Observed {
    fragmentation: Vec<f64>,
    partial: BTreeMap<String, Instant>,
    violations: Vec<String>,
    gangs: BTreeSet<String>,
    versions: BTreeMap<String, u64>,
    version_cases: u64,
    reverted: Vec<String>,
}

impl Scenario {
    /// Runs the scenario; `progress` receives one line for each step.
    ///
    /// # Errors
    /// When a program does not start.
    pub async fn run(&self, progress: impl Fn(&str)) -> Result<DemoReport, DemoError> {
        let say = |text: &str| progress(&format!("{}: {text}", self.name));
        let tables = parse(self.routes.as_bytes(), self.pools.as_bytes())
            .map_err(|faults| DemoError::Apply { detail: format!("{faults:?}") })?;
        say("starting 3 entries, 11 upstreams and 11 workers with their agents");
        let spec = DeploymentSpec::new(&self.routes, &self.pools)
            .with_entries(3)
            .with_upstreams(11)
            .with_service(Duration::from_millis(8));
        let mut deployment = Deployment::start(spec).await?;
        let mut report = DemoReport::new(&self.name, &self.promises());
        let entries: Entries =
            Arc::new(Mutex::new(deployment.live_entries().map(|entry| entry.callers).collect()));
        say("traffic starts");
        let traffic: Vec<_> = self
            .callers(&tables)
            .into_iter()
            .map(|spec| tokio::spawn(send_requests(spec, Arc::clone(&entries), TRAFFIC)))
            .collect();
        let observed = Arc::new(Mutex::new(Observed::default()));
        self.disturb(&mut deployment, &tables, &entries, &observed, &mut report, &say).await?;
        let mut ends = Vec::new();
        for task in traffic {
            ends.extend(task.await.unwrap_or_default());
        }
        say("traffic has ended; judging");
        self.judge(&deployment, &ends, &observed, &mut report);
        Ok(report)
    }

    fn promises(&self) -> Vec<&'static str> {
        let mut promises = vec![I1, I2, I3, I4, I5, I6, I8, LIMITS];
        if self.graceful {
            promises.push(I7);
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
        // Requests that cannot meet their deadline, so that refusals are observed as well.
        let hopeless = specs.iter().find(|spec| spec.keyed).map(|spec| CallerSpec {
            deadline: Some(Duration::from_millis(1)),
            path: format!("{}/hopeless", spec.path),
            rate: 5,
            ..spec.clone()
        });
        specs.extend(hopeless);
        specs
    }

    async fn disturb(
        &self,
        deployment: &mut Deployment,
        tables: &Tables,
        entries: &Entries,
        observed: &Arc<Mutex<Observed>>,
        report: &mut DemoReport,
        say: &impl Fn(&str),
    ) -> Result<(), DemoError> {
        let Some((route, pool)) = worker_route(tables) else { return Ok(()) };
        let mut jobs = Jobs::new(route, pool);
        say("borrowing jobs fill the pool");
        jobs.submit_borrowers(deployment, 12).await;
        observe(deployment, observed, &mut jobs, Duration::from_millis(800)).await;

        say("an operator edits the tables");
        let edited = self.pools.replacen("weight = 8", "weight = 7", 1);
        let start = Instant::now();
        let version =
            deployment.apply(deployment_version(deployment).await, &self.routes, &edited).await?;
        let everywhere = deployment
            .wait_status("the edit in force everywhere", |status| {
                status.version >= version && status.oldest_version >= version
            })
            .await;
        let spent = start.elapsed();
        report.edits.push(spent);
        report
            .observe(I8, (everywhere.is_err() || spent > EDIT_LIMIT).then(|| format!("{spent:?}")));

        say("one team claims its guarantee while borrowers run");
        jobs.claim(deployment, 0, report).await;
        observe(deployment, observed, &mut jobs, Duration::from_millis(300)).await;

        say("one upstream leaves, one upstream's agent dies, one worker dies");
        deployment.upstreams[0].upstream.leave();
        let left = Instant::now();
        deployment.upstreams[1].agent.kill();
        deployment.workers[0].agent.kill();
        observe(deployment, observed, &mut jobs, Duration::from_millis(600)).await;

        self.end_entry(deployment, entries, say).await;
        observe(deployment, observed, &mut jobs, Duration::from_millis(600)).await;

        say("the store is down");
        deployment.store.faults().set(Some(Fault::Outage));
        jobs.claim(deployment, 1, report).await;
        let rest = LEAVING_LIMIT.saturating_sub(left.elapsed());
        observe(deployment, observed, &mut jobs, rest).await;
        let runs = deployment.upstreams[0].upstream.runs();
        observe(deployment, observed, &mut jobs, Duration::from_millis(1000)).await;
        say("the store is back");
        deployment.store.faults().set(None);
        jobs.wait_ended(deployment, observed).await;
        report.completions = jobs.ended.values().copied().collect();
        let later = deployment.upstreams[0].upstream.runs();
        report.observe(I6, (later > runs).then(|| format!("{} requests", later - runs)));
        Ok(())
    }

    async fn end_entry(&self, deployment: &mut Deployment, entries: &Entries, say: &impl Fn(&str)) {
        let gone = deployment.entries[0].callers;
        let take_out = || {
            entries.lock().unwrap_or_else(PoisonError::into_inner).retain(|entry| *entry != gone);
        };
        if self.graceful {
            say("one entry shuts down gracefully");
            let admin = deployment.entries[0].admin;
            let balancer = tokio::spawn(await_unready(admin));
            let stopping = deployment.entries[0].vm.stop(|entry| entry.shut_down());
            tokio::pin!(stopping);
            // The balancer takes the entry out when it is no longer ready.
            tokio::select! {
                () = &mut stopping => {}
                _ = balancer => {
                    take_out();
                    stopping.await;
                }
            }
        } else {
            say("one entry crashes");
            deployment.entries[0].vm.kill();
        }
        take_out();
    }

    fn judge(
        &self,
        deployment: &Deployment,
        ends: &[CallEnd],
        observed: &Arc<Mutex<Observed>>,
        report: &mut DemoReport,
    ) {
        let executions = |key: &str| -> u64 {
            deployment.upstreams.iter().map(|member| member.upstream.executions(key)).sum()
        };
        for end in ends {
            let answered = end.tries.last().is_some_and(|outcome| outcome == "answered");
            if answered {
                report.latencies.push(end.time);
                report.observe(I3, (!end.matched).then(|| format!("{:?}", end.key)));
            } else {
                *report.refusals.entry(end.reason.clone()).or_default() += 1;
            }
            if self.graceful {
                let cut = end.tries.iter().any(|outcome| outcome == "broken");
                report.observe(I7, cut.then(|| format!("{:?} {:?}", end.key, end.tries)));
            }
            let Some(key) = &end.key else { continue };
            let runs = executions(key);
            report.observe(I5, (runs > 1).then(|| format!("{key} ran {runs} times")));
            let all_not_run =
                !end.tries.is_empty() && end.tries.iter().all(|outcome| outcome == "not-run");
            if all_not_run {
                report.observe(I4, (runs > 0).then(|| format!("{key} ran {runs} times")));
            }
            if answered && runs == 0 {
                report.observe(I3, Some(format!("{key} was answered and never ran")));
            }
        }
        report.outcomes = count_outcomes(ends);
        let observed = observed.lock().unwrap_or_else(PoisonError::into_inner);
        for _ in &observed.gangs {
            report.observe(I2, None);
        }
        for violation in &observed.violations {
            report.observe(I2, Some(violation.clone()));
        }
        for case in 0..observed.version_cases {
            report.observe(I8, observed.reverted.get(case as usize).cloned());
        }
        report.fragmentation.clone_from(&observed.fragmentation);
        for member in &deployment.upstreams {
            let most = member.upstream.most_active();
            report.most_active = report.most_active.max(most);
            report.observe(LIMITS, (most > 8).then(|| format!("{most} requests at once")));
        }
        for member in &deployment.workers {
            let overlaps = member.worker.overlaps();
            report.observe(LIMITS, (overlaps > 0).then(|| format!("{overlaps} overlaps")));
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

/// The jobs of one scenario.
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

    /// Claims guarantee number `index` and waits until it starts.
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
            return report
                .observe(I1, Some(format!("the claim on {} was refused", guarantee.name)));
        };
        let mut state = JobState::Queued;
        while start.elapsed() < 2 * CLAIM_LIMIT {
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
        let spent = start.elapsed();
        report.claims.push(spent);
        let late = spent > CLAIM_LIMIT || !matches!(state, JobState::Running | JobState::Done);
        report.observe(I1, late.then(|| format!("{} was {state} after {spent:?}", guarantee.name)));
    }

    async fn wait_ended(&mut self, deployment: &Deployment, observed: &Arc<Mutex<Observed>>) {
        let start = Instant::now();
        while start.elapsed() < JOBS_LIMIT && self.ended.len() < self.submitted.len() {
            observe(deployment, observed, self, SAMPLE).await;
        }
    }

    /// Notes which jobs have ended since the last look.
    async fn note_ended(&mut self, deployment: &Deployment) {
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

/// Samples workers and versions for `length`.
async fn observe(
    deployment: &Deployment,
    observed: &Arc<Mutex<Observed>>,
    jobs: &mut Jobs,
    length: Duration,
) {
    let end = Instant::now() + length;
    while Instant::now() < end {
        let status = deployment.status().await.unwrap_or_default();
        {
            let mut observed = observed.lock().unwrap_or_else(PoisonError::into_inner);
            observed.sample_gangs(deployment, jobs);
            observed.sample_versions(&status);
            observed.sample_fragmentation(&status, jobs);
        }
        jobs.note_ended(deployment).await;
        tokio::time::sleep(SAMPLE).await;
    }
}

impl Observed {
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
        self.partial.retain(|gang, _| running.contains_key(gang));
        for (gang, count) in running {
            self.gangs.insert(gang.clone());
            let whole = jobs.submitted.get(&gang).is_none_or(|(_, shape)| shape.workers == count);
            if whole {
                self.partial.remove(&gang);
                continue;
            }
            let since = *self.partial.entry(gang.clone()).or_insert(now);
            if now.saturating_duration_since(since) > PARTIAL_LIMIT {
                self.violations.push(format!("{gang} had {count} members running"));
                self.partial.remove(&gang);
            }
        }
    }

    fn sample_versions(&mut self, status: &skylarkpulley_admin::Status) {
        for process in status.processes.iter().filter(|process| process.version > 0) {
            self.version_cases += 1;
            let known = self.versions.entry(process.process.clone()).or_default();
            if process.version < *known {
                let text = format!("{} from {known} to {}", process.process, process.version);
                self.reverted.push(text);
            }
            *known = process.version.max(*known);
        }
    }

    fn sample_fragmentation(&mut self, status: &skylarkpulley_admin::Status, jobs: &Jobs) {
        let Some(largest) = jobs.pool.guarantees.iter().max_by_key(|held| held.shape.total())
        else {
            return;
        };
        let domains: Vec<&str> =
            status.workers.iter().map(|worker| worker.domain.as_str()).collect();
        let racks: Vec<&str> = status.workers.iter().map(|worker| worker.rack.as_str()).collect();
        let index = |names: &[&str], name: &str| {
            names.iter().position(|known| *known == name).unwrap_or_default()
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
