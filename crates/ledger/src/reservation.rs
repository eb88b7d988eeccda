/// Accelerators of one worker that are reserved for a guarantee instance until it is claimed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reservation {
    /// Name of the guarantee instance.
    pub instance: String,
    /// Fencing epoch of the instance.
    pub epoch: u64,
    /// Number of accelerators reserved on this worker.
    pub accelerators: u32,
}

impl Reservation {
    /// Returns a reservation of `accelerators` for `instance`.
    pub fn new(instance: &str, epoch: u64, accelerators: u32) -> Self {
        Self { instance: instance.to_owned(), epoch, accelerators }
    }
}
