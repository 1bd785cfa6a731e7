//! Starts a member from the state recovered from its disk.

use super::election_timeout::ElectionTimeout;
use super::persistence::Persistence;
use super::{ApplyProgress, Node, Outbox, Phase, StartError};
use crate::alarm::QuarantineReason;
use crate::config::{Config, Timing};
use crate::ids::MemberId;
use crate::limits::{
    MAX_APPEND_BYTES, MAX_COMMITTED_BYTES, MAX_INFLIGHT_APPENDS_PER_MEMBER, MAX_UNCOMMITTED_BYTES,
};
use crate::log_storage::LogStorage;
use crate::membership::{Membership, VersionedMembership};
use crate::peer_table::PeerTable;
use crate::pending_proposals::PendingProposals;
use crate::recovered_state::RecoveredState;
use crate::rejoin::{RejoinFloors, RejoinQuorum};
use crate::snapshot::Snapshot;
use crate::state_digests::StateDigests;
use raft::eraftpb::HardState;
use raft::RawNode;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sprucelink_time::Timestamp;
use std::collections::BTreeMap;

/// Index and term of the snapshot that a new group starts from.
const FIRST_INDEX: u64 = 1;

impl Node {
    /// Starts a member from the state recovered from its disk. The member has to rejoin first, unless its
    /// disk marks it as quarantined. The seed determines the random election timeouts; it should differ
    /// between members and between starts.
    ///
    /// # Errors
    /// The configuration is invalid, or the store is inconsistent.
    pub fn new(
        config: Config,
        recovered: RecoveredState,
        seed: u64,
        now: Timestamp,
    ) -> Result<Self, StartError> {
        config.check().map_err(StartError::Config)?;
        let recovered_ack = recovered.ack_state();
        let last_batch = recovered.last_batch;
        let state = recovered.state.clone();
        let is_founding = last_batch == 0 && config.founders.contains(&config.member);
        let storage = open_log(recovered, if is_founding { &config.founders } else { &[] })?;
        let snapshot_index = storage.snapshot_index();
        let contacts =
            VersionedMembership { index: 0, membership: Membership::from_voters(&config.contacts) };
        let own_membership = storage.membership_on_disk().unwrap_or_else(|| contacts.clone());
        let raw_node = new_raft_node(&config, storage)?;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nonce = rng.gen_range(1..=u64::MAX);
        let phase = initial_phase(&config, state.quarantined, own_membership, now);
        let mut persistence =
            Persistence::new(recovered_ack, last_batch, now + config.timing.peer_acks_every);
        persistence.is_snapshot_due = is_founding;
        let mut node = Node {
            id: config.member,
            raw_node,
            election_timeout: election_timeout(&config.timing, rng),
            timing: config.timing,
            phase,
            floors: RejoinFloors::default(),
            boot: state.boot + 1,
            nonce,
            contacts,
            peers: PeerTable::recovered(&state.boots, &state.observed_acks),
            persistence,
            now,
            last_tick: now,
            outbox: Outbox::default(),
            proposals: PendingProposals::default(),
            alarms: Vec::new(),
            digests: StateDigests::default(),
            progress: ApplyProgress { handed_out: snapshot_index, reported: 0, applied: snapshot_index },
            leading_since: None,
            last_role_change: None,
            is_snapshot_requested: false,
            snapshots_sent_at: BTreeMap::new(),
        };
        node.tick(now);
        Ok(node)
    }
}

fn new_raft_node(config: &Config, storage: LogStorage) -> Result<RawNode<LogStorage>, StartError> {
    let raft_config = raft_config(config, storage.snapshot_index());
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    RawNode::new(&raft_config, storage, &logger).map_err(StartError::Raft)
}

fn election_timeout(timing: &Timing, rng: ChaCha8Rng) -> ElectionTimeout {
    let shortest_ticks = timing.election_ticks as usize;
    let longest_ticks = shortest_ticks + timing.spread_ticks as usize;
    ElectionTimeout::new(rng, shortest_ticks, longest_ticks)
}

/// A member rejoins first, unless its disk marks it as quarantined.
fn initial_phase(
    config: &Config,
    is_quarantined: bool,
    own_membership: VersionedMembership,
    now: Timestamp,
) -> Phase {
    if is_quarantined {
        return Phase::Quarantined(QuarantineReason::FoundEarlier);
    }
    let quorum = RejoinQuorum::new(config.member, own_membership, now, config.timing.rejoin_patience);
    Phase::Rejoining { quorum, next_request_at: now }
}

/// Opens the log that was on disk. At a founder with an empty store the log starts with a snapshot that
/// contains the founders, so that members that join later receive them in a snapshot.
fn open_log(recovered: RecoveredState, founders: &[MemberId]) -> Result<LogStorage, StartError> {
    let last_index = recovered.last_position().index;
    let mut hard_state = HardState {
        term: recovered.state.term,
        vote: recovered.state.vote,
        commit: recovered.state.commit,
        ..HardState::default()
    };
    let mut snapshot = recovered.snapshot;
    if !founders.is_empty() {
        let membership = Membership::from_voters(founders);
        snapshot = Some(Snapshot { index: FIRST_INDEX, term: FIRST_INDEX, membership, data: Vec::new() });
        hard_state.term = FIRST_INDEX;
        hard_state.commit = FIRST_INDEX;
    }
    let snapshot_index = snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
    hard_state.commit = hard_state.commit.max(snapshot_index);
    let last_index = last_index.max(snapshot_index);
    if hard_state.commit > last_index {
        return Err(StartError::MissingCommittedEntries { commit: hard_state.commit, last: last_index });
    }
    for (entry, expected) in recovered.entries.iter().zip(snapshot_index + 1..) {
        if entry.index != expected {
            return Err(StartError::EntryGap { expected, found: entry.index });
        }
    }
    Ok(LogStorage::recovered(hard_state, snapshot, recovered.entries))
}

fn raft_config(config: &Config, applied: u64) -> raft::Config {
    let election_ticks = config.timing.election_ticks as usize;
    raft::Config {
        id: config.member.raw(),
        election_tick: election_ticks,
        min_election_tick: election_ticks,
        // The upper end of the library's range is exclusive, so it is one more than the longest timeout
        // drawn.
        max_election_tick: election_ticks + config.timing.spread_ticks as usize + 1,
        heartbeat_tick: config.timing.heartbeat_ticks as usize,
        applied,
        max_size_per_msg: MAX_APPEND_BYTES,
        max_inflight_msgs: MAX_INFLIGHT_APPENDS_PER_MEMBER,
        check_quorum: true,
        pre_vote: true,
        max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
        max_committed_size_per_ready: MAX_COMMITTED_BYTES,
        ..raft::Config::default()
    }
}
