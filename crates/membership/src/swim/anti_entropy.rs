//! Anti-entropy: the choice of peers to compare views with, and the rate limit on sent views.

use super::member_table::MemberTable;
use crate::message::MemberState;
use crate::Timestamp;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Maximum rate of complete views sent: enough for a flood of joins, and low enough that forged digests
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

/// When to compare views, with which members, and how many complete views may be sent.
#[derive(Clone, Debug)]
pub(super) struct AntiEntropy {
    seeds: Vec<SocketAddr>,
    next_comparison_at: Timestamp,
    /// Whether it was the turn of a seed or dead member at the last comparison, instead of a live member.
    was_reconnect_turn: bool,
    view_limiter: ViewRateLimiter,
}

impl AntiEntropy {
    /// Creates a schedule whose first comparison is due now.
    pub(super) fn new(seeds: Vec<SocketAddr>, now: Timestamp) -> AntiEntropy {
        AntiEntropy {
            seeds,
            next_comparison_at: now,
            was_reconnect_turn: true,
            view_limiter: ViewRateLimiter::new(now),
        }
    }

    pub(super) fn next_comparison_at(&self) -> Timestamp {
        self.next_comparison_at
    }

    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        now >= self.next_comparison_at
    }

    pub(super) fn schedule(&mut self, next_comparison_at: Timestamp) {
        self.next_comparison_at = next_comparison_at;
    }

    /// Addresses of the peers to compare views with now: alternately a live member, and a seed or dead
    /// member.
    pub(super) fn next_peers(&mut self, members: &MemberTable, rng: &mut ChaCha8Rng) -> Vec<SocketAddr> {
        self.was_reconnect_turn = !self.was_reconnect_turn;
        let live: BTreeSet<SocketAddr> = members.live().map(|member| member.address).collect();
        let dead = members.all().filter(|member| member.state == MemberState::Dead);
        let dead = dead.map(|member| member.address);
        let reconnect_addresses: Vec<SocketAddr> =
            self.seeds.iter().copied().chain(dead).filter(|address| !live.contains(address)).collect();
        // A member that knows no live member contacts all addresses, because any single one may be down.
        if live.is_empty() {
            return reconnect_addresses;
        }
        let candidates = if self.was_reconnect_turn && !reconnect_addresses.is_empty() {
            reconnect_addresses
        } else {
            live.into_iter().collect()
        };
        candidates.choose(rng).copied().into_iter().collect()
    }

    /// Returns whether a complete view may be sent now, and if so counts it against the rate limit.
    pub(super) fn try_acquire_view(&mut self, now: Timestamp) -> bool {
        self.view_limiter.try_acquire(now)
    }
}
