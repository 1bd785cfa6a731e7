//! Tests of the endpoint watch with generated and fixed behaviours of the feed, in virtual time.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestCaseError, TestRunner};
use sprucelink_startup::endpoint_poller::EndpointPollerConfig;

/// The behaviour of a feed in one poll. All delays are in microseconds after the previous step.
#[derive(Clone, Debug)]
struct FeedBehavior {
    dial_delay: i64,
    /// Delay of the head of the response, and the HTTP status.
    response: (i64, u16),
    /// Delay of each event.
    event_gaps: Vec<i64>,
    /// Number of steps after which the feed's address changes; `None` if it does not change.
    address_changes_after: Option<usize>,
}

/// Generates spans in microseconds: mostly well below `bound`, some close to it, and some far above it.
fn around(bound: TimeDelta) -> impl Strategy<Value = i64> {
    let micros = bound.as_micros();
    prop_oneof![4 => 0..micros / 10, 1 => micros - 2..micros + 2, 1 => Just(i64::MAX / 4)]
}

fn feed_behavior() -> impl Strategy<Value = FeedBehavior> {
    let status =
        prop_oneof![6 => Just(200u16), 1 => Just(503), 1 => Just(429), 1 => Just(302), 1 => Just(500)];
    let event_gaps = proptest::collection::vec(around(IDLE_TIMEOUT), 0..6);
    let address_changes_after = proptest::option::weighted(0.1, 0usize..4);
    (around(DIAL_TIMEOUT), (around(IDLE_TIMEOUT), status), event_gaps, address_changes_after).prop_map(
        |(dial_delay, response, event_gaps, address_changes_after)| FeedBehavior {
            dial_delay,
            response,
            event_gaps,
            address_changes_after,
        },
    )
}

/// Advances the time by `span` microseconds, or to the timeout of the phase if the timeout is earlier;
/// returns false for a timeout.
fn step(watch: &EndpointWatch, now: &mut Timestamp, span: i64) -> bool {
    let time_left = watch.time_left(*now);
    let is_in_time = TimeDelta::from_micros(span) <= time_left;
    *now = *now + if is_in_time { TimeDelta::from_micros(span) } else { time_left };
    is_in_time
}

/// The end of a poll.
#[derive(Debug, PartialEq)]
enum PollEnd {
    AddressChanged,
    /// The poll ended with a response of this status; `None` if there was no response.
    Completed(Option<u16>),
}

/// Simulates one poll from its start.
fn simulate_poll(watch: &mut EndpointWatch, now: &mut Timestamp, feed: &FeedBehavior) -> PollEnd {
    let mut steps = 0;
    let mut address_changes = || {
        steps += 1;
        feed.address_changes_after == Some(steps - 1)
    };
    watch.on_poll_started(*now);
    if address_changes() {
        return PollEnd::AddressChanged;
    }
    if !step(watch, now, feed.dial_delay) {
        assert_eq!(watch.timeout_reason(), "no connection in time");
        return PollEnd::Completed(None);
    }
    watch.on_connected(*now);
    if address_changes() {
        return PollEnd::AddressChanged;
    }
    if !step(watch, now, feed.response.0) {
        assert_eq!(watch.timeout_reason(), "silent");
        return PollEnd::Completed(None);
    }
    if watch.on_response(feed.response.1, *now).is_err() {
        return PollEnd::Completed(Some(feed.response.1));
    }
    for gap in &feed.event_gaps {
        if address_changes() {
            return PollEnd::AddressChanged;
        }
        if !step(watch, now, *gap) {
            break;
        }
        watch.on_bytes(true, *now);
    }
    PollEnd::Completed(Some(200))
}

/// A drain must be obeyed in time: for any behaviour of the feed, the backoff after a poll that was not
/// rejected is at most 250 ms, no poll lasts longer than its timeouts, and a feed whose address has changed
/// is polled at once.
#[test]
fn next_poll_starts_within_the_maximum_backoff_for_any_feed_behavior() {
    let runner = TestRunner::new(Config {
        cases: 500,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(3),
        ..Config::default()
    });
    let cases = (proptest::collection::vec(feed_behavior(), 1..40), any::<bool>(), any::<u64>());
    let result = { runner }.run(&cases, |(feeds, scheduled, seed)| check_polls(&feeds, scheduled, seed));
    result.expect("the property holds");
}

