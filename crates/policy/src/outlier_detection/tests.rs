use super::OutlierDetector;
use crate::engine_health::OVERDUE_MULTIPLE;
use crate::events::Outcome;
use crate::ids::EngineId;
use crate::request::Attempt;
use sprucelink_time::Timestamp;

const ZONE: u32 = 7;

fn at(millis: i64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn end(outliers: &mut OutlierDetector, engine: u32, sent_at: Timestamp, outcome: Outcome) {
    let attempt = Attempt {
        engine: EngineId(engine),
        number: 0,
        sent_at,
        last_progress: sent_at,
        expected_latency_secs: 0.1,
        is_cancelled: false,
        next_overdue_multiple: OVERDUE_MULTIPLE,
    };
    outliers.record_send(sent_at, ZONE);
    outliers.record_outcome(sent_at, ZONE, &attempt, outcome);
}

#[test]
fn zone_is_unreachable_once_two_engines_are_silent_and_until_one_responds() {
    let mut outliers = OutlierDetector::new();
    end(&mut outliers, 1, at(100), Outcome::ConnectFailed);
    end(&mut outliers, 1, at(200), Outcome::ConnectFailed);
    assert_eq!(outliers.next_trial_of_unreachable(ZONE), None, "one engine, twice");
    end(&mut outliers, 2, at(300), Outcome::ConnectFailed);
    assert_eq!(outliers.next_trial_of_unreachable(ZONE), Some(at(1_300)), "a second after the last attempt");
    end(&mut outliers, 3, at(400), Outcome::RejectedByEngine);
    assert_eq!(outliers.next_trial_of_unreachable(ZONE), None, "an engine that rejects is reachable");
}

#[test]
fn attempt_sent_before_the_last_response_is_no_silence() {
    let mut outliers = OutlierDetector::new();
    outliers.record_response(at(500), ZONE);
    end(&mut outliers, 1, at(499), Outcome::ConnectFailed);
    end(&mut outliers, 2, at(500), Outcome::ConnectFailed);
    assert_eq!(outliers.next_trial_of_unreachable(ZONE), None);
    end(&mut outliers, 1, at(501), Outcome::ConnectFailed);
    end(&mut outliers, 2, at(501), Outcome::ConnectFailed);
    assert!(outliers.next_trial_of_unreachable(ZONE).is_some());
}

#[test]
fn timeout_says_nothing_of_the_zone() {
    let mut outliers = OutlierDetector::new();
    for engine in 0..5 {
        end(&mut outliers, engine, at(100), Outcome::TimedOut);
    }
    assert_eq!(outliers.next_trial_of_unreachable(ZONE), None);
}
