//! Gangs under failure, through all programs.

mod claims;
mod faults;
mod takeover;
mod world;