/// Simulates one poll for each feed behaviour, with or without a start-up schedule, and checks the duration
/// of each poll and the backoff after it.
fn check_polls(feeds: &[FeedBehavior], scheduled: bool, seed: u64) -> Result<(), TestCaseError> {
    let mut now = Timestamp::from_secs(1_000_000);
    let schedule = scheduled.then(|| EndpointPoller::new(EndpointPollerConfig::default(), 300, seed, now));
    let mut watch = EndpointWatch::new(schedule, now);
    prop_assert!(
        watch.time_left(now) <= TimeDelta::from_millis(200),
        "the first poll is within the schedule's window"
    );
    let mut expected_backoff = MIN_BACKOFF;
    for feed in feeds {
        now = now + watch.time_left(now);
        prop_assert_eq!(watch.time_left(now), TimeDelta::ZERO);
        let poll_started_at = now;
        let end = simulate_poll(&mut watch, &mut now, feed);
        if end == PollEnd::AddressChanged {
            watch.on_address_changed(now);
            prop_assert_eq!(
                watch.time_left(now),
                TimeDelta::ZERO,
                "a feed whose address changed is polled at once"
            );
            expected_backoff = MIN_BACKOFF;
            continue;
        }
        let max_duration =
            DIAL_TIMEOUT.as_micros() + IDLE_TIMEOUT.as_micros() * (feed.event_gaps.len() as i64 + 2);
        prop_assert!((now - poll_started_at).as_micros() <= max_duration, "a poll ends within its timeouts");
        let backoff = watch.on_poll_ended(now);
        prop_assert_eq!(backoff.delay, watch.time_left(now), "the time left is the backoff");
        let was_rejected = matches!(end, PollEnd::Completed(Some(429 | 503)));
        prop_assert_eq!(backoff.was_rejected, was_rejected && scheduled);
        if !backoff.was_rejected {
            prop_assert!(backoff.delay <= TimeDelta::from_millis(250), "{:?}", backoff);
        }
        expected_backoff = if end == PollEnd::Completed(Some(200)) {
            MIN_BACKOFF
        } else {
            (expected_backoff + expected_backoff).min(MAX_BACKOFF)
        };
        if !scheduled {
            prop_assert_eq!(
                backoff.delay,
                expected_backoff,
                "backoffs double while no poll is answered, and are reset by an answer"
            );
        }
    }
    Ok(())
}

/// A feed may often end its responses without an event. It must be polled again well before a drain that it
/// announces meanwhile has to be obeyed.
#[test]
fn backoff_grows_only_while_polls_are_not_answered() {
    let mut now = Timestamp::ZERO;
    let mut watch = EndpointWatch::new(None, now);
    let mut poll = |status: Option<u16>| {
        watch.on_poll_started(now);
        if let Some(status) = status {
            watch.on_connected(now);
            let _ = watch.on_response(status, now);
        }
        let backoff = watch.on_poll_ended(now).delay;
        now = now + backoff;
        backoff.as_millis()
    };
    assert!((0..20).all(|_| poll(Some(200)) == 20));
    let backoffs: Vec<i64> = (0..6).map(|i| poll([None, Some(500), Some(503)][i % 3])).collect();
    assert_eq!(backoffs, [40, 80, 160, 250, 250, 250]);
    assert_eq!(poll(Some(200)), 20);
}

/// An unreadable event must not end every poll, and an event that was damaged in transit must not be lost.
#[test]
fn unreadable_event_is_requested_again_three_times() {
    let mut watch = EndpointWatch::new(None, Timestamp::ZERO);
    for event in [Some(7), Some(8), None, Some(7)] {
        let retries: Vec<bool> = (0..5).map(|_| watch.should_retry_event(event)).collect();
        assert_eq!(retries, [true, true, true, false, false], "{event:?}");
    }
}

/// How a poll fails after the feed has become silent.
#[derive(Clone, Copy, Debug)]
enum FailedPoll {
    /// No connection is made.
    ConnectionFailed,
    /// A connection is made, but no response arrives.
    ResponseMissing,
    /// The head of a response arrives, but no event.
    EventsMissing,
}

