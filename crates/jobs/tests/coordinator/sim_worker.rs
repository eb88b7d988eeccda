use std::collections::BTreeMap;

use skylarkpulley_jobs::{
    EndKind, Listing, RefusalKind, Resources, RunEnd, RunReport, StartAnswer, StartOrder, TaskId,
};

/// Number of ends that a worker lists at a time.
const MAX_LISTED_ENDS: usize = 6;

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

/// One incarnation of a simulated worker. Times are milliseconds on its clock.
#[derive(Clone, Debug, Default)]
pub struct SimWorker {
    /// Highest run of each task that has ended or was stopped here; no run up to it starts.
    fenced: BTreeMap<TaskId, u32>,
    ended: BTreeMap<u64, RunEnd>,
    ends: u64,
    epoch: u64,
    pub fault: Option<RunFault>,
    pub incarnation: u64,
    lease_ms: u64,
    pub resources: Resources,
    pub runs: BTreeMap<(TaskId, u32), SimRun>,
}

impl SimWorker {
    pub fn new(incarnation: u64, resources: Resources) -> Self {
        Self { incarnation, resources, ..Self::default() }
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
            return StartAnswer::Refused(RefusalKind::Old);
        }
        if deadline.unwrap_or(0).max(self.lease_ms) <= now_ms {
            return StartAnswer::Late;
        }
        if !fits {
            self.fenced.insert(order.task.clone(), order.run);
            return StartAnswer::Refused(RefusalKind::Room);
        }
        self.lease_ms = self.lease_ms.max(deadline.unwrap_or(0));
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
        if now_ms < self.lease_ms {
            return;
        }
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
        self.lease_ms = self.lease_ms.max(deadline.unwrap_or(0));
        self.ended = self.ended.split_off(&(acked + 1));
        let running = self.runs.iter().map(|((task, run), state)| RunReport {
            checkpoint: checkpoint(state),
            percent: state.percent,
            run: *run,
            task: task.clone(),
        });
        let ended = self.ended.iter().take(MAX_LISTED_ENDS);
        Some(Listing {
            clock_ms: now_ms,
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
