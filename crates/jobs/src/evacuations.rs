use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// Failure domains that the operators have evacuated: their workers get no new work.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evacuations {
    /// Names of the failure domains.
    pub domains: BTreeSet<String>,
    /// Version of the store at which the set was read; a higher one replaces a lower one.
    pub version: u64,
}

impl Evacuations {
    /// Returns the set that was read at a version of the store.
    pub fn new(domains: BTreeSet<String>, version: u64) -> Self {
        Self { domains, version }
    }

    /// Reports whether a failure domain is evacuated.
    pub fn contains(&self, domain: &str) -> bool {
        self.domains.contains(domain)
    }
}
