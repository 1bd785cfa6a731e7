use super::OutlierDetector;
use crate::engine_health::OVERDUE_MULTIPLE;
use crate::engine_table::EngineTable;
use crate::events::{Arrival, EndpointUpdate, EngineEntry, EngineState, Outcome};
use crate::ids::{ClassId, EngineId, RequestId};
use crate::request::{Attempt, OpenRequests, Request};
use crate::settings::Settings;
use sprucelink_stable_hash::SplitMix64;
use sprucelink_time::{TimeDelta, Timestamp};

const ZONE: u32 = 7;

fn at_millis(millis: i64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn attempt(engine: u32, sent_at: Timestamp) -> Attempt {
    Attempt {
        engine: EngineId(engine),
        number: 0,
        sent_at,
        last_progress: sent_at,
        expected_latency_secs: 10.0,
        is_cancelled: false,
        next_overdue_multiple: OVERDUE_MULTIPLE,
    }
}

fn record_ended_attempt(outliers: &mut OutlierDetector, engine: u32, sent_at: Timestamp, outcome: Outcome) {
    let attempt = attempt(engine, sent_at);
    outliers.record_send(sent_at, ZONE);
    outliers.record_outcome(sent_at, ZONE, &attempt, outcome);
}

#[test]
fn zone_is_unreachable_once_two_engines_are_silent_and_until_one_responds() {
    let mut outliers = OutlierDetector::new();
    record_ended_attempt(&mut outliers, 1, at_millis(100), Outcome::ConnectFailed);
    record_ended_attempt(&mut outliers, 1, at_millis(200), Outcome::ConnectFailed);
    assert_eq!(outliers.next_trial_of_unreachable(ZONE), None, "only one engine is silent");
    record_ended_attempt(&mut outliers, 2, at_millis(300), Outcome::ConnectFailed);
    assert_eq!(
        outliers.next_trial_of_unreachable(ZONE),
        Some(at_millis(1_300)),
        "one second after the last attempt"
    );
    record_ended_attempt(&mut outliers, 3, at_millis(400), Outcome::RejectedByEngine);
    assert_eq!(
        outliers.next_trial_of_unreachable(ZONE),
        None,
        "an engine that rejects requests is reachable"
    );
}

#[test]
fn attempt_sent_before_the_last_response_does_not_count_as_silence() {
    let mut outliers = OutlierDetector::new();
    outliers.record_response(at_millis(500), ZONE);
    record_ended_attempt(&mut outliers, 1, at_millis(499), Outcome::ConnectFailed);
    record_ended_attempt(&mut outliers, 2, at_millis(500), Outcome::ConnectFailed);
    assert_eq!(outliers.next_trial_of_unreachable(ZONE), None);
    record_ended_attempt(&mut outliers, 1, at_millis(501), Outcome::ConnectFailed);
    record_ended_attempt(&mut outliers, 2, at_millis(501), Outcome::ConnectFailed);
    assert!(outliers.next_trial_of_unreachable(ZONE).is_some());
}

#[test]
fn timed_out_attempts_do_not_make_a_zone_unreachable() {
    let mut outliers = OutlierDetector::new();
    for engine in 0..5 {
        record_ended_attempt(&mut outliers, engine, at_millis(100), Outcome::TimedOut);
    }
    assert_eq!(outliers.next_trial_of_unreachable(ZONE), None);
}

/// Two engines of the zone, with an attempt in flight on each since 100 ms.
fn two_engines_with_attempts_in_flight(outliers: &mut OutlierDetector) -> (EngineTable, OpenRequests) {
    let mut engines = EngineTable::default();
    let entry = |number| EngineEntry {
        engine: EngineId(number),
        zone: ZONE,
        kind: 0,
        cell: 0,
        state: EngineState::Ready,
        since: None,
    };
    let entries = [entry(0), entry(1)];
    let settings = Settings::default();
    engines.apply_endpoint_update(
        at_millis(0),
        EndpointUpdate::Complete,
        &entries,
        &settings,
        outliers,
        &mut SplitMix64::new(1),
    );
    let request = |number: u32| {
        let arrival = Arrival {
            id: RequestId(u64::from(number)),
            class: ClassId(0),
            tenant: 0,
            tables: 0,
            time_left: TimeDelta::from_secs(60),
            cost: None,
            memory_mb: None,
            key: None,
        };
        let request = Request::new(&arrival, u64::from(number), at_millis(100), 1.0);
        (arrival.id, Request { in_flight: Some(attempt(number, at_millis(100))), ..request })
    };
    (engines, [request(0), request(1)].into())
}

#[test]
fn attempts_without_progress_notes_make_their_zone_unreachable_and_eject_its_engines() {
    let mut outliers = OutlierDetector::new();
    let (mut engines, mut requests) = two_engines_with_attempts_in_flight(&mut outliers);
    let interval = TimeDelta::from_millis(400);
    let mut actions = Vec::new();
    outliers.update(at_millis(700), &mut engines, &mut requests, interval, &mut actions);
    assert!(actions.is_empty(), "silent for one and a half intervals");
    outliers.update(at_millis(701), &mut engines, &mut requests, interval, &mut actions);
    assert_eq!(actions.len(), 2, "a log line for each engine: {actions:?}");
    assert!(engines.iter().all(|(_, engine)| engine.health.is_ejected()));
}

#[test]
fn engines_that_send_no_progress_notes_do_not_count_as_silent() {
    let mut outliers = OutlierDetector::new();
    let (mut engines, mut requests) = two_engines_with_attempts_in_flight(&mut outliers);
    let mut actions = Vec::new();
    outliers.update(at_millis(9_000), &mut engines, &mut requests, TimeDelta::ZERO, &mut actions);
    assert!(actions.is_empty() && outliers.next_trial_of_unreachable(ZONE).is_none());
}
