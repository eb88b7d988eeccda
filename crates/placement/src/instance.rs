use skylarkpulley_types::Shape;

/// One instance of a guarantee.
#[derive(Clone, Debug)]
pub(crate) struct Instance {
    /// "guarantee/number".
    pub name: String,
    pub guarantee: String,
    pub team: String,
    pub shape: Shape,
    /// Workers that the instance occupies; empty when it has no place.
    pub members: Vec<usize>,
    /// The job that claims it.
    pub claim: Option<usize>,
    pub epoch: u64,
    /// Reported to be without a place.
    pub at_risk: bool,
    /// When its place last changed.
    pub moved: std::time::Instant,
}
