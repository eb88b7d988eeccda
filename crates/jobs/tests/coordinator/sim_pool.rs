use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use fastrand::Rng;
use skylarkpulley_jobs::{
    AdviceAnswer, AdviceCall, Coordinator, EndKind, Job, JobState, Limits, Resources, RowChange,
    RowKind, TaskId, Timestamp,
};

use crate::rig::tables;
use crate::sim_site::{SentOrders, Site, StepTime};
use crate::sim_worker::{RunFault, SimWorker};

/// Length of one step in milliseconds.
pub const STEP_MS: u64 = 200;

/// Lease that the leader grants.
const LEASE: Duration = Duration::from_secs(8);

/// Time within which all members of a gang must be present, in milliseconds.
const GANG_TIMEOUT_MS: u64 = 10_000;

/// Long validity of a permit, in seconds.
pub const LONG_PERMIT_S: u64 = 600;

/// Longest time for which a leader keeps the runs of a worker that has left while it reaches the agent,
/// in milliseconds. The leases of silent workers last longer.
const MAX_HELD_MS: u64 = 5_000;

/// Number of violations that are kept.
const MAX_VIOLATIONS: usize = 4;

/// Start of the ids of jobs whose task 0 crashes each worker that starts it.
pub const CRASHING: &str = "crashing";

/// A run, with the index of its site.
type SiteRun = (usize, TaskId, u32);

/// The leading entry.
struct Leader {
    core: Coordinator,
    epoch: u64,
    /// Latest session of each worker that has reported.
    sessions: BTreeMap<String, (usize, u64)>,
    /// Difference of its wall clock in milliseconds.
    skew_ms: u64,
    /// When earlier leaders are known not to extend leases any more.
    successor_at: u64,
    write: Option<(u64, Vec<RowChange>)>,
}

/// Workers with their agents, a leader and its store.
pub struct SimPool {
    /// Tasks whose end as done was acknowledged to a worker before its leases lapsed.
    acked_done: BTreeSet<TaskId>,
    pub jobs: BTreeMap<String, Job>,
    leader: Option<Leader>,
    /// Until when the leader stands still.
    pub leader_frozen_until: u64,
    pub now: StepTime,
    /// When the next leader takes over, if there is none.
    pub next_leader: u64,
    policy: Option<(u64, AdviceCall)>,
    /// When the placement policy answers again.
    pub policy_at: u64,
    /// Whether the store rejects the next write.
    pub rejects_write: bool,
    pub rng: Rng,
    rows: BTreeMap<(RowKind, String), Vec<u8>>,
    pub sites: Vec<Site>,
    /// Longest difference of a leader's wall clock in milliseconds.
    pub max_skew_ms: u64,
    /// When the store answers quickly again.
    pub store_at: u64,
    pub trace: Option<Vec<String>>,
    pub violations: BTreeSet<String>,
}

impl SimPool {
    pub fn new(workers: u32, rack_size: u32, rng: Rng) -> Self {
        let now = StepTime { monotonic: Instant::now(), ms: 100_000 };
        let mut pool = Self {
            acked_done: BTreeSet::new(),
            jobs: BTreeMap::new(),
            leader: None,
            leader_frozen_until: 0,
            now,
            next_leader: 0,
            policy: None,
            policy_at: 0,
            rejects_write: false,
            rng,
            rows: BTreeMap::new(),
            sites: (0..workers).map(|number| Site::new(number, rack_size, now)).collect(),
            max_skew_ms: 0,
            store_at: 0,
            trace: None,
            violations: BTreeSet::new(),
        };
        pool.take_over();
        pool
    }

    pub fn log(&mut self, line: impl FnOnce() -> String) {
        if let Some(trace) = &mut self.trace {
            let line = line();
            trace.push(format!("{:>7} {line}", self.now.ms - 100_000));
        }
    }

    fn timestamp(&self, skew_ms: u64) -> Timestamp {
        // The skew is added to a base that lies ahead by the longest one.
        Timestamp { monotonic: self.now.monotonic, wall_ms: 10_000_000 + self.now.ms + skew_ms }
    }

