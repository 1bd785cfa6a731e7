//! What a member is asked to do: propose, lead, change members, take a snapshot.

use crate::convert;
use crate::ids::{MemberId, ProposalId};
use crate::limits::{MAX_PROPOSAL_BYTES, MAX_SNAPSHOT_BYTES, PROMOTE_LAG};
use crate::membership::{ConfChange, ConfChangeKind, Membership};
use crate::node::{Node, Phase, QuarantineReason};
use crate::ready::{Alarm, Role};
use crate::rejoin::{RejoinFloors, RejoinOutcome};
use crate::wire::{self, envelope::Body};
use prost::Message as _;
use raft::StateRole;
use sprucelink_time::{TimeDelta, Timestamp};
use std::fmt;

/// Why a proposal was not taken. None of it went anywhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProposeError {
    /// This member does not lead, and knows of nobody to pass it to, or may not yet speak.
    NotLeader {
        /// Who leads, if it is known.
        leader: Option<MemberId>,
    },
    /// As many undecided as may be, or the log is at its bound: later.
    TooMany,
    /// Longer than [`MAX_PROPOSAL_BYTES`].
    TooLarge,
    /// A proposal of this name is in hand.
    InHand,
    /// This member has forgotten what it acknowledged, and is out.
    Quarantined,
}

/// Why a change of members, or of the lead, was not begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberError {
    /// Only the leader can.
    NotLeader {
        /// Who leads, if it is known.
        leader: Option<MemberId>,
    },
    /// Another change is under way, or the leader has not yet committed an entry of its term.
    UnderWay,
    /// Against a rule.
    Refused(&'static str),
    /// The learner lacks so many entries.
    Behind(u64),
    /// The agreement's library did not take it.
    Dropped,
}

/// Why a snapshot was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SnapshotError {
    /// Longer than [`MAX_SNAPSHOT_BYTES`].
    TooLarge,
    /// Of an entry not yet applied, or not behind the last snapshot.
    Index,
}

impl fmt::Display for ProposeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProposeError::NotLeader { leader: Some(leader) } => write!(f, "{leader} leads"),
            ProposeError::NotLeader { leader: None } => write!(f, "no leader is known"),
            ProposeError::TooMany => write!(f, "too many proposals in hand"),
            ProposeError::TooLarge => write!(f, "over {MAX_PROPOSAL_BYTES} bytes"),
            ProposeError::InHand => write!(f, "a proposal of this name is in hand"),
            ProposeError::Quarantined => write!(f, "this member is quarantined"),
        }
    }
}

impl fmt::Display for MemberError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MemberError::NotLeader { leader: Some(leader) } => write!(f, "{leader} leads"),
            MemberError::NotLeader { leader: None } => write!(f, "no leader is known"),
            MemberError::UnderWay => write!(f, "another change is under way"),
            MemberError::Refused(rule) => write!(f, "{rule}"),
            MemberError::Behind(entries) => write!(f, "the learner lacks {entries} entries"),
            MemberError::Dropped => write!(f, "not taken now"),
        }
    }
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SnapshotError::TooLarge => write!(f, "over {MAX_SNAPSHOT_BYTES} bytes"),
            SnapshotError::Index => write!(f, "not of an entry that is applied and behind the last snapshot"),
        }
    }
}

impl std::error::Error for ProposeError {}
impl std::error::Error for MemberError {}
impl std::error::Error for SnapshotError {}

/// Reasons in a `Refused` frame, for its reader's log only.
const REFUSED_NOT_LEADER: u32 = 1;
const REFUSED_TOO_MANY: u32 = 2;

impl Node {
    /// Proposes a record. A leader appends it; another member passes it to the leader that it knows of. What
    /// becomes of it comes as an [`crate::ProposalOutcome`]; offered again under the same name it counts once where it is
    /// applied ([`crate::ProposalDedup`]).
    ///
    /// # Errors
    /// When nothing went anywhere.
    pub fn propose(&mut self, bytes: Vec<u8>, id: ProposalId) -> Result<(), ProposeError> {
        if bytes.len() > MAX_PROPOSAL_BYTES {
            return Err(ProposeError::TooLarge);
        }
        match self.phase {
            Phase::Quarantined(_) => return Err(ProposeError::Quarantined),
            Phase::Rejoining { .. } => return Err(ProposeError::NotLeader { leader: None }),
            Phase::Established => {}
        }
        if self.proposals.holds(id) {
            return Err(ProposeError::InHand);
        }
        if self.proposals.is_full() {
            return Err(ProposeError::TooMany);
        }
        let record = wire::Proposal { origin: id.origin, sequence: id.sequence, data: bytes };
        let term = self.raw.raft.term;
        if self.raw.raft.state == StateRole::Leader {
            self.append(&record)?;
        } else {
            let leader = self.leader().ok_or(ProposeError::NotLeader { leader: None })?;
            self.send(
                leader,
                Body::ForwardedProposal(wire::ForwardedProposal { term, proposal: Some(record) }),
            );
        }
        self.proposals.put(id, term, self.now + self.timing.proposal_timeout);
        Ok(())
    }

