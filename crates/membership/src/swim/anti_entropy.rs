//! Anti-entropy: with whom views are compared, and how many complete views may be sent.

use super::member_table::MemberTable;
use crate::message::MemberState;
use crate::Timestamp;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Maximum number of complete views sent in a second: enough for a flood of joins, and low enough that forged digests
/// cannot use this member as an amplifier.
const MAX_VIEWS_PER_SECOND: f64 = 50.0;

/// A token bucket for complete views.
#[derive(Clone, Debug)]
struct ViewRateLimiter {
    tokens: f64,
    refilled_at: Timestamp,
}

impl ViewRateLimiter {
    fn new(now: Timestamp) -> ViewRateLimiter {
        ViewRateLimiter { tokens: MAX_VIEWS_PER_SECOND, refilled_at: now }
    }

    fn try_acquire(&mut self, now: Timestamp) -> bool {
        let refill = (now - self.refilled_at).as_secs_f64().max(0.0) * MAX_VIEWS_PER_SECOND;
        self.tokens = (self.tokens + refill).min(MAX_VIEWS_PER_SECOND);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// When views are compared next, and with whom.
#[derive(Clone, Debug)]
pub(super) struct AntiEntropy {
    seeds: Vec<SocketAddr>,
    next_at: Timestamp,
    /// Whether the last comparison was one with a seed or a dead member.
    compared_outside: bool,
    view_limiter: ViewRateLimiter,
}

impl AntiEntropy {
    /// The first comparison is due now.
    pub(super) fn new(seeds: Vec<SocketAddr>, now: Timestamp) -> AntiEntropy {
        AntiEntropy { seeds, next_at: now, compared_outside: true, view_limiter: ViewRateLimiter::new(now) }
    }

    pub(super) fn next_at(&self) -> Timestamp {
        self.next_at
    }

    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        now >= self.next_at
    }

    pub(super) fn schedule(&mut self, next_at: Timestamp) {
        self.next_at = next_at;
    }

    /// The addresses to compare views with now: in turn that of a live member, and of a seed or a dead one.
    pub(super) fn next_peers(&mut self, members: &MemberTable, rng: &mut ChaCha8Rng) -> Vec<SocketAddr> {
        self.compared_outside = !self.compared_outside;
        let live: BTreeSet<SocketAddr> = members.live().map(|member| member.address).collect();
        let dead = members.all().filter(|member| member.state == MemberState::Dead);
        let dead = dead.map(|member| member.address);
        let outside: Vec<SocketAddr> =
            self.seeds.iter().copied().chain(dead).filter(|address| !live.contains(address)).collect();
        // A member that knows no live one contacts every seed: any single one may be down.
        if live.is_empty() {
            return outside;
        }
        let candidates =
            if self.compared_outside && !outside.is_empty() { outside } else { live.into_iter().collect() };
        candidates.choose(rng).copied().into_iter().collect()
    }

    /// Whether a complete view may be sent now, which then counts.
    pub(super) fn try_acquire_view(&mut self, now: Timestamp) -> bool {
        self.view_limiter.try_acquire(now)
    }
}
