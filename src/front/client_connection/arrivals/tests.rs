//! Tests of arrival times.

use super::*;

fn time(millis: i64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn each_message_has_the_arrival_time_of_its_last_byte() {
    let mut arrivals = Arrivals::new(time(0));
    arrivals.record_received(100, time(1_000));
    arrivals.record_received(50, time(2_000));
    arrivals.record_received(50, time(3_000));
    arrivals.record_consumed(100);
    assert_eq!(arrivals.last_consumed_arrival(), time(1_000));
    // The second message ends in the middle of the third read.
    arrivals.record_consumed(60);
    assert_eq!(arrivals.last_consumed_arrival(), time(3_000));
    arrivals.record_consumed(40);
    assert_eq!(arrivals.last_consumed_arrival(), time(3_000));
}

#[test]
fn stored_reads_are_bounded_and_arrival_times_are_never_late() {
    let mut arrivals = Arrivals::new(time(0));
    for read in 1..=10_000 {
        arrivals.record_received(1, time(read * 20));
    }
    assert!(arrivals.reads.len() <= MAX_READS);
    for read in 1..=10_000 {
        arrivals.record_consumed(1);
        assert!(arrivals.last_consumed_arrival() <= time(read * 20), "byte {read}");
    }
}