    fn append(&mut self, record: &wire::Proposal) -> Result<(), ProposeError> {
        if self.raw.store().is_full() {
            return Err(ProposeError::TooMany);
        }
        self.raw.propose(Vec::new(), record.encode_to_vec()).map_err(|_| ProposeError::TooMany)
    }

    /// A proposal that another member passed on. It may enter the log only in the term for which it was meant: so its
    /// proposer knows, once a later term's entries are committed, that it will not.
    pub(crate) fn offered(&mut self, from: MemberId, propose: wire::ForwardedProposal) {
        let Some(record) = propose.proposal else { return };
        let leads = matches!(self.phase, Phase::Established) && self.raw.raft.state == StateRole::Leader;
        let reason = if !leads || propose.term != self.raw.raft.term {
            REFUSED_NOT_LEADER
        } else if self.append(&record).is_err() {
            REFUSED_TOO_MANY
        } else {
            return;
        };
        self.send(
            from,
            Body::ProposalRejection(wire::ProposalRejection {
                origin: record.origin,
                sequence: record.sequence,
                reason,
            }),
        );
    }

    /// Asks for votes now, if this member may.
    ///
    /// # Errors
    /// When it may not: no voter, or its log is behind what it was told at its start.
    pub fn campaign(&mut self) -> Result<(), MemberError> {
        if !self.may_campaign() || !self.raw.raft.promotable() {
            return Err(MemberError::Refused("this member may not lead now"));
        }
        self.raw.campaign().map_err(|_| MemberError::Dropped)
    }

    /// Hands the lead to another voter once that one has all entries; given up after an election's time.
    ///
    /// # Errors
    /// When this member does not lead, or the other has no vote.
    pub fn transfer(&mut self, to: MemberId) -> Result<(), MemberError> {
        self.must_lead()?;
        if !self.in_force().1.voters.contains(&to) || to == self.me {
            return Err(MemberError::Refused("not another voter"));
        }
        self.raw.transfer_leader(to.raw());
        Ok(())
    }

    /// Brings in a member without a vote. An incarnation that was in the council before is refused.
    ///
    /// # Errors
    /// When it was not begun.
    pub fn add_learner(&mut self, member: MemberId) -> Result<(), MemberError> {
        self.change(ConfChange { kind: ConfChangeKind::AddLearner, member })
    }

    /// Gives a learner its vote, once it has nearly all entries.
    ///
    /// # Errors
    /// When it was not begun.
    pub fn promote(&mut self, member: MemberId) -> Result<(), MemberError> {
        self.must_lead()?;
        let matched = self.raw.raft.prs().get(member.raw()).map_or(0, |progress| progress.matched);
        let lacks = self.raw.raft.raft_log.committed.saturating_sub(matched);
        if (lacks > PROMOTE_LAG || matched == 0) && self.in_force().1.learners.contains(&member) {
            return Err(MemberError::Behind(lacks));
        }
        self.change(ConfChange { kind: ConfChangeKind::Promote, member })
    }

    /// Removes a member for good under its incarnation.
    ///
    /// # Errors
    /// When it was not begun; a leader hands over before it is removed.
    pub fn remove(&mut self, member: MemberId) -> Result<(), MemberError> {
        if member == self.me {
            return Err(MemberError::Refused("the leader hands over first"));
        }
        self.change(ConfChange { kind: ConfChangeKind::Remove, member })
    }

    fn change(&mut self, change: ConfChange) -> Result<(), MemberError> {
        self.must_lead()?;
        if let Some(rule) = self.in_force().1.objection(change) {
            return Err(MemberError::Refused(rule));
        }
        if self.raw.raft.has_pending_conf() || !self.raw.raft.commit_to_current_term() {
            return Err(MemberError::UnderWay);
        }
        let context = change.to_wire().encode_to_vec();
        self.raw.propose_conf_change(context, convert::conf_change(change)).map_err(|_| MemberError::Dropped)
    }

    fn must_lead(&self) -> Result<(), MemberError> {
        if matches!(self.phase, Phase::Established) && self.raw.raft.state == StateRole::Leader {
            return Ok(());
        }
        Err(MemberError::NotLeader { leader: self.leader() })
    }

