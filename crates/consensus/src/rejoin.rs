//! What a restarted member must hear before it takes part, and the restrictions under which it then does.
//!
//! # Why this makes up for a disk that lost writes
//!
//! Let a member X have voted in a term, or acknowledged an entry that was committed, before its restart, and lost that
//! from its disk. The vote or the commit rested on a majority, so on at least half of the other voters. X hears from a majority of the
//! other voters, so from one of those, H. Either H gave its vote or acknowledgement before it responded to X: then the
//! response's term or last entry covers it, and X takes it as its floor. Or H gave it later: then H's message says
//! that X has restarted, and whoever counts votes or acknowledgements drops those of X. H must not itself have lost writes. That
//! holds for established members, because they went through the same; this is why only their responses count as a rule.

use crate::ids::{LogPosition, MemberId};
use crate::limits::MAX_UNLISTED_PEERS;
use crate::membership::{Membership, VersionedMembership};
use sprucelink_time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// How far a member's log reached when it said so.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogFloor {
    /// The member.
    pub member: MemberId,
    /// Its last entry.
    pub last: LogPosition,
}

/// One member's response to a rejoin request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejoinAnswer {
    /// Its term, or its own floor for votes if that is higher.
    pub term: u64,
    /// Its last entry.
    pub last: LogPosition,
    /// The floors that it was itself given at its start and has not reached yet.
    pub floors: Vec<LogFloor>,
    /// Whether it is established: it has itself rejoined since its start.
    pub is_established: bool,
    /// Whether it is quarantined; then it counts for nothing.
    pub is_quarantined: bool,
    /// The membership that it knows.
    pub membership: VersionedMembership,
}

/// The restrictions under which a member takes part after it has rejoined.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RejoinFloors {
    /// It votes in no term up to this one.
    pub vote_term: u64,
    /// It votes for no candidate whose last entry is behind any of these, and does not campaign while its own is.
    pub logs: Vec<LogFloor>,
}

impl RejoinFloors {
    /// The furthest of the log floors.
    pub fn log(&self) -> LogPosition {
        self.logs.iter().map(|floor| floor.last).max().unwrap_or_default()
    }
}

/// How a member has rejoined.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejoinOutcome {
    /// The restrictions under which it takes part.
    pub floors: RejoinFloors,
    /// Whether responses of members that were themselves rejoining had to count.
    pub is_weak: bool,
}

/// The responses to the rejoin requests of one start.
#[derive(Debug, Clone)]
pub struct RejoinQuorum {
    member: MemberId,
    started_at: Timestamp,
    patience: TimeDelta,
    /// The membership as the own disk holds it, or the configured contacts.
    own: VersionedMembership,
    answers: BTreeMap<MemberId, RejoinAnswer>,
    /// Peers outside of the membership that sent something: they may know a newer membership.
    unlisted: BTreeSet<MemberId>,
}

impl RejoinQuorum {
    /// Starts with no responses; `own` is the membership as the own disk holds it, or the configured contacts.
    pub fn new(member: MemberId, own: VersionedMembership, now: Timestamp, patience: TimeDelta) -> Self {
        RejoinQuorum {
            member,
            started_at: now,
            patience,
            own,
            answers: BTreeMap::new(),
            unlisted: BTreeSet::new(),
        }
    }

    /// The members to ask: all other voters of the newest membership, and unlisted peers.
    pub fn members_to_ask(&self) -> Vec<MemberId> {
        let voters = &self.membership().voters;
        let mut members = self.other_voters();
        members.extend(self.unlisted.iter().filter(|peer| !voters.contains(peer)));
        members
    }

    /// A peer sent something. If the membership does not list it, the membership may be old, and the peer is asked too.
    pub fn heard_from(&mut self, peer: MemberId) {
        if self.unlisted.len() < MAX_UNLISTED_PEERS && !self.membership().voters.contains(&peer) {
            self.unlisted.insert(peer);
        }
    }

