/// The leadership as an entry knows it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Leadership {
    /// Control address of the leader; empty while no leader is known.
    pub address: String,
    /// Epoch of the leadership.
    pub epoch: u64,
    /// Whether this entry is the leader.
    pub is_local: bool,
    /// Whether the leader answers.
    pub reachable: bool,
}

/// The leadership as another entry has reported it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReportedLeader {
    /// Control address of the leader; empty when the other entry does not know it.
    pub address: String,
    /// Epoch of the leadership.
    pub epoch: u64,
}
