//! One member: its state, its ticks and the messages that reach it.

use crate::convert;
use crate::ids::{MemberId, ProposalId};
use crate::limits::{BUSY_BATCHES, MAX_ALARMS, MAX_COUNT, MAX_FRAMES_WAITING, MAX_TICKS_AT_ONCE};
use crate::log_storage::LogStorage;
use crate::membership::Membership;
use crate::message_check::{self, MessageCheck};
use crate::peer_table::PeerTable;
use crate::pending_proposals::{PendingProposals, ProposalOutcome};
use crate::ready::{Alarm, InFlightBatch, RoleChange, Snapshot};
use crate::rejoin::{RejoinFloors, RejoinQuorum};
use crate::settings::{Config, ConfigError, RecoveredState, Timing};
use crate::state_digests::StateDigests;
use crate::wire::{self, envelope::Body, AckState};
use crate::Frame;
use raft::eraftpb::{HardState, MessageType};
use raft::{ProgressState, RawNode, StateRole};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sprucelink_time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

/// Why a member is quarantined: what it was found to have lost.
#[derive(Debug, Clone, PartialEq)]
pub enum QuarantineReason {
    /// A peer saw it acknowledge more than its disk held at its start.
    LostAcknowledgedWrites {
        /// Who saw it.
        by: MemberId,
        /// What was seen.
        observed_ack: AckState,
        /// What the disk held.
        held: AckState,
    },
    /// A leader counts on an entry that it acknowledged and does not have.
    MissingLogEntry {
        /// The leader.
        by: MemberId,
        /// The entry counted on.
        index: u64,
        /// The last entry that is there.
        last: u64,
    },
    /// It was found out at an earlier start, and its disk says so.
    FoundEarlier,
}

/// Why a member can't start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartError {
    /// The settings won't do.
    Settings(ConfigError),
    /// What the disk gave back does not fit together.
    Inconsistent(&'static str),
    /// The agreement's library refused.
    Raft(String),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Settings(error) => write!(f, "{error}"),
            StartError::Inconsistent(what) => write!(f, "the store does not fit together: {what}"),
            StartError::Raft(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for StartError {}

/// Where a member stands with regard to taking part.
#[derive(Debug)]
pub(crate) enum Phase {
    /// Started, and not yet vouched for.
    Rejoining { quorum: RejoinQuorum, next_hello: Timestamp },
    /// Takes part.
    Established,
    /// Found to have lost what it acknowledged.
    Quarantined(QuarantineReason),
}

/// One member of the council: the deciding half.
///
/// The caller owns time, disk and network: it calls [`Node::tick`] at least every tick, [`Node::step`] with every
/// frame, and after each call [`Node::ready`] until it gives nothing, doing what each [`crate::Ready`] says.
pub struct Node {
    pub(crate) me: MemberId,
    pub(crate) timing: Timing,
    pub(crate) raw: RawNode<LogStorage>,
    rng: ChaCha8Rng,
    drawn: (u64, StateRole, usize),
    pub(crate) phase: Phase,
    pub(crate) floors: RejoinFloors,
    pub(crate) boot: u64,
    /// What this start names itself by.
    pub(crate) nonce: u64,
    /// Who is to be asked while the log says nothing.
    pub(crate) contacts: (u64, Membership),
    pub(crate) peers: PeerTable,
    /// What the disk held at the start.
    pub(crate) held: AckState,
    /// What is on disk now.
    pub(crate) acked: AckState,
    /// Number of the last batch handed out.
    pub(crate) writes: u64,
    pub(crate) flights: VecDeque<InFlightBatch>,
    pub(crate) now: Timestamp,
    pub(crate) last_tick: Timestamp,
    /// Frames to send at once, and those to send behind the next batch.
    pub(crate) waiting: Vec<(MemberId, Body)>,
    pub(crate) after: Vec<(MemberId, Body)>,
    pub(crate) proposals: PendingProposals,
    pub(crate) outcomes: Vec<ProposalOutcome>,
    pub(crate) alarms: Vec<Alarm>,
    pub(crate) digests: StateDigests,
    pub(crate) handed: u64,
    pub(crate) applied: u64,
    /// An entry that is applied, whose snapshot is not on disk yet.
    pub(crate) apply_due: u64,
    pub(crate) leading_since: Option<Timestamp>,
    pub(crate) role: Option<RoleChange>,
    pub(crate) base_due: bool,
    pub(crate) state_due: bool,
    pub(crate) witness_due: Timestamp,
    pub(crate) snapshot_asked: bool,
    snapshots_sent: BTreeMap<u64, Timestamp>,
}

impl fmt::Debug for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Node")
            .field("me", &self.me)
            .field("phase", &self.phase)
            .field("role", &self.role)
            .finish()
    }
}

