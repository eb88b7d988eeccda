use derive_more::{Display, Error, From};
use skylarkpulley_admin::AdminError;

use crate::ExitStatus;

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum CliError {
    /// The entry did not answer, or refused the request.
    #[display("{_0}")]
    Admin(AdminError),
    /// A file cannot be read or written.
    #[display("file {path} cannot be {action}: {source}")]
    #[from(ignore)]
    File {
        /// Path of the file.
        path: String,
        /// `read` or `written`.
        action: &'static str,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The result cannot be written.
    #[display("the output cannot be written: {_0}")]
    Output(std::io::Error),
}

impl CliError {
    /// Returns the exit status of a command that fails with this error.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Admin(AdminError::InvalidAddress { .. })
            | Self::File { .. }
            | Self::Output(_) => ExitStatus::Usage,
            Self::Admin(AdminError::Unreachable { .. } | AdminError::LostAnswer { .. }) => {
                ExitStatus::Unreachable
            }
            Self::Admin(AdminError::ErrorStatus { status: 500.., .. }) => ExitStatus::Unreachable,
            Self::Admin(AdminError::ErrorStatus { .. } | AdminError::NotFound { .. }) => {
                ExitStatus::Refused
            }
        }
    }
}
