//! Tests of the times of arrival.

use super::*;

fn at(millis: i64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn each_message_has_the_time_of_its_own_last_byte() {
    let mut arrivals = Arrivals::new(at(0));
    arrivals.record_received(100, at(1_000));
    arrivals.record_received(50, at(2_000));
    arrivals.record_received(50, at(3_000));
    arrivals.record_consumed(100);
    assert_eq!(arrivals.of_consumed(), at(1_000));
    // The second message ends in the middle of the third read.
    arrivals.record_consumed(60);
    assert_eq!(arrivals.of_consumed(), at(3_000));
    arrivals.record_consumed(40);
    assert_eq!(arrivals.of_consumed(), at(3_000));
}

#[test]
fn many_reads_are_bounded_and_never_counted_as_later_than_they_were() {
    let mut arrivals = Arrivals::new(at(0));
    for read in 1..=10_000 {
        arrivals.record_received(1, at(read * 20));
    }
    assert!(arrivals.reads.len() <= MAX_READS);
    for read in 1..=10_000 {
        arrivals.record_consumed(1);
        assert!(arrivals.of_consumed() <= at(read * 20), "byte {read}");
    }
}
