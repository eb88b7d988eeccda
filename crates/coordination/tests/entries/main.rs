//! Entries over an in-memory store.

mod operators;
mod rig;
mod sessions;
mod store_faults;
