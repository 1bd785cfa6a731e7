//! Tests of `counted`.

use super::*;

#[test]
fn the_peak_slides_over_every_window() {
    let at = [0, 90, 110, 120, 500].iter().map(|ms| Duration::from_millis(*ms)).collect();
    let c = Counted { at, undated: 0 };
    assert_eq!(c.peak(Duration::from_millis(100)), 3);
    // Windows are half open: 110 and 120 ms are apart by a whole window of 10 ms.
    assert_eq!(c.peak(Duration::from_millis(10)), 1);
    assert_eq!(c.peak(Duration::from_millis(11)), 2);
    assert_eq!(c.buckets(Duration::from_millis(100), 6), [2, 2, 0, 0, 0, 1]);
    assert_eq!(c.buckets(Duration::from_millis(100), 3), [2, 2, 1], "the last takes what is later");
    assert_eq!(c.within(Duration::from_millis(90), Duration::from_millis(120)), 2);
}
