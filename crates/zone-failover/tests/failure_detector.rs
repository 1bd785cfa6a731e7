//! Tests of the detection of unresponsive engines.

use sprucelink_zone_failover::failure_detector::Responsiveness::{Responsive, Unknown, Unresponsive};
use sprucelink_zone_failover::failure_detector::{current_responsiveness, EngineContact, FailureDetector};
use sprucelink_zone_failover::Timestamp;

fn at_millis(millis: i64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn contact(
    engine: u32,
    zone: u32,
    last_response_at: Option<i64>,
    has_overdue_attempts: bool,
) -> EngineContact {
    let last_response_at = last_response_at.map(at_millis);
    EngineContact { engine, zone, last_response_at, is_silent: false, has_overdue_attempts }
}

#[test]
fn responsiveness_follows_from_the_last_response_and_overdue_attempts() {
    let classify = |now, contact: EngineContact| current_responsiveness(at_millis(now), &contact);
    assert_eq!(classify(1_000, contact(0, 0, Some(800), true)), Responsive, "overdue, but it responds");
    assert_eq!(classify(1_000, contact(0, 0, Some(600), true)), Unresponsive);
    assert_eq!(classify(1_000, contact(0, 0, None, true)), Unresponsive);
    assert_eq!(classify(5_000, contact(0, 0, Some(600), false)), Unknown);
    let silent = EngineContact { is_silent: true, ..contact(0, 0, Some(999), false) };
    assert_eq!(classify(1_000, silent), Unresponsive);
}

/// An unresponsive engine's attempts are cancelled and then no longer overdue, but the engine must still
/// count as unresponsive.
#[test]
fn engine_stays_unresponsive_until_any_engine_of_its_zone_responds() {
    let mut detector = FailureDetector::default();
    let update = |detector: &mut FailureDetector, now, neighbour_responded_at, is_overdue| {
        let contacts = [
            contact(1, 7, Some(100), is_overdue),
            contact(2, 7, neighbour_responded_at, false),
            contact(3, 8, Some(now), false),
        ];
        detector.update(at_millis(now), &contacts)
    };
    assert_eq!(update(&mut detector, 1_000, Some(200), true)[0], Unresponsive);
    let after_cancel = update(&mut detector, 1_100, Some(200), false);
    assert_eq!(after_cancel[0], Unresponsive, "a response in another zone changes nothing");
    assert!(detector.is_suspected(1) && !detector.is_suspected(2));
    let after_response = update(&mut detector, 1_300, Some(1_250), false);
    assert_eq!(after_response[0], Responsive, "its own last response is 1.2 s old");
    assert!(!detector.is_suspected(1));
}

#[test]
fn suspicion_is_removed_at_its_maximum_age() {
    let mut detector = FailureDetector::default();
    detector.update(at_millis(0), &[contact(1, 7, None, true)]);
    assert_eq!(detector.update(at_millis(29_900), &[contact(1, 7, None, false)])[0], Unresponsive);
    assert_eq!(detector.update(at_millis(30_000), &[contact(1, 7, None, false)])[0], Unknown);
}
