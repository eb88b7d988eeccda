//! The coordinator: placement, ends, guarantees, takeovers and the invariants under random faults.

mod interleavings;
mod rig;
mod rules;
