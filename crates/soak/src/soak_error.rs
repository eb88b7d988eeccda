use std::path::PathBuf;

use derive_more::{Display, Error, From};
use skylarkpulley_platform_standins::StandinError;

use crate::Party;

/// Why a play could not run.
#[derive(Debug, Display, Error, From)]
pub enum SoakError {
    /// A process ended at its start; its log has the cause.
    #[display("{party} ended at its start")]
    Ended {
        /// The process.
        party: Party,
    },
    /// The scenario is not known.
    #[display("no scenario {name:?}; known: {known}")]
    UnknownKind {
        /// The name.
        name: String,
        /// Names of the scenarios.
        known: String,
    },
    /// A stand-in or a day file.
    #[display("{_0}")]
    #[from]
    Standin(StandinError),
    /// A program cannot be started.
    #[display("cannot start {}: {source}", program.display())]
    Start {
        /// The program.
        program: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// A file or a listener cannot be used.
    #[display("{context}: {source}")]
    Io {
        /// What was attempted.
        context: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The entries did not become ready.
    #[display("entries not ready within {seconds} s")]
    NotReady {
        /// Time that was waited, in seconds.
        seconds: u64,
    },
}

impl SoakError {
    /// Returns a function that adds `context` to an error of the operating system.
    pub fn io(context: &str) -> impl Fn(std::io::Error) -> Self + use<> {
        let context = context.to_owned();
        move |source| Self::Io { context: context.clone(), source }
    }
}
