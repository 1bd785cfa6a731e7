//! Sending: updates ride on every message, and gossip rounds carry what is left (SWIM 4.1).

use super::member_table::MemberEntry;
use super::node::{OutgoingMessage, SwimNode};
use crate::encoder::encoded_size;
use crate::message::{Member, MemberState, Message, MessageKind, Sender, Update};
use crate::wire::MAX_DATAGRAM_BYTES;
use crate::TimeDelta;
use rand::seq::SliceRandom;
use std::net::SocketAddr;

/// Bytes of a datagram for updates: the rest is the header, two names and an address at most.
pub(super) const MAX_UPDATE_BYTES: usize = MAX_DATAGRAM_BYTES - 140;
/// Gossip is also sent to the dead for this long, 30 s, so that one wrongly declared dead receives it and refutes.
const GOSSIP_TO_DEAD: TimeDelta = TimeDelta::from_micros(30_000_000);

impl SwimNode {
    /// Queues an update of a member's state.
    pub(super) fn enqueue_member(&mut self, member: Member, reported_by: String) {
        self.gossip_queue.enqueue_member(member, reported_by);
    }

    /// Sends a message with queued updates.
    pub(super) fn send(&mut self, to: SocketAddr, kind: MessageKind) {
        self.send_with_updates(to, kind, Vec::new());
    }

    /// Sends a message with these updates first, and queued ones as far as they fit.
    pub(super) fn send_with_updates(&mut self, to: SocketAddr, kind: MessageKind, mut updates: Vec<Update>) {
        let free_bytes = MAX_UPDATE_BYTES.saturating_sub(updates.iter().map(encoded_size).sum());
        let max_transmissions = self.max_transmissions();
        updates.extend(self.gossip_queue.take_for_message(free_bytes, max_transmissions));
        self.send_exactly(to, kind, updates);
    }

    /// Sends a message with these updates only.
    pub(super) fn send_exactly(&mut self, to: SocketAddr, kind: MessageKind, updates: Vec<Update>) {
        self.counters.sent += 1;
        let sender = Sender {
            name: self.local.name.clone(),
            generation: self.local.generation,
            address: self.local.address,
        };
        self.outbox.push(OutgoingMessage { to, message: Message { sender, kind, updates } });
    }

    /// Sends a round of gossip to this many members, drawn at random.
    pub(super) fn gossip(&mut self, fanout: usize) {
        if self.gossip_queue.is_empty() {
            return;
        }
        let now = self.last_tick;
        let receives_gossip = |entry: &&MemberEntry| {
            let died_recently =
                entry.member.state == MemberState::Dead && now - entry.changed_at < GOSSIP_TO_DEAD;
            entry.is_live() || died_recently
        };
        let mut addresses: Vec<SocketAddr> =
            self.members.values().filter(receives_gossip).map(|entry| entry.member.address).collect();
        addresses.shuffle(&mut self.rng);
        for address in addresses.into_iter().take(fanout) {
            if self.gossip_queue.is_empty() {
                return;
            }
            self.send(address, MessageKind::Gossip);
        }
    }

    /// How often an update is sent: a multiple of the logarithm of the fleet's size.
    fn max_transmissions(&self) -> u32 {
        let log_size = ((self.live_count() + 1) as f64).log10().ceil();
        (self.config.retransmit_multiplier * log_size).ceil().max(1.0) as u32
    }
}
