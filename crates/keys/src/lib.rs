//! At-most-once execution of requests that carry an idempotency key.
//!
//! Keys are hashed into 64 ranges. [`RangeMap`] names an owner and a witness for each range;
//! [`KeyTable`] is the state machine that implements both roles on one agent. Neither opens sockets
//! nor reads a clock: the caller passes in events and the current time and gets back messages to
//! send and replies. docs/at-most-once.md argues why no request runs twice.

mod action;
mod agent_endpoint;
mod candidate;
mod key_range;
mod key_table;
mod limits;
mod message;
mod range_map;
mod range_state;
mod record;
mod records;
mod response;

pub use action::{Action, KeyReply};
pub use agent_endpoint::AgentEndpoint;
pub use candidate::Candidate;
pub use key_range::KeyRange;
pub use key_table::KeyTable;
pub use limits::Limits;
pub use message::{
    Attempt, CopyReply, CopyRequest, FenceReply, FenceRequest, JournalBatch, LookupResult,
    ReserveRequest,
};
pub use range_map::{RANGE_COUNT, RangeMap, range_of};
pub use record::{KeyRecord, RecordState};
pub use response::Response;
