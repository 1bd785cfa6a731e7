//! Tests of each structure against values computed by hand, and of the serialized forms that captures
//! contain.

use sprucelink_rate_limits::{
    update_mean, update_mean_and_variance, EventWindow, MovingAverage, RecentSet, Slot, SlotWindow,
    SumWindow, TokenBucket,
};
use sprucelink_time::{TimeDelta, Timestamp};

fn at_millis(millis: i64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn span_millis(millis: i64) -> TimeDelta {
    TimeDelta::from_millis(millis)
}

#[test]
fn token_bucket_refills_at_its_rate_and_only_up_to_its_depth() {
    let mut bucket = TokenBucket::default();
    let taken = (0..5).filter(|_| bucket.try_take(at_millis(1_000_000), 2.0, 3.0)).count();
    assert_eq!(taken, 3, "a long pause fills the bucket to its depth and no further");
    assert!(!bucket.try_take(at_millis(1_000_499), 2.0, 3.0), "just before the next token");
    assert!(bucket.try_take(at_millis(1_000_500), 2.0, 3.0), "half a second at two tokens per second");
    assert!(!bucket.try_take(at_millis(1_000_500), 2.0, 3.0));
}

#[test]
fn event_window_counts_only_events_later_than_the_start() {
    let mut window = EventWindow::default();
    for time in [0, 10, 20, 30] {
        window.record(at_millis(time), span_millis(100));
    }
    assert_eq!(window.count_after(at_millis(10)), 2, "the event at the instant itself is excluded");
    window.record(at_millis(110), span_millis(100));
    assert_eq!(
        window.count_after(at_millis(-1)),
        4,
        "the event that is older than the span was dropped, the event at its edge was not"
    );
}

#[test]
fn sum_window_sums_the_amounts_of_its_span() {
    let mut window = SumWindow::default();
    window.record(at_millis(0), 1.0, span_millis(100));
    window.record(at_millis(50), 2.0, span_millis(100));
    window.record(at_millis(100), 4.0, span_millis(100));
    assert_eq!(window.sum(at_millis(100), span_millis(100)), 7.0, "both ends are included");
    assert_eq!(window.sum(at_millis(101), span_millis(100)), 6.0);
    assert_eq!(window.sum(at_millis(300), span_millis(100)), 0.0);
    window.record(at_millis(151), 8.0, span_millis(100));
    assert_eq!(
        window.sum(at_millis(151), span_millis(1_000)),
        12.0,
        "the amounts that are older than the span of 100 ms were dropped"
    );
}

#[test]
fn moving_average_moves_to_each_sample_by_its_weight() {
    let mut average = MovingAverage::new(1.0);
    average.update(3.0, 0.25);
    assert_eq!(average.value(), 1.5);
    average.update(100.0, 0.0);
    assert_eq!(average.value(), 1.5);
    average.update(-2.0, 1.0);
    assert_eq!(average.value(), -2.0);
}

#[test]
fn recent_set_evicts_the_least_recently_used_key() {
    let mut set = RecentSet::default();
    [1, 2, 1, 3].iter().for_each(|key| set.touch(*key, 2));
    assert_eq!([1, 2, 3].map(|key| set.contains(key)), [true, false, true]);
    assert_eq!(serde_json::to_string(&set).expect("serializable"), "[1,3]");
    set.clear();
    assert!(!set.contains(3));
}

#[test]
fn mean_weights_the_first_samples_equally_and_later_ones_by_the_minimum() {
    let (mut mean, mut samples) = (0.0, 0);
    [1.0, 2.0, 3.0, 4.0].iter().for_each(|sample| update_mean(&mut mean, &mut samples, *sample, 0.25));
    assert_eq!((mean, samples), (2.5, 4));
    update_mean(&mut mean, &mut samples, 4.5, 0.25);
    assert_eq!((mean, samples), (3.0, 5), "the sample has a weight of a quarter, not of a fifth");
    samples = u32::MAX;
    update_mean(&mut mean, &mut samples, 3.0, 0.25);
    assert_eq!(samples, u32::MAX, "the count saturates");
}

#[test]
fn mean_and_variance_with_weights_of_one_over_n_equal_those_of_the_samples() {
    let samples = [2.0, 4.0, 4.0, 4.0, 5.0, 5.0, 7.0, 9.0];
    let (mut mean, mut variance) = (0.0, 0.0);
    for (index, sample) in samples.iter().enumerate() {
        update_mean_and_variance(&mut mean, &mut variance, *sample, 1.0 / (index + 1) as f64);
    }
    assert!((mean - 5.0_f64).abs() < 1e-12 && (variance - 4.0_f64).abs() < 1e-12, "{mean} {variance}");
}

#[test]
fn slot_window_counts_a_partly_covered_slot_whole_or_not_at_all() {
    let mut window: SlotWindow<u32> = SlotWindow::new(span_millis(100), span_millis(20), 1_024);
    for time in [0, 19, 20, 60, 100] {
        window.increment(at_millis(time));
    }
    assert_eq!(window.newest(), Some(&Slot { start: at_millis(100), value: 1 }));
    assert_eq!((window.count_overlapping(at_millis(110)), window.count_within(at_millis(110))), (5, 3));
    // A slot that starts exactly at the start of the window also counts as partly covered: its first instant
    // lies outside the window.
    assert_eq!((window.count_overlapping(at_millis(120)), window.count_within(at_millis(120))), (3, 2));
    assert_eq!((window.count_overlapping(at_millis(300)), window.count_within(at_millis(300))), (0, 0));
}

#[test]
fn slot_window_memory_is_bounded_for_any_span_and_rate() {
    for (length, max_slots) in [(100, 32), (100, 8), (20_000, 8), (3, 1), (0, 4)] {
        let mut window: SlotWindow<u32> = SlotWindow::new(span_millis(length), span_millis(5), max_slots);
        for time in 0..10 * length {
            window.increment(at_millis(time));
            assert!(
                window.len() <= max_slots as usize + 2,
                "{} slots stored, at most {max_slots} and two more expected",
                window.len()
            );
            assert!(
                window.len() as i64 <= length / 5 + 2,
                "{} slots of 5 ms stored for {length} ms",
                window.len()
            );
        }
    }
}

#[test]
fn slot_window_agrees_with_an_exact_window_except_for_the_partly_covered_slot() {
    let mut exact = EventWindow::default();
    let mut slots: SlotWindow<u32> = SlotWindow::new(span_millis(1_000), span_millis(20), 1_024);
    let mut time = 0;
    for step in 0..5_000_i64 {
        time += step * step % 23;
        exact.record(at_millis(time), span_millis(1_000));
        slots.increment(at_millis(time));
        let count = exact.count_after(at_millis(time) - span_millis(1_000)) as u64;
        let count_with_partial_slot =
            exact.count_after(at_millis(time) - span_millis(1_000) - slots.slot_width()) as u64;
        assert!(slots.count_within(at_millis(time)) <= count);
        assert!((count..=count_with_partial_slot.max(count + 23))
            .contains(&slots.count_overlapping(at_millis(time))));
    }
}

#[test]
fn slot_window_follows_a_clock_that_was_set_back() {
    let mut window: SlotWindow<u32> = SlotWindow::new(span_millis(100), span_millis(20), 1_024);
    window.increment(at_millis(1_000));
    window.increment(at_millis(200));
    assert_eq!(
        window.newest(),
        Some(&Slot { start: at_millis(1_000), value: 2 }),
        "the event is counted in the newest slot"
    );
    window.shift_back(span_millis(800));
    window.increment(at_millis(200));
    assert_eq!((window.count_overlapping(at_millis(200)), window.len()), (3, 1), "no event is lost");
    assert_eq!(window.count_overlapping(at_millis(400)), 0, "all events have left the window");
}

#[test]
fn serialized_forms_match_those_in_captures() {
    let mut bucket = TokenBucket::default();
    bucket.try_take(Timestamp::from_micros(5), 0.0, 1.0);
    assert_eq!(serde_json::to_string(&bucket).expect("serializable"), r#"{"level":0.0,"at":5}"#);
    let mut events = EventWindow::default();
    events.record(Timestamp::from_micros(7), span_millis(1));
    assert_eq!(serde_json::to_string(&events).expect("serializable"), "[7]");
    let mut sums = SumWindow::default();
    sums.record(Timestamp::from_micros(7), 0.5, span_millis(1));
    assert_eq!(serde_json::to_string(&sums).expect("serializable"), "[[7,0.5]]");
    assert_eq!(serde_json::to_string(&MovingAverage::new(0.25)).expect("serializable"), "0.25");
}
