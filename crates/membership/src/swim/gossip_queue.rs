//! Updates that are still to be disseminated, each a bounded number of times.

use crate::encoder::encoded_size;
use crate::gossip_payload::GossipPayload;
use crate::message::{Member, Update};
use std::collections::BTreeMap;

/// Smallest size of an update, in bytes: with fewer left a datagram is full.
const MIN_UPDATE_BYTES: usize = 48;

/// What an update is about; states come before payloads.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    State(String),
    Payload(String),
}

impl Subject {
    fn is_payload(&self) -> bool {
        matches!(self, Subject::Payload(_))
    }
}

#[derive(Clone, Debug)]
struct QueuedUpdate {
    update: Update,
    transmissions: u32,
}

/// At most one update of a member's state and one of its payload: a newer one replaces an older one.
#[derive(Clone, Debug, Default)]
pub(super) struct GossipQueue {
    updates: BTreeMap<Subject, QueuedUpdate>,
}

impl GossipQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.updates.is_empty()
    }

    pub(super) fn enqueue_member(&mut self, member: Member, reported_by: String) {
        let subject = Subject::State(member.name.clone());
        self.enqueue(subject, Update::Member { member, reported_by });
    }

    pub(super) fn enqueue_payload(&mut self, member: String, generation: u64, payload: GossipPayload) {
        let subject = Subject::Payload(member.clone());
        self.enqueue(subject, Update::Payload { member, generation, payload });
    }

    pub(super) fn remove_payload(&mut self, member: &str) {
        self.updates.remove(&Subject::Payload(member.to_owned()));
    }

    fn enqueue(&mut self, subject: Subject, update: Update) {
        self.updates.insert(subject, QueuedUpdate { update, transmissions: 0 });
    }

    /// Updates that fit into this many bytes, for one message: states before payloads, then those with the fewest
    /// transmissions.
    /// Each counts as transmitted; it leaves the queue at `max_transmissions`.
    pub(super) fn take_for_message(&mut self, mut free_bytes: usize, max_transmissions: u32) -> Vec<Update> {
        let mut order: Vec<(bool, u32, Subject)> = Vec::with_capacity(self.updates.len());
        for (subject, queued) in &self.updates {
            order.push((subject.is_payload(), queued.transmissions, subject.clone()));
        }
        order.sort_unstable();
        let mut taken = Vec::new();
        for (_, _, subject) in order {
            let Some(queued) = self.updates.get_mut(&subject) else { continue };
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
                self.updates.remove(&subject);
            }
        }
        taken
    }
}
