//! Tests of the ledger and of gangs over several ledgers.

mod faults;
mod interleavings;
mod ledger;
mod sim;
