//! Tests of the state that the driver keeps of each engine.

use super::*;

/// An engine's start time may be listed many times. If its conversion moved with the wall clock, the engine's
/// slow start would begin again.
#[test]
fn start_time_that_is_listed_again_stays_the_same_instant() {
    let mut driver = PolicyDriver::new(Settings::default(), 1, Vec::new(), Vec::new(), Timestamp::ZERO);
    let first = driver.started_at("e", 1_700_000_000_000).expect("a start");
    std::thread::sleep(std::time::Duration::from_millis(2));
    assert_eq!(driver.started_at("e", 1_700_000_000_000), Some(first));
    let next = driver.started_at("e", 1_700_000_001_000).expect("a later start");
    assert!(next > first);
    assert_eq!(driver.started_at("e", 0), None);
    let index = driver.engine_index("e");
    driver.forget_engine(index);
    assert!(driver.engine_starts.is_empty(), "the start of a removed engine is dropped");
}
