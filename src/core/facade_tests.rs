//! What the facade keeps beside the module.

use super::*;

/// Guards engines against a start that moves with the clock: a later one would make a warm engine cold again.
#[test]
fn the_same_start_told_again_is_the_same_moment() {
    let mut facade = PolicyDriver::new(Settings::default(), 1, Vec::new(), Vec::new(), Timestamp::ZERO);
    let first = facade.started("e", 1_700_000_000_000).expect("a start");
    std::thread::sleep(std::time::Duration::from_millis(2));
    assert_eq!(facade.started("e", 1_700_000_000_000), Some(first));
    let next = facade.started("e", 1_700_000_001_000).expect("a later one");
    assert!(next > first);
    assert_eq!(facade.started("e", 0), None);
    let number = facade.engine("e");
    facade.forget(number);
    assert!(facade.starts.is_empty(), "what is forgotten is kept nowhere");
}
