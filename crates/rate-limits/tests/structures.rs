//! Each structure against values worked out by hand, and the serialized forms that captures hold.

use sprucelink_rate_limits::{
    update_mean, update_mean_and_variance, EventWindow, MovingAverage, RecentSet, Slot, SlotWindow,
    SumWindow, TokenBucket,
};
use sprucelink_time::{TimeDelta, Timestamp};

fn at(millis: i64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn span(millis: i64) -> TimeDelta {
    TimeDelta::from_millis(millis)
}

#[test]
fn token_bucket_fills_at_its_rate_and_only_up_to_its_depth() {
    let mut bucket = TokenBucket::default();
    let taken = (0..5).filter(|_| bucket.try_take(at(1_000_000), 2.0, 3.0)).count();
    assert_eq!(taken, 3, "a long pause fills it to its depth and no further");
    assert!(!bucket.try_take(at(1_000_499), 2.0, 3.0), "just before the next token");
    assert!(bucket.try_take(at(1_000_500), 2.0, 3.0), "half a second at two tokens a second");
    assert!(!bucket.try_take(at(1_000_500), 2.0, 3.0));
}

#[test]
fn event_window_counts_exactly_the_events_after_an_instant() {
    let mut window = EventWindow::default();
    for time in [0, 10, 20, 30] {
        window.record(at(time), span(100));
    }
    assert_eq!(window.count_after(at(10)), 2, "the instant itself is excluded");
    window.record(at(110), span(100));
    assert_eq!(window.count_after(at(-1)), 4, "what is older than the span was dropped, its edge was not");
}

#[test]
fn sum_window_sums_the_amounts_of_its_span() {
    let mut window = SumWindow::default();
    window.record(at(0), 1.0, span(100));
    window.record(at(50), 2.0, span(100));
    window.record(at(100), 4.0, span(100));
    assert_eq!(window.sum(at(100), span(100)), 7.0, "both ends are included");
    assert_eq!(window.sum(at(101), span(100)), 6.0);
    assert_eq!(window.sum(at(300), span(100)), 0.0);
    window.record(at(151), 8.0, span(100));
    assert_eq!(window.sum(at(151), span(1_000)), 12.0, "older ones were dropped");
}

#[test]
fn moving_average_goes_a_fraction_of_the_way_to_each_sample() {
    let mut average = MovingAverage::new(1.0);
    average.update(3.0, 0.25);
    assert_eq!(average.value(), 1.5);
    average.update(100.0, 0.0);
    assert_eq!(average.value(), 1.5);
    average.update(-2.0, 1.0);
    assert_eq!(average.value(), -2.0);
}

#[test]
fn recent_set_drops_the_key_used_longest_ago() {
    let mut set = RecentSet::default();
    [1, 2, 1, 3].iter().for_each(|key| set.touch(*key, 2));
    assert_eq!([1, 2, 3].map(|key| set.contains(key)), [true, false, true]);
    assert_eq!(serde_json::to_string(&set).expect("it serializes"), "[1,3]");
    set.clear();
    assert!(!set.contains(3));
}

#[test]
fn mean_weighs_the_first_samples_equally_and_later_ones_by_the_minimum() {
    let (mut mean, mut samples) = (0.0, 0);
    [1.0, 2.0, 3.0, 4.0].iter().for_each(|sample| update_mean(&mut mean, &mut samples, *sample, 0.25));
    assert_eq!((mean, samples), (2.5, 4));
    update_mean(&mut mean, &mut samples, 4.5, 0.25);
    assert_eq!((mean, samples), (3.0, 5), "a quarter of the way, not a fifth");
    samples = u32::MAX;
    update_mean(&mut mean, &mut samples, 3.0, 0.25);
    assert_eq!(samples, u32::MAX, "the count saturates");
}

#[test]
fn mean_and_variance_with_weights_of_one_over_n_are_those_of_the_samples() {
    let samples = [2.0, 4.0, 4.0, 4.0, 5.0, 5.0, 7.0, 9.0];
    let (mut mean, mut variance) = (0.0, 0.0);
    for (n, sample) in samples.iter().enumerate() {
        update_mean_and_variance(&mut mean, &mut variance, *sample, 1.0 / (n + 1) as f64);
    }
    assert!((mean - 5.0_f64).abs() < 1e-12 && (variance - 4.0_f64).abs() < 1e-12, "{mean} {variance}");
}

#[test]
fn slot_window_counts_the_cut_slot_whole_or_not_at_all() {
    let mut window: SlotWindow<u32> = SlotWindow::new(span(100), span(20), 1_024);
    for time in [0, 19, 20, 60, 100] {
        window.increment(at(time));
    }
    assert_eq!(window.newest(), Some(&Slot { start: at(100), value: 1 }));
    assert_eq!((window.count_overlapping(at(110)), window.count_within(at(110))), (5, 3));
    // On the edge of a slot that slot is cut, too: its first instant lies outside of the window.
    assert_eq!((window.count_overlapping(at(120)), window.count_within(at(120))), (3, 2));
    assert_eq!((window.count_overlapping(at(300)), window.count_within(at(300))), (0, 0));
}

#[test]
fn slot_window_memory_is_bounded_whatever_the_span_and_rate() {
    for (length, slots) in [(100, 32), (100, 8), (20_000, 8), (3, 1), (0, 4)] {
        let mut window: SlotWindow<u32> = SlotWindow::new(span(length), span(5), slots);
        for time in 0..10 * length {
            window.increment(at(time));
            assert!(window.len() <= slots as usize + 2, "{} slots of {slots}", window.len());
            assert!(window.len() as i64 <= length / 5 + 2, "{} of {length} ms", window.len());
        }
    }
}

#[test]
fn slot_window_agrees_with_an_exact_window_but_for_the_cut_slot() {
    let mut exact = EventWindow::default();
    let mut slots: SlotWindow<u32> = SlotWindow::new(span(1_000), span(20), 1_024);
    let mut time = 0;
    for step in 0..5_000_i64 {
        time += step * step % 23;
        exact.record(at(time), span(1_000));
        slots.increment(at(time));
        let count = exact.count_after(at(time) - span(1_000)) as u64;
        let longer = exact.count_after(at(time) - span(1_000) - slots.slot_width()) as u64;
        assert!(slots.count_within(at(time)) <= count);
        assert!((count..=longer.max(count + 23)).contains(&slots.count_overlapping(at(time))));
    }
}

#[test]
fn slot_window_follows_a_clock_that_was_set_back() {
    let mut window: SlotWindow<u32> = SlotWindow::new(span(100), span(20), 1_024);
    window.increment(at(1_000));
    window.increment(at(200));
    assert_eq!(window.newest(), Some(&Slot { start: at(1_000), value: 2 }), "the newest slot takes it");
    window.shift_back(span(800));
    window.increment(at(200));
    assert_eq!((window.count_overlapping(at(200)), window.len()), (3, 1), "none is lost");
    assert_eq!(window.count_overlapping(at(400)), 0, "and none stays");
}

#[test]
fn serialized_forms_are_those_that_captures_hold() {
    let mut bucket = TokenBucket::default();
    bucket.try_take(Timestamp::from_micros(5), 0.0, 1.0);
    assert_eq!(serde_json::to_string(&bucket).expect("it serializes"), r#"{"level":0.0,"at":5}"#);
    let mut events = EventWindow::default();
    events.record(Timestamp::from_micros(7), span(1));
    assert_eq!(serde_json::to_string(&events).expect("it serializes"), "[7]");
    let mut sums = SumWindow::default();
    sums.record(Timestamp::from_micros(7), 0.5, span(1));
    assert_eq!(serde_json::to_string(&sums).expect("it serializes"), "[[7,0.5]]");
    assert_eq!(serde_json::to_string(&MovingAverage::new(0.25)).expect("it serializes"), "0.25");
}
