//! Tests of the ring's decisions in single cases and in random sequences.

use super::*;
use proptest::prelude::*;

fn limits() -> RingLimits {
    let (segment_age, ring_age) = (TimeDelta::from_micros(60_000_000), TimeDelta::from_micros(600_000_000));
    RingLimits { ring_bytes: 1_000, ring_age, segment_bytes: 400, segment_age, bytes_per_second: 100.0 }
}

#[test]
fn segment_is_due_by_size_by_age_and_when_clock_is_set_back() {
    let start = Timestamp::from_micros(1_000_000_000);
    let mut ring = Ring::new(limits(), start);
    assert!(ring.is_segment_due(start));
    assert_eq!(ring.admit(start, 10, 2), BatchDecision::Drop, "no segment is open");
    assert_eq!(ring.segment_begun(start), 2);
    assert!(
        !ring.is_segment_due(start + TimeDelta::from_micros(59_999_999))
            && ring.is_segment_due(start + TimeDelta::from_micros(60_000_000))
    );
    assert!(ring.is_segment_due(start - TimeDelta::from_micros(1)));
    assert_eq!(ring.admit(start, 399, 1), BatchDecision::Write);
    assert!(!ring.is_segment_due(start));
    assert_eq!(ring.admit(start, 1, 1), BatchDecision::Write);
    assert!(ring.is_segment_due(start));
}

#[test]
fn lost_events_are_counted_and_next_segment_is_delayed() {
    let start = Timestamp::from_micros(1_000_000_000);
    let mut ring = Ring::new(limits(), start);
    ring.segment_begun(start);
    assert_eq!(ring.admit(start, 401, 7), BatchDecision::Drop, "exceeds the burst");
    assert!(
        !ring.is_segment_due(start + TimeDelta::from_micros(RETRY_INTERVAL.as_micros() - 1))
            && ring.is_segment_due(start + RETRY_INTERVAL)
    );
    assert!(
        ring.is_segment_due(start - TimeDelta::from_micros(5_000_000)),
        "a clock set back does not delay the next segment"
    );
    assert_eq!(ring.admit(start, 1, 3), BatchDecision::Drop);
    assert_eq!(
        (ring.lost_events(), ring.segment_begun(start + RETRY_INTERVAL), ring.lost_events()),
        (10, 10, 0)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    /// For any sequence of batches, the bytes written stay within the rate and its burst, and every event is
    /// either written or counted as lost.
    #[test]
    fn write_rate_is_kept_and_every_event_is_written_or_counted_as_lost(batches in prop::collection::vec((0_i64..500_000, 0_u64..300, 1_u64..9), 1..200)) {
        let start = Timestamp::from_micros(1_000_000_000);
        let (mut ring, mut now) = (Ring::new(limits(), start), start);
        let (mut written_bytes, mut offered_events, mut written_events, mut lost_events) = (0, 0, 0, 0);
        for (gap_us, bytes, events) in batches {
            now = now + TimeDelta::from_micros(gap_us);
            if ring.is_segment_due(now) {
                lost_events += ring.segment_begun(now);
            }
            offered_events += events;
            if ring.admit(now, bytes, events) == BatchDecision::Write {
                (written_bytes, written_events) = (written_bytes + bytes, written_events + events);
            }
        }
        let allowed_bytes = limits().bytes_per_second * ((now - start).as_secs_f64() + BURST_S);
        prop_assert!(written_bytes as f64 <= allowed_bytes + 1e-6);
        prop_assert_eq!(offered_events, written_events + lost_events + ring.lost_events());
    }

    /// The files that remain fit within the limits, or only the newest remains.
    #[test]
    fn expired_files_leave_the_newest_and_keep_the_bounds(files in prop::collection::vec((0_u64..600, 0_i64..2_000_000_000), 0..12), needed_bytes in 0_u64..500) {
        let now = Timestamp::from_micros(2_000_000_000);
        let file = |(bytes, modified_at)| RingFile { name: String::new(), bytes, modified_at: Timestamp::from_micros(modified_at) };
        let files: Vec<RingFile> = files.into_iter().map(file).collect();
        let expired = count_expired(&limits(), &files, needed_bytes, now);
        let remaining = &files[expired..];
        let fits = remaining.iter().map(|file| file.bytes).sum::<u64>() + needed_bytes <= limits().ring_bytes;
        prop_assert!(remaining.len() <= 1 || fits && now - remaining[0].modified_at <= limits().ring_age);
        prop_assert!(files.is_empty() || !remaining.is_empty());
    }
}