    /// Takes a response; it replaces an earlier one of the same member.
    pub fn add_answer(&mut self, from: MemberId, answer: RejoinAnswer) {
        let has_newer_membership = answer.membership.index > self.newest().index;
        if has_newer_membership || self.members_to_ask().contains(&from) {
            self.answers.insert(from, answer);
        }
    }

    /// An operator says that a member's store is lost for good: it counts as a response without floors.
    pub fn declare_lost(&mut self, member: MemberId) {
        let answer = RejoinAnswer {
            term: 0,
            last: LogPosition::default(),
            floors: Vec::new(),
            is_established: false,
            is_quarantined: true,
            membership: self.own.clone(),
        };
        self.add_answer(member, answer);
        for answer in self.answers.values_mut() {
            answer.floors.retain(|floor| floor.member != member);
        }
    }

    /// A member has restarted: its earlier response no longer counts.
    pub fn forget(&mut self, member: MemberId) {
        self.answers.remove(&member);
    }

    /// The number of the own boot has changed: all members must be asked again.
    pub fn restart(&mut self) {
        self.answers.clear();
    }

    /// The newest membership known: the own disk's, or one in a response. Whoever holds the entry that made it holds all
    /// entries before it, so older memberships have nothing to add.
    fn newest(&self) -> &VersionedMembership {
        let trusted = self.answers.values().filter(|answer| !answer.is_quarantined);
        let memberships = trusted.map(|answer| &answer.membership).chain([&self.own]);
        memberships.max_by_key(|membership| membership.index).unwrap_or(&self.own)
    }

    fn membership(&self) -> &Membership {
        &self.newest().membership
    }

    fn other_voters(&self) -> Vec<MemberId> {
        let voters = self.membership().voters.iter().copied();
        voters.filter(|&voter| voter != self.member).collect()
    }

    /// The outcome, once enough members have responded.
    pub fn outcome(&self, now: Timestamp) -> Option<RejoinOutcome> {
        let others = self.other_voters();
        let quorum = if others.is_empty() { 0 } else { others.len() / 2 + 1 };
        let answers: Vec<&RejoinAnswer> = others.iter().filter_map(|other| self.answers.get(other)).collect();
        // A quarantined member is not waited for: it counts as heard, and adds nothing to the floors.
        let heard = answers.len();
        let is_trusted = |answer: &&&RejoinAnswer| answer.is_established && !answer.is_quarantined;
        let established = answers.iter().filter(is_trusted).count();
        let is_weak = established < quorum;
        if is_weak {
            let is_patient = now - self.started_at < self.patience;
            let can_reach_quorum = established + (others.len() - heard) >= quorum;
            if heard < quorum || (is_patient && can_reach_quorum) {
                return None;
            }
        }
        Some(RejoinOutcome { floors: self.floors(&others), is_weak })
    }

    /// The floors that the responses of the voters set. Votes and acknowledgements of others were counted by nobody.
    fn floors(&self, voters: &[MemberId]) -> RejoinFloors {
        let mut vote_term = 0;
        let mut logs: BTreeMap<MemberId, LogPosition> = BTreeMap::new();
        for (&from, answer) in &self.answers {
            if answer.is_quarantined || !voters.contains(&from) {
                continue;
            }
            vote_term = vote_term.max(answer.term);
            // What a member says of itself, and what others got from it, whichever is further. What this member itself
            // told others is nothing new if it has lost nothing, and needed if it has.
            let own_floor = LogFloor { member: from, last: answer.last };
            for floor in answer.floors.iter().chain([&own_floor]) {
                let furthest = logs.entry(floor.member).or_insert(floor.last);
                *furthest = floor.last.max(*furthest);
            }
        }
        let logs = logs.into_iter().map(|(member, last)| LogFloor { member, last }).collect();
        RejoinFloors { vote_term, logs }
    }
}
