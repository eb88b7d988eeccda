use async_trait::async_trait;
use derive_more::{Display, Error};
use skylarkpulley_jobs::{Listing, RenewalCall, StartAnswer, StartOrder, TaskId};
use std::time::Duration;

/// Address and id of a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerAddress {
    /// Address in the form "ip:port".
    pub address: String,
    /// Id of the worker.
    pub id: String,
}

/// A call to a worker that had no answer, or an answer that the protocol does not allow.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("worker {id}: {detail}")]
pub struct WorkerError {
    /// Id of the worker.
    pub id: String,
    /// Cause.
    pub detail: String,
    /// Whether no process listens at the worker's address.
    pub down: bool,
    /// Whether a worker may have carried out the call, or may do so later.
    pub received: bool,
    /// Whether another worker answers at its address.
    pub replaced: bool,
}

/// Interface to the workers. Implementations never send a call twice.
#[async_trait]
pub trait WorkerControl: Send + Sync {
    /// Orders the worker to start a run with leases up to `deadline_ms` on its clock.
    async fn start(
        &self,
        worker: &WorkerAddress,
        epoch: u64,
        order: &StartOrder,
        deadline_ms: Option<u64>,
    ) -> StartAnswer;

    /// Orders the worker to stop a run, which also prevents the run from starting later.
    async fn stop(
        &self,
        worker: &WorkerAddress,
        epoch: u64,
        task: &TaskId,
        run: u32,
    ) -> Result<(), WorkerError>;

    /// Sets the speed of a run to `percent` of its full speed.
    async fn pace(
        &self,
        worker: &WorkerAddress,
        epoch: u64,
        task: &TaskId,
        run: u32,
        percent: u8,
    ) -> Result<(), WorkerError>;

    /// Extends the leases and lists the runs. The worker may wait up to `wait` for the end of a run
    /// before it answers.
    async fn renew_leases(
        &self,
        worker: &WorkerAddress,
        call: &RenewalCall,
        wait: Duration,
    ) -> Result<Listing, WorkerError>;
}
