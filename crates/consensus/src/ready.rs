//! What a member hands out to be done, and the words that it is done.

use crate::convert;
use crate::frame::VERSION;
use crate::ids::{MemberId, ProposalId};
use crate::limits::{MAX_BATCHES_IN_FLIGHT, SNAPSHOT_EVERY_BYTES};
use crate::membership::Membership;
use crate::node::{Node, Phase, QuarantineReason};
use crate::pending_proposals::{ProposalOutcome, UnknownReason};
use crate::wire::{self, envelope::Body, AckState, Envelope};
use crate::Frame;
use prost::Message as _;
use raft::eraftpb;
use raft::StateRole;
use sprucelink_time::{TimeDelta, Timestamp};

/// A committed record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommittedEntry {
    /// Its place in the journal; places are not contiguous, for the agreement has entries of its own.
    pub index: u64,
    /// The term in which it was proposed.
    pub term: u64,
    /// Its proposal's name.
    pub id: ProposalId,
    /// The record.
    pub bytes: Vec<u8>,
}

/// The state of the applied journal up to and with an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// The last entry in it.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// The council's members as of it.
    pub membership: Membership,
    /// The applied state; empty for a council just founded.
    pub data: Vec<u8>,
}

/// What must be on disk, whole and synced, before anything goes out that rests on it.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// Counts this store's batches, from 1, without gaps.
    pub number: u64,
    /// The state beside the log.
    pub state: wire::PersistentState,
    /// With a snapshot the store holds afterwards it and the entries here, and nothing older.
    pub snapshot: Option<Snapshot>,
    /// Entries; the first one's place and all behind it are cut off before.
    pub entries: Vec<wire::Entry>,
}

/// A member's part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Started, not yet vouched for.
    Rejoining,
    /// Found to have forgotten; out for good under this incarnation.
    Quarantined,
    /// Not in the council's list, as far as is known here.
    NonMember,
    /// Follows without a vote.
    Learner,
    /// Follows.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// A member's part, its term and whom it takes for the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoleChange {
    /// The part.
    pub role: Role,
    /// The term.
    pub term: u64,
    /// The leader, if one is known.
    pub leader: Option<MemberId>,
}

/// What an operator should hear of.
#[derive(Debug, Clone, PartialEq)]
pub enum Alarm {
    /// This member was found to have lost what it acknowledged.
    Quarantined(QuarantineReason),
    /// A peer applied something else at the same entry, or holds another one where this one's is committed.
    Diverged {
        /// The peer.
        peer: MemberId,
        /// The entry.
        index: u64,
    },
    /// Somebody knows another start of this member, of the same number or a later one. Once, after a start: an earlier one got no
    /// further than its probation. Again and again: another process runs under its name.
    DuplicateInstance {
        /// The other start.
        boot: u64,
    },
    /// This leader was not ticked for long, and stepped down.
    LeaderPaused {
        /// For how long.
        paused_for: TimeDelta,
    },
    /// Answers of members in probation had to count at the start: two disks that forgot the same go unseen.
    WeakRejoinQuorum,
    /// An operator vouched for the disk.
    OperatorOverride,
}

/// Work to be done, in this order: `persist` to disk; `send_now` at any time; `send_after` when all batches up to
/// [`Ready::after`] are on disk, and not at all once the part is [`Role::Quarantined`]; `install` when its own batch is, before anything later is applied; `committed` at any time.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Ready {
    /// To be put on disk; then [`Node::persisted`] is to be called with its number.
    pub persist: Option<Batch>,
    /// The batch that must be on disk before `send_after` goes out; 0 when none is waited for.
    pub after: u64,
    /// Frames that may go out at once.
    pub send_now: Vec<Frame>,
    /// Frames that must wait.
    pub send_after: Vec<Frame>,
    /// A snapshot that replaces the applied state.
    pub install: Option<Snapshot>,
    /// Records, to be applied in order.
    pub committed: Vec<CommittedEntry>,
    /// When not 0: all entries up to it are handed out; [`Node::applied`] is to be called with it when they are applied.
    pub through: u64,
    /// The members, when they changed.
    pub members: Option<Membership>,
    /// What became of proposals.
    pub outcomes: Vec<ProposalOutcome>,
    /// The member's part, when it changed.
    pub role: Option<RoleChange>,
    /// What an operator should hear of.
    pub alarms: Vec<Alarm>,
    /// Whoever applies should take a snapshot and give it by [`Node::snapshot_taken`].
    pub snapshot_wanted: bool,
}

/// A batch on its way to disk.
#[derive(Debug)]
pub(crate) struct InFlightBatch {
    batch: u64,
    /// The library's count of the newest thing that rests on it.
    raft_number: u64,
    witness: AckState,
}