impl Node {
    /// Starts a member from what its disk gave back. It begins in quorum, unless its disk says that it is
    /// quarantined. The seed decides the spread of elections; it should differ from member to member and start to start.
    ///
    /// # Errors
    /// Settings out of range, or a store that does not fit together.
    pub fn new(
        config: Config,
        restored: RecoveredState,
        seed: u64,
        now: Timestamp,
    ) -> Result<Self, StartError> {
        config.check().map_err(StartError::Settings)?;
        let held = restored.witness();
        let state = restored.state.clone();
        let last = restored.last().1;
        let mut hard =
            HardState { term: state.term, vote: state.vote, commit: state.commit, ..HardState::default() };
        let (mut snapshot, mut founded) = (restored.snapshot, false);
        if restored.writes == 0 && config.founders.contains(&config.member) {
            // The founders' list stands as a snapshot of the first entry, so that whoever comes later gets it as such.
            let members = Membership::founded(&config.founders);
            snapshot = Some(Snapshot { index: 1, term: 1, membership: members, data: Vec::new() });
            (hard.term, hard.commit, founded) = (1, 1, true);
        }
        let base = snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        hard.commit = hard.commit.max(base);
        if hard.commit > last.max(base) {
            return Err(StartError::Inconsistent("committed entries are missing"));
        }
        if restored.entries.iter().zip(base + 1..).any(|(entry, index)| entry.index != index) {
            return Err(StartError::Inconsistent("entries with a gap"));
        }
        let mirror = LogStorage::restored(hard, snapshot, restored.entries);
        let contacts = (0, Membership::founded(&config.contacts));
        let own = mirror.members_on_disk().unwrap_or_else(|| contacts.clone());
        let raw =
            RawNode::new(&raft_config(&config, base), mirror, &slog::Logger::root(slog::Discard, slog::o!()))
                .map_err(|error| StartError::Raft(error.to_string()))?;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nonce = rng.gen_range(1..=u64::MAX);
        let phase = if state.quarantined {
            Phase::Quarantined(QuarantineReason::FoundEarlier)
        } else {
            let quorum = RejoinQuorum::new(config.member, own, now, config.timing.patience);
            Phase::Rejoining { quorum, next_hello: now }
        };
        let mut council = Node {
            me: config.member,
            raw,
            rng,
            drawn: (0, StateRole::Follower, 0),
            phase,
            floors: RejoinFloors::default(),
            boot: state.boot + 1,
            nonce,
            contacts,
            peers: PeerTable::restored(&state.boots, &state.observed_acks),
            held,
            acked: held,
            writes: restored.writes,
            flights: VecDeque::new(),
            now,
            last_tick: now,
            waiting: Vec::new(),
            after: Vec::new(),
            proposals: PendingProposals::default(),
            outcomes: Vec::new(),
            alarms: Vec::new(),
            digests: StateDigests::default(),
            handed: base,
            applied: base,
            apply_due: 0,
            leading_since: None,
            role: None,
            base_due: founded,
            state_due: false,
            witness_due: now + config.timing.witness_every,
            snapshot_asked: false,
            snapshots_sent: BTreeMap::new(),
            timing: config.timing,
        };
        council.tick(now);
        Ok(council)
    }

