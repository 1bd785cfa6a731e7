//! Tests of the endpoint watch against feeds of every kind, in virtual time.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};
use sprucelink_startup::endpoint_poller::EndpointPollerConfig;

/// What a feed does with one poll, each step so many microseconds after the one before.
#[derive(Clone, Debug)]
struct FeedBehavior {
    dial_delay: i64,
    /// Until the head of its response, and the status.
    response: (i64, u16),
    event_gaps: Vec<i64>,
    /// After so many steps of the poll the feed's address changes.
    moves: Option<usize>,
}

/// Spans on both sides of a bound.
fn around(bound: TimeDelta) -> impl Strategy<Value = i64> {
    prop_oneof![4 => 0..bound.as_micros() / 10, 1 => bound.as_micros() - 2..bound.as_micros() + 2, 1 => Just(i64::MAX / 4)]
}

fn answer() -> impl Strategy<Value = FeedBehavior> {
    let status =
        prop_oneof![6 => Just(200u16), 1 => Just(503), 1 => Just(429), 1 => Just(302), 1 => Just(500)];
    let event_gaps = proptest::collection::vec(around(IDLE_TIMEOUT), 0..6);
    let moves = proptest::option::weighted(0.1, 0usize..4);
    (around(DIAL_TIMEOUT), (around(IDLE_TIMEOUT), status), event_gaps, moves).prop_map(
        |(dial_delay, response, event_gaps, moves)| FeedBehavior { dial_delay, response, event_gaps, moves },
    )
}

/// Advances to what the feed does after `span`, or to the end of the phase; `false` for that.
fn step(watch: &EndpointWatch, now: &mut Timestamp, span: i64) -> bool {
    let patience = watch.time_left(*now);
    let comes = TimeDelta::from_micros(span) <= patience;
    *now = *now + if comes { TimeDelta::from_micros(span) } else { patience };
    comes
}

/// How a poll ended: what the feed's answer was, if it answered.
#[derive(Debug, PartialEq)]
enum PollEnd {
    AddressChanged,
    Over(Option<u16>),
}

/// Plays one poll from its beginning.
fn play(watch: &mut EndpointWatch, now: &mut Timestamp, feed: &FeedBehavior) -> PollEnd {
    let mut steps = 0;
    let mut moves = || {
        steps += 1;
        feed.moves == Some(steps - 1)
    };
    watch.on_poll_started(*now);
    if moves() {
        return PollEnd::AddressChanged;
    }
    if !step(watch, now, feed.dial_delay) {
        assert_eq!(watch.timeout_reason(), "no connection in time");
        return PollEnd::Over(None);
    }
    watch.on_connected(*now);
    if moves() {
        return PollEnd::AddressChanged;
    }
    if !step(watch, now, feed.response.0) {
        assert_eq!(watch.timeout_reason(), "silent");
        return PollEnd::Over(None);
    }
    if watch.on_response(feed.response.1, *now).is_err() {
        return PollEnd::Over(Some(feed.response.1));
    }
    for gap in &feed.event_gaps {
        if moves() {
            return PollEnd::AddressChanged;
        }
        if !step(watch, now, *gap) {
            break;
        }
        watch.on_bytes(true, *now);
    }
    PollEnd::Over(Some(200))
}

