//! Hands out the pending work of a member to its driver.

use super::{Node, Outgoing, Phase};
use crate::convert;
use crate::frame::{Frame, VERSION};
use crate::ids::MemberId;
use crate::limits::{MAX_BATCHES_IN_FLIGHT, SNAPSHOT_EVERY_BYTES};
use crate::ready::{Batch, Ready};
use crate::role::{Role, RoleChange};
use crate::snapshot::Snapshot;
use crate::wire::envelope::Body;
use crate::wire::{AckState, Envelope, PersistentState};
use raft::eraftpb;
use raft::StateRole;

/// Writes that the raft library requests.
#[derive(Default)]
struct RaftWrites {
    /// Number of the library's `Ready`; 0 when the library had none.
    ready_number: u64,
    /// Whether the entries or the hard state must be synced.
    must_sync: bool,
    entries: Vec<eraftpb::Entry>,
}

impl Node {
    /// Hands out the pending work; `None` when there is none, or when [`MAX_BATCHES_IN_FLIGHT`] batches are
    /// not yet on disk. The driver calls it after every other call until it returns `None`.
    pub fn ready(&mut self) -> Option<Ready> {
        if self.persistence.in_flight() >= MAX_BATCHES_IN_FLIGHT {
            return None;
        }
        let mut ready = Ready::default();
        let mut outbox = std::mem::take(&mut self.outbox);
        let mut writes = RaftWrites::default();
        if self.is_established() && self.raw_node.has_ready() {
            let mut raft_ready = self.raw_node.ready();
            outbox.immediate.extend(messages_to_wire(raft_ready.take_messages()));
            outbox.after_persist.extend(messages_to_wire(raft_ready.take_persisted_messages()));
            writes = self.take_raft_writes(raft_ready, &mut ready);
        }
        if self.is_batch_due(writes.must_sync, ready.snapshot.is_some()) {
            ready.persist = Some(self.next_batch(&writes.entries, ready.snapshot.is_some()));
        }
        self.track_writes(ready.persist.as_ref(), writes.ready_number);
        ready.send_after_batch = self.persistence.last_in_flight();
        ready.messages = self.frames(outbox.immediate, self.persistence.durable);
        ready.persisted_messages = self.frames(outbox.after_persist, self.persistence.pending_ack());
        ready.outcomes = self.proposals.take_outcomes();
        ready.alarms = std::mem::take(&mut self.alarms);
        ready.role = self.role_change();
        ready.snapshot_due = self.is_snapshot_due();
        let empty = Ready { send_after_batch: ready.send_after_batch, ..Ready::default() };
        (ready != empty).then_some(ready)
    }

    /// Takes entries, hard state, snapshot and committed entries from a `Ready` of the raft library.
    fn take_raft_writes(&mut self, mut raft_ready: raft::Ready, ready: &mut Ready) -> RaftWrites {
        let writes = RaftWrites {
            ready_number: raft_ready.number(),
            must_sync: raft_ready.must_sync(),
            entries: raft_ready.take_entries(),
        };
        let committed_entries = raft_ready.take_committed_entries();
        let snapshot = Snapshot::from_raft(raft_ready.snapshot());
        if let Some(hard_state) = raft_ready.hs() {
            let hard_state = hard_state.clone();
            self.raw_node.mut_store().set_hard_state(hard_state);
        }
        if let Some(snapshot) = snapshot {
            self.install_snapshot(snapshot, ready);
        }
        self.raw_node.mut_store().append(&writes.entries);
        self.raw_node.advance_append_async(raft_ready);
        self.hand_out_entries(&committed_entries, ready);
        writes
    }

    fn is_batch_due(&self, must_sync: bool, has_snapshot: bool) -> bool {
        if matches!(self.phase, Phase::Rejoining { .. }) {
            return false;
        }
        let are_peers_due = self.peers.has_changes_not_in_batch && self.now >= self.persistence.peers_due_at;
        must_sync
            || has_snapshot
            || are_peers_due
            || self.peers.must_save_now
            || self.persistence.is_snapshot_due
            || self.persistence.is_state_due
    }