    /// Tells the time. To be called at least every tick; a longer gap counts as a stop of the process, and a
    /// leader that was stopped for as long as an election takes steps down at once.
    pub fn tick(&mut self, now: Timestamp) {
        self.pass(now);
        self.proposals.tick(now, &mut self.outcomes);
        match &mut self.phase {
            Phase::Quarantined(_) => self.last_tick = now,
            Phase::Rejoining { quorum, next_hello } => {
                self.last_tick = now;
                if now >= *next_hello {
                    *next_hello = now + self.timing.hello_every;
                    let hello = wire::RejoinRequest { nonce: self.nonce, term: self.raw.raft.term };
                    let asked = quorum.asked();
                    self.waiting.extend(asked.into_iter().map(|to| (to, Body::RejoinRequest(hello))));
                }
                self.judge();
            }
            Phase::Established => self.raft_ticks(now),
        }
    }

    /// Takes note of the time; a leader that was stopped steps down before it does anything else.
    fn pass(&mut self, now: Timestamp) {
        let stopped = now - self.last_tick >= self.timing.pause();
        if stopped && self.raw.raft.state == StateRole::Leader {
            let term = self.raw.raft.term;
            self.raw.raft.become_follower(term, 0);
            self.alarm(Alarm::LeaderPaused { paused_for: now - self.last_tick });
            self.last_tick = now;
        }
        self.now = self.now.max(now);
    }

    fn raft_ticks(&mut self, now: Timestamp) {
        let tick = self.timing.tick.as_micros();
        let due = ((now - self.last_tick).as_micros() / tick).max(0);
        let ticks = due.min(MAX_TICKS_AT_ONCE);
        self.last_tick = if due > ticks { now } else { self.last_tick + TimeDelta::from_micros(due * tick) };
        let (shortest, longest) = (self.timing.election_ticks as usize, self.longest());
        for _ in 0..ticks {
            if self.may_campaign() {
                let timeout = self.drawn_timeout();
                self.raw.raft.set_randomized_election_timeout(timeout);
            } else {
                // It lets its lease on a silent leader run out, so that others can be elected, but never campaigns.
                self.raw.raft.election_elapsed = self.raw.raft.election_elapsed.min(shortest);
                self.raw.raft.set_randomized_election_timeout(longest);
            }
            self.raw.tick();
        }
        self.retry_snapshots(now);
    }

    fn longest(&self) -> usize {
        (self.timing.election_ticks + self.timing.spread_ticks) as usize
    }

    /// The library draws its spread from a generator of its own; the one that counts comes from the seed, drawn
    /// anew whenever term or role change.
    fn drawn_timeout(&mut self) -> usize {
        let (term, state) = (self.raw.raft.term, self.raw.raft.state);
        if self.drawn.2 == 0 || (self.drawn.0, self.drawn.1) != (term, state) {
            let drawn = self.rng.gen_range(self.timing.election_ticks as usize..=self.longest());
            self.drawn = (term, state, drawn);
        }
        self.drawn.2
    }

    fn retry_snapshots(&mut self, now: Timestamp) {
        if self.raw.raft.state != StateRole::Leader {
            self.snapshots_sent.clear();
            return;
        }
        let sending: Vec<u64> = self
            .raw
            .raft
            .prs()
            .iter()
            .filter(|(_, progress)| progress.state == ProgressState::Snapshot)
            .map(|(&id, _)| id)
            .collect();
        self.snapshots_sent.retain(|id, _| sending.contains(id));
        for id in sending {
            let since = *self.snapshots_sent.entry(id).or_insert(now);
            if now - since >= self.timing.snapshot_retry {
                self.snapshots_sent.remove(&id);
                self.raw.report_snapshot(id, raft::SnapshotStatus::Failure);
            }
        }
    }

    /// Whether this member may ask for votes: its log must not be behind what it was told at its start.
    pub(crate) fn may_campaign(&self) -> bool {
        // Between a snapshot's coming and its being applied the library would look for entries that are gone.
        let whole = self.applied >= self.raw.store().snapshot_index();
        matches!(self.phase, Phase::Established) && whole && self.raft_last() >= self.floors.log()
    }

    /// Term and index of the last entry in memory.
    pub(crate) fn raft_last(&self) -> (u64, u64) {
        (self.raw.raft.raft_log.last_term(), self.raw.raft.raft_log.last_index())
    }

