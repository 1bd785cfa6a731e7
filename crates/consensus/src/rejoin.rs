//! Probation: what a member that has started must hear before it takes part, and the floors that it takes with it.
//!
//! Why this makes up for a disk that forgot, in short. Let a member X have voted in a term, or acknowledged an entry
//! that was committed, before its start, and forgotten it. The vote or the commit rested on a majority, so on
//! at least half of the others; X hears from a majority of the others, so from one of them, H. Either H gave its part
//! before it answered X: then the answer's term or last entry covers it, and X takes it as its floor. Or H
//! gave its part later: then H's message says that X has started anew, and whoever counts parts drops X's. H must not
//! itself have forgotten; that is so for members that are established, since they went through the same, and
//! why their answers alone count as a rule.

use crate::ids::MemberId;
use crate::limits::MAX_STRANGERS;
use crate::membership::Membership;
use sprucelink_time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// One member's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejoinAnswer {
    /// Its term, or its own floor for votes.
    pub term: u64,
    /// Term and index of its last entry.
    pub last: (u64, u64),
    /// What it was itself told at its start and has not reached yet, by whom.
    pub floors: Vec<(MemberId, (u64, u64))>,
    /// Whether it has been through its own probation.
    pub established: bool,
    /// Whether it was found to have forgotten; then it counts for nothing.
    pub quarantined: bool,
    /// Who is in, as far as it knows, and from which entry on.
    pub members: (u64, Membership),
}

/// What a member may not do once it takes part.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RejoinFloors {
    /// It votes in no term up to this.
    pub vote: u64,
    /// Term and index of the last entry of each that answered: it votes for no candidate whose last entry is behind any of
    /// them, and does not campaign while its own is.
    pub logs: Vec<(MemberId, (u64, u64))>,
}

impl RejoinFloors {
    /// The furthest last entry told.
    pub fn log(&self) -> (u64, u64) {
        self.logs.iter().map(|(_, last)| *last).max().unwrap_or((0, 0))
    }
}

/// How a member came through its probation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejoinOutcome {
    /// The floors it takes along.
    pub floors: RejoinFloors,
    /// Whether answers of members in probation had to count.
    pub relaxed: bool,
}

/// The probation of one start.
#[derive(Debug, Clone)]
pub struct RejoinQuorum {
    me: MemberId,
    since: Timestamp,
    patience: TimeDelta,
    own: (u64, Membership),
    answers: BTreeMap<MemberId, RejoinAnswer>,
    /// Members outside the list that spoke to this one: they may know a newer list.
    strangers: BTreeSet<MemberId>,
}

impl RejoinQuorum {
    /// Begins; `own` is who is in as the own disk says, or whom to ask.
    pub fn new(me: MemberId, own: (u64, Membership), now: Timestamp, patience: TimeDelta) -> Self {
        RejoinQuorum { me, since: now, patience, own, answers: BTreeMap::new(), strangers: BTreeSet::new() }
    }

    /// Whom to ask: all voters of the list that counts, but for itself, and who else spoke to it.
    pub fn asked(&self) -> Vec<MemberId> {
        let mut asked = self.others(self.list());
        asked.extend(self.strangers.iter().filter(|stranger| !self.list().voters.contains(stranger)));
        asked
    }

    /// Somebody spoke: when the list does not have it, the list may be old, and it is to be asked too.
    pub fn heard_from(&mut self, member: MemberId) {
        if self.strangers.len() < MAX_STRANGERS && !self.list().voters.contains(&member) {
            self.strangers.insert(member);
        }
    }

    /// Takes an answer, which stands in for an earlier one of the same member.
    pub fn answer(&mut self, from: MemberId, answer: RejoinAnswer) {
        let newer = answer.members.0 > self.list_from();
        if newer || self.asked().contains(&from) {
            self.answers.insert(from, answer);
        }
    }

    /// An operator says that a member is gone for good.
    pub fn gone(&mut self, member: MemberId) {
        let members = self.own.clone();
        let (floors, established) = (Vec::new(), false);
        self.answer(
            member,
            RejoinAnswer { term: 0, last: (0, 0), floors, established, quarantined: true, members },
        );
        self.answers.values_mut().for_each(|answer| answer.floors.retain(|(told, _)| *told != member));
    }

    /// A member has started anew: what it said before no longer counts.
    pub fn forget(&mut self, member: MemberId) {
        self.answers.remove(&member);
    }

    /// The own start's number has changed: all must be asked again.
    pub fn restart(&mut self) {
        self.answers.clear();
    }

    /// The newest list of members that is known: the own disk's, or one that was told. Whoever stands behind the entry that
    /// made it has all entries before it, so older lists have nothing to add.
    fn newest(&self) -> &(u64, Membership) {
        let told = self.answers.values().filter(|answer| !answer.quarantined).map(|answer| &answer.members);
        told.chain([&self.own]).max_by_key(|(from, _)| *from).unwrap_or(&self.own)
    }

    fn list(&self) -> &Membership {
        &self.newest().1
    }

    fn list_from(&self) -> u64 {
        self.newest().0
    }

    fn others(&self, list: &Membership) -> Vec<MemberId> {
        list.voters.iter().copied().filter(|&voter| voter != self.me).collect()
    }

    /// Whether enough was heard, and with which floors the member goes on.
    pub fn outcome(&self, now: Timestamp) -> Option<RejoinOutcome> {
        let patient = now - self.since < self.patience;
        let others = self.others(self.list());
        let need = if others.is_empty() { 0 } else { others.len() / 2 + 1 };
        let answers = || others.iter().filter_map(|other| self.answers.get(other));
        // Who is known to have forgotten is past being waited for: it counts as heard, and adds nothing to the floors.
        let heard = answers().count();
        let established = answers().filter(|answer| answer.established && !answer.quarantined).count();
        let relaxed = established < need;
        if relaxed {
            let hopeless = established + (others.len() - heard) < need;
            if heard < need || (patient && !hopeless) {
                return None;
            }
        }
        // Only voters of the list: parts that others gave were counted by nobody.
        let counts = |from: &MemberId, answer: &RejoinAnswer| !answer.quarantined && others.contains(from);
        let sound: Vec<(MemberId, &RejoinAnswer)> = self
            .answers
            .iter()
            .filter(|(from, answer)| counts(from, answer))
            .map(|(&from, answer)| (from, answer))
            .collect();
        let vote = sound.iter().map(|(_, answer)| answer.term).max().unwrap_or(0);
        let mut logs = BTreeMap::new();
        for (from, answer) in &sound {
            for (told, last) in answer.floors.iter().copied().chain([(*from, answer.last)]) {
                // What a member tells of itself, and what others were told by it, whichever is further.
                let held = logs.entry(told).or_insert(last);
                *held = last.max(*held);
            }
        }
        // What this member itself told others is no news to it if it has forgotten nothing, and the more if it has.
        let logs = logs.into_iter().collect();
        Some(RejoinOutcome { floors: RejoinFloors { vote, logs }, relaxed })
    }
}
