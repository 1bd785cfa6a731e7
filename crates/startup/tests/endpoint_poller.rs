//! The schedule of polls of the endpoint list.

use sprucelink_startup::backoff::BackoffConfig;
use sprucelink_startup::endpoint_poller::{EndpointPoller, EndpointPollerConfig, PollOutcome};
use sprucelink_startup::{TimeDelta, Timestamp};

/// Microseconds in a second.
const S: i64 = 1_000_000;

#[test]
fn first_polls_of_a_fleet_spread_over_its_window() {
    let config = EndpointPollerConfig::default();
    let first_poll =
        |seed| EndpointPoller::new(config, 300, seed, Timestamp::ZERO).next_poll_at().unwrap().as_micros();
    let starts: Vec<i64> = (0..300).map(first_poll).collect();
    // 300 managers at 200 polls a second: over 1.5 s, bounded to 200 ms for drains.
    assert!(starts.iter().all(|t| (0..=S / 5).contains(t)));
    let mut per_tenth = [0; 10];
    starts.iter().for_each(|t| per_tenth[((t * 50 / S) as usize).min(9)] += 1);
    assert!(per_tenth.iter().all(|n| *n <= 50), "{per_tenth:?}");
    // Alone, a manager polls at once.
    let alone = EndpointPoller::new(config, 1, 5, Timestamp::ZERO);
    assert_eq!(alone.first_poll_window(), TimeDelta::from_millis(5));
}

#[test]
fn rejections_back_off_and_an_answer_brings_the_next_poll_soon() {
    let mut poller = EndpointPoller::new(EndpointPollerConfig::default(), 100, 3, Timestamp::ZERO);
    let mut now = poller.next_poll_at().unwrap();
    let mut delays = Vec::new();
    for _ in 0..5 {
        assert!(poller.try_start(now));
        let next = poller.complete(now, PollOutcome::Rejected);
        delays.push((next - now).as_micros());
        now = next;
    }
    assert!(delays.windows(2).all(|w| w[1] > w[0]), "{delays:?}");
    assert!(delays[0] >= 800_000, "{delays:?}");
    assert!(poller.try_start(now));
    let next = poller.complete(now, PollOutcome::Answered);
    assert!((next - now).as_micros() <= S / 4, "after an answer the next poll is at most 250 ms away");
    assert_eq!(poller.consecutive_failures(), 0);
}

#[test]
fn no_delay_after_a_failure_exceeds_the_drain_bound_whatever_the_rate() {
    // A rate of one poll a second for a fleet of 1,000: a manager's part is one in 1,000 s.
    let config = EndpointPollerConfig { fleet_rate: 1.0, ..EndpointPollerConfig::default() };
    let mut poller = EndpointPoller::new(config, 1_000, 9, Timestamp::ZERO);
    let mut now = poller.next_poll_at().unwrap();
    for i in 0..50 {
        assert!(poller.try_start(now), "poll {i}");
        let outcome = if i % 2 == 0 { PollOutcome::Failed } else { PollOutcome::Answered };
        let next = poller.complete(now, outcome);
        let delay = (next - now).as_micros();
        assert!(delay <= S / 4, "delay {delay} at poll {i}");
        now = next;
    }
}

#[test]
fn token_bucket_holds_the_fleet_to_its_rate_where_the_bound_allows() {
    // 10 managers at 50 polls a second: each may poll 5 times a second; the feed ends answers at once.
    let config = EndpointPollerConfig { fleet_rate: 50.0, burst: 1.0, ..EndpointPollerConfig::default() };
    let mut poller = EndpointPoller::new(config, 10, 1, Timestamp::ZERO);
    let mut now = poller.next_poll_at().unwrap();
    let first = now;
    while now < first + TimeDelta::from_micros(10 * S) {
        assert!(poller.try_start(now));
        now = poller.complete(now, PollOutcome::Answered);
    }
    assert!(poller.polls() <= 5 * 10 + 2, "{} polls in 10 s", poller.polls());
    assert!(poller.polls() >= 35, "{} polls in 10 s", poller.polls());
}

#[test]
fn one_poll_is_in_flight_at_a_time() {
    let mut poller = EndpointPoller::new(EndpointPollerConfig::default(), 1, 1, Timestamp::ZERO);
    let now = poller.next_poll_at().unwrap();
    assert!(poller.try_start(now));
    assert!(!poller.try_start(now));
    assert_eq!(poller.next_poll_at(), None);
    poller.complete(now, PollOutcome::Failed);
    assert!(poller.next_poll_at().is_some());
}

#[test]
fn numbers_out_of_range_are_rejected_by_name() {
    let bad = EndpointPollerConfig { max_window_ms: 1_000.0, ..EndpointPollerConfig::default() };
    assert!(bad.validate().unwrap_err().path.starts_with("window_most_ms"));
    assert!(EndpointPollerConfig { engines_reject_while_draining: true, ..bad }.validate().is_ok());
    let rejected = BackoffConfig { jitter: 2.0, ..BackoffConfig::GRPC };
    let bad = EndpointPollerConfig { rejected, ..EndpointPollerConfig::default() };
    assert!(bad.validate().unwrap_err().path.starts_with("refused.jitter"));
    assert!(EndpointPollerConfig::default().validate().is_ok());
}
