use std::collections::BTreeMap;

use skylarkpulley_jobs::{
    EndKind, Listing, RefusalKind, Resources, RunEnd, RunReport, StartAnswer, StartOrder, TaskId,
};

/// Number of ends that a worker lists at a time.
const MAX_LISTED_ENDS: usize = 6;

/// Longest lease that a worker accepts, in milliseconds.
pub const LONGEST_LEASE_MS: u64 = 10_000;

/// What is wrong with the runs of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunFault {
    Fails,
    Hangs,
}

/// A run on a simulated worker.
#[derive(Clone, Debug, Default)]
pub struct SimRun {
    /// Whether all members of its gang have been present.
    pub complete: bool,
    pub percent: u8,
    pub started_ms: u64,
    pub worked_ms: u64,
}

/// One incarnation of a simulated worker. Its clock starts with it.
#[derive(Clone, Debug, Default)]
pub struct SimWorker {
    /// Start of the worker, in milliseconds of the simulation.
    born_ms: u64,
    /// Tasks whose end as done was acknowledged before the leases lapsed.
    acked_done: Vec<TaskId>,
    /// Highest run of each task that has ended or was stopped here; no run up to it starts.
    fenced: BTreeMap<TaskId, u32>,
    ended: BTreeMap<u64, RunEnd>,
    ends: u64,
    epoch: u64,
    pub fault: Option<RunFault>,
    pub incarnation: u64,
    /// Number of the last end before the leases lapsed.
    lapsed_ends: u64,
    /// End of the leases on the worker's clock.
    lease_ms: u64,
    pub resources: Resources,
    pub runs: BTreeMap<(TaskId, u32), SimRun>,
}

impl SimWorker {
    pub fn new(incarnation: u64, resources: Resources, born_ms: u64) -> Self {
        Self { born_ms, incarnation, resources, ..Self::default() }
    }

    fn clock_ms(&self, now_ms: u64) -> u64 {
        now_ms - self.born_ms
    }

    /// Returns the time of the simulation at which the worker's clock shows `clock_ms`.
    pub fn simulated_ms(&self, clock_ms: u64) -> u64 {
        self.born_ms + clock_ms
    }

    /// Extends the leases to a time on the worker's clock.
    fn extend(&mut self, now_ms: u64, deadline: Option<u64>) {
        let longest = self.clock_ms(now_ms) + LONGEST_LEASE_MS;
        self.lease_ms = self.lease_ms.max(deadline.unwrap_or(0).min(longest));
    }

    /// Returns the tasks whose end as done was acknowledged since the last call.
    pub fn take_acked(&mut self) -> Vec<TaskId> {
        std::mem::take(&mut self.acked_done)
    }

    /// Carries out a start. `fits` tells whether the free resources suffice.
    pub fn start(
        &mut self,
        now_ms: u64,
        epoch: u64,
        order: &StartOrder,
        deadline: Option<u64>,
        fits: bool,
    ) -> StartAnswer {
        if epoch < self.epoch {
            return StartAnswer::Outdated;
        }
        self.epoch = epoch;
        let key = (order.task.clone(), order.run);
        if self.runs.contains_key(&key) {
            return StartAnswer::Started;
        }
        if self.has_fenced(&order.task, order.run) {
            self.extend(now_ms, deadline);
            return StartAnswer::Refused(RefusalKind::Old);
        }
        if deadline.unwrap_or(0).max(self.lease_ms) <= self.clock_ms(now_ms) {
            return StartAnswer::Late;
        }
        self.extend(now_ms, deadline);
        if !fits {
            self.fenced.insert(order.task.clone(), order.run);
            return StartAnswer::Refused(RefusalKind::Room);
        }
        let worked_ms = order.checkpoint.parse().unwrap_or(0);
        let run = SimRun { started_ms: now_ms, worked_ms, ..SimRun::default() };
        self.runs.insert(key, run);
        StartAnswer::Started
    }

    /// Stops a run, or prevents it from starting. Returns `false` for an outdated epoch.
    pub fn stop(&mut self, epoch: u64, task: &TaskId, run: u32) -> bool {
        if epoch < self.epoch {
            return false;
        }
        self.epoch = epoch;
        let fence = self.fenced.entry(task.clone()).or_default();
        *fence = run.max(*fence);
        self.end(&(task.clone(), run), EndKind::Stopped);
        true
    }

    /// Reports whether a run has ended or was stopped here.
    pub fn has_fenced(&self, task: &TaskId, run: u32) -> bool {
        self.fenced.get(task).is_some_and(|fence| *fence >= run)
    }

    pub fn end(&mut self, key: &(TaskId, u32), kind: EndKind) {
        let Some(ended) = self.runs.remove(key) else { return };
        let (task, run) = key.clone();
        let fence = self.fenced.entry(task.clone()).or_default();
        *fence = run.max(*fence);
        self.ends += 1;
        let checkpoint = checkpoint(&ended);
        self.ended.insert(self.ends, RunEnd { checkpoint, kind, run, task });
    }

    /// Ends the runs whose leases have lapsed.
    pub fn expire(&mut self, now_ms: u64) {
        if self.clock_ms(now_ms) < self.lease_ms {
            return;
        }
        self.lapsed_ends = self.ends;
        let runs: Vec<_> = self.runs.keys().cloned().collect();
        for run in runs {
            self.end(&run, EndKind::Lapsed);
        }
    }

    /// Extends the leases and lists the runs.
    pub fn renew(
        &mut self,
        now_ms: u64,
        epoch: u64,
        acked: u64,
        deadline: Option<u64>,
    ) -> Option<Listing> {
        if epoch < self.epoch {
            return None;
        }
        self.epoch = epoch;
        self.extend(now_ms, deadline);
        let unacked = self.ended.split_off(&(acked + 1));
        let acked = std::mem::replace(&mut self.ended, unacked).into_iter();
        let done = acked
            .filter(|(number, end)| *number > self.lapsed_ends && end.kind == EndKind::Done)
            .map(|(_, end)| end.task);
        self.acked_done.extend(done);
        let running = self.runs.iter().map(|((task, run), state)| RunReport {
            checkpoint: checkpoint(state),
            percent: state.percent,
            run: *run,
            task: task.clone(),
        });
        let ended = self.ended.iter().take(MAX_LISTED_ENDS);
        Some(Listing {
            clock_ms: self.clock_ms(now_ms),
            ended: ended.map(|(number, end)| (*number, end.clone())).collect(),
            ends_truncated: self.ended.len() >= MAX_LISTED_ENDS,
            incarnation: self.incarnation,
            running: running.collect(),
            ..Listing::default()
        })
    }
}

fn checkpoint(run: &SimRun) -> String {
    if run.worked_ms > 1000 { run.worked_ms.to_string() } else { String::new() }
}
