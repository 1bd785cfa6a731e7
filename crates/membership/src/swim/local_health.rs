//! Lifeguard's local health: a member that is overloaded or has a poor network connection probes more slowly,
//! so that it does not suspect others because of its own delays.

/// The local health score: 0 is healthy; intervals and time-outs are multiplied by 1 + the score.
#[derive(Clone, Copy, Debug)]
pub(super) struct LocalHealth {
    score: u32,
    max_score: u32,
}

impl LocalHealth {
    /// Creates a healthy score, bounded by `max_score`.
    pub(super) fn new(max_score: u32) -> LocalHealth {
        LocalHealth { score: 0, max_score }
    }

    pub(super) fn score(self) -> u32 {
        self.score
    }

    /// Factor for intervals and time-outs.
    pub(super) fn multiplier(self) -> f64 {
        f64::from(1 + self.score)
    }

    /// Raises the score on evidence of poor health: missing nacks, a refutation by this member, or a stop.
    pub(super) fn worsen(&mut self, by: u32) {
        self.score = (self.score + by).min(self.max_score);
    }

    /// Lowers the score by 1 after an answered probe.
    pub(super) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }
}
