//! Probation: what a member that has started must hear before it takes part, and the floors that it takes with it.
//!
//! Why this makes up for a disk that forgot, in short. Let a member X have voted in a term, or acknowledged an entry
//! that was committed, before its start, and forgotten it. The vote or the commit rested on a majority, so on
//! at least half of the others; X hears from a majority of the others, so from one of them, H. Either H gave its part
//! before it answered X: then the answer's term or last entry covers it, and X takes it as its floor. Or H
//! gave its part later: then H's message says that X has started anew, and whoever counts parts drops X's. H must not
//! itself have forgotten; that is so for members that are established, since they went through the same, and
//! why their answers alone count as a rule.

use crate::ids::{MemberId, Micros};
use crate::members::Members;
use std::collections::BTreeMap;

/// One member's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Its term, or its own floor for votes.
    pub term: u64,
    /// Term and index of its last entry, or of its own floor.
    pub last: (u64, u64),
    /// Whether it has been through its own probation.
    pub established: bool,
    /// Whether it was found to have forgotten; then it counts for nothing.
    pub quarantined: bool,
    /// Who is in, as far as it knows, and from which entry on.
    pub members: (u64, Members),
}

/// What a member may not do once it takes part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Floors {
    /// It votes in no term up to this.
    pub vote: u64,
    /// Term and index: it votes for no candidate whose last entry is behind this, and does not campaign
    /// while its own is.
    pub log: (u64, u64),
}

/// How a member came through its probation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Vouched {
    /// The floors it takes along.
    pub floors: Floors,
    /// Whether answers of members in probation had to count.
    pub relaxed: bool,
}

/// The probation of one start.
#[derive(Debug, Clone)]
pub struct Probation {
    me: MemberId,
    since: Micros,
    patience: Micros,
    own: (u64, Members),
    answers: BTreeMap<MemberId, Answer>,
}

impl Probation {
    /// Begins; `own` is who is in as the own disk says, or whom to ask.
    pub fn new(me: MemberId, own: (u64, Members), now: Micros, patience: Micros) -> Self {
        Probation { me, since: now, patience, own, answers: BTreeMap::new() }
    }

    /// Whom to ask: all voters of the lists that count, but for itself.
    pub fn asked(&self) -> Vec<MemberId> {
        let mut asked: Vec<MemberId> = self.lists().flat_map(|list| self.others(list)).collect();
        asked.sort_unstable();
        asked.dedup();
        asked
    }

    /// Takes an answer, which stands in for an earlier one of the same member.
    pub fn answer(&mut self, from: MemberId, answer: Answer) {
        if self.asked().contains(&from) {
            self.answers.insert(from, answer);
        }
    }

    /// A member has started anew: what it said before no longer counts.
    pub fn forget(&mut self, member: MemberId) {
        self.answers.remove(&member);
    }

    /// The own start's number has changed: all must be asked again.
    pub fn restart(&mut self) {
        self.answers.clear();
    }

    /// The own list of members, and the newest that was told if it is newer.
    fn lists(&self) -> impl Iterator<Item = &Members> {
        let told = self.answers.values().filter(|answer| !answer.quarantined).map(|answer| &answer.members);
        let newest = told.filter(|(from, _)| *from > self.own.0).max_by_key(|(from, _)| *from);
        std::iter::once(&self.own.1).chain(newest.map(|(_, members)| members))
    }

    fn others(&self, list: &Members) -> Vec<MemberId> {
        list.voters.iter().copied().filter(|&voter| voter != self.me).collect()
    }

    /// Whether enough was heard, and with which floors the member goes on.
    pub fn outcome(&self, now: Micros) -> Option<Vouched> {
        let patient = now.saturating_sub(self.since) < self.patience;
        let mut relaxed = false;
        for list in self.lists() {
            let others = self.others(list);
            let need = if others.is_empty() { 0 } else { others.len() / 2 + 1 };
            let answers = || others.iter().filter_map(|other| self.answers.get(other));
            let sound = answers().filter(|answer| !answer.quarantined).count();
            let established = answers().filter(|answer| answer.established && !answer.quarantined).count();
            let unheard = others.len() - answers().count();
            if established >= need {
                continue;
            }
            let hopeless = established + unheard < need;
            if sound < need || (patient && !hopeless) {
                return None;
            }
            relaxed = true;
        }
        let sound = || self.answers.values().filter(|answer| !answer.quarantined);
        let floors = Floors {
            vote: sound().map(|answer| answer.term).max().unwrap_or(0),
            log: sound().map(|answer| answer.last).max().unwrap_or((0, 0)),
        };
        Some(Vouched { floors, relaxed })
    }
}
