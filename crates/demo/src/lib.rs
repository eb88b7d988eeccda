//! Runs all programs of a deployment in one process, for the `demo` command and for tests of the
//! whole path of a request or job.

mod callers;
mod deployment;
mod error;
mod report;
mod scenario;
mod vm;

pub use callers::{CallResult, CallerSpec, EntryAddresses, send_requests};
pub use deployment::{Deployment, DeploymentSpec, EntryVm, UpstreamVm, WorkerVm};
pub use error::DemoError;
pub use report::{DemoReport, Promise};
pub use scenario::Scenario;
pub use vm::Vm;
