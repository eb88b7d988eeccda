use std::process::ExitCode;

/// Exit status of a command. The discriminant is the exit code of the process. A failed demo counts
/// as refused, an output that cannot be written as wrong usage, and an answer with a 5xx status as
/// an unreachable entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// The tables have faults, or the entry refused the request.
    Refused = 1,
    /// The command line is wrong, or a file cannot be read or written.
    Usage = 2,
    /// The entry cannot be reached, or its answer was lost.
    Unreachable = 3,
    /// Another edit was accepted first.
    Conflict = 4,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
