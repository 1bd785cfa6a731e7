//! Anti-entropy: whole views are compared by digest and exchanged where they differ; queries from outside the fleet.

use super::dissemination::MAX_UPDATE_BYTES;
use super::node::SwimNode;
use crate::encoder::encoded_size;
use crate::message::{Member, MemberState, MessageKind, Update};
use crate::Timestamp;
use rand::seq::SliceRandom;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Most whole views sent in a second: enough for a flood of joins, and a forged digest is no amplifier.
const MAX_VIEWS_PER_SECOND: f64 = 50.0;

/// A token bucket for whole views.
#[derive(Clone, Debug)]
pub(super) struct ViewRateLimiter {
    tokens: f64,
    refilled_at: Timestamp,
}

impl ViewRateLimiter {
    pub(super) fn new(now: Timestamp) -> ViewRateLimiter {
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

impl SwimNode {
    /// Compares views with one other: in turn a live member, and a seed or a dead one.
    pub(super) fn compare_views(&mut self) {
        self.compares_outside = !self.compares_outside;
        let live: BTreeSet<SocketAddr> = self.live_members().map(|member| member.address).collect();
        let dead = self.members().filter(|member| member.state == MemberState::Dead);
        let dead = dead.map(|member| member.address);
        let outside: Vec<SocketAddr> =
            self.seeds.iter().copied().chain(dead).filter(|address| !live.contains(address)).collect();
        // A member without others contacts every seed: its first is as likely down as up.
        if live.is_empty() {
            for address in outside {
                self.send_digest(address, false);
            }
            return;
        }
        let candidates =
            if self.compares_outside && !outside.is_empty() { outside } else { live.into_iter().collect() };
        if let Some(address) = candidates.choose(&mut self.rng).copied() {
            self.send_digest(address, false);
        }
    }

    /// A digest arrived: where views differ the sender gets this member's.
    pub(super) fn on_digest(&mut self, now: Timestamp, from: SocketAddr, digest: u64, is_reply: bool) {
        if digest == self.digest() || !self.view_limiter.try_acquire(now) {
            return;
        }
        self.send_view(from);
        if !is_reply {
            self.send_digest(from, true);
        }
    }

    fn send_digest(&mut self, to: SocketAddr, is_reply: bool) {
        let kind =
            MessageKind::Digest { digest: self.digest(), member_count: self.live_count() as u32, is_reply };
        // With its own state: a member that has just started becomes known by it.
        let own = self.own_update_as(MemberState::Alive);
        self.send_with_updates(to, kind, vec![own]);
    }

    /// The whole view, in as many messages as it takes.
    fn send_view(&mut self, to: SocketAddr) {
        self.counters.views_sent += 1;
        let total = self.members.len() as u32 + 1;
        let own = self.own_update_as(MemberState::Alive);
        let mut free_bytes = MAX_UPDATE_BYTES - encoded_size(&own);
        let mut page = vec![own];
        let mut offset = 0;
        let members: Vec<Member> = self.members().cloned().collect();
        for (index, member) in members.into_iter().enumerate() {
            // A suspicion is reported as this member's own: as a confirmation it counts once.
            let update = Update::Member { member, reported_by: self.local.name.clone() };
            let size = encoded_size(&update);
            if size > free_bytes {
                let full_page = std::mem::take(&mut page);
                self.send_exactly(to, MessageKind::View { offset, total }, full_page);
                free_bytes = MAX_UPDATE_BYTES;
                offset = index as u32 + 1;
            }
            free_bytes -= size;
            page.push(update);
        }
        self.send_exactly(to, MessageKind::View { offset, total }, page);
    }

    /// One page of the view for a client outside the fleet; this member itself comes first.
    pub(super) fn answer_query(&mut self, to: SocketAddr, offset: u32) {
        let own = self.own_member();
        let all = std::iter::once(&own).chain(self.members());
        let mut page = Vec::new();
        let mut free_bytes = MAX_UPDATE_BYTES;
        for member in all.skip(offset as usize) {
            let update = Update::Member { member: member.clone(), reported_by: String::new() };
            let size = encoded_size(&update);
            if size > free_bytes {
                break;
            }
            free_bytes -= size;
            page.push(update);
        }
        let total = self.members.len() as u32 + 1;
        self.send_exactly(to, MessageKind::View { offset, total }, page);
    }
}
