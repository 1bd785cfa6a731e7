//! Tests of spare retries, and of the budget divisor in partitioned fleets.

use super::*;
use quickcheck::{Gen, QuickCheck};

const BUDGET: RetryBudget = RetryBudget { min_retries: 3.0, retry_ratio: 0.1 };

#[test]
fn member_gets_an_equal_part_of_the_retries_that_others_have_left() {
    let without_retries = GossipPayload { admitted_requests: 100, ..GossipPayload::default() };
    let exhausted = GossipPayload { admitted_requests: 100, retries: 13, ..GossipPayload::default() };
    assert_eq!(spare_retries(BUDGET, &[], 1), 0.0);
    assert_eq!(spare_retries(BUDGET, &[&exhausted, &exhausted], 3), 0.0);
    let spare = spare_retries(BUDGET, &[&without_retries, &without_retries, &exhausted], 4);
    assert!((spare - 13.0 * 2.0 * 0.5 / 4.0).abs() < 1e-9);
}

/// For any payloads, all members together get no more than the remaining retries, so that the fleet stays
/// within the sum of its budgets.
#[test]
fn fleet_stays_within_the_sum_of_its_budgets() {
    fn is_within_budgets(fleet: Vec<(u16, u16)>) -> bool {
        let payload = |(admitted, retries): &(u16, u16)| GossipPayload {
            admitted_requests: u32::from(*admitted),
            retries: u32::from(*retries),
            ..GossipPayload::default()
        };
        let payloads: Vec<GossipPayload> = fleet.iter().map(payload).collect();
        let remaining = |payload: &GossipPayload| {
            let allowed = BUDGET.min_retries + BUDGET.retry_ratio * f64::from(payload.admitted_requests);
            (allowed - f64::from(payload.retries)).max(0.0)
        };
        let total_remaining: f64 = payloads.iter().map(remaining).sum();
        let mut total_spare = 0.0;
        for own_index in 0..payloads.len() {
            let others = payloads.iter().enumerate().filter(|(index, _)| *index != own_index);
            let others: Vec<&GossipPayload> = others.map(|(_, payload)| payload).collect();
            total_spare += spare_retries(BUDGET, &others, payloads.len());
        }
        total_spare <= total_remaining * USABLE_FRACTION + 1e-6
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(50, 9))
        .quickcheck(is_within_budgets as fn(Vec<(u16, u16)>) -> bool);
}

#[test]
fn smaller_side_of_a_partition_keeps_the_configured_divisor() {
    assert_eq!([budget_divisor(300, 300), budget_divisor(90, 100), budget_divisor(50, 100)], [300, 90, 50]);
    assert_eq!([budget_divisor(49, 100), budget_divisor(0, 0), budget_divisor(120, 100)], [100, 1, 120]);
}
