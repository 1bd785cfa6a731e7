//! The rejoin protocol: the responses that a restarted member needs before it takes part in consensus (votes,
//! acknowledges entries, campaigns), and the restrictions under which it then takes part.
//!
//! # Why this compensates for a disk that lost writes
//!
//! Suppose that a member X voted in a term, or acknowledged an entry that was committed, before its restart,
//! and that its disk lost the vote or entry. The election or the commit needed a majority, so at least half
//! of the other voters contributed to it. X gets responses from a majority of the other voters, so from at
//! least one of these contributors, H. Either H gave its vote or acknowledgement before it responded to X:
//! then the term or last entry in the response covers the vote or acknowledgement, and X takes this term or
//! entry as its floor. Or H gave it after the response: then H's message shows that X has restarted, and the
//! member that counts votes or acknowledgements drops those of X. H must not have lost writes itself. That
//! holds for established members, because they have rejoined in the same way; this is why normally only their
//! responses count.

use crate::ids::{LogPosition, MemberId};
use crate::limits::MAX_UNLISTED_PEERS;
use crate::membership::{Membership, VersionedMembership};
use sprucelink_time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// The position of the last entry in a member's log when the member reported its log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogFloor {
    /// The member that reported its log.
    pub member: MemberId,
    /// Position of the member's last entry.
    pub last_position: LogPosition,
}

/// One member's response to a rejoin request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejoinResponse {
    /// The responding member's term, or its own floor for votes if that is higher.
    pub term: u64,
    /// Position of the responding member's last entry.
    pub last_position: LogPosition,
    /// The floors that the responding member took over when it rejoined and has not reached yet.
    pub floors: Vec<LogFloor>,
    /// Whether the responding member is established, which means that it has itself rejoined since its start.
    pub is_established: bool,
    /// Whether the responding member is quarantined; then its floors are ignored.
    pub is_quarantined: bool,
    /// The newest membership that the responding member knows.
    pub membership: VersionedMembership,
}

/// The restrictions on votes and campaigns of a member that has rejoined.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RejoinFloors {
    /// The member does not vote in any term up to this one.
    pub last_term_without_vote: u64,
    /// The member votes for no candidate whose last entry is behind any of these floors, and does not
    /// campaign while its own last entry is behind one.
    pub logs: Vec<LogFloor>,
}

impl RejoinFloors {
    /// The furthest of the log floors; zeros when there is none.
    pub fn furthest_log_position(&self) -> LogPosition {
        self.logs.iter().map(|floor| floor.last_position).max().unwrap_or_default()
    }
}

/// Outcome of the rejoin protocol for a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejoinOutcome {
    /// The restrictions on the member's votes and campaigns.
    pub floors: RejoinFloors,
    /// Whether responses of members that were themselves rejoining had to count.
    pub is_weak: bool,
}

/// The responses to the rejoin requests of one start, and the decision whether they are a quorum.
#[derive(Debug, Clone)]
pub struct RejoinQuorum {
    member: MemberId,
    started_at: Timestamp,
    /// Time after `started_at` from which responses of rejoining members count.
    patience: TimeDelta,
    /// The membership on this member's own disk, or the configured contacts.
    own_membership: VersionedMembership,
    /// The last response of each member.
    responses: BTreeMap<MemberId, RejoinResponse>,
    /// Peers outside the membership that sent a frame: they may know a newer membership.
    unlisted: BTreeSet<MemberId>,
}

