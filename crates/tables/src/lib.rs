//! The two tables that operators edit: routes and pools.

mod fault;
mod pool;
mod route;
mod tables;

pub use fault::Fault;
pub use pool::{Domain, Guarantee, Pool, PoolKind, Team};
pub use route::Route;
pub use tables::Tables;
