use derive_more::Display;

/// A process of the deployment under test, or a stand-in that it calls.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Party {
    /// The agent with this index.
    #[display("agent-{_0}")]
    Agent(usize),
    /// The entry with this index.
    #[display("entry-{_0}")]
    Entry(usize),
    /// The platform's store.
    #[display("store")]
    Store,
}
