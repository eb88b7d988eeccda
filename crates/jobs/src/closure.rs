use derive_more::Display;

/// Why a worker gets no new work, in the order in which the causes are checked.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Closure {
    /// This coordinator has not received a report of it.
    #[display("not reported")]
    Unreported,
    /// Its agent has no open session.
    #[display("no session")]
    NoSession,
    /// Its agent cannot reach it.
    #[display("unreached")]
    Unreached,
    /// It is leaving.
    #[display("draining")]
    Draining,
    /// Its failure domain is evacuated.
    #[display("evacuated")]
    Evacuated,
    /// It has refused a run for want of free resources.
    #[display("full")]
    Full,
    /// It failed or stalled runs.
    #[display("quarantined")]
    Quarantined,
}
