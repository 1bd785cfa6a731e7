//! Tests of exponential backoff with jitter.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sprucelink_startup::backoff::{Backoff, BackoffConfig};

#[test]
fn delays_grow_by_the_multiplier_within_the_jitter_up_to_the_maximum() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut backoff = Backoff::new(BackoffConfig::GRPC);
    let mut expected = 1_000.0;
    for _ in 0..20 {
        let delay = backoff.record_failure(&mut rng).as_micros() as f64 / 1_000.0;
        assert!(
            delay >= expected * 0.8 - 1e-6 && delay <= expected * 1.2 + 1e-6,
            "delay of {delay} ms, expected {expected} ms plus or minus 20%"
        );
        expected = (expected * 1.6).min(120_000.0);
    }
    assert_eq!(backoff.failures(), 20);
    backoff.reset();
    let delay = backoff.record_failure(&mut rng).as_micros() as f64 / 1_000.0;
    assert!((800.0..=1_200.0).contains(&delay));
}

#[test]
fn clients_that_failed_together_get_distinct_delays() {
    let first_delay = |seed| {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        Backoff::new(BackoffConfig::GRPC).record_failure(&mut rng).as_micros()
    };
    let mut distinct: Vec<i64> = (0..50).map(first_delay).collect();
    distinct.sort_unstable();
    distinct.dedup();
    assert!(distinct.len() > 45, "{} of 50 delays are distinct", distinct.len());
}

#[test]
fn numbers_out_of_range_are_rejected_by_name() {
    let invalid = BackoffConfig { multiplier: 0.5, ..BackoffConfig::GRPC };
    assert!(invalid.validate().unwrap_err().path.starts_with("multiplier"));
    let invalid = BackoffConfig { max_ms: 10.0, ..BackoffConfig::GRPC };
    assert!(invalid.validate().unwrap_err().path.starts_with("max_ms"));
    assert!(BackoffConfig::GRPC.validate().is_ok());
}
