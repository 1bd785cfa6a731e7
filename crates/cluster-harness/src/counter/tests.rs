//! Tests of peaks, buckets and windows of counted events.

use super::*;

#[test]
fn peaks_and_buckets_are_counted_over_half_open_windows() {
    let times = [0, 90, 110, 120, 500].iter().map(|ms| Duration::from_millis(*ms)).collect();
    let counted = Counted { times, without_time: 0 };
    assert_eq!(counted.peak(Duration::from_millis(100)), 3);
    // Windows are half open: 110 and 120 ms don't fit in one window of 10 ms.
    assert_eq!(counted.peak(Duration::from_millis(10)), 1);
    assert_eq!(counted.peak(Duration::from_millis(11)), 2);
    assert_eq!(counted.buckets(Duration::from_millis(100), 6), [2, 2, 0, 0, 0, 1]);
    assert_eq!(
        counted.buckets(Duration::from_millis(100), 3),
        [2, 2, 1],
        "the last bucket includes later events"
    );
    assert_eq!(counted.within(Duration::from_millis(90), Duration::from_millis(120)), 2);
}