    /// The next batch, with the new entries or, when this member's own snapshot is due, all entries after
    /// that snapshot.
    fn next_batch(&mut self, new_entries: &[eraftpb::Entry], has_received_snapshot: bool) -> Batch {
        let storage = self.raw_node.store();
        let has_own_snapshot = self.persistence.is_snapshot_due && !has_received_snapshot;
        let entries = if has_own_snapshot {
            storage.entries_after_snapshot()
        } else {
            new_entries.iter().map(convert::entry_to_wire).collect()
        };
        let has_snapshot = has_own_snapshot || has_received_snapshot;
        let snapshot = if has_snapshot { storage.snapshot().cloned() } else { None };
        self.persistence.last_batch += 1;
        self.persistence.is_snapshot_due = false;
        self.persistence.is_state_due = false;
        self.persistence.peers_due_at = self.now + self.timing.peer_acks_every;
        self.peers.mark_in_batch();
        Batch { number: self.persistence.last_batch, state: self.persistent_state(), snapshot, entries }
    }

    fn persistent_state(&self) -> PersistentState {
        let hard_state = self.raw_node.store().hard_state();
        PersistentState {
            term: hard_state.term,
            vote: hard_state.vote,
            commit: hard_state.commit,
            boot: self.boot,
            quarantined: matches!(self.phase, Phase::Quarantined(_)),
            boots: self.peers.boots(),
            observed_acks: self.peers.observed_acks(),
        }
    }

    /// Records which batch has to be on disk before a `Ready` of the raft library counts as persisted.
    fn track_writes(&mut self, batch: Option<&Batch>, ready_number: u64) {
        if let Some(batch) = batch {
            let last = self.raw_node.store().last_position();
            self.persistence.batch_handed_out(batch, last, ready_number);
        } else if ready_number != 0 && !self.persistence.attach_to_last(ready_number) {
            self.raw_node.on_persist_ready(ready_number);
        }
    }

    fn frames(&self, messages: Vec<Outgoing>, acknowledged: AckState) -> Vec<Frame> {
        if messages.is_empty() {
            return Vec::new();
        }
        let boots = self.peers.boots_to_send(&self.current_membership().membership.voters);
        let frame = |(to, body): Outgoing| {
            Frame(Envelope {
                version: VERSION,
                from: self.id.raw(),
                to: to.raw(),
                boot: self.boot,
                nonce: self.nonce,
                acknowledged: Some(acknowledged),
                boots: boots.clone(),
                digest: self.digests.newest(),
                body: Some(body),
            })
        };
        messages.into_iter().filter(|(to, _)| *to != self.id).map(frame).collect()
    }

    /// The role, term and leader, if they changed since the last call.
    fn role_change(&mut self) -> Option<RoleChange> {
        let change =
            RoleChange { role: self.current_role(), term: self.raw_node.raft.term, leader: self.leader() };
        if self.last_role_change == Some(change) {
            return None;
        }
        let was_leading = self
            .last_role_change
            .is_some_and(|before| before.role == Role::Leader && before.term == change.term);
        if change.role != Role::Leader {
            self.leading_since = None;
        } else if !was_leading {
            self.leading_since = Some(self.now);
        }
        self.last_role_change = Some(change);
        Some(change)
    }

    fn current_role(&self) -> Role {
        let membership = &self.current_membership().membership;
        match (&self.phase, self.raw_node.raft.state) {
            (Phase::Rejoining { .. }, _) => Role::Rejoining,
            (Phase::Quarantined(_), _) => Role::Quarantined,
            (Phase::Established, StateRole::Leader) => Role::Leader,
            (Phase::Established, _) if !membership.contains(self.id) => Role::NonMember,
            (Phase::Established, _) if !membership.voters.contains(&self.id) => Role::Learner,
            (Phase::Established, StateRole::Follower) => Role::Follower,
            (Phase::Established, _) => Role::Candidate,
        }
    }

    /// Whether the driver should take a snapshot. Returns true once per request: it can return true again
    /// only after the driver has passed a snapshot, or after a snapshot from the leader was installed.
    fn is_snapshot_due(&mut self) -> bool {
        let storage = self.raw_node.store();
        let snapshot_index = storage.snapshot_index();
        let applied = self.progress.applied;
        let is_log_long = applied >= snapshot_index + self.timing.snapshot_every
            || storage.bytes_after_snapshot() >= SNAPSHOT_EVERY_BYTES;
        let is_useful = is_log_long || storage.is_snapshot_wanted();
        let is_due = is_useful && applied > snapshot_index && !self.is_snapshot_requested;
        self.is_snapshot_requested |= is_due;
        is_due
    }
}

fn messages_to_wire(messages: Vec<eraftpb::Message>) -> impl Iterator<Item = Outgoing> {
    messages.into_iter().filter_map(|message| {
        let body = Body::Raft(convert::message_to_wire(&message)?);
        Some((MemberId::from_raw(message.to), body))
    })
}