    /// Returns the leader's time of day, for the schedules of jobs.
    pub fn wall_ms(&self) -> u64 {
        let skew_ms = self.leader.as_ref().map_or(0, |leader| leader.skew_ms);
        self.timestamp(skew_ms).wall_ms
    }

    pub fn state(&self, id: &str) -> Option<JobState> {
        Some(self.leader.as_ref()?.core.view(id)?.state)
    }

    pub fn has_leader(&self) -> bool {
        self.leader.is_some()
    }

    /// Submits a job; one that reaches no leader is forgotten.
    pub fn submit(&mut self, mut job: Job) {
        let wall_ms = self.wall_ms();
        let Some(leader) = &mut self.leader else { return };
        let now = Timestamp { monotonic: self.now.monotonic, wall_ms };
        job.accepted_ms = wall_ms;
        self.jobs.insert(job.id.clone(), job.clone());
        leader.core.submit(now, job);
    }

    pub fn cancel(&mut self, id: &str) {
        let wall_ms = self.wall_ms();
        let Some(leader) = &mut self.leader else { return };
        leader.core.cancel(Timestamp { monotonic: self.now.monotonic, wall_ms }, id);
    }

    /// Logs the leader's view of its queues and workers.
    pub fn log_summary(&mut self) {
        let now = self.timestamp(0);
        let Some(leader) = &self.leader else { return };
        let summary = leader.core.summary(now);
        self.log(|| format!("{summary:#?}"));
    }

    /// Withdraws a submission that was not written.
    pub fn withdraw(&mut self, id: &str) {
        if let Some(leader) = &mut self.leader {
            leader.core.withdraw(id);
        }
    }

    /// Ends the leader. Its open write is stored or not.
    pub fn kill_leader(&mut self, next_leader: u64) {
        let Some(leader) = self.leader.take() else { return };
        self.next_leader = next_leader;
        self.policy = None;
        let stored = self.rng.bool();
        if let Some((_, rows)) = leader.write
            && stored
        {
            self.store(rows);
        }
        self.log(|| format!("leader {} ends, write stored {stored}", leader.epoch));
    }

    fn store(&mut self, rows: Vec<RowChange>) {
        for row in rows {
            match row.value {
                Some(value) => self.rows.insert((row.kind, row.key), value),
                None => self.rows.remove(&(row.kind, row.key)),
            };
        }
    }

    fn take_over(&mut self) {
        let skew_ms = self.rng.u64(0..=self.max_skew_ms);
        let now = self.timestamp(skew_ms);
        let mut core = Coordinator::new(Limits::default(), tables(), now);
        let rows_of = |kind| {
            let rows = self.rows.iter().filter(move |((row_kind, _), _)| *row_kind == kind);
            rows.map(|((_, key), value)| (key.clone(), value.clone()))
        };
        let progress: BTreeMap<String, Vec<u8>> = rows_of(RowKind::Progress).collect();
        for (key, value) in rows_of(RowKind::Job) {
            core.restore(&key, &value, &progress, now).expect("readable rows");
        }
        let wait_ms = if self.rng.bool() { 0 } else { self.rng.u64(0..13_000) };
        // The epoch grows with time.
        let (epoch, successor_at) = (self.now.ms, self.now.ms + wait_ms);
        let sessions = BTreeMap::new();
        self.log(|| format!("leader {epoch} takes over, skew {skew_ms}, waits {wait_ms}"));
        self.leader = Some(Leader { core, epoch, sessions, skew_ms, successor_at, write: None });
    }

    /// Plays one step.
    pub fn step(&mut self) {
        self.now.ms += STEP_MS;
        self.now.monotonic += Duration::from_millis(STEP_MS);
        if self.leader.is_none() && self.now.ms >= self.next_leader {
            self.take_over();
        }
        self.work();
        for index in 0..self.sites.len() {
            self.step_site(index);
        }
        if self.now.ms < self.leader_frozen_until {
            return;
        }
        let Some(mut leader) = self.leader.take() else { return };
        self.step_leader(&mut leader);
        self.leader = Some(leader);
    }