impl Node {
    /// Hands out what is to be done; `None` when nothing is, or [`MAX_BATCHES_IN_FLIGHT`] batches are on their way
    /// to disk. To be called after every other call until it gives `None`.
    pub fn ready(&mut self) -> Option<Ready> {
        if self.flights.len() >= MAX_BATCHES_IN_FLIGHT {
            return None;
        }
        let mut out = Ready::default();
        let (mut now, mut after) = (std::mem::take(&mut self.waiting), std::mem::take(&mut self.after));
        let (mut sync, mut raft_number, mut entries) = (false, 0, Vec::new());
        if matches!(self.phase, Phase::Established) && self.raw.has_ready() {
            let mut ready = self.raw.ready();
            raft_number = ready.number();
            sync = ready.must_sync();
            entries = ready.take_entries();
            let to_wire = |messages: Vec<eraftpb::Message>| {
                messages.into_iter().filter_map(|message| {
                    Some((MemberId::from_raw(message.to), Body::Raft(convert::message_to_wire(&message)?)))
                })
            };
            now.extend(to_wire(ready.take_messages()));
            after.extend(to_wire(ready.take_persisted_messages()));
            let committed = ready.take_committed_entries();
            let snapshot = convert_snapshot(ready.snapshot());
            if let Some(hard) = ready.hs() {
                let hard = hard.clone();
                self.raw.mut_store().set_hard(hard);
            }
            if let Some(snapshot) = snapshot {
                self.install(&snapshot, &mut out);
            }
            self.raw.mut_store().append(&entries);
            self.raw.advance_append_async(ready);
            self.hand_out(&committed, &mut out);
        }
        let due = self.peers.changed && self.now >= self.witness_due;
        let urgent = self.peers.urgent || self.base_due || self.state_due || sync || due;
        let may_write = !matches!(self.phase, Phase::Rejoining { .. });
        if may_write && (urgent || out.install.is_some()) {
            let entries = if self.base_due && out.install.is_none() {
                self.raw.store().behind_snapshot()
            } else {
                entries.iter().map(convert::entry_to_wire).collect()
            };
            out.persist = Some(self.batch(entries, out.install.is_some()));
        }
        self.book(&out, raft_number);
        out.after = self.flights.back().map_or(0, |flight| flight.batch);
        let resting = self.flights.back().map_or(self.acked, |flight| flight.witness);
        out.send_now = self.frames(now, self.acked);
        out.send_after = self.frames(after, resting);
        out.outcomes = std::mem::take(&mut self.outcomes);
        out.alarms = std::mem::take(&mut self.alarms);
        out.role = self.role_change();
        out.snapshot_wanted = self.wants_snapshot();
        (out != Ready { after: out.after, ..Ready::default() }).then_some(out)
    }

    fn install(&mut self, snapshot: &Snapshot, out: &mut Ready) {
        self.raw.mut_store().install(snapshot.clone());
        self.handed = snapshot.index;
        self.snapshot_asked = false;
        self.base_due = false;
        self.proposals.give_up(UnknownReason::CoveredBySnapshot, &mut self.outcomes);
        out.members = Some(snapshot.membership.clone());
        out.through = snapshot.index;
        out.install = Some(snapshot.clone());
    }

    fn hand_out(&mut self, committed: &[eraftpb::Entry], out: &mut Ready) {
        for entry in committed {
            let mut id = None;
            if let Some(change) = convert::change_in(entry) {
                let mut members = self.in_force().1.clone();
                let sound = members.objection(change).is_none();
                if sound && self.raw.apply_conf_change(&convert::conf_change(change)).is_ok() {
                    members.apply(change);
                    if !members.contains(change.member) {
                        self.peers.forget(change.member);
                    }
                    self.raw.mut_store().set_members(entry.index, members.clone());
                    if !members.contains(self.me) && self.raw.raft.state == StateRole::Leader {
                        // An earlier leader's removal of this member, which came to lead meanwhile: the library would
                        // go on and look for its own place in the list.
                        let term = self.raw.raft.term;
                        self.raw.raft.become_follower(term, 0);
                    }
                    out.members = Some(members);
                }
            } else if !entry.get_data().is_empty() {
                let record = wire::Proposal::decode(entry.get_data()).unwrap_or_default();
                let name = ProposalId { origin: record.origin, sequence: record.sequence };
                id = Some(name);
                out.committed.push(CommittedEntry {
                    index: entry.index,
                    term: entry.term,
                    id: name,
                    bytes: record.data,
                });
            }
            self.proposals.committed(entry.index, entry.term, id, &mut self.outcomes);
            self.handed = entry.index;
            out.through = entry.index;
        }
    }

    fn batch(&mut self, entries: Vec<wire::Entry>, installed: bool) -> Batch {
        let based = installed || self.base_due;
        self.writes += 1;
        (self.base_due, self.state_due, self.peers.changed, self.peers.urgent) = (false, false, false, false);
        self.witness_due = self.now + self.timing.witness_every;
        let hard = self.raw.store().hard();
        let state = wire::PersistentState {
            term: hard.term,
            vote: hard.vote,
            commit: hard.commit,
            boot: self.boot,
            quarantined: matches!(self.phase, Phase::Quarantined(_)),
            boots: self.peers.boots(),
            observed_acks: self.peers.all_seen(),
        };
        let snapshot = if based { self.raw.store().snapshot().cloned() } else { None };
        Batch { number: self.writes, state, snapshot, entries }
    }

