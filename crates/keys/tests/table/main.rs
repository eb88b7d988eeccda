//! Tests of a single key table and of tables on several agents.

mod interleavings;
mod sim;
mod table;
