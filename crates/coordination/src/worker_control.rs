use async_trait::async_trait;
use derive_more::{Display, Error};
use skylarkpulley_jobs::{Listing, RenewalCall, StartAnswer, StartOrder, TaskId};
use std::time::Duration;

/// Where a worker answers, and which boot is meant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerAddress {
    /// Address, "ip:port".
    pub address: String,
    /// Id of the worker.
    pub id: String,
}

/// A call to a worker that was not answered, or not with what the protocol allows.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("worker {id}: {detail}")]
pub struct WorkerError {
    /// Id of the worker.
    pub id: String,
    /// Cause.
    pub detail: String,
}

/// Interface to one worker. Implementations never send a call twice.
#[async_trait]
pub trait WorkerControl: Send + Sync {
    /// Orders a start with leases up to `deadline_ms` on the worker's clock.
    async fn start(
        &self,
        worker: &WorkerAddress,
        epoch: u64,
        order: &StartOrder,
        deadline_ms: Option<u64>,
    ) -> StartAnswer;

    /// Orders a stop, which also keeps the run from starting later.
    async fn stop(
        &self,
        worker: &WorkerAddress,
        epoch: u64,
        task: &TaskId,
        run: u32,
    ) -> Result<(), WorkerError>;

    /// Lets a run work at `percent` of its speed.
    async fn pace(
        &self,
        worker: &WorkerAddress,
        epoch: u64,
        task: &TaskId,
        run: u32,
        percent: u8,
    ) -> Result<(), WorkerError>;

    /// Extends the leases and lists the runs; waits up to `wait` for an end.
    async fn renew_leases(
        &self,
        worker: &WorkerAddress,
        call: &RenewalCall,
        wait: Duration,
    ) -> Result<Listing, WorkerError>;
}
