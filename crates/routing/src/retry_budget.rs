/// Token bucket for the retries of one route: every first attempt adds a fraction of a token, and
/// every retry removes one token.
///
/// Retries stay proportional to new requests, so that simultaneous failures of many upstreams
/// cannot multiply the load on the remaining ones.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    percent: u8,
    burst: u32,
    /// Tokens in hundredths, so that a first attempt adds `percent`.
    token_hundredths: u64,
}

impl RetryBudget {
    /// Returns a full bucket with `burst` tokens, or an empty one if `percent` is 0.
    pub fn new(percent: u8, burst: u32) -> Self {
        let token_hundredths = if percent == 0 { 0 } else { u64::from(burst) * 100 };
        Self { percent, burst, token_hundredths }
    }

    /// Sets the share of retries. The tokens are kept unless `percent` is 0, which forbids retries.
    pub fn set_percent(&mut self, percent: u8) {
        self.percent = percent;
        if percent == 0 {
            self.token_hundredths = 0;
        }
    }

    /// Adds the share of a token for a first attempt.
    pub fn add_first_attempt(&mut self) {
        let limit = u64::from(self.burst) * 100;
        self.token_hundredths = (self.token_hundredths + u64::from(self.percent)).min(limit);
    }

    /// Removes a token for a retry; returns false if none is available.
    pub fn take_retry(&mut self) -> bool {
        if self.token_hundredths < 100 {
            return false;
        }
        self.token_hundredths -= 100;
        true
    }

    /// Returns the number of retries that the budget currently allows.
    pub fn available(&self) -> u64 {
        self.token_hundredths / 100
    }
}
