//! Exponential backoff with jitter, after gRPC's connection backoff (grpc/doc/connection-backoff.md):
//! a first rest, multiplied after each failure up to a longest, each rest spread by a share either way
//! so that clients that failed together do not come back together.

use crate::TimeDelta;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use sprucelink_settings::{check_range, InvalidField};

/// The figures of a backoff.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackoffTerms {
    /// First rest, in milliseconds (gRPC: 1,000).
    pub initial_ms: f64,
    /// Each further rest is so many times the last (gRPC: 1.6); 1 to 10.
    pub multiplier: f64,
    /// Each rest is spread evenly by this share either way (gRPC: 0.2); 0 to 1.
    pub jitter: f64,
    /// Longest rest before jitter, in milliseconds (gRPC: 120,000).
    pub max_ms: f64,
}

impl BackoffTerms {
    /// gRPC's figures: 1 s, times 1.6, jitter 0.2, at most 120 s.
    pub const GRPC: BackoffTerms =
        BackoffTerms { initial_ms: 1_000.0, multiplier: 1.6, jitter: 0.2, max_ms: 120_000.0 };

    /// What is wrong with the figures, if anything: the path's last part and the rule.
    pub fn validate(&self) -> Result<(), InvalidField> {
        check_range("initial_ms", self.initial_ms, 1.0, 3_600_000.0)?;
        check_range("multiplier", self.multiplier, 1.0, 10.0)?;
        check_range("jitter", self.jitter, 0.0, 1.0)?;
        check_range("max_ms", self.max_ms, self.initial_ms, 3_600_000.0)
    }
}

/// Where a backoff stands: the rest before jitter that the next failure gets.
#[derive(Clone, Debug)]
pub struct Backoff {
    terms: BackoffTerms,
    current_ms: f64,
    failures: u32,
}

impl Backoff {
    /// A backoff with no failure yet.
    pub fn new(terms: BackoffTerms) -> Backoff {
        Backoff { terms, current_ms: terms.initial_ms, failures: 0 }
    }

    /// Failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// One more failure: the rest to take before the next try, jittered, never under a millisecond.
    pub fn fail(&mut self, rng: &mut ChaCha8Rng) -> TimeDelta {
        let spread =
            if self.terms.jitter > 0.0 { rng.gen_range(-self.terms.jitter..=self.terms.jitter) } else { 0.0 };
        let rest_ms = (self.current_ms * (1.0 + spread)).max(1.0);
        self.current_ms = (self.current_ms * self.terms.multiplier).min(self.terms.max_ms);
        self.failures = self.failures.saturating_add(1);
        TimeDelta::from_micros((rest_ms * 1_000.0) as i64)
    }

    /// A success: the next failure starts from the first rest again.
    pub fn succeed(&mut self) {
        self.current_ms = self.terms.initial_ms;
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    #[test]
    fn rests_grow_by_the_multiplier_within_the_jitter_up_to_the_longest() {
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let mut b = Backoff::new(BackoffTerms::GRPC);
        let mut plain = 1_000.0;
        for _ in 0..20 {
            let rest = b.fail(&mut rng).as_micros() as f64 / 1_000.0;
            assert!(rest >= plain * 0.8 - 1e-6 && rest <= plain * 1.2 + 1e-6, "{rest} against {plain}");
            plain = (plain * 1.6).min(120_000.0);
        }
        assert_eq!(b.failures(), 20);
        b.succeed();
        let rest = b.fail(&mut rng).as_micros() as f64 / 1_000.0;
        assert!((800.0..=1_200.0).contains(&rest));
    }

    #[test]
    fn jitter_parts_clients_that_failed_together() {
        let rests: Vec<i64> = (0..50)
            .map(|seed| {
                Backoff::new(BackoffTerms::GRPC).fail(&mut ChaCha8Rng::seed_from_u64(seed)).as_micros()
            })
            .collect();
        let mut distinct = rests.clone();
        distinct.sort_unstable();
        distinct.dedup();
        assert!(distinct.len() > 45, "{} distinct of 50", distinct.len());
    }

    #[test]
    fn figures_out_of_range_are_named() {
        let bad = BackoffTerms { multiplier: 0.5, ..BackoffTerms::GRPC };
        assert!(bad.validate().unwrap_err().path.starts_with("multiplier"));
        let bad = BackoffTerms { max_ms: 10.0, ..BackoffTerms::GRPC };
        assert!(bad.validate().unwrap_err().path.starts_with("max_ms"));
        assert!(BackoffTerms::GRPC.validate().is_ok());
    }
}