    /// Takes the applied state up to and with an entry; the log before it goes, but for a few entries.
    ///
    /// # Errors
    /// When the snapshot won't do; then the log stays as it is.
    pub fn snapshot_taken(&mut self, index: u64, bytes: Vec<u8>) -> Result<(), SnapshotError> {
        self.snapshot_asked = false;
        if bytes.len() > MAX_SNAPSHOT_BYTES {
            return Err(SnapshotError::TooLarge);
        }
        if index > self.applied || index <= self.raw.store().snapshot_index() {
            return Err(SnapshotError::Index);
        }
        self.raw.mut_store().compact(index, bytes).ok_or(SnapshotError::Index)?;
        self.base_due = true;
        Ok(())
    }

    /// An operator vouches for the disk of a member that waits in probation, or lifts what it was told to wait for. To be
    /// used only where members are gone for good and the disk is known to be whole: it is what the probation
    /// is there to find out. False when there was nothing to lift.
    pub fn trust_disk(&mut self) -> bool {
        match self.phase {
            Phase::Rejoining { .. } => {
                self.establish(RejoinOutcome { floors: RejoinFloors::default(), relaxed: false });
            }
            Phase::Established if self.raft_last() < self.floors.log() => self.floors.logs.clear(),
            _ => return false,
        }
        self.alarm(Alarm::OperatorOverride);
        true
    }

    /// An operator says that a member's store is gone for good, so that nobody waits for what it knew. In probation
    /// its silence counts as heard; a floor that it told is lifted. To be used where so many are gone that
    /// the others can't come together by themselves: if this member's disk forgot what only that store still held, it is lost.
    pub fn gone(&mut self, member: MemberId) {
        match &mut self.phase {
            Phase::Rejoining { quorum, .. } => quorum.gone(member),
            Phase::Established => self.floors.logs.retain(|(told, _)| *told != member),
            Phase::Quarantined(_) => return,
        }
        self.alarm(Alarm::OperatorOverride);
        self.judge();
    }

    /// Why this member is quarantined, if it is.
    pub fn fault(&self) -> Option<&QuarantineReason> {
        match &self.phase {
            Phase::Quarantined(fault) => Some(fault),
            _ => None,
        }
    }

    /// The term of an entry in this member's log, committed or not; `None` when it is compacted or not there.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        self.raw.raft.raft_log.term(index).ok().filter(|&term| term > 0)
    }

    /// Who leads, as far as is known here. A hint: it may be over.
    pub fn leader(&self) -> Option<MemberId> {
        let established = matches!(self.phase, Phase::Established);
        established.then(|| MemberId::known(self.raw.raft.leader_id)).flatten()
    }

    /// For how long this member has led, by its own clock. A hint, and no lease: another may lead by now.
    pub fn leader_since(&self, now: Timestamp) -> Option<TimeDelta> {
        self.leading_since.map(|since| (now - since).max(TimeDelta::ZERO))
    }

    /// This member's name.
    pub fn member(&self) -> MemberId {
        self.me
    }

    /// Its part, as last told.
    pub fn role(&self) -> Option<Role> {
        self.role.map(|change| change.role)
    }

    /// Who is in the council, as of the last entry handed out.
    pub fn members(&self) -> Membership {
        self.in_force().1.clone()
    }

    /// Who is in the council, and from which entry on.
    pub fn members_from(&self) -> (u64, Membership) {
        self.in_force().clone()
    }

    /// One line about this member, for whoever looks into a run.
    pub fn describe(&self) -> String {
        let list =
            |members: &[MemberId]| members.iter().map(ToString::to_string).collect::<Vec<_>>().join(" ");
        let (from, members) = self.in_force();
        format!(
            "{:?} term {} leader {:?} last {:?} commit {} applied {} floor {:?} boot {} voters [{}] learners [{}] from {from}",
            self.role.map(|change| change.role),
            self.raw.raft.term,
            self.leader().map(|leader| leader.to_string()),
            self.raft_last(),
            self.raw.raft.raft_log.committed,
            self.applied,
            self.floors.log(),
            self.boot,
            list(&members.voters),
            list(&members.learners),
        )
    }

    /// The last entry known to be committed.
    pub fn commit(&self) -> u64 {
        self.raw.raft.raft_log.committed
    }

    /// The term.
    pub fn term(&self) -> u64 {
        self.raw.raft.term
    }

    /// At a leader: the last entry that each member is known to hold.
    pub fn progress(&self) -> Vec<(MemberId, u64)> {
        let progress =
            self.raw.raft.prs().iter().map(|(&id, progress)| (MemberId::from_raw(id), progress.matched));
        progress.filter(|_| self.raw.raft.state == StateRole::Leader).collect()
    }
}
