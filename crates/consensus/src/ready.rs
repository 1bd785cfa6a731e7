//! The work that a member hands out to its driver.

use crate::alarm::Alarm;
use crate::frame::Frame;
use crate::ids::ProposalId;
use crate::membership::Membership;
use crate::pending_proposals::ProposalOutcome;
use crate::role::RoleChange;
use crate::snapshot::Snapshot;
use crate::wire;

/// A committed proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommittedEntry {
    /// Index in the log. Indexes are not contiguous, because the log also contains entries of Raft itself.
    pub index: u64,
    /// Term in which the leader appended the entry.
    pub term: u64,
    /// Id that the proposer chose.
    pub id: ProposalId,
    /// Content of the proposal.
    pub bytes: Vec<u8>,
}

/// A write that must be on disk, completely and synced, before any message that depends on it is sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// Number of the batch in its store, from 1, without gaps.
    pub number: u64,
    /// The persistent state other than the log.
    pub state: wire::PersistentState,
    /// Snapshot that replaces the store's content: afterwards the store holds only this snapshot and the
    /// entries of this batch.
    pub snapshot: Option<Snapshot>,
    /// Entries to append; the log is first truncated at the index of the first of them.
    pub entries: Vec<wire::Entry>,
}

/// Work to be done by the driver.
///
/// `persist` is written to disk first. `messages` may be sent at any time; `persisted_messages` when all
/// batches up to [`Ready::send_after_batch`] are on disk, and not at all once the role is
/// [`crate::Role::Quarantined`]. `snapshot` is installed when its own batch is on disk, before anything later
/// is applied. `committed_entries` may be applied at any time.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Ready {
    /// Batch to write to disk; once it is synced, [`crate::Node::persisted`] is called with its number.
    pub persist: Option<Batch>,
    /// Number of the batch that must be on disk before `persisted_messages` are sent; 0 when there is none.
    pub send_after_batch: u64,
    /// Messages that may be sent at once.
    pub messages: Vec<Frame>,
    /// Messages that may be sent only when batch `send_after_batch` is on disk.
    pub persisted_messages: Vec<Frame>,
    /// A snapshot received from the leader, which replaces the applied state.
    pub snapshot: Option<Snapshot>,
    /// Committed proposals to apply, in the order of the log.
    pub committed_entries: Vec<CommittedEntry>,
    /// When not 0: all entries up to this index are handed out. [`crate::Node::applied`] is called with this
    /// index when the entries are applied.
    pub apply_through: u64,
    /// The current membership, if it changed since the last `Ready`.
    pub membership: Option<Membership>,
    /// Outcomes of this member's own proposals since the last `Ready`.
    pub outcomes: Vec<ProposalOutcome>,
    /// The member's role, term and leader, if any of them changed.
    pub role: Option<RoleChange>,
    /// Alarms raised since the last `Ready`.
    pub alarms: Vec<Alarm>,
    /// Whether the driver should take a snapshot of the applied state and pass it to
    /// [`crate::Node::snapshot_taken`].
    pub snapshot_due: bool,
}
