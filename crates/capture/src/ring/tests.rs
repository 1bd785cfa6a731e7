//! The decisions of the ring, one by one and over random runs.

use super::*;
use proptest::prelude::*;

fn limits() -> RingLimits {
    let (segment_age, ring_age) = (TimeDelta::from_micros(60_000_000), TimeDelta::from_micros(600_000_000));
    RingLimits { ring_bytes: 1_000, ring_age, segment_bytes: 400, segment_age, bytes_per_second: 100.0 }
}

#[test]
fn segment_is_due_by_size_by_age_and_when_clock_is_set_back() {
    let at = Timestamp::from_micros(1_000_000_000);
    let mut ring = Ring::new(limits(), at);
    assert!(ring.is_segment_due(at));
    assert_eq!(ring.admit(at, 10, 2), BatchDecision::Drop, "nothing is open");
    assert_eq!(ring.segment_begun(at), 2);
    assert!(
        !ring.is_segment_due(at + TimeDelta::from_micros(59_999_999))
            && ring.is_segment_due(at + TimeDelta::from_micros(60_000_000))
    );
    assert!(ring.is_segment_due(at - TimeDelta::from_micros(1)));
    assert_eq!(ring.admit(at, 399, 1), BatchDecision::Write);
    assert!(!ring.is_segment_due(at));
    assert_eq!(ring.admit(at, 1, 1), BatchDecision::Write);
    assert!(ring.is_segment_due(at));
}

#[test]
fn lost_events_are_counted_and_next_segment_is_delayed() {
    let at = Timestamp::from_micros(1_000_000_000);
    let mut ring = Ring::new(limits(), at);
    ring.segment_begun(at);
    assert_eq!(ring.admit(at, 401, 7), BatchDecision::Drop, "over the burst");
    assert!(
        !ring.is_segment_due(at + TimeDelta::from_micros(RETRY_INTERVAL.as_micros() - 1))
            && ring.is_segment_due(at + RETRY_INTERVAL)
    );
    assert!(ring.is_segment_due(at - TimeDelta::from_micros(5_000_000)), "a clock set back holds nothing up");
    assert_eq!(ring.admit(at, 1, 3), BatchDecision::Drop);
    assert_eq!(
        (ring.lost_events(), ring.segment_begun(at + RETRY_INTERVAL), ring.lost_events()),
        (10, 10, 0)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    /// Over any run of offers no more is written than the rate and its burst allow, and every event is
    /// either written or counted as lost.
    #[test]
    fn write_rate_is_kept_and_every_event_is_written_or_counted_as_lost(offers in prop::collection::vec((0_i64..500_000, 0_u64..300, 1_u64..9), 1..200)) {
        let start = Timestamp::from_micros(1_000_000_000);
        let (mut ring, mut now) = (Ring::new(limits(), start), start);
        let (mut bytes_in, mut seen, mut written, mut lost) = (0, 0, 0, 0);
        for (gap, bytes, events) in offers {
            now = now + TimeDelta::from_micros(gap);
            if ring.is_segment_due(now) {
                lost += ring.segment_begun(now);
            }
            seen += events;
            if ring.admit(now, bytes, events) == BatchDecision::Write {
                (bytes_in, written) = (bytes_in + bytes, written + events);
            }
        }
        let allowed = limits().bytes_per_second * ((now - start).as_secs_f64() + BURST_S);
        prop_assert!(bytes_in as f64 <= allowed + 1e-6);
        prop_assert_eq!(seen, written + lost + ring.lost_events());
    }

    /// What stays fits, or is the newest alone.
    #[test]
    fn expired_files_leave_the_newest_and_keep_the_bounds(files in prop::collection::vec((0_u64..600, 0_i64..2_000_000_000), 0..12), more in 0_u64..500) {
        let now = Timestamp::from_micros(2_000_000_000);
        let file = |(bytes, modified_at)| RingFile { name: String::new(), bytes, modified_at: Timestamp::from_micros(modified_at) };
        let files: Vec<RingFile> = files.into_iter().map(file).collect();
        let expired = count_expired(&limits(), &files, more, now);
        let left = &files[expired..];
        let fits = left.iter().map(|f| f.bytes).sum::<u64>() + more <= limits().ring_bytes;
        prop_assert!(left.len() <= 1 || fits && now - left[0].modified_at <= limits().ring_age);
        prop_assert!(files.is_empty() || !left.is_empty());
    }
}
