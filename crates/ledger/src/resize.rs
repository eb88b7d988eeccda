use crate::Ledger;

impl Ledger {
    /// Puts the number of accelerators from the pools table in force. Grants beyond a lowered
    /// number go on; new holds are refused until they have ended.
    pub fn set_accelerators(&mut self, accelerators: u32) {
        self.accelerators = accelerators;
    }
}
