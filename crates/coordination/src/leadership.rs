/// What an entry knows of the leadership.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Leadership {
    /// Control address of the leader; empty while none is known.
    pub address: String,
    /// Epoch of the leadership.
    pub epoch: u64,
    /// Whether this entry leads.
    pub is_local: bool,
    /// Whether the leader answers.
    pub reachable: bool,
}

/// A leadership as another entry has named it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SeenLeader {
    /// Control address of the leader; may be empty.
    pub address: String,
    /// Epoch of the leadership.
    pub epoch: u64,
}
