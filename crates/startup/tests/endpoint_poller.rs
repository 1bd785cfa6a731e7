//! Tests of the schedule of polls of the endpoint list.

use sprucelink_startup::backoff::BackoffConfig;
use sprucelink_startup::endpoint_poller::{EndpointPoller, EndpointPollerConfig, PollOutcome};
use sprucelink_startup::{TimeDelta, Timestamp};

const MICROS_PER_SEC: i64 = 1_000_000;

#[test]
fn first_polls_of_a_fleet_spread_over_its_window() {
    let config = EndpointPollerConfig::default();
    let first_poll =
        |seed| EndpointPoller::new(config, 300, seed, Timestamp::ZERO).next_poll_at().unwrap().as_micros();
    let first_polls: Vec<i64> = (0..300).map(first_poll).collect();
    // 300 managers at 200 polls per second would spread over 1.5 s; `max_window_ms` bounds the window to
    // 200 ms.
    assert!(first_polls.iter().all(|poll| (0..=MICROS_PER_SEC / 5).contains(poll)));
    let mut per_tenth = [0; 10];
    first_polls.iter().for_each(|poll| per_tenth[((poll * 50 / MICROS_PER_SEC) as usize).min(9)] += 1);
    assert!(per_tenth.iter().all(|polls| *polls <= 50), "{per_tenth:?}");
    // A single manager polls almost at once.
    let single = EndpointPoller::new(config, 1, 5, Timestamp::ZERO);
    assert_eq!(single.first_poll_window(), TimeDelta::from_millis(5));
}

#[test]
fn rejections_back_off_and_the_next_poll_follows_an_answer_soon() {
    let mut poller = EndpointPoller::new(EndpointPollerConfig::default(), 100, 3, Timestamp::ZERO);
    let mut now = poller.next_poll_at().unwrap();
    let mut delays = Vec::new();
    for _ in 0..5 {
        assert!(poller.try_start(now));
        let next = poller.complete(now, PollOutcome::Rejected);
        delays.push((next - now).as_micros());
        now = next;
    }
    assert!(delays.windows(2).all(|pair| pair[1] > pair[0]), "{delays:?}");
    assert!(delays[0] >= 800_000, "{delays:?}");
    assert!(poller.try_start(now));
    let next = poller.complete(now, PollOutcome::Answered);
    assert!(
        (next - now).as_micros() <= MICROS_PER_SEC / 4,
        "after an answer the next poll is at most 250 ms away"
    );
    assert_eq!(poller.consecutive_failures(), 0);
}

#[test]
fn delay_after_a_failure_or_an_answer_is_at_most_250_ms_at_any_rate() {
    // A rate of one poll per second for a fleet of 1,000: a manager's share is one poll per 1,000 s.
    let config = EndpointPollerConfig { fleet_rate: 1.0, ..EndpointPollerConfig::default() };
    let mut poller = EndpointPoller::new(config, 1_000, 9, Timestamp::ZERO);
    let mut now = poller.next_poll_at().unwrap();
    for index in 0..50 {
        assert!(poller.try_start(now), "poll {index}");
        let outcome = if index % 2 == 0 { PollOutcome::Failed } else { PollOutcome::Answered };
        let next = poller.complete(now, outcome);
        let delay = (next - now).as_micros();
        assert!(delay <= MICROS_PER_SEC / 4, "delay of {delay} µs at poll {index}");
        now = next;
    }
}

#[test]
fn token_bucket_limits_the_fleet_to_its_rate_where_the_maximum_delay_allows_it() {
    // 10 managers at 50 polls per second: each may poll 5 times per second. The feed ends each answer at
    // once.
    let config = EndpointPollerConfig { fleet_rate: 50.0, burst: 1.0, ..EndpointPollerConfig::default() };
    let mut poller = EndpointPoller::new(config, 10, 1, Timestamp::ZERO);
    let mut now = poller.next_poll_at().unwrap();
    let first = now;
    while now < first + TimeDelta::from_micros(10 * MICROS_PER_SEC) {
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
    let invalid = EndpointPollerConfig { max_window_ms: 1_000.0, ..EndpointPollerConfig::default() };
    assert!(invalid.validate().unwrap_err().path.starts_with("window_most_ms"));
    assert!(EndpointPollerConfig { engines_reject_while_draining: true, ..invalid }.validate().is_ok());
    let rejected = BackoffConfig { jitter: 2.0, ..BackoffConfig::GRPC };
    let invalid = EndpointPollerConfig { rejected, ..EndpointPollerConfig::default() };
    assert!(invalid.validate().unwrap_err().path.starts_with("refused.jitter"));
    assert!(EndpointPollerConfig::default().validate().is_ok());
}
