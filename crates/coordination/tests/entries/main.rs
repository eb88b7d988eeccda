//! Tests of entries that use an in-memory store.

mod operators;
mod rig;
mod sessions;
mod store_faults;
mod takeovers;
