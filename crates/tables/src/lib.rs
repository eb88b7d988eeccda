//! The two tables that operators edit: routes and pools. This crate parses, validates and writes
//! them, and decides whether the guaranteed shapes fit on the described workers.

mod document;
mod fault;
mod levels;
mod limits;
mod packer;
mod parse;
mod pool;
mod read_pools;
mod read_routes;
mod route;
mod row;
mod rule;
mod search;
mod section;
mod shapes;
mod size;
mod space;
mod tables;
mod tolerance;
mod unique;

pub use fault::Fault;
pub use packer::{Feasibility, Packer};
pub use parse::{SourceFile, parse, parse_accepted, parse_files};
pub use pool::{Domain, Guarantee, Pool, PoolKind, Team};
pub use route::Route;
pub use row::Row;
pub use size::{format_size, parse_size};
pub use tables::Tables;
pub use tolerance::{FailureBound, Tolerance};
