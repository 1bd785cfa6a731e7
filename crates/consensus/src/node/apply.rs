//! Hands out committed entries, and tracks which are on disk and applied.

use super::Node;
use crate::convert;
use crate::ids::ProposalId;
use crate::membership::{ConfChange, VersionedMembership};
use crate::pending_proposals::UnknownReason;
use crate::ready::{CommittedEntry, Ready};
use crate::snapshot::Snapshot;
use crate::wire;
use prost::Message as _;
use raft::eraftpb;
use raft::StateRole;
use sprucelink_time::Timestamp;

impl Node {
    /// Replaces the log by a snapshot from the leader.
    pub(super) fn install_snapshot(&mut self, snapshot: Snapshot, ready: &mut Ready) {
        self.raw_node.mut_store().install(snapshot.clone());
        self.progress.handed_out = snapshot.index;
        self.is_snapshot_requested = false;
        self.persistence.is_snapshot_due = false;
        self.proposals.abandon_all(UnknownReason::CoveredBySnapshot);
        ready.membership = Some(snapshot.membership.clone());
        ready.apply_through = snapshot.index;
        ready.snapshot = Some(snapshot);
    }

    /// Hands out committed entries and applies the membership changes among them.
    pub(super) fn hand_out_entries(&mut self, entries: &[eraftpb::Entry], ready: &mut Ready) {
        for entry in entries {
            let mut proposal_id = None;
            if let Some(change) = convert::decode_conf_change(entry) {
                self.apply_conf_change(entry.index, change, ready);
            } else if !entry.get_data().is_empty() {
                let committed = committed_entry(entry);
                proposal_id = Some(committed.id);
                ready.committed_entries.push(committed);
            }
            self.proposals.entry_committed(entry.index, entry.term, proposal_id);
            self.progress.handed_out = entry.index;
            ready.apply_through = entry.index;
        }
    }

    /// Applies a membership change. One that breaks a rule at its place in the log has no effect at any
    /// member.
    fn apply_conf_change(&mut self, index: u64, change: ConfChange, ready: &mut Ready) {
        let mut membership = self.current_membership().membership.clone();
        if membership.check(change).is_err() {
            return;
        }
        if self.raw_node.apply_conf_change(&convert::conf_change_to_raft(change)).is_err() {
            return;
        }
        membership.apply(change);
        if !membership.contains(change.member) {
            self.peers.forget(change.member);
        }
        let current = VersionedMembership { index, membership: membership.clone() };
        self.raw_node.mut_store().push_membership(current);
        if !membership.contains(self.id) && self.raw_node.raft.state == StateRole::Leader {
            // An earlier leader proposed the removal of this member, which has become leader since. If it
            // continued to lead, the library would panic when it looks up its own progress.
            self.step_down();
        }
        ready.membership = Some(membership);
    }

    /// Reports that batch `number` and all batches before it are on disk.
    pub fn persisted(&mut self, now: Timestamp, number: u64) {
        self.now = self.now.max(now);
        let ready_number = self.persistence.batch_on_disk(number);
        if ready_number != 0 {
            self.raw_node.on_persist_ready(ready_number);
        }
        self.advance_applied();
    }

    /// Reports that all entries up to `index` are applied. A digest of the state after that entry, if given,
    /// is compared with the digests of the peers; digests are comparable only where several members give one
    /// after the same entry.
    pub fn applied(&mut self, index: u64, state_digest: Option<u64>) {
        let index = index.min(self.progress.handed_out);
        self.progress.reported = self.progress.reported.max(index);
        if let Some(digest) = state_digest {
            self.digests.push(index, digest);
        }
        self.advance_applied();
    }

    /// Reports the applied index to the raft library, up to the last entry that is on disk.
    fn advance_applied(&mut self) {
        let log = &self.raw_node.raft.raft_log;
        let index = self.progress.reported.min(log.committed).min(log.persisted);
        if index > self.progress.applied {
            self.progress.applied = index;
            self.raw_node.advance_apply_to(index);
        }
    }
}

fn committed_entry(entry: &eraftpb::Entry) -> CommittedEntry {
    let proposal = wire::Proposal::decode(entry.get_data()).unwrap_or_default();
    CommittedEntry {
        index: entry.index,
        term: entry.term,
        id: ProposalId { origin: proposal.origin, sequence: proposal.sequence },
        bytes: proposal.data,
    }
}