/// A drain must be obeyed in time: whatever the feed does, a poll that was not rejected is followed by another within 250 ms,
/// no poll outlives its timeouts, and a feed whose address changed is polled at once.
#[test]
fn poll_follows_within_the_backoff_whatever_the_feed_does() {
    let runner = TestRunner::new(Config {
        cases: 500,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(3),
        ..Config::default()
    });
    let feeds = (proptest::collection::vec(answer(), 1..40), any::<bool>(), any::<u64>());
    let run = { runner }.run(&feeds, |(feeds_played, scheduled, seed)| {
        let mut now = Timestamp::from_micros(1_000_000_000_000);
        let calls = scheduled.then(|| EndpointPoller::new(EndpointPollerConfig::default(), 300, seed, now));
        let mut watch = EndpointWatch::new(calls, now);
        prop_assert!(
            watch.time_left(now) <= TimeDelta::from_micros(200_000),
            "the first poll is within the window"
        );
        let mut expected_backoff = MIN_BACKOFF;
        for feed in &feeds_played {
            now = now + watch.time_left(now);
            prop_assert_eq!(watch.time_left(now), TimeDelta::ZERO);
            let began = now;
            let end = play(&mut watch, &mut now, feed);
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
            let longest =
                DIAL_TIMEOUT.as_micros() + IDLE_TIMEOUT.as_micros() * (feed.event_gaps.len() as i64 + 2);
            prop_assert!((now - began).as_micros() <= longest, "a poll ends by itself");
            let backoff = watch.on_poll_ended(now);
            prop_assert_eq!(backoff.delay, watch.time_left(now), "the backoff is what it returns");
            let was_rejected = matches!(end, PollEnd::Over(Some(429 | 503)));
            prop_assert_eq!(backoff.was_rejected, was_rejected && scheduled);
            if !backoff.was_rejected {
                prop_assert!(backoff.delay <= TimeDelta::from_micros(250_000), "{:?}", backoff);
            }
            expected_backoff = if end == PollEnd::Over(Some(200)) {
                MIN_BACKOFF
            } else {
                (expected_backoff + expected_backoff).min(MAX_BACKOFF)
            };
            if !scheduled {
                prop_assert_eq!(
                    backoff.delay,
                    expected_backoff,
                    "backoffs double while nobody answers, and start anew after"
                );
            }
        }
        Ok(())
    });
    run.expect("holds");
}

/// A feed that ends its responses often, with nothing new in them, must be polled again well before a drain has to be
/// obeyed.
#[test]
fn backoff_grows_only_while_polls_are_not_answered() {
    let (mut watch, mut now) = (EndpointWatch::new(None, Timestamp::ZERO), Timestamp::ZERO);
    let mut call = |status: Option<u16>| {
        watch.on_poll_started(now);
        if let Some(status) = status {
            watch.on_connected(now);
            let _ = watch.on_response(status, now);
        }
        let expected_backoff = watch.on_poll_ended(now).delay;
        now = now + expected_backoff;
        expected_backoff.as_millis()
    };
    assert!((0..20).all(|_| call(Some(200)) == 20));
    let rests: Vec<i64> = (0..6).map(|i| call([None, Some(500), Some(503)][i % 3])).collect();
    assert_eq!(rests, [40, 80, 160, 250, 250, 250]);
    assert_eq!(call(Some(200)), 20);
}

/// One bad event must not come again with every poll, and one that was damaged on the way must not be given up.
#[test]
fn unreadable_event_is_asked_for_again_three_times() {
    let mut watch = EndpointWatch::new(None, Timestamp::ZERO);
    for event in [Some(7), Some(8), None, Some(7)] {
        let asked: Vec<bool> = (0..5).map(|_| watch.should_retry_event(event)).collect();
        assert_eq!(asked, [true, true, true, false, false], "{event:?}");
    }
}

/// How the polls after a feed fell silent fail.
#[derive(Clone, Copy, Debug)]
enum FailedPoll {
    /// No connection comes up.
    ConnectionFailed,
    /// A connection comes up and no head.
    ResponseMissing,
    /// A head comes and nothing behind it.
    EventsMissing,
}

