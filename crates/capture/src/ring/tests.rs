//! The decisions of the ring, one by one and over random runs.

use super::*;
use proptest::prelude::*;

fn limits() -> Limits {
    let (segment_age, ring_age) = (TimeDelta::from_micros(60_000_000), TimeDelta::from_micros(600_000_000));
    Limits { ring_bytes: 1_000, ring_age, segment_bytes: 400, segment_age, rate: 100.0 }
}

#[test]
fn a_segment_ends_by_size_by_age_and_when_the_clock_steps_back() {
    let at = Timestamp::from_micros(1_000_000_000);
    let mut ring = Ring::new(limits(), at);
    assert!(ring.rolls(at));
    assert_eq!(ring.offer(at, 10, 2), Verdict::Drop, "nothing is open");
    assert_eq!(ring.begun(at), 2);
    assert!(
        !ring.rolls(at + TimeDelta::from_micros(59_999_999))
            && ring.rolls(at + TimeDelta::from_micros(60_000_000))
    );
    assert!(ring.rolls(at - TimeDelta::from_micros(1)));
    assert_eq!(ring.offer(at, 399, 1), Verdict::Write);
    assert!(!ring.rolls(at));
    assert_eq!(ring.offer(at, 1, 1), Verdict::Write);
    assert!(ring.rolls(at));
}

#[test]
fn what_is_lost_is_counted_and_a_new_segment_waits() {
    let at = Timestamp::from_micros(1_000_000_000);
    let mut ring = Ring::new(limits(), at);
    ring.begun(at);
    assert_eq!(ring.offer(at, 401, 7), Verdict::Drop, "over the burst");
    assert!(!ring.rolls(at + TimeDelta::from_micros(RETRY.as_micros() - 1)) && ring.rolls(at + RETRY));
    assert!(ring.rolls(at - TimeDelta::from_micros(5_000_000)), "a clock set back holds nothing up");
    assert_eq!(ring.offer(at, 1, 3), Verdict::Drop);
    assert_eq!((ring.lost(), ring.begun(at + RETRY), ring.lost()), (10, 10, 0));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    /// Over any run of offers no more is written than the rate and its burst allow, and every event is
    /// either written or counted as lost.
    #[test]
    fn the_rate_is_kept_and_nothing_is_lost_uncounted(offers in prop::collection::vec((0_i64..500_000, 0_u64..300, 1_u64..9), 1..200)) {
        let start = Timestamp::from_micros(1_000_000_000);
        let (mut ring, mut now) = (Ring::new(limits(), start), start);
        let (mut bytes_in, mut seen, mut written, mut lost) = (0, 0, 0, 0);
        for (gap, bytes, events) in offers {
            now = now + TimeDelta::from_micros(gap);
            if ring.rolls(now) {
                lost += ring.begun(now);
            }
            seen += events;
            if ring.offer(now, bytes, events) == Verdict::Write {
                (bytes_in, written) = (bytes_in + bytes, written + events);
            }
        }
        let allowed = limits().rate * ((now - start).as_secs_f64() + BURST);
        prop_assert!(bytes_in as f64 <= allowed + 1e-6);
        prop_assert_eq!(seen, written + lost + ring.lost());
    }

    /// What stays fits, or is the newest alone.
    #[test]
    fn eviction_keeps_the_newest_and_the_bounds(files in prop::collection::vec((0_u64..600, 0_i64..2_000_000_000), 0..12), more in 0_u64..500) {
        let now = Timestamp::from_micros(2_000_000_000);
        let files: Vec<(u64, Timestamp)> = files.into_iter().map(|(s, t)| (s, Timestamp::from_micros(t))).collect();
        let gone = evict(&limits(), &files, more, now);
        let left = &files[gone..];
        let fits = left.iter().map(|f| f.0).sum::<u64>() + more <= limits().ring_bytes;
        prop_assert!(left.len() <= 1 || fits && now - left[0].1 <= limits().ring_age);
        prop_assert!(files.is_empty() || !left.is_empty());
    }
}
