use std::time::Instant;

use crate::Party;

/// A rule by which the proxy holds the bytes that one party sends to another.
#[derive(Clone, Debug, PartialEq)]
pub struct HoldRule {
    /// Number of the fault that added the rule.
    pub fault: u64,
    /// Sender of the bytes; `None` stands for every party.
    pub from: Option<Party>,
    /// Receiver of the bytes; `None` stands for every party.
    pub to: Option<Party>,
    /// Holds only connections that were opened before this time.
    pub opened_before: Option<Instant>,
    /// Holds only connections that were opened at this time or later.
    pub opened_from: Option<Instant>,
}

impl HoldRule {
    /// Reports whether bytes from `from` to `to` on a connection opened at `opened_at` are held.
    pub fn holds(&self, from: Party, to: Party, opened_at: Instant) -> bool {
        self.from.is_none_or(|party| party == from)
            && self.to.is_none_or(|party| party == to)
            && self.opened_before.is_none_or(|before| opened_at < before)
            && self.opened_from.is_none_or(|since| opened_at >= since)
    }
}
