use skylarkpulley_types::Shape;

/// One instance of a guarantee.
#[derive(Clone, Debug)]
pub(crate) struct Instance {
    /// Name in the form "guarantee/number".
    pub name: String,
    pub guarantee: String,
    pub team: String,
    pub shape: Shape,
    /// Workers on which the instance is reserved or claimed; empty when it has no reservation.
    pub members: Vec<usize>,
    /// Job that claims the instance.
    pub claimant: Option<usize>,
    pub epoch: u64,
    /// The instance was reported as having no reservation.
    pub at_risk: bool,
    /// When the members or the claimant last changed.
    pub changed_at: std::time::Instant,
}
