use derive_more::Display;

/// A rule that keeps tasks from some workers, in the order in which planning applies them.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Rule {
    /// The label that the step demands.
    #[display("label")]
    Label,
    /// Permits of the placement policy.
    #[display("permits")]
    Permits,
    /// The worker on which the last run failed.
    #[display("failed worker")]
    FailedWorker,
    /// Serving and filling tasks would share a worker.
    #[display("interference")]
    Interference,
    /// The speeds of the workers.
    #[display("pace")]
    Pace,
    /// Tasks that may have crashed a worker start alone.
    #[display("isolation")]
    Isolation,
    /// The emptiest workers are kept for larger tasks.
    #[display("headroom")]
    Headroom,
}

/// Why tasks that could start do not. Each text begins with one of three classes: the tasks are not
/// counted as waiting, free resources are not counted as free, or the tasks wait for something.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum WaitReason {
    /// Some members of a gang wait while others have a placement or are done.
    #[display("not counted as waiting: gang incomplete")]
    GangIncomplete,
    /// All tasks have placements, some of which neither start nor end.
    #[display("not counted as waiting: placed and not running")]
    Placed,
    /// Planning does not consider the job.
    #[display("not counted as waiting: not in the queue")]
    Unqueued,
    /// Each step that is not done waits for another one.
    #[display("not counted as waiting: no step may start")]
    Unready,
    /// They would fit if the closed workers were open, at the latest once the runs there have ended.
    #[display("not counted as free: closed workers")]
    Closed,
    /// They would fit without a rule.
    #[display("not counted as free: excluded by {_0}")]
    Excluded(Rule),
    /// They would fit without the reservations for others.
    #[display("not counted as free: reserved for others")]
    Reserved,
    /// They would fit without runs that have not started for long, and without resources that are
    /// occupied by no known run.
    #[display("not counted as free: occupied by runs that do not start")]
    Unstarted,
    /// They fit, and are not placed.
    #[display("not counted as free: it fits and is not placed")]
    Unplaced,
    /// Too few workers have permits of the placement policy.
    #[display("waits for permits")]
    Permits,
    /// They fit on other racks than the one near their data.
    #[display("waits near data")]
    NearData,
    /// They fit, but not on one rack.
    #[display("waits for one rack")]
    Rack,
    /// Enough runs are ordered to stop.
    #[display("waits for stops")]
    Stops,
    /// They fit only once runs have ended.
    #[display("waits for runs to end")]
    RunEnds,
    /// They do not fit on the known workers.
    #[display("waits for workers: it fits on none that are known")]
    Workers,
}
