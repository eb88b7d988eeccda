/// Rank of a gang that competes for accelerators; the lowest value is served first. Ties are broken
/// by the gang's id.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// Priority class; 0 is the most urgent.
    pub class: u32,
    /// Time of submission in milliseconds. It is only compared with the times of other gangs, never
    /// with a clock.
    pub submitted: u64,
}

impl Rank {
    /// Returns the rank of a gang of `class` submitted at `submitted`.
    pub fn new(class: u32, submitted: u64) -> Self {
        Self { class, submitted }
    }
}