/// The time from the last event of a feed that became silent until the next poll that is answered starts, if
/// the polls in `failed_polls` come first.
fn time_until_answered(failed_polls: &[FailedPoll]) -> TimeDelta {
    let mut now = Timestamp::ZERO;
    let mut watch = EndpointWatch::new(None, now);
    let wait = |watch: &EndpointWatch, now: &mut Timestamp| *now = *now + watch.time_left(*now);
    watch.on_poll_started(Timestamp::ZERO);
    watch.on_connected(Timestamp::ZERO);
    watch.on_response(200, Timestamp::ZERO).expect("answered");
    wait(&watch, &mut now);
    for failed_poll in failed_polls {
        watch.on_poll_ended(now);
        wait(&watch, &mut now);
        watch.on_poll_started(now);
        match failed_poll {
            FailedPoll::ConnectionFailed => {}
            FailedPoll::ResponseMissing => watch.on_connected(now),
            FailedPoll::EventsMissing => {
                watch.on_connected(now);
                watch.on_response(200, now).expect("answered");
            }
        }
        wait(&watch, &mut now);
    }
    watch.on_poll_ended(now);
    wait(&watch, &mut now);
    now - Timestamp::ZERO
}

/// An event of the feed counts as delivered after 7 s, even if it did not arrive. The next poll has to start
/// within these 7 s, even after failed polls.
#[test]
fn silent_feed_is_polled_again_before_its_events_count_as_delivered() {
    use FailedPoll::{ConnectionFailed, EventsMissing, ResponseMissing};
    let millis = |failed_polls: &[FailedPoll]| time_until_answered(failed_polls).as_millis();
    assert_eq!(millis(&[]), 2_520);
    assert_eq!(
        (millis(&[ConnectionFailed]), millis(&[ResponseMissing]), millis(&[EventsMissing])),
        (3_060, 4_060, 5_040)
    );
    for failed_polls in [
        &[ResponseMissing, ResponseMissing][..],
        &[ConnectionFailed, ResponseMissing],
        &[ResponseMissing, ConnectionFailed],
        &[EventsMissing, ResponseMissing],
        &[EventsMissing, ConnectionFailed],
        &[ConnectionFailed; 5],
    ] {
        assert!(millis(failed_polls) < 7_000, "{failed_polls:?}: {} ms", millis(failed_polls));
    }
}

/// A response of single bytes completes no event and must time out. A comment per second keeps it open, even
/// while a long event arrives in parts.
#[test]
fn response_that_completes_no_event_times_out() {
    let mut now = Timestamp::ZERO;
    let mut watch = EndpointWatch::new(None, now);
    watch.on_poll_started(now);
    watch.on_connected(now);
    watch.on_response(200, now).expect("answered");
    for half_second in 1..=40 {
        now = now + TimeDelta::from_millis(500);
        assert!(
            watch.time_left(now - TimeDelta::from_micros(1)) > TimeDelta::ZERO,
            "half second {half_second}"
        );
        watch.on_bytes(half_second % 7 == 0, now);
    }
    let half_seconds = (1..100).take_while(|_| {
        now = now + TimeDelta::from_millis(500);
        watch.on_bytes(false, now);
        watch.time_left(now) > TimeDelta::ZERO
    });
    assert_eq!(
        half_seconds.count(),
        2,
        "the third one ends 4 s after half second 35, the last with a complete event"
    );
    assert_eq!(watch.timeout_reason(), "silent");
}

/// A clock that is set back by an hour must not keep the feed from being polled for that hour.
#[test]
fn clock_set_back_does_not_prolong_a_phase() {
    let late = Timestamp::from_secs(10_000);
    let mut watch = EndpointWatch::new(None, late);
    let early = late - TimeDelta::from_secs(3_600);
    assert_eq!(watch.time_left(early), TimeDelta::ZERO);
    watch.on_poll_started(late);
    assert_eq!(watch.time_left(early), DIAL_TIMEOUT);
    watch.on_connected(late);
    assert_eq!(watch.time_left(early), RESPONSE_TIMEOUT);
    watch.on_response(200, late).expect("answered");
    assert_eq!(watch.time_left(early), IDLE_TIMEOUT);
    assert_eq!(watch.on_poll_ended(late).delay, watch.time_left(early));
}

/// Two unreadable events must not reset each other's count, or neither would ever be skipped.
#[test]
fn unreadable_events_with_and_without_number_are_counted_separately() {
    let mut watch = EndpointWatch::new(None, Timestamp::ZERO);
    let retries: Vec<(bool, bool)> =
        (0..5).map(|_| (watch.should_retry_event(None), watch.should_retry_event(Some(7)))).collect();
    assert_eq!(retries, [(true, true), (true, true), (true, true), (false, false), (false, false)]);
    watch.on_event_applied();
    assert!(watch.should_retry_event(None), "an applied event resets the count");
}
