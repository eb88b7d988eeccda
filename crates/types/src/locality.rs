use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The widest group of workers over which a shape may be spread. Ordered from narrow to wide.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Locality {
    /// One worker.
    #[display("worker")]
    Worker,
    /// One rack.
    #[display("rack")]
    Rack,
    /// One failure domain.
    #[display("domain")]
    Domain,
    /// Anywhere in the pool.
    #[display("pool")]
    Pool,
}
