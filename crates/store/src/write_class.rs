use derive_more::Display;

/// Purpose of a write; the write limiter shares the rate between classes.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum WriteClass {
    /// Edits of the tables.
    #[display("tables")]
    Tables,
    /// Changes of the key range map.
    #[display("key-ranges")]
    KeyRanges,
    /// Job rows.
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

    /// Returns the share of the write rate that the class gets while all classes have work.
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
