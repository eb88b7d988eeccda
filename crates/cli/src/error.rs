use derive_more::{Display, Error, From};
use skylarkpulley_admin::AdminError;

use crate::Exit;

/// Why a command could not be carried out.
#[derive(Debug, Display, Error, From)]
pub enum CliError {
    /// The entry did not answer, or refused.
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
        /// The system's reason.
        source: std::io::Error,
    },
    /// The result cannot be written.
    #[display("the output cannot be written: {_0}")]
    Output(std::io::Error),
}

impl CliError {
    /// Returns the exit code of the command.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Admin(AdminError::Address { .. }) | Self::File { .. } | Self::Output(_) => {
                Exit::Usage
            }
            Self::Admin(AdminError::Unreachable { .. } | AdminError::LostAnswer { .. }) => {
                Exit::Unreachable
            }
            Self::Admin(AdminError::Status { status: 500.., .. }) => Exit::Unreachable,
            Self::Admin(AdminError::Status { .. } | AdminError::NotFound { .. }) => Exit::Refused,
        }
    }
}