impl RejoinQuorum {
    /// Starts with no responses. `own_membership` is the membership on this member's own disk, or the
    /// configured contacts. After `patience`, responses of rejoining members count too.
    pub fn new(
        member: MemberId,
        own_membership: VersionedMembership,
        now: Timestamp,
        patience: TimeDelta,
    ) -> Self {
        RejoinQuorum {
            member,
            started_at: now,
            patience,
            own_membership,
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

    /// Records that a peer sent a frame. If the known membership doesn't contain the peer, that membership
    /// may be outdated, and the peer gets a request too.
    pub fn record_sender(&mut self, peer: MemberId) {
        if self.unlisted.len() < MAX_UNLISTED_PEERS && !self.membership().voters.contains(&peer) {
            self.unlisted.insert(peer);
        }
    }

    /// Adds a response, which replaces an earlier response of the same member. A response is ignored when its
    /// sender got no request and doesn't know a newer membership.
    pub fn add_response(&mut self, from: MemberId, response: RejoinResponse) {
        let has_newer_membership = response.membership.index > self.newest_membership().index;
        if has_newer_membership || self.request_targets().contains(&from) {
            self.responses.insert(from, response);
        }
    }

    /// Operator override: counts a member whose store is permanently lost as a response without floors, and
    /// removes the floors that other members report for it.
    pub fn declare_lost(&mut self, member: MemberId) {
        let response = RejoinResponse {
            term: 0,
            last_position: LogPosition::default(),
            floors: Vec::new(),
            is_established: false,
            is_quarantined: true,
            membership: self.own_membership.clone(),
        };
        self.add_response(member, response);
        for response in self.responses.values_mut() {
            response.floors.retain(|floor| floor.member != member);
        }
    }

    /// Discards the response of a member that has restarted since it responded.
    pub fn discard_response(&mut self, member: MemberId) {
        self.responses.remove(&member);
    }

    /// Discards all responses, after the number of this member's own boot has changed: all members must get
    /// requests again.
    pub fn restart(&mut self) {
        self.responses.clear();
    }

    /// The newest membership known, from this member's own disk or from a response. A member that has the
    /// entry of that membership has all entries before it, so older memberships add no information.
    fn newest_membership(&self) -> &VersionedMembership {
        let trusted = self.responses.values().filter(|response| !response.is_quarantined);
        let memberships = trusted.map(|response| &response.membership).chain([&self.own_membership]);
        memberships.max_by_key(|membership| membership.index).unwrap_or(&self.own_membership)
    }

    fn membership(&self) -> &Membership {
        &self.newest_membership().membership
    }

    fn other_voters(&self) -> Vec<MemberId> {
        let voters = self.membership().voters.iter().copied();
        voters.filter(|&voter| voter != self.member).collect()
    }

    /// The outcome; `None` while too few members have responded.
    pub fn outcome(&self, now: Timestamp) -> Option<RejoinOutcome> {
        let others = self.other_voters();
        let quorum = if others.is_empty() { 0 } else { others.len() / 2 + 1 };
        let responses: Vec<&RejoinResponse> =
            others.iter().filter_map(|other| self.responses.get(other)).collect();
        // A quarantined member's response counts here, so that the quorum doesn't wait for the member, but it
        // is not trusted: a quorum that needs it is weak. `floors` ignores the response.
        let response_count = responses.len();
        let is_trusted = |response: &&&RejoinResponse| response.is_established && !response.is_quarantined;
        let established = responses.iter().filter(is_trusted).count();
        let is_weak = established < quorum;
        if is_weak {
            let is_within_patience = now - self.started_at < self.patience;
            let can_reach_quorum = established + (others.len() - response_count) >= quorum;
            if response_count < quorum || (is_within_patience && can_reach_quorum) {
                return None;
            }
        }
        Some(RejoinOutcome { floors: self.floors(&others), is_weak })
    }

    /// The floors from the responses of the voters. Votes and acknowledgements of non-voters are never
    /// counted.
    fn floors(&self, voters: &[MemberId]) -> RejoinFloors {
        let mut last_term_without_vote = 0;
        let mut logs: BTreeMap<MemberId, LogPosition> = BTreeMap::new();
        for (&from, response) in &self.responses {
            if response.is_quarantined || !voters.contains(&from) {
                continue;
            }
            last_term_without_vote = last_term_without_vote.max(response.term);
            // The floor of a member is the furthest of the position that the member reports itself and the
            // positions that other members report for it. A floor for this member itself has no effect if its
            // disk has lost nothing, and is needed if its disk has lost entries.
            let own_floor = LogFloor { member: from, last_position: response.last_position };
            for floor in response.floors.iter().chain([&own_floor]) {
                let furthest = logs.entry(floor.member).or_insert(floor.last_position);
                *furthest = floor.last_position.max(*furthest);
            }
        }
        let logs =
            logs.into_iter().map(|(member, last_position)| LogFloor { member, last_position }).collect();
        RejoinFloors { last_term_without_vote, logs }
    }
}
