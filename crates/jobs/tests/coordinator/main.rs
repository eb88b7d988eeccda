//! Tests of the coordinator: placement, ends of runs, guarantees, takeovers, and invariants under
//! random faults.

mod advice;
mod capacity;
mod contention;
mod crashes;
mod crashing_pool;
mod evacuations;
mod gangs;
mod interleavings;
mod liveness;
mod losses;
mod preferences;
mod restarts;
mod rig;
mod routes;
mod row_sizes;
mod rules;
mod sim_pool;
mod sim_site;
mod sim_worker;
mod waiting;