/// Time from the last event of a silent feed until a poll is answered, if these polls fail before.
fn time_until_answered(calls: &[FailedPoll]) -> TimeDelta {
    let (mut watch, mut now) = (EndpointWatch::new(None, Timestamp::ZERO), Timestamp::ZERO);
    let wait = |watch: &EndpointWatch, now: &mut Timestamp| *now = *now + watch.time_left(*now);
    watch.on_poll_started(Timestamp::ZERO);
    watch.on_connected(Timestamp::ZERO);
    watch.on_response(200, Timestamp::ZERO).expect("answered");
    wait(&watch, &mut now);
    for call in calls {
        watch.on_poll_ended(now);
        wait(&watch, &mut now);
        watch.on_poll_started(now);
        match call {
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

/// An event of the feed counts as delivered after 7 s at the latest, whether it arrived or not: failing polls must not use
/// that up.
#[test]
fn silent_feed_is_heard_again_before_its_events_count_as_delivered() {
    use FailedPoll::{ConnectionFailed, EventsMissing, ResponseMissing};
    let ms = |calls: &[FailedPoll]| time_until_answered(calls).as_millis();
    assert_eq!(ms(&[]), 2_520);
    assert_eq!(
        (ms(&[ConnectionFailed]), ms(&[ResponseMissing]), ms(&[EventsMissing])),
        (3_060, 4_060, 5_040)
    );
    for calls in [
        &[ResponseMissing, ResponseMissing][..],
        &[ConnectionFailed, ResponseMissing],
        &[ResponseMissing, ConnectionFailed],
        &[EventsMissing, ResponseMissing],
        &[EventsMissing, ConnectionFailed],
        &[ConnectionFailed; 5],
    ] {
        assert!(ms(calls) < 7_000, "{calls:?}: {} ms", ms(calls));
    }
}

/// A response of one byte now and then completes no event and must be given up. A comment each second keeps it, also while a
/// long event comes in parts.
#[test]
fn response_that_completes_no_event_is_given_up() {
    let (mut watch, mut now) = (EndpointWatch::new(None, Timestamp::ZERO), Timestamp::ZERO);
    watch.on_poll_started(now);
    watch.on_connected(now);
    watch.on_response(200, now).expect("answered");
    for i in 1..=40 {
        now = now + TimeDelta::from_micros(500_000);
        assert!(watch.time_left(now - TimeDelta::from_micros(1)) > TimeDelta::ZERO, "half second {i}");
        watch.on_bytes(i % 7 == 0, now);
    }
    let trickles = (1..100).take_while(|_| {
        now = now + TimeDelta::from_micros(500_000);
        watch.on_bytes(false, now);
        watch.time_left(now) > TimeDelta::ZERO
    });
    assert_eq!(trickles.count(), 2, "at the third 4 s are over since the 35th half second");
    assert_eq!(watch.timeout_reason(), "silent");
}

/// A clock that is set back by an hour must not keep the feed from being polled for that hour.
#[test]
fn clock_that_is_set_back_prolongs_no_phase() {
    let late = Timestamp::from_micros(10_000_000_000);
    let mut watch = EndpointWatch::new(None, late);
    let early = late - TimeDelta::from_micros(3_600_000_000);
    assert_eq!(watch.time_left(early), TimeDelta::ZERO);
    watch.on_poll_started(late);
    assert_eq!(watch.time_left(early), DIAL_TIMEOUT);
    watch.on_connected(late);
    assert_eq!(watch.time_left(early), RESPONSE_TIMEOUT);
    watch.on_response(200, late).expect("answered");
    assert_eq!(watch.time_left(early), IDLE_TIMEOUT);
    assert_eq!(watch.on_poll_ended(late).delay, watch.time_left(early));
}

/// Two bad events must not reset each other's count: neither would ever be skipped.
#[test]
fn unreadable_events_with_and_without_number_are_counted_apart() {
    let mut watch = EndpointWatch::new(None, Timestamp::ZERO);
    let asked: Vec<(bool, bool)> =
        (0..5).map(|_| (watch.should_retry_event(None), watch.should_retry_event(Some(7)))).collect();
    assert_eq!(asked, [(true, true), (true, true), (true, true), (false, false), (false, false)]);
    watch.on_event_applied();
    assert!(watch.should_retry_event(None), "after one that could be read it is another");
}
