//! Tests of what the driver keeps beside the policy.

use super::*;

/// A start that moved with the clock would make a warm engine cold again.
#[test]
fn a_start_that_is_listed_again_is_the_same_instant() {
    let mut driver = PolicyDriver::new(Settings::default(), 1, Vec::new(), Vec::new(), Timestamp::ZERO);
    let first = driver.started_at("e", 1_700_000_000_000).expect("a start");
    std::thread::sleep(std::time::Duration::from_millis(2));
    assert_eq!(driver.started_at("e", 1_700_000_000_000), Some(first));
    let next = driver.started_at("e", 1_700_000_001_000).expect("a later one");
    assert!(next > first);
    assert_eq!(driver.started_at("e", 0), None);
    let number = driver.engine_number("e");
    driver.forget_engine(number);
    assert!(driver.starts.is_empty(), "what is forgotten is kept nowhere");
}