    /// The members in force here, and from which entry on; before the first entry whoever is to be asked.
    pub(crate) fn in_force(&self) -> &(u64, Membership) {
        self.raw.store().members().unwrap_or(&self.contacts)
    }

    pub(crate) fn alarm(&mut self, alarm: Alarm) {
        if self.alarms.len() < MAX_ALARMS {
            self.alarms.push(alarm);
        }
    }

    pub(crate) fn send(&mut self, to: MemberId, body: Body) {
        if self.waiting.len() < MAX_FRAMES_WAITING {
            self.waiting.push((to, body));
        }
    }

    /// Takes a frame that came on the connection of `from`. A frame that is not for this member, or not by `from`, or
    /// of a start of it that is over, is dropped.
    pub fn step(&mut self, now: Timestamp, from: MemberId, frame: Frame) {
        self.pass(now);
        let envelope = frame.0;
        if envelope.from != from.raw() || envelope.to != self.me.raw() || from == self.me {
            return;
        }
        if let Some(Body::RejoinRequest(hello)) = envelope.body {
            self.remember(from, &envelope);
            return self.hello(from, envelope.boot, hello);
        }
        if !self.peers.is_current(from, envelope.boot, envelope.nonce) || envelope.boot > MAX_COUNT {
            return;
        }
        self.learn(from, envelope.boot, envelope.nonce);
        self.remember(from, &envelope);
        if let Phase::Rejoining { quorum, .. } = &mut self.phase {
            quorum.heard_from(from);
        }
        match envelope.body {
            Some(Body::Raft(message)) => self.raft(from, message),
            Some(Body::RejoinResponse(welcome)) => self.welcome(from, welcome),
            Some(Body::ForwardedProposal(propose)) => self.offered(from, propose),
            Some(Body::ProposalRejection(refused)) => {
                let id = ProposalId { origin: refused.origin, sequence: refused.sequence };
                self.proposals.refused(id, &mut self.outcomes);
            }
            Some(Body::RejoinRequest(_)) | None => {}
        }
    }

    fn raft(&mut self, from: MemberId, message: wire::RaftMessage) {
        if !matches!(self.phase, Phase::Established) {
            return;
        }
        let Some(message) = convert::message_from_wire(from.raw(), self.me.raw(), message) else { return };
        match message_check::check(&self.raw.raft.raft_log, self.raw.raft.term, &self.floors, &message) {
            MessageCheck::Accept => {}
            MessageCheck::Drop => return,
            MessageCheck::EntryLost => {
                let (index, last) = (message.commit, self.raft_last().1);
                return self.quarantine(QuarantineReason::MissingLogEntry { by: from, index, last });
            }
            MessageCheck::Diverged(index) => return self.alarm(Alarm::Diverged { peer: from, index }),
        }
        let kind = message.get_msg_type();
        let busy = self.flights.len() >= BUSY_BATCHES || self.raw.store().is_full();
        if (kind == MessageType::MsgAppend && busy)
            || (kind == MessageType::MsgTimeoutNow && !self.may_campaign())
        {
            return;
        }
        // An error says that the message is of no use (its sender no member, say): nothing to be done about it.
        let _ = self.raw.step(message);
        if !self.floors.logs.is_empty() && self.raft_last() >= self.floors.log() {
            self.floors.logs.clear();
        }
    }
}

fn raft_config(config: &Config, applied: u64) -> raft::Config {
    use crate::limits::{
        MAX_APPEND_BYTES, MAX_COMMITTED_BYTES, MAX_INFLIGHT_MESSAGES, MAX_UNCOMMITTED_BYTES,
    };
    let election = config.timing.election_ticks as usize;
    raft::Config {
        id: config.member.raw(),
        election_tick: election,
        min_election_tick: election,
        // The range that the library allows; one more than ever drawn, for it leaves out the upper end.
        max_election_tick: election + config.timing.spread_ticks as usize + 1,
        heartbeat_tick: config.timing.heartbeat_ticks as usize,
        applied,
        max_size_per_msg: MAX_APPEND_BYTES,
        max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
        check_quorum: true,
        pre_vote: true,
        max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
        max_committed_size_per_ready: MAX_COMMITTED_BYTES,
        ..raft::Config::default()
    }
}
