//! One member of the consensus group.

mod apply;
mod conf_change;
mod election_timeout;
mod errors;
mod leadership;
mod operator;
mod peer_liveness;
mod persistence;
mod propose;
mod ready;
mod rejoin_exchange;
mod start;
mod status;
mod step;
mod tick;

pub use errors::{ConfChangeError, LeadershipError, ProposeError, SnapshotError, StartError};
pub use status::MemberProgress;

use crate::alarm::{Alarm, QuarantineReason};
use crate::config::Timing;
use crate::ids::{LogPosition, MemberId};
use crate::limits::{MAX_ALARMS, MAX_QUEUED_MESSAGES};
use crate::log_storage::LogStorage;
use crate::membership::VersionedMembership;
use crate::peer_table::PeerTable;
use crate::pending_proposals::PendingProposals;
use crate::rejoin::{RejoinFloors, RejoinQuorum};
use crate::role::RoleChange;
use crate::state_digests::StateDigests;
use crate::wire::envelope::Body;
use election_timeout::ElectionTimeout;
use persistence::Persistence;
use raft::{RawNode, StateRole};
use sprucelink_time::Timestamp;
use std::collections::BTreeMap;
use std::fmt;

/// Phase of a member: whether it may take part in the protocol.
#[derive(Debug)]
enum Phase {
    /// The member has restarted and waits for the rejoin responses of the other members.
    Rejoining { quorum: RejoinQuorum, next_request_at: Timestamp },
    /// The member votes, acknowledges entries and may lead.
    Established,
    /// The member was found to have lost acknowledged writes.
    Quarantined(QuarantineReason),
}

/// A message to another member.
type Outgoing = (MemberId, Body);

/// The messages for the next [`crate::Ready`].
#[derive(Debug, Default)]
struct Outbox {
    /// Messages that may be sent at once.
    immediate: Vec<Outgoing>,
    /// Messages that must wait until the next batch is on disk.
    after_persist: Vec<Outgoing>,
}

/// Progress of applying the log, as entry indexes.
#[derive(Debug)]
struct ApplyProgress {
    /// The last entry handed out to the driver.
    handed_out: u64,
    /// The last entry that the driver reported as applied.
    reported: u64,
    /// The last entry reported to the raft library as applied: only entries that are also on disk.
    applied: u64,
}

/// One member of the consensus group, as a state machine that does no input or output.
///
/// The driver owns time, disk and network. It calls [`Node::tick`] at least once per tick and [`Node::step`]
/// with every frame. After each call it calls [`Node::ready`] until that returns `None`, and carries out the
/// work in each [`crate::Ready`].
pub struct Node {
    id: MemberId,
    timing: Timing,
    raw_node: RawNode<LogStorage>,
    election_timeout: ElectionTimeout,
    phase: Phase,
    floors: RejoinFloors,
    /// Number of this start of the member, counted on its disk.
    boot: u64,
    /// Random number of this start, which distinguishes starts with the same number.
    nonce: u64,
    /// The members to send rejoin requests to while the log contains no membership.
    contacts: VersionedMembership,
    peers: PeerTable,
    persistence: Persistence,
    now: Timestamp,
    last_tick: Timestamp,
    outbox: Outbox,
    proposals: PendingProposals,
    alarms: Vec<Alarm>,
    digests: StateDigests,
    progress: ApplyProgress,
    leading_since: Option<Timestamp>,
    /// The role, term and leader that were last handed out.
    last_role_change: Option<RoleChange>,
    /// Whether a snapshot was requested from the driver, which has not taken it yet.
    is_snapshot_requested: bool,
    /// Time at which each snapshot in transfer was last sent, by raw member number.
    snapshots_sent_at: BTreeMap<u64, Timestamp>,
}

impl fmt::Debug for Node {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Node")
            .field("id", &self.id)
            .field("phase", &self.phase)
            .field("role", &self.last_role_change)
            .finish()
    }
}

impl Node {
    fn is_established(&self) -> bool {
        matches!(self.phase, Phase::Established)
    }

    fn is_leading(&self) -> bool {
        self.is_established() && self.raw_node.raft.state == StateRole::Leader
    }

    /// Whether this member may request votes: its log must have reached its floors.
    fn may_campaign(&self) -> bool {
        // While a received snapshot is not yet applied, the library would look for entries that were dropped.
        let is_snapshot_applied = self.progress.applied >= self.raw_node.store().snapshot_index();
        self.is_established() && is_snapshot_applied && self.has_reached_log_floors()
    }

    fn has_reached_log_floors(&self) -> bool {
        self.last_position() >= self.floors.furthest_log_position()
    }

    /// The position of the last entry in memory.
    fn last_position(&self) -> LogPosition {
        let log = &self.raw_node.raft.raft_log;
        LogPosition::new(log.last_term(), log.last_index())
    }

    /// The current membership; the configured contacts while the log contains no membership.
    fn current_membership(&self) -> &VersionedMembership {
        self.raw_node.store().membership().unwrap_or(&self.contacts)
    }

    /// Steps down within the current term.
    fn step_down(&mut self) {
        let term = self.raw_node.raft.term;
        self.raw_node.raft.become_follower(term, 0);
    }

    fn raise_alarm(&mut self, alarm: Alarm) {
        if self.alarms.len() < MAX_ALARMS {
            self.alarms.push(alarm);
        }
    }

    fn send(&mut self, to: MemberId, body: Body) {
        if self.outbox.immediate.len() < MAX_QUEUED_MESSAGES {
            self.outbox.immediate.push((to, body));
        }
    }

    fn send_after_persist(&mut self, to: MemberId, body: Body) {
        if self.outbox.after_persist.len() < MAX_QUEUED_MESSAGES {
            self.outbox.after_persist.push((to, body));
        }
    }
}
