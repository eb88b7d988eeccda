//! Entries over an in-memory store.

mod operators;
mod rig;
mod store_faults;
