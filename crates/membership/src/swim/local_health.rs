//! Lifeguard's local health: a member that is itself overloaded or badly connected probes more slowly, so that it does not
//! suspect others for its own delays.

/// The local health score: 0 is healthy; intervals and time-outs are multiplied by 1 + the score.
#[derive(Clone, Copy, Debug)]
pub(super) struct LocalHealth {
    score: u32,
    max_score: u32,
}

impl LocalHealth {
    /// Healthy.
    pub(super) fn new(max_score: u32) -> LocalHealth {
        LocalHealth { score: 0, max_score }
    }

    pub(super) fn score(self) -> u32 {
        self.score
    }

    /// What intervals and time-outs are multiplied by.
    pub(super) fn multiplier(self) -> f64 {
        f64::from(1 + self.score)
    }

    /// Notes signs of poor health: missing nacks, a refutation of its own, a stop.
    pub(super) fn worsen(&mut self, by: u32) {
        self.score = (self.score + by).min(self.max_score);
    }

    /// Notes a probe that was answered.
    pub(super) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }
}
