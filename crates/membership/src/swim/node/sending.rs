//! Sending: updates are piggybacked on every message, and gossip rounds carry the remaining ones (SWIM 4.1).

use super::{OutgoingMessage, SwimNode};
use crate::encoder::encoded_size;
use crate::message::{Message, MessageKind, Update};
use crate::wire::MAX_DATAGRAM_BYTES;
use rand::seq::SliceRandom;
use sprucelink_float_math::log10;
use std::net::SocketAddr;

/// Maximum size of a message's updates, in bytes: the remaining 140 bytes of the datagram are for the header,
/// at most two names and an address.
pub(super) const MAX_UPDATE_BYTES: usize = MAX_DATAGRAM_BYTES - 140;

impl SwimNode {
    /// Sends a message with queued updates, as far as they fit.
    pub(super) fn send(&mut self, to: SocketAddr, kind: MessageKind) {
        self.send_with_updates(to, kind, Vec::new());
    }

    /// Sends a message with the given updates first, and queued ones as far as they fit.
    pub(super) fn send_with_updates(&mut self, to: SocketAddr, kind: MessageKind, mut updates: Vec<Update>) {
        let free_bytes = MAX_UPDATE_BYTES.saturating_sub(updates.iter().map(encoded_size).sum());
        let max_transmissions = self.max_transmissions();
        updates.extend(self.gossip_queue.take_for_message(free_bytes, max_transmissions));
        self.send_exactly(to, kind, updates);
    }

    /// Sends a message with the given updates only.
    pub(super) fn send_exactly(&mut self, to: SocketAddr, kind: MessageKind, updates: Vec<Update>) {
        self.counters.sent += 1;
        let message = Message { sender: self.local.sender(), kind, updates };
        self.outbox.push(OutgoingMessage { to, message });
    }

    /// Answers a message. A sender that accused this member receives the refutation with the answer, ahead of
    /// queued updates.
    pub(super) fn answer(&mut self, to: SocketAddr, kind: MessageKind, is_accused: bool) {
        let mut updates = Vec::new();
        if is_accused {
            updates.push(self.local.update_about(self.local.member()));
        }
        self.send_with_updates(to, kind, updates);
    }

    /// Sends a round of gossip to `fanout` members, chosen at random.
    pub(super) fn gossip(&mut self, fanout: usize) {
        if self.gossip_queue.is_empty() {
            return;
        }
        let mut addresses = self.members.gossip_addresses(self.last_tick);
        addresses.shuffle(&mut self.rng);
        for address in addresses.into_iter().take(fanout) {
            if self.gossip_queue.is_empty() {
                return;
            }
            self.send(address, MessageKind::Gossip);
        }
    }

    /// Maximum number of transmissions of an update: a multiple of the logarithm of the fleet's size.
    fn max_transmissions(&self) -> u32 {
        let log_size = log10((self.live_count() + 1) as f64).ceil();
        (self.config.retransmit_multiplier * log_size).ceil().max(1.0) as u32
    }
}
