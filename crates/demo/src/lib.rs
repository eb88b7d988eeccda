//! All programs of a deployment in one process, for the `demo` command and for tests of the whole
//! path.

mod deployment;
mod error;
mod vm;

pub use deployment::{Deployment, DeploymentSpec, EntryVm, UpstreamVm, WorkerVm};
pub use error::DemoError;
pub use vm::Vm;
