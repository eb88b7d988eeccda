use std::fmt::{self, Display, Formatter};

/// Declares the events once, so that code, name and description cannot differ.
macro_rules! events {
    ($($variant:ident = $code:literal, $name:literal, $description:literal;)*) => {
        /// A numbered log event. `docs/events.md` lists them; a test compares the two.
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

            /// Returns the description from the catalogue.
            pub fn description(self) -> &'static str {
                match self { $(Self::$variant => $description,)* }
            }
        }
    };
}

events! {
    ProcessStarted = 100, "process-started", "A process has started and knows its addresses.";
    ShutdownStarted = 101, "shutdown-started", "A process accepts no new work and finishes what it has.";
    ShutdownDone = 102, "shutdown-done", "A process has finished all its work and exits.";
    LogLinesDropped = 103, "log-lines-dropped", "Log lines were dropped because they were not read in time.";
    RequestRouted = 200, "request-routed", "A request was sent to an upstream's agent.";
    RequestAnswered = 201, "request-answered", "A caller received the whole answer of an upstream.";
    RequestRefused = 202, "request-refused", "A request was refused and was not run.";
    RequestUnknown = 203, "request-unknown", "A request ended without proof of whether it ran.";
    RequestRetried = 204, "request-retried", "An attempt that was not run, or is idempotent, is tried again.";
    RequestCancelled = 205, "request-cancelled", "A caller closed its connection before its request was dispatched.";
    KeyReserved = 210, "key-reserved", "An idempotency key was reserved for one attempt.";
    KeyRepeated = 211, "key-repeated", "A repeated idempotency key was answered without a second run.";
    RangeAssigned = 212, "range-assigned", "A key range has a new owner or witness.";
    RangeSealed = 213, "range-sealed", "A key range lost owner and witness; unknown keys are answered as unknown.";
    JobSubmitted = 300, "job-submitted", "A job was accepted.";
    JobRefused = 301, "job-refused", "A job was refused, with what would make it fit.";
    JobPlaced = 302, "job-placed", "Workers were chosen for a job and all members hold.";
    JobStarted = 303, "job-started", "All members of a job run.";
    JobEnded = 304, "job-ended", "A job finished, failed or was cancelled.";
    JobRequeued = 305, "job-requeued", "A job lost its workers and waits again.";
    JobPreempted = 306, "job-preempted", "A borrowing job was checkpointed or stopped for an owner.";
    JobWaiting = 307, "job-waiting", "A job could not be placed now.";
    RunEnded = 308, "run-ended", "A run of a task ended, was refused or was lost.";
    WorkerLost = 309, "worker-lost", "The runs of a worker are gone for certain and wait again.";
    GuaranteeAtRisk = 310, "guarantee-at-risk", "A guaranteed shape no longer fits on the live workers.";
    GuaranteeRestored = 311, "guarantee-restored", "A guaranteed shape fits again.";
    WorkerQuarantined = 312, "worker-quarantined", "A worker failed tasks of several jobs and receives only probes.";
    WorkerReturned = 313, "worker-returned", "A quarantined worker passed its probes.";
    LeaseLapsed = 314, "lease-lapsed", "A task was stopped because its lease was not renewed.";
    CommandFenced = 315, "command-fenced", "A command with an old epoch was refused.";
    RunPaced = 316, "run-paced", "A filling task is to work at another speed because of the serving tasks beside it.";
    AgentJoined = 400, "agent-joined", "An agent opened a session.";
    AgentSilent = 401, "agent-silent", "An agent sent nothing within the time-out and gets no new work.";
    AgentLeaving = 402, "agent-leaving", "An agent or its upstream is leaving.";
    UpstreamEjected = 403, "upstream-ejected", "An upstream was ejected as an outlier.";
    UpstreamReturned = 404, "upstream-returned", "An ejected upstream passed its probe.";
    SessionReplaced = 405, "session-replaced", "A silent or broken session was replaced by a new connection.";
    LeadershipTaken = 410, "leadership-taken", "This entry leads and has loaded all jobs.";
    LeadershipEnded = 411, "leadership-ended", "This entry no longer leads.";
    LeaderSuspected = 412, "leader-suspected", "The leader does not answer or cannot reach the store.";
    ConfigAccepted = 500, "config-accepted", "An edit of the tables was accepted as a new version.";
    ConfigRejected = 501, "config-rejected", "An edit of the tables was rejected; nothing changed.";
    ConfigApplied = 502, "config-applied", "A version of the tables came into force at this process.";
    ConfigResent = 503, "config-resent", "A digest differed and the whole document was sent again.";
    ConfigStale = 504, "config-stale", "A lower version was offered and ignored.";
    StoreUnavailable = 510, "store-unavailable", "The store does not answer.";
    StoreRestored = 511, "store-restored", "The store answers again.";
    StoreReadBack = 512, "store-read-back", "A write whose answer was lost was resolved by reading.";
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
