//! Tests of key tables, alone and over several agents.

mod interleavings;
mod sim;
mod table;
