//! Tests gangs under failure in a whole deployment.

mod claims;
mod faults;
mod harness;
mod takeover;
