/// Order of gangs that compete for accelerators; the lower value goes first. The gang's id breaks
/// ties.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// Priority class, 0 is the most urgent.
    pub class: u32,
    /// Time of submission in milliseconds; only compared, never measured against a clock.
    pub submitted: u64,
}

impl Rank {
    /// Returns the rank of a gang of `class` submitted at `submitted`.
    pub fn new(class: u32, submitted: u64) -> Self {
        Self { class, submitted }
    }
}
