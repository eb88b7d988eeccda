//! Tests of entries that use an in-memory store.

mod cut_leader;
mod departures;
mod network;
mod operators;
mod rig;
mod sessions;
mod store_faults;
mod tables;
mod takeovers;
mod updates;
mod workers;