    /// Books what rests on which batch.
    fn book(&mut self, out: &Ready, raft_number: u64) {
        if let Some(batch) = &out.persist {
            let (last_term, last_index) = self.raw.store().last();
            let (term, vote) = (batch.state.term, batch.state.vote);
            let witness = AckState { writes: batch.number, term, vote, last_term, last_index };
            self.flights.push_back(InFlightBatch { batch: batch.number, raft_number, witness });
        } else if raft_number != 0 {
            match self.flights.back_mut() {
                Some(flight) => flight.raft_number = raft_number,
                None => self.raw.on_persist_ready(raft_number),
            }
        }
    }

    fn frames(&self, bodies: Vec<(MemberId, Body)>, witness: AckState) -> Vec<Frame> {
        if bodies.is_empty() {
            return Vec::new();
        }
        let boots = self.peers.told(&self.in_force().1.voters);
        let frame = |(to, body): (MemberId, Body)| {
            Frame(Envelope {
                version: VERSION,
                from: self.me.raw(),
                to: to.raw(),
                boot: self.boot,
                nonce: self.nonce,
                acknowledged: Some(witness),
                boots: boots.clone(),
                digest: self.digests.newest(),
                body: Some(body),
            })
        };
        bodies.into_iter().filter(|(to, _)| *to != self.me).map(frame).collect()
    }

    fn role_change(&mut self) -> Option<RoleChange> {
        let (_, members) = self.in_force();
        let raft = &self.raw.raft;
        let role = match (&self.phase, raft.state) {
            (Phase::Rejoining { .. }, _) => Role::Rejoining,
            (Phase::Quarantined(_), _) => Role::Quarantined,
            (Phase::Established, StateRole::Leader) => Role::Leader,
            (Phase::Established, _) if !members.contains(self.me) => Role::NonMember,
            (Phase::Established, _) if !members.voters.contains(&self.me) => Role::Learner,
            (Phase::Established, StateRole::Follower) => Role::Follower,
            (Phase::Established, _) => Role::Candidate,
        };
        let leader =
            matches!(self.phase, Phase::Established).then(|| MemberId::known(raft.leader_id)).flatten();
        let change = RoleChange { role, term: raft.term, leader };
        if self.role == Some(change) {
            return None;
        }
        let led = self.role.is_some_and(|before| before.role == Role::Leader && before.term == change.term);
        match role {
            Role::Leader if led => {}
            Role::Leader => self.leading_since = Some(self.now),
            _ => self.leading_since = None,
        }
        self.role = Some(change);
        Some(change)
    }

    fn wants_snapshot(&mut self) -> bool {
        let store = self.raw.store();
        let (index, bytes) = (store.snapshot_index(), store.fresh_bytes());
        let due = self.applied >= index + self.timing.snapshot_every || bytes >= SNAPSHOT_EVERY_BYTES;
        let wanted = (due || store.is_wanted()) && self.applied > index && !self.snapshot_asked;
        self.snapshot_asked |= wanted;
        wanted
    }

    /// The batch of this number, and all before it, are on disk.
    pub fn persisted(&mut self, now: Timestamp, number: u64) {
        self.now = self.now.max(now);
        let mut raft_number = 0;
        while self.flights.front().is_some_and(|flight| flight.batch <= number) {
            if let Some(flight) = self.flights.pop_front() {
                raft_number = raft_number.max(flight.raft_number);
                self.acked = flight.witness;
            }
        }
        if raft_number != 0 {
            self.raw.on_persist_ready(raft_number);
        }
        self.settle();
    }

    /// All entries up to this one are applied. A digest of the state behind it, if one is given, is compared
    /// with the peers'; it is of use only where several members give one at the same entry.
    pub fn applied(&mut self, index: u64, state_digest: Option<u64>) {
        let index = index.min(self.handed);
        self.apply_due = self.apply_due.max(index);
        if let Some(digest) = state_digest {
            self.digests.put(index, digest);
        }
        self.settle();
    }

    /// Tells the library what is applied, as far as it is on disk.
    fn settle(&mut self) {
        let log = &self.raw.raft.raft_log;
        let index = self.apply_due.min(log.committed).min(log.persisted);
        if index > self.applied {
            self.applied = index;
            self.raw.advance_apply_to(index);
        }
    }
}

fn convert_snapshot(snapshot: &eraftpb::Snapshot) -> Option<Snapshot> {
    (snapshot.get_metadata().index > 0).then(|| Snapshot::from_raft(snapshot)).flatten()
}
