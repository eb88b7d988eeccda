/// Which job changes of this entry are recorded outside this process.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecordedChanges {
    /// Number of the last change that another entry has confirmed.
    pub copied: u64,
    /// Ids of the jobs stored most recently, in order of their writes; the length is limited.
    pub stored: Vec<String>,
}
