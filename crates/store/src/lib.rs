//! Client of the platform's table service: the [`Store`] interface, an HTTP client that never
//! repeats a write on its own, a write limiter and a circuit breaker that protect the service, and
//! an in-memory store with fault injection for tests.
//!
//! The protocol and the rules for lost answers are described in `docs/store.md`.

mod circuit;
mod entry_row;
mod error;
mod fault;
mod guarded_store;
mod http_store;
mod memory_store;
mod memory_transactor;
mod resolve;
mod row;
mod row_table;
mod store;
mod transactor;
pub mod wire;
mod write_class;
mod write_limiter;

pub use circuit::{CallOutcome, Circuit, CircuitSettings, CircuitState, Permit};
pub use entry_row::{EntryListing, EntryRow, list_entries};
pub use error::StoreError;
pub use fault::{Fault, Faults, Operation};
pub use guarded_store::GuardedStore;
pub use http_store::{HttpSettings, HttpStore};
pub use memory_store::MemoryStore;
pub use memory_transactor::{MemoryTransactor, TransactFault};
pub use resolve::{Resolution, put_resolved, resolve_put};
pub use row::Row;
pub use row_table::RowTable;
pub use store::Store;
pub use transactor::{
    Page, Record, RecordKey, TransactError, Transaction, TransactionOutcome, Transactor,
};
pub use write_class::WriteClass;
pub use write_limiter::{LimiterDecision, LimiterSettings, QueueFull, WriteLimiter};
