//! Tests of salted numbers.

use super::*;

#[test]
fn salt_changes_a_number_and_leaves_the_sequence_unchanged() {
    let mut plain = SplitMix64::new(7);
    let mut salted = SplitMix64::new(7);
    assert_eq!(salted.next_u64_with(0), plain.next_u64());
    assert_ne!(salted.next_u64_with(1), plain.next_u64());
    assert_eq!(salted.next_u64(), plain.next_u64());
}