    fn step_site(&mut self, index: usize) {
        let now = self.now;
        let site = &mut self.sites[index];
        if site.leaves_at.is_some_and(|at| now.ms >= at) {
            // An id that has left never comes back.
            let restart = Some((now.ms + 3000, true));
            site.crash(restart);
            site.depart(now);
        }
        site.restart(now);
        if let Some((_, until_ms)) = site.cut.take_if(|(from_ms, _)| now.ms >= *from_ms) {
            site.reached_at = until_ms;
        }
        let jobs = &self.jobs;
        let fits = |worker: &SimWorker, task: &TaskId| {
            let mut free = worker.resources;
            for (other, _) in worker.runs.keys() {
                free.subtract(&resources(jobs, other));
            }
            free.fits(&resources(jobs, task))
        };
        site.renew_late(now.ms);
        let mut started = site.start_late(now.ms, fits);
        started.extend(site.step_agent(now, &mut self.rng, fits));
        let acked = site.worker.as_mut().map(SimWorker::take_acked);
        self.acked_done.extend(acked.unwrap_or_default());
        for (task, run) in started {
            self.handle_start(index, &task, run);
        }
    }

    fn handle_start(&mut self, index: usize, task: &TaskId, run: u32) {
        let id = self.sites[index].id.clone();
        self.log(|| format!("{id} starts {task}/{run}"));
        let elsewhere = self.sites.iter().enumerate().any(|(other, site)| {
            let runs = site.worker.iter().flat_map(|worker| worker.runs.keys());
            runs.filter(|(name, number)| name == task && (other != index || *number != run)).count()
                > 0
        });
        if elsewhere {
            self.violations
                .insert(format!("{task} runs twice at the same time, run {run} on {id}"));
        }
        let step = self.jobs.get(&task.job).map(|job| &job.steps[task.key.step as usize]);
        if self.acked_done.contains(task) && step.is_some_and(|step| !step.lasting) {
            self.violations.insert(format!(
                "{task} starts after an acknowledged end as done, run {run} on {id}"
            ));
        }
        if task.job.starts_with(CRASHING) && task.key.index == 0 {
            let restart = (self.now.ms + 3200, self.rng.u8(..) < 64);
            self.crash(index, Some(restart));
        }
    }

    pub fn crash(&mut self, index: usize, restart: Option<(u64, bool)>) {
        let site = &mut self.sites[index];
        site.crash(restart);
        let id = site.id.clone();
        self.log(|| format!("{id} crashes, back {restart:?}"));
    }

    /// Crashes a worker so that calls to it hang, and cuts it off from its agent soon after it is back
    /// under its id.
    pub fn crash_dark(&mut self, index: usize, restart_ms: u64, cut_ms: u64) {
        let now_ms = self.now.ms;
        let site = &mut self.sites[index];
        site.crash_dark(now_ms, restart_ms, &mut self.rng);
        site.cut = Some((restart_ms + 2000, restart_ms + 2000 + cut_ms));
        let id = site.id.clone();
        self.log(|| {
            format!("{id} crashes, calls hang, back at {restart_ms}, cut off for {cut_ms}")
        });
    }

    /// Lets the runs work and end. The members of a gang work while all of them are present.
    fn work(&mut self) {
        let now_ms = self.now.ms;
        let mut members: BTreeMap<(String, u32, u32, u32), Vec<SiteRun>> = BTreeMap::new();
        for (index, site) in self.sites.iter_mut().enumerate() {
            let Some(worker) = &mut site.worker else { continue };
            worker.expire(now_ms);
            for (task, run) in worker.runs.keys() {
                let gang = is_gang(&self.jobs, task);
                let group = if gang { u32::MAX } else { task.key.index };
                let key = (task.job.clone(), task.key.occurrence, task.key.step, group);
                members.entry(key).or_default().push((index, task.clone(), *run));
            }
        }
        for runs in members.into_values() {
            self.work_together(&runs);
        }
    }

