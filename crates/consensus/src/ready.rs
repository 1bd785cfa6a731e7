//! What a member hands out to be done by its driver.

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
    /// Its index in the log. Indexes are not contiguous, for Raft has entries of its own.
    pub index: u64,
    /// The term in which it was proposed.
    pub term: u64,
    /// The proposal.
    pub id: ProposalId,
    /// What was proposed.
    pub bytes: Vec<u8>,
}

/// What must be on disk, completely and synced, before any message that depends on it is sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// Counts this store's batches, from 1, without gaps.
    pub number: u64,
    /// The state beside the log.
    pub state: wire::PersistentState,
    /// With a snapshot the store holds afterwards the snapshot and the entries here, and nothing older.
    pub snapshot: Option<Snapshot>,
    /// Entries; the log is first truncated at the index of the first one.
    pub entries: Vec<wire::Entry>,
}

/// Work to be done by the driver.
///
/// `persist` goes to disk first. `messages` may be sent at any time; `persisted_messages` when all batches up to
/// [`Ready::send_after_batch`] are on disk, and not at all once the role is [`crate::Role::Quarantined`]. `snapshot` is installed
/// when its own batch is on disk, before anything later is applied. `committed_entries` may be applied at any time.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Ready {
    /// To be put on disk; then [`crate::Node::persisted`] is called with its number.
    pub persist: Option<Batch>,
    /// The batch that must be on disk before `persisted_messages` are sent; 0 when there is none.
    pub send_after_batch: u64,
    /// Messages that may be sent at once.
    pub messages: Vec<Frame>,
    /// Messages that wait for a batch.
    pub persisted_messages: Vec<Frame>,
    /// A snapshot that replaces the applied state.
    pub snapshot: Option<Snapshot>,
    /// Entries to be applied in order.
    pub committed_entries: Vec<CommittedEntry>,
    /// When not 0: all entries up to it are handed out; [`crate::Node::applied`] is called with it when they are applied.
    pub apply_through: u64,
    /// The membership, when it changed.
    pub membership: Option<Membership>,
    /// The outcomes of proposals.
    pub outcomes: Vec<ProposalOutcome>,
    /// The member's role, when it changed.
    pub role: Option<RoleChange>,
    /// Conditions that an operator should see.
    pub alarms: Vec<Alarm>,
    /// Whoever applies entries should take a snapshot and pass it to [`crate::Node::snapshot_taken`].
    pub snapshot_due: bool,
}
