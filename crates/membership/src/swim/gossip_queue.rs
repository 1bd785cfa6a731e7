//! Updates that are still to be disseminated, each a bounded number of times.

use crate::encoder::encoded_size;
use crate::gossip_payload::GossipPayload;
use crate::message::{Member, Update};
use std::collections::BTreeMap;

/// Minimum size of an update, in bytes: a datagram with fewer free bytes is full.
const MIN_UPDATE_BYTES: usize = 48;

/// Key of a queued update; states are ordered before payloads.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum UpdateKey {
    State(String),
    Payload(String),
}

impl UpdateKey {
    fn is_payload(&self) -> bool {
        matches!(self, UpdateKey::Payload(_))
    }
}

#[derive(Clone, Debug)]
struct QueuedUpdate {
    update: Update,
    transmissions: u32,
}

/// Queue with at most one state update and one payload update of each member: a newer one replaces an older
/// one.
#[derive(Clone, Debug, Default)]
pub(super) struct GossipQueue {
    updates: BTreeMap<UpdateKey, QueuedUpdate>,
}

impl GossipQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.updates.is_empty()
    }

    pub(super) fn enqueue_member(&mut self, member: Member, reported_by: String) {
        let key = UpdateKey::State(member.name.clone());
        self.enqueue(key, Update::Member { member, reported_by });
    }

    pub(super) fn enqueue_payload(&mut self, member: String, generation: u64, payload: GossipPayload) {
        let key = UpdateKey::Payload(member.clone());
        self.enqueue(key, Update::Payload { member, generation, payload });
    }

    pub(super) fn remove_payload(&mut self, member: &str) {
        self.updates.remove(&UpdateKey::Payload(member.to_owned()));
    }

    fn enqueue(&mut self, key: UpdateKey, update: Update) {
        self.updates.insert(key, QueuedUpdate { update, transmissions: 0 });
    }

    /// Takes the updates for one message that fit into `free_bytes`: states before payloads, and among each
    /// those with the fewest transmissions first. Each counts as transmitted and is removed from the queue at
    /// `max_transmissions`.
    pub(super) fn take_for_message(&mut self, mut free_bytes: usize, max_transmissions: u32) -> Vec<Update> {
        let mut order: Vec<(bool, u32, UpdateKey)> = Vec::with_capacity(self.updates.len());
        for (key, queued) in &self.updates {
            order.push((key.is_payload(), queued.transmissions, key.clone()));
        }
        order.sort_unstable();
        let mut taken = Vec::new();
        for (_, _, key) in order {
            let Some(queued) = self.updates.get_mut(&key) else { continue };
            let size = encoded_size(&queued.update);
            if size > free_bytes {
                if free_bytes < MIN_UPDATE_BYTES {
                    break;
                }
                continue;
            }
            free_bytes -= size;
            taken.push(queued.update.clone());
            queued.transmissions += 1;
            if queued.transmissions >= max_transmissions {
                self.updates.remove(&key);
            }
        }
        taken
    }
}
