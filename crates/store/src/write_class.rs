use derive_more::Display;

/// Purpose of a write. The write limiter divides the write rate between the classes.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum WriteClass {
    /// Edits of the tables.
    #[display("tables")]
    Tables,
    /// Changes of the key range map.
    #[display("key-ranges")]
    KeyRanges,
    /// Writes of job rows.
    #[display("jobs")]
    Jobs,
    /// Journal of finished idempotency keys.
    #[display("key-journal")]
    KeyJournal,
    /// Address rows of entries.
    #[display("entry-rows")]
    EntryRows,
}

impl WriteClass {
    /// All classes, most important first.
    pub const ALL: [Self; 5] =
        [Self::Tables, Self::KeyRanges, Self::Jobs, Self::KeyJournal, Self::EntryRows];

    /// Returns the weight of the class. While writes of several classes wait, the write rate is
    /// divided between these classes in proportion to their weights.
    pub fn weight(self) -> u32 {
        match self {
            Self::Tables | Self::KeyRanges => 8,
            Self::Jobs | Self::KeyJournal => 4,
            Self::EntryRows => 2,
        }
    }

    pub(crate) fn index(self) -> usize {
        self as usize
    }
}