    fn work_together(&mut self, runs: &[SiteRun]) {
        let Some((_, first, _)) = runs.first() else { return };
        let Some(step) = self.jobs.get(&first.job).map(|job| &job.steps[first.key.step as usize])
        else {
            return;
        };
        let needed = if step.gang { step.count as usize } else { 1 };
        let present = runs.len() >= needed;
        // The image holds the run time, which differs from the estimate.
        let run_ms: u64 = step.image.parse().unwrap_or(2000);
        let lasting = step.lasting;
        let mut done = present && !lasting;
        for (index, task, run) in runs {
            let worker = self.sites[*index].worker.as_mut().expect("its runs");
            let fault = worker.fault;
            let key = (task.clone(), *run);
            let Some(state) = worker.runs.get_mut(&key) else { continue };
            let age_ms = self.now.ms - state.started_ms;
            if present && fault != Some(RunFault::Hangs) {
                state.worked_ms += STEP_MS;
            }
            let target_ms = if lasting { 1000 } else { run_ms };
            state.percent = u8::try_from(state.worked_ms * 100 / target_ms).unwrap_or(100).min(100);
            done &= state.worked_ms >= run_ms;
            let (was_complete, alone) = (state.complete, age_ms > GANG_TIMEOUT_MS);
            state.complete |= present;
            if fault == Some(RunFault::Fails) && age_ms >= 400 {
                worker.end(&key, EndKind::Failed);
                done = false;
            } else if !present && was_complete {
                worker.end(&key, EndKind::Broken);
            } else if !present && alone {
                worker.end(&key, EndKind::Alone);
            }
        }
        if !done {
            return;
        }
        for (index, task, run) in runs {
            if let Some(worker) = &mut self.sites[*index].worker {
                worker.end(&(task.clone(), *run), EndKind::Done);
            }
        }
    }

    fn step_leader(&mut self, leader: &mut Leader) {
        let now = self.timestamp(leader.skew_ms);
        if self.now.ms >= leader.successor_at {
            leader.core.end_predecessor(now);
        }
        for index in 0..self.sites.len() {
            self.deliver_reports(leader, index, now);
        }
        self.deliver_departures(leader, now);
        if let Some((due_ms, _)) = &leader.write
            && self.now.ms >= *due_ms
            && let Some((_, rows)) = leader.write.take()
        {
            self.store(rows);
            leader.core.end_commit();
        }
        leader.core.tick(now);
        self.answer_policy(leader, now);
        if leader.core.is_plan_due() {
            leader.core.place(now);
        }
        self.write(leader, now);
        for violation in leader.core.audit(now) {
            let line = violation.to_string();
            if self.violations.len() < MAX_VIOLATIONS {
                self.log(|| format!("VIOLATION {line}"));
                self.violations.insert(line);
            }
        }
        for decision in leader.core.take_decisions() {
            self.log(|| format!("{:?} {}: {}", decision.kind, decision.id, decision.detail));
        }
        let changed = leader.core.take_changed_workers();
        for (id, (index, session)) in &leader.sessions {
            if changed.contains(id) && self.sites[*index].session == *session {
                self.send_orders(leader, *index, id, None);
            }
        }
    }

    fn write(&mut self, leader: &mut Leader, now: Timestamp) {
        if leader.write.is_some() {
            return;
        }
        let Some(rows) = leader.core.begin_commit() else { return };
        if std::mem::take(&mut self.rejects_write) {
            leader.core.reject_commit(now);
        } else if self.now.ms < self.store_at {
            leader.write = Some((self.now.ms + 1400, rows));
        } else {
            self.store(rows);
            leader.core.end_commit();
        }
    }

    fn deliver_reports(&mut self, leader: &mut Leader, index: usize, now: Timestamp) {
        loop {
            let site = &mut self.sites[index];
            let Some(position) = site.reports.iter().position(|sent| sent.due_ms <= self.now.ms)
            else {
                return;
            };
            let Some(sent) = site.reports.remove(position) else { return };
            let Some(status) = &sent.report.worker else {
                // The answer tells the agent the epoch, which its worker may know already. The
                // session names no worker yet, so that there are no orders.
                self.send_orders(leader, index, "", Some(sent.sent));
                continue;
            };
            let latest = leader.sessions.get(&status.id);
            if latest.is_some_and(|(_, session)| *session > sent.session) {
                continue;
            }
            leader.sessions.insert(status.id.clone(), (index, sent.session));
            leader.core.report(now, &sent.report);
            if sent.session == site.session {
                self.send_orders(leader, index, &status.id, Some(sent.sent));
            }
        }
    }

