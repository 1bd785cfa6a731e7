//! The messages of anti-entropy: digests and complete views, and answers to queries from outside the fleet.

use super::sending::MAX_UPDATE_BYTES;
use super::SwimNode;
use crate::encoder::encoded_size;
use crate::message::{Member, MessageKind, Update};
use crate::Timestamp;
use std::net::SocketAddr;

impl SwimNode {
    /// Sends this member's digest to the next peers to compare views with.
    pub(super) fn compare_views(&mut self) {
        for address in self.anti_entropy.next_peers(&self.members, &mut self.rng) {
            self.send_digest(address, false);
        }
    }

    /// Processes a received digest: if the views differ, this member's complete view is sent back.
    pub(super) fn on_digest(&mut self, now: Timestamp, from: SocketAddr, digest: u64, is_reply: bool) {
        if digest == self.digest() || !self.anti_entropy.try_acquire_view(now) {
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
        // Carries this member's own state, by which a member that has just started becomes known.
        let own = self.local.alive_update();
        self.send_with_updates(to, kind, vec![own]);
    }

    /// Sends the complete view, split over as many messages as necessary.
    fn send_view(&mut self, to: SocketAddr) {
        self.counters.views_sent += 1;
        let total = self.members.len() as u32 + 1;
        let own = self.local.alive_update();
        let mut free_bytes = MAX_UPDATE_BYTES - encoded_size(&own);
        let mut page = vec![own];
        let mut offset = 0;
        let members: Vec<Member> = self.members().cloned().collect();
        for (index, member) in members.into_iter().enumerate() {
            // Suspicions are reported in this member's name, so that its confirmation counts once.
            let update = self.local.report(member);
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

    /// Sends one page of the view to a client outside the fleet; this member itself comes first.
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
