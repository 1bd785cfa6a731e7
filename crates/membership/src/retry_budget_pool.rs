//! How the fleet shares budgets, computed by each member: the spare retries of other members, and the number
//! of members among which budgets are divided.
//!
//! Payloads are seconds old, and all members read the same ones: if each member used all remaining retries,
//! together they would spend them once for each member. Each member therefore uses an equal part, and only of
//! the retries that payloads report as remaining: a member without a payload counts as having spent its
//! budget completely.

use crate::gossip_payload::GossipPayload;

#[cfg(test)]
mod tests;

/// A manager's retry budget from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed in each window regardless of the load.
    pub min_retries: f64,
    /// Further retries, as a fraction of the requests admitted in that window.
    pub retry_ratio: f64,
}

impl RetryBudget {
    /// Retries that a member has left, according to its payload.
    fn remaining(&self, payload: &GossipPayload) -> f64 {
        let allowed = self.min_retries + self.retry_ratio * f64::from(payload.admitted_requests);
        (allowed - f64::from(payload.retries)).max(0.0)
    }
}

/// Maximum fraction of the remaining retries of others that all members together may use. The rest covers
/// retries that the others make before their next payload arrives.
const USABLE_FRACTION: f64 = 0.5;

/// Retries that a member may make beyond its own budget: its equal part of the retries that the others have
/// left. `others` are the payloads of the other live members, `live_count` is the number of all live members,
/// this one included.
pub fn spare_retries(budget: RetryBudget, others: &[&GossipPayload], live_count: usize) -> f64 {
    let remaining: f64 = others.iter().map(|payload| budget.remaining(payload)).sum();
    (remaining * USABLE_FRACTION / live_count.max(1) as f64).max(0.0)
}

/// Number of managers among which budgets are divided: the live ones. If fewer than half of the configured
/// managers are live in the view, this manager may be in the minority part of a partitioned fleet, and the
/// others may still be running: then the configured number is used.
pub fn budget_divisor(live_count: usize, configured_count: u32) -> u32 {
    let live_count = u32::try_from(live_count).unwrap_or(u32::MAX).max(1);
    if live_count.saturating_mul(2) < configured_count {
        configured_count
    } else {
        live_count
    }
}