    /// Delivers what the agents of workers that have left report, and the leader's answers.
    fn deliver_departures(&mut self, leader: &mut Leader, now: Timestamp) {
        for index in 0..self.sites.len() {
            let site = &mut self.sites[index];
            if self.now.ms < site.linked_at || self.now.ms < site.frozen_until {
                continue;
            }
            let mut held = Vec::new();
            for departed in &mut site.departed {
                departed.held_ms += STEP_MS;
                let orders = leader.core.orders(&departed.id);
                let left = departed.agent.status().map_or(0, |status| status.incarnation);
                let runs = [orders.keep.len(), orders.start.len(), orders.stop.len()];
                // It may have started again under its id.
                if runs == [0; 3] || orders.incarnation > left {
                    departed.held_ms = 0;
                }
                if departed.held_ms > MAX_HELD_MS {
                    held.push(departed.id.clone());
                }
                if departed.stored || self.rng.u8(..) < site.call_faults {
                    continue;
                }
                let report = departed.agent.report(now.monotonic);
                leader.core.report(now, &report);
                let orders = leader.core.orders(&departed.id);
                let (sent, none) = (Some(now.monotonic), Duration::ZERO);
                departed.agent.handle_orders(leader.epoch, orders, sent, none);
                departed.stored = departed.agent.is_done(now.monotonic);
            }
            for id in held {
                let orders = leader.core.orders(&id);
                self.log(|| format!("{id} has left and is kept: {orders:?}"));
                self.violations.insert(format!("the runs of {id} are kept although it has left"));
            }
        }
    }

    fn send_orders(&mut self, leader: &Leader, index: usize, id: &str, sent: Option<Instant>) {
        let site = &mut self.sites[index];
        if self.now.ms < site.linked_at {
            return;
        }
        let mut due_ms = self.now.ms + STEP_MS;
        if self.rng.u8(..) < site.call_faults / 4 {
            due_ms += self.rng.u64(1..10) * STEP_MS;
        }
        if let Some(last) = site.updates.back() {
            due_ms = due_ms.max(last.due_ms);
        }
        let orders = leader.core.orders(id);
        let lease = if sent.is_some() { LEASE } else { Duration::ZERO };
        site.updates.push_back(SentOrders { due_ms, epoch: leader.epoch, lease, orders, sent });
    }

    /// Lets the placement policy answer. It rejects two workers, and is silent for a time.
    fn answer_policy(&mut self, leader: &mut Leader, now: Timestamp) {
        if let Some((due_ms, call)) = self.policy.take_if(|(due_ms, _)| self.now.ms >= *due_ms) {
            let silent = due_ms < self.policy_at;
            let permitted = call.workers.iter().filter(|id| !matches!(&id[..3], "w00" | "w05"));
            let permits = permitted.map(|id| (id.clone(), "permit".to_owned())).collect();
            let valid_s = if self.rng.bool() { self.rng.u64(4..20) } else { LONG_PERMIT_S };
            let valid = Duration::from_secs(valid_s);
            let answer = AdviceAnswer { permits, valid };
            leader.core.handle_advice(now, &call, Some(&answer).filter(|_| !silent));
        }
        if self.policy.is_none()
            && let Some(call) = leader.core.next_advice_call(now)
        {
            self.policy = Some((self.now.ms + self.rng.u64(1..6) * STEP_MS, call));
        }
    }
}

fn resources(jobs: &BTreeMap<String, Job>, task: &TaskId) -> Resources {
    let job = jobs.get(&task.job);
    job.map_or_else(Resources::default, |job| job.steps[task.key.step as usize].resources)
}

fn is_gang(jobs: &BTreeMap<String, Job>, task: &TaskId) -> bool {
    jobs.get(&task.job).is_some_and(|job| job.steps[task.key.step as usize].gang)
}
