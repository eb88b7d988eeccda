use std::fmt::{self, Display, Formatter};

/// Declares each event's code, name and description in one place, so that they stay consistent.
macro_rules! events {
    ($($variant:ident = $code:literal, $name:literal, $description:literal;)*) => {
        /// A numbered log event. `docs/events.md` lists all events, and a test compares that page
        /// with this enum.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[repr(u16)]
        pub enum Event {
            $(#[doc = $description] $variant = $code,)*
        }

        impl Event {
            /// All events in order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$variant),*];

            /// Returns the name that appears in logs.
            pub fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)* }
            }

            /// Returns the description that the catalogue shows.
            pub fn description(self) -> &'static str {
                match self { $(Self::$variant => $description,)* }
            }
        }
    };
}

events! {
    ProcessStarted = 100, "process-started", "A process has started, and the addresses of its listeners are known.";
    ShutdownStarted = 101, "shutdown-started", "A process is shutting down: it accepts no new work and finishes its current work.";
    ShutdownDone = 102, "shutdown-done", "A process has finished all its work and exits.";
    LogLinesDropped = 103, "log-lines-dropped", "Log lines were dropped because the output was not read fast enough.";
    RequestRouted = 200, "request-routed", "A request was sent to an upstream's agent.";
    RequestAnswered = 201, "request-answered", "A caller received the whole answer of an upstream.";
    RequestRefused = 202, "request-refused", "A request was refused and was not run.";
    RequestUnknown = 203, "request-unknown", "A request ended without proof of whether it ran.";
    RequestRetried = 204, "request-retried", "A request is dispatched again because its attempt was not run or the request is idempotent.";
    RequestCancelled = 205, "request-cancelled", "A caller closed its connection before its request was dispatched.";
    RequestDenied = 206, "request-denied", "A request about a job of another team or route was answered as if the job did not exist.";
    RequestUnlisted = 207, "request-unlisted", "A request was refused because the tables have no route or no key for it, or are outdated; with their version and the time since the store confirmed them, at most one line a second.";
    KeyReserved = 210, "key-reserved", "An idempotency key was reserved for one attempt.";
    KeyRepeated = 211, "key-repeated", "A request with an idempotency key that was used before was answered without running it again.";
    RangeAssigned = 212, "range-assigned", "A key range has a new owner or witness.";
    RangeSealed = 213, "range-sealed", "A key range lost its owner and its witness; a key without a record gets the outcome unknown.";
    JobSubmitted = 300, "job-submitted", "A job was accepted.";
    JobRefused = 301, "job-refused", "A job was refused and never runs; the detail says why, and after which time to return or what would make it fit.";
    JobPlaced = 302, "job-placed", "Workers were chosen for a job, and capacity is reserved for all its members.";
    JobStarted = 303, "job-started", "All members of a job are running.";
    JobEnded = 304, "job-ended", "A job finished, failed or was cancelled.";
    JobRequeued = 305, "job-requeued", "A job lost its workers and is queued again.";
    JobPreempted = 306, "job-preempted", "A job on borrowed capacity was checkpointed or stopped because the owner claimed the capacity.";
    JobWaiting = 307, "job-waiting", "A job cannot be placed at present and stays queued.";
    RunEnded = 308, "run-ended", "A run of a task ended, was refused or was lost.";
    WorkerLost = 309, "worker-lost", "The runs of a worker have certainly ended, and their tasks are queued again.";
    GuaranteeAtRisk = 310, "guarantee-at-risk", "A guaranteed shape no longer fits on the live workers.";
    GuaranteeRestored = 311, "guarantee-restored", "A guaranteed shape fits again.";
    WorkerQuarantined = 312, "worker-quarantined", "A worker failed tasks of several jobs and receives only probes.";
    WorkerReturned = 313, "worker-returned", "A quarantined worker passed its probes.";
    LeaseLapsed = 314, "lease-lapsed", "A task was stopped because its lease was not renewed.";
    CommandFenced = 315, "command-fenced", "A command with an older epoch was refused.";
    RunPaced = 316, "run-paced", "A worker was ordered to change the speed of a filling task because of the serving tasks on it.";
    CrashRecorded = 317, "crash-recorded", "A worker crashed under a task that may have caused it; the next run of the task is isolated.";
    JobGivenUp = 318, "job-given-up", "A job ended as failed because workers crash under one of its tasks.";
    JobUnstored = 319, "job-unstored", "The store rejects the rows of a job; other jobs are stored without it.";
    TasksWaiting = 320, "tasks-waiting", "Tasks that could start have waited for seconds; the detail begins with the reason.";
    DomainEvacuated = 321, "domain-evacuated", "A failure domain is evacuated: its workers get no new work, and starts there are withdrawn.";
    DomainReturned = 322, "domain-returned", "A failure domain is no longer evacuated, and its workers get work again.";
    AgentJoined = 400, "agent-joined", "An agent opened a session.";
    AgentSilent = 401, "agent-silent", "An agent sent nothing within the time-out and gets no new work.";
    AgentLeaving = 402, "agent-leaving", "An agent or its upstream is leaving.";
    UpstreamEjected = 403, "upstream-ejected", "An upstream was ejected from its pool as an outlier.";
    UpstreamReturned = 404, "upstream-returned", "An ejected upstream passed its probe.";
    SessionReplaced = 405, "session-replaced", "A silent or broken session was replaced by a new connection.";
    IncarnationHeld = 406, "incarnation-held", "A worker that started again gets no work yet, because it may still carry out a call for its earlier incarnation.";
    EndsMissing = 407, "ends-missing", "A worker forgot ends of runs that its agent has not read, so that their tasks may run again.";
    LeadershipTaken = 410, "leadership-taken", "This entry has become the leader and has loaded all jobs.";
    LeadershipEnded = 411, "leadership-ended", "This entry is no longer the leader.";
    LeaderSuspected = 412, "leader-suspected", "The leader does not answer or cannot reach the store.";
    LeadershipDoubted = 413, "leadership-doubted", "The store no longer confirms this leader, whose agents look for a successor, or does so again.";
    LeaderKept = 414, "leader-kept", "This entry cannot reach the leader and does not replace it, because the leader writes to the store.";
    ConfigAccepted = 500, "config-accepted", "An edit of the tables was accepted as a new version.";
    ConfigRejected = 501, "config-rejected", "An edit of the tables was rejected; nothing changed.";
    ConfigApplied = 502, "config-applied", "This process now uses a new version of the tables.";
    ConfigResent = 503, "config-resent", "A delta could not be applied, or its digest differed; the whole document is sent again.";
    ConfigStale = 504, "config-stale", "A version of the tables was ignored because it is lower than the current one or not readable.";
    TablesReceived = 505, "tables-received", "The tables were received from the store or from another entry, with their size and the time that they took.";
    TablesDelayed = 506, "tables-delayed", "Newer tables could not be received, and the current version stays in effect; at most one line a second for each origin.";
    StoreUnavailable = 510, "store-unavailable", "The store does not answer.";
    StoreRestored = 511, "store-restored", "The store answers again.";
    StoreReadBack = 512, "store-read-back", "The answer to a write was lost, and its result was determined by a read.";
}

impl Event {
    /// Returns the event's number.
    pub fn code(self) -> u16 {
        self as u16
    }
}

impl Display for Event {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
