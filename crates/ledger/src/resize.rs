use crate::Ledger;

impl Ledger {
    /// Sets the number of accelerators to the value of the pools table. If the number is lowered,
    /// grants that exceed it keep running, and new holds are refused until those grants have ended.
    pub fn set_accelerators(&mut self, accelerators: u32) {
        self.accelerators = accelerators;
    }
}
