//! How the fleet shares budgets, as one member sees it: spare retries of other members, and the number of members that
//! budgets are divided by.
//!
//! Payloads are seconds old, and all members read the same ones: if each took all that is left, together they would spend
//! it once for each member. So each takes an even part of what is left, and only of what the payloads show: a member
//! without a payload counts as having spent its budget completely.

use crate::gossip_payload::GossipPayload;

#[cfg(test)]
mod tests;

/// A manager's retry budget, as the settings give it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed in a window whatever the load.
    pub min_retries: f64,
    /// Further retries, as a fraction of the requests admitted in that window.
    pub retry_ratio: f64,
}

impl RetryBudget {
    /// What a member has left of its budget.
    fn remaining(&self, payload: &GossipPayload) -> f64 {
        let allowed = self.min_retries + self.retry_ratio * f64::from(payload.admitted_requests);
        (allowed - f64::from(payload.retries)).max(0.0)
    }
}

/// Of what others have left of their budgets, members together use this fraction at most: the rest covers what the others
/// spend before their next payload arrives.
const USABLE_FRACTION: f64 = 0.5;

/// Retries that a member may make beyond its own budget: its even part of what the others have left. `others` are the
/// payloads of the other live members, `live_count` is the number of all live members, this one included.
pub fn spare_retries(budget: RetryBudget, others: &[&GossipPayload], live_count: usize) -> f64 {
    let remaining: f64 = others.iter().map(|payload| budget.remaining(payload)).sum();
    (remaining * USABLE_FRACTION / live_count.max(1) as f64).max(0.0)
}

/// The number of managers among which budgets are divided: the live ones. With fewer than half of the configured managers in view
/// this side may be the smaller part of a partitioned fleet, with the rest alive beyond it: then the configured number
/// is used.
pub fn budget_divisor(live_count: usize, configured_count: u32) -> u32 {
    let live_count = u32::try_from(live_count).unwrap_or(u32::MAX).max(1);
    if live_count.saturating_mul(2) < configured_count {
        configured_count
    } else {
        live_count
    }
}
