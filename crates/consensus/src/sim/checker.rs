//! What must hold, whatever breaks. The checker looks at what hosts did: the frames that left them, the records that they
//! applied, the parts that they played.

use super::recorder::mix;
use crate::frame::Frame;
use crate::ready::{Alarm, CommittedEntry, Role, RoleChange};
use crate::wire::envelope::Body;
use crate::{MemberId, Node, ProposalId, ProposalOutcome, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Something that must not be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// When.
    pub at: Timestamp,
    /// What.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s: {}", self.at.as_secs_f64(), self.what)
    }
}

/// What is known of the run so far. The first violation stays.
#[derive(Debug, Default)]
pub struct Checker {
    now: Timestamp,
    /// The first thing that must not be.
    pub violation: Option<Violation>,
    leaders: BTreeMap<u64, MemberId>,
    votes: BTreeMap<(MemberId, u64, u64), u64>,
    /// Members whose disks forgot: one vote a term holds for each of their starts, and the older start's is void.
    pub(crate) forgetful: BTreeSet<MemberId>,
    /// Term and digest of each committed record by its place.
    committed: BTreeMap<u64, (u64, u64)>,
    /// Every name under which something was committed.
    names: BTreeSet<ProposalId>,
    /// What proposers were told.
    pub told_committed: BTreeMap<ProposalId, u64>,
    told_lost: BTreeSet<ProposalId>,
    quarantined: BTreeSet<MemberId>,
    /// How often a proposer was told each: committed, lost, unknown.
    pub outcomes: [u64; 3],
    /// Alarms heard, by their kind.
    pub alarms: BTreeMap<&'static str, u64>,
}

impl Checker {
    pub(crate) fn at(&mut self, now: Timestamp) {
        self.now = now;
    }

    /// Fails the run.
    pub fn fail(&mut self, what: String) {
        let at = self.now;
        self.violation.get_or_insert(Violation { at, what });
    }

    /// Election safety: one leader a term. Leader completeness: a new leader holds all that anybody knows committed.
    pub(crate) fn role(&mut self, member: MemberId, change: &RoleChange, council: &Node) {
        match change.role {
            Role::Quarantined => {
                self.quarantined.insert(member);
            }
            Role::Leader => {
                let first = *self.leaders.entry(change.term).or_insert(member);
                if first != member {
                    self.fail(format!("{first} and {member} both lead in term {}", change.term));
                }
                let lacking = self.committed.iter().rev().take(256).find(|(&index, (term, _))| {
                    // What the leader has compacted was committed when it was.
                    council.term_at(index).map_or(index > council.commit(), |held| held != *term)
                });
                if let Some((index, (term, _))) = lacking {
                    let text = format!(
                        "{member} leads in term {} without entry {index} of term {term}",
                        change.term
                    );
                    self.fail(text);
                }
            }
            _ => {}
        }
    }

    /// State machine safety: one record a place, whoever applies it.
    pub(crate) fn applied(&mut self, member: MemberId, entry: &CommittedEntry) {
        let digest =
            entry.bytes.iter().fold(mix(mix(0, entry.id.origin), entry.id.sequence), |chain, &byte| {
                mix(chain, u64::from(byte))
            });
        let held = *self.committed.entry(entry.index).or_insert((entry.term, digest));
        if held != (entry.term, digest) {
            self.fail(format!("{member} applies another record at {} than was applied there", entry.index));
        }
        self.names.insert(entry.id);
        if self.told_lost.contains(&entry.id) {
            self.fail(format!("a proposal told lost is committed at {}", entry.index));
        }
    }

    pub(crate) fn outcome(&mut self, outcome: &ProposalOutcome) {
        match outcome {
            ProposalOutcome::Committed { id, index } => {
                self.told_committed.insert(*id, *index);
                self.outcomes[0] += 1;
                if !self.names.contains(id) {
                    self.fail(format!("told committed at {index}, and nobody applied it"));
                }
            }
            ProposalOutcome::Dropped { id } => {
                self.told_lost.insert(*id);
                self.outcomes[1] += 1;
                if self.names.contains(id) {
                    self.fail("told lost, and it is committed".to_owned());
                }
            }
            ProposalOutcome::Unknown { .. } => self.outcomes[2] += 1,
        }
    }

    /// A frame leaves a host: one vote a term, through restarts; and a quarantined member takes no part.
    pub(crate) fn sent(&mut self, frame: &Frame) {
        let Some(Body::Raft(message)) = &frame.0.body else { return };
        let from = frame.from();
        if self.quarantined.contains(&from) {
            self.fail(format!("{from} is quarantined and takes part"));
        }
        // A request for votes is a vote for oneself (3), a word that is no refusal one for its receiver (4).
        let vote = match message.kind {
            3 => from.raw(),
            4 if !message.reject => frame.0.to,
            _ => return,
        };
        let boot = if self.forgetful.contains(&from) { frame.0.boot } else { 0 };
        let held = *self.votes.entry((from, message.term, boot)).or_insert(vote);
        if held != vote {
            self.fail(format!("{from} votes duplicate_per_mille in term {}", message.term));
        }
    }

    pub(crate) fn alarm(&mut self, member: MemberId, alarm: &Alarm) {
        let name = match alarm {
            Alarm::Quarantined(_) => "quarantined",
            Alarm::Diverged { .. } => "diverged",
            Alarm::DuplicateInstance { .. } => "twin",
            Alarm::LeaderPaused { .. } => "stopped",
            Alarm::WeakRejoinQuorum => "relaxed",
            Alarm::OperatorOverride => "overridden",
        };
        *self.alarms.entry(name).or_default() += 1;
        if let Alarm::Diverged { peer, index } = alarm {
            self.fail(format!("{member} and {peer} differ at {index}"));
        }
    }

    /// Whether a proposal was committed anywhere.
    pub fn is_committed(&self, id: ProposalId) -> bool {
        self.names.contains(&id)
    }

    /// The last place at which a record was committed.
    pub fn last_committed(&self) -> u64 {
        self.committed.keys().next_back().copied().unwrap_or(0)
    }
}
