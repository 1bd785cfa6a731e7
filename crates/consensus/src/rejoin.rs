//! The responses that a restarted member needs before it takes part, and the restrictions under which it then does.
//!
//! # Why this compensates for a disk that lost writes
//!
//! Let a member X have voted in a term, or acknowledged an entry that was committed, before its restart, and lost that
//! from its disk. The vote or the commit needed a majority, so at least half of the other voters. X gets responses from a
//! majority of the other voters, so from at least one of those, H. Either H gave its vote or acknowledgement before it
//! responded to X: then the response's term or last entry covers it, and X takes it as its floor. Or H gave it later: then
//! H's message shows that X has restarted, and whoever counts votes or acknowledgements drops those of X. H must not itself
//! have lost writes. That is true of established members, because they have rejoined in the same way; this is why normally
//! only their responses count.

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
pub struct RejoinResponse {
    /// Its term, or its own floor for votes if that is higher.
    pub term: u64,
    /// Its last entry.
    pub last: LogPosition,
    /// The floors that it was itself given at its start and has not reached yet.
    pub floors: Vec<LogFloor>,
    /// Whether it is established: it has itself rejoined since its start.
    pub is_established: bool,
    /// Whether it is quarantined; then its floors are ignored.
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
    responses: BTreeMap<MemberId, RejoinResponse>,
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
            responses: BTreeMap::new(),
            unlisted: BTreeSet::new(),
        }
    }

    /// The members to send requests to: all other voters of the newest membership, and unlisted peers.
    pub fn request_targets(&self) -> Vec<MemberId> {
        let voters = &self.membership().voters;
        let mut members = self.other_voters();
        members.extend(self.unlisted.iter().filter(|peer| !voters.contains(peer)));
        members
    }

    /// A peer sent something. If the membership does not list it, the membership may be old, and the peer gets a request
    /// too.
    pub fn record_sender(&mut self, peer: MemberId) {
        if self.unlisted.len() < MAX_UNLISTED_PEERS && !self.membership().voters.contains(&peer) {
            self.unlisted.insert(peer);
        }
    }

    /// Takes a response; it replaces an earlier one of the same member.
    pub fn add_response(&mut self, from: MemberId, response: RejoinResponse) {
        let has_newer_membership = response.membership.index > self.newest().index;
        if has_newer_membership || self.request_targets().contains(&from) {
            self.responses.insert(from, response);
        }
    }

    /// An operator declares a member's store permanently lost: that counts as a response without floors.
    pub fn declare_lost(&mut self, member: MemberId) {
        let response = RejoinResponse {
            term: 0,
            last: LogPosition::default(),
            floors: Vec::new(),
            is_established: false,
            is_quarantined: true,
            membership: self.own.clone(),
        };
        self.add_response(member, response);
        for response in self.responses.values_mut() {
            response.floors.retain(|floor| floor.member != member);
        }
    }

    /// A member has restarted: its earlier response no longer counts.
    pub fn discard_response(&mut self, member: MemberId) {
        self.responses.remove(&member);
    }

    /// The number of the own boot has changed: all members must be sent requests again.
    pub fn restart(&mut self) {
        self.responses.clear();
    }

    /// The newest membership known: the own disk's, or one in a response. Whoever has the entry that made it has all
    /// entries before it, so older memberships have nothing to add.
    fn newest(&self) -> &VersionedMembership {
        let trusted = self.responses.values().filter(|response| !response.is_quarantined);
        let memberships = trusted.map(|response| &response.membership).chain([&self.own]);
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
        let responses: Vec<&RejoinResponse> =
            others.iter().filter_map(|other| self.responses.get(other)).collect();
        // A quarantined member is not waited for: its response counts here, and adds nothing to the floors.
        let response_count = responses.len();
        let is_trusted = |response: &&&RejoinResponse| response.is_established && !response.is_quarantined;
        let established = responses.iter().filter(is_trusted).count();
        let is_weak = established < quorum;
        if is_weak {
            let is_patient = now - self.started_at < self.patience;
            let can_reach_quorum = established + (others.len() - response_count) >= quorum;
            if response_count < quorum || (is_patient && can_reach_quorum) {
                return None;
            }
        }
        Some(RejoinOutcome { floors: self.floors(&others), is_weak })
    }

    /// The floors that the responses of the voters set. Votes and acknowledgements of non-voters are never counted.
    fn floors(&self, voters: &[MemberId]) -> RejoinFloors {
        let mut vote_term = 0;
        let mut logs: BTreeMap<MemberId, LogPosition> = BTreeMap::new();
        for (&from, response) in &self.responses {
            if response.is_quarantined || !voters.contains(&from) {
                continue;
            }
            vote_term = vote_term.max(response.term);
            // What a member reports of itself, and what others received from it, whichever is further. A floor of this
            // member itself changes nothing if it has lost nothing, and is needed if it has.
            let own_floor = LogFloor { member: from, last: response.last };
            for floor in response.floors.iter().chain([&own_floor]) {
                let furthest = logs.entry(floor.member).or_insert(floor.last);
                *furthest = floor.last.max(*furthest);
            }
        }
        let logs = logs.into_iter().map(|(member, last)| LogFloor { member, last }).collect();
        RejoinFloors { vote_term, logs }
    }
}
