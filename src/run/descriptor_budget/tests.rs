//! Tests of the division of descriptors at every limit.

use super::*;
use crate::run::admin;

fn sum(budget: &DescriptorBudget) -> usize {
    OWN_DESCRIPTORS
        + budget.reserved
        + budget.handshakes
        + budget.draining
        + budget.sessions
        + budget.engine_connections
}

/// Guards against bounds that exceed the limit together: connections of one kind could then take the
/// descriptors of another kind, such as clients the descriptor of the control feed's connection.
#[test]
fn budget_never_exceeds_the_limit() {
    for limit in (0..=2_048).chain([4_096, 65_536, 1 << 40]) {
        for reserved in [0, admin::limits(limit).descriptors(), admin::limits(limit).descriptors() + 96] {
            match DescriptorBudget::divide(limit, reserved) {
                Ok(budget) => {
                    let sum = sum(&budget);
                    assert!(sum <= limit && sum + 2 > limit, "{budget:?} of {limit}");
                    assert!(budget.sessions >= 5 && budget.engine_connections >= 3, "{budget:?}");
                    assert!(budget.handshakes >= 4 && budget.draining >= 2, "{budget:?}");
                }
                Err(TooFewDescriptors { limit: reported, sufficient }) => {
                    assert_eq!(reported, limit);
                    assert!(sufficient > limit, "{sufficient} of {limit}");
                    assert!(
                        DescriptorBudget::divide(sufficient, reserved).is_ok(),
                        "{sufficient} of {limit}"
                    );
                    let below = DescriptorBudget::divide(sufficient - 1, reserved);
                    assert!(below.is_err(), "{sufficient} of {limit}");
                }
            }
        }
    }
}

#[test]
fn budgets_match_the_documented_table() {
    let with_admin = |limit| {
        let reserved = admin::limits(limit).descriptors();
        let budget = DescriptorBudget::divide(limit, reserved).expect("enough");
        [
            OWN_DESCRIPTORS,
            budget.reserved,
            budget.handshakes,
            budget.draining,
            budget.sessions,
            budget.engine_connections,
        ]
    };
    assert_eq!(with_admin(64), [16, 6, 4, 2, 22, 13]);
    assert_eq!(with_admin(128), [16, 10, 8, 2, 57, 34]);
    assert_eq!(with_admin(512), [16, 34, 24, 8, 268, 161]);
    assert_eq!(with_admin(672), [16, 34, 24, 8, 368, 221]);
    assert_eq!(with_admin(1024), [16, 34, 24, 8, 588, 353]);
}
