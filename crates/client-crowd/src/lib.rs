//! Crowds of clients that do not complete their requests, for tests of the real programs. A test starts
//! a [`Process`], lets crowds connect to a [`Target`], and checks that the process stays alive within
//! its [`Bounds`] and answers afterwards. Nothing that is checked depends on the speed of the machine.

mod active_crowd;
mod control_crowd;
mod crowd;
mod loopback;
mod process;
mod target;

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

pub use active_crowd::ActiveCrowd;
pub use control_crowd::{CONTROL_KINDS, ControlCrowd, ControlKind, ControlTarget};
pub use crowd::{Crowd, KINDS, Kind, wait_until_read};
pub use loopback::{free_address, free_addresses};
pub use process::{Bounds, Process};
pub use target::Target;

/// Ends a test that hangs. No result depends on it.
pub const HANG_LIMIT: Duration = Duration::from_secs(120);

/// Descriptors and processor time are shared by the tests of a program, so that one runs at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Runs a test, after the other tests of the same program that were started before it.
///
/// # Panics
/// When the test panics, or when no runtime can be built.
pub fn run(test: impl Future<Output = ()>) {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("a runtime").block_on(test);
}
