/// Token bucket of one route: every first attempt adds a fraction of a token, every retry takes one.
///
/// Retries stay proportional to new requests, so failures of many upstreams at once cannot multiply
/// the load on the rest.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    percent: u8,
    burst: u32,
    /// In hundredths of a retry.
    tokens: u64,
}

impl RetryBudget {
    /// Returns a full bucket that holds `burst` retries, or an empty one when `percent` is 0.
    pub fn new(percent: u8, burst: u32) -> Self {
        let tokens = if percent == 0 { 0 } else { u64::from(burst) * 100 };
        Self { percent, burst, tokens }
    }

    /// Changes the share of retries; the tokens stay unless retries are forbidden.
    pub fn set_percent(&mut self, percent: u8) {
        self.percent = percent;
        if percent == 0 {
            self.tokens = 0;
        }
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        let limit = u64::from(self.burst) * 100;
        self.tokens = (self.tokens + u64::from(self.percent)).min(limit);
    }

    /// Takes a token; returns false when there is none.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 100 {
            return false;
        }
        self.tokens -= 100;
        true
    }

    /// Returns the retries that may follow at once.
    pub fn available(&self) -> u64 {
        self.tokens / 100
    }
}
