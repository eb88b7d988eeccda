//! The admin API of an entry: the types of its JSON documents and a client.
//!
//! | Request | Body | Answer |
//! |---|---|---|
//! | `GET /v1/status` | – | 200 [`Status`] |
//! | `GET /v1/tables` | – | 200 [`TablesView`] |
//! | `PUT /v1/tables` | [`ApplyRequest`] | 200, 409 or 422 [`ApplyReply`] |
//! | `GET /v1/explain/{id}` | – | 200 [`Explanation`], 404 [`ErrorReply`] |
//! | `POST /v1/jobs` | [`SubmitRequest`] | 200 or 422 [`SubmitReply`] |
//! | `GET /v1/jobs/{id}` | – | 200 [`JobView`], 404 [`ErrorReply`] |
//! | `DELETE /v1/jobs/{id}` | – | 200 [`JobView`], 404 [`ErrorReply`] |
//! | `POST /v1/drain/{member}` | – | 200 [`DrainReply`], 404 [`ErrorReply`] |
//! | `GET /livez`, `GET /readyz` | – | 200, or 503 with the reason as text |
//!
//! Any other failure has a 4xx or 5xx status and an [`ErrorReply`]. If a write is answered with 4xx
//! or 503, nothing changed; after any other 5xx status, the write may have taken effect. Durations
//! are whole milliseconds. Unknown fields are ignored, so that fields can be added.

mod apply;
mod client;
mod drain;
mod error;
mod explain;
mod job;
mod status;
mod submit;
mod view;

pub use apply::{ApplyReply, ApplyRequest, RowDifference};
pub use client::Client;
pub use drain::DrainReply;
pub use error::{AdminError, ErrorReply};
pub use explain::{ExplainLine, Explanation};
pub use job::{JobState, JobView};
pub use status::{
    DomainStatus, GangStatus, ProcessStatus, QueueStatus, Status, TeamStatus, UpstreamStatus,
    WorkerSlowness, WorkerStatus,
};
pub use submit::{Durability, Preemption, SubmitReply, SubmitRequest};
pub use view::{EditRecord, TablesView};
