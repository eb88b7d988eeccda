//! Tests of request routing, all with a manual clock and fixed seeds.

mod admission;
mod choice;
mod ejection;
mod membership;
mod properties;
mod retries;
mod rig;
mod stalls;
