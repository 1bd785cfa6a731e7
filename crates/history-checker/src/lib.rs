//! Decides whether a recorded run kept the fleet journal's rules. It reads what processes *did* (starts, exits,
//! connections, commands, records at subscribers), not what they say they did, and does no input or output.
//!
//! - [`event`]: the events of a history, one JSON line each; [`read`] reads them;
//! - [`cursor`]: positions in the journal, `EPOCH:INDEX`;
//! - [`terms`]: the budgets and bounds that a run is held against;
//! - [`outages`]: who was out when, planned and unplanned told apart;
//! - [`invariants`]: one module a rule, each with a stable name.
//!
//! What a history does not hold cannot be judged: [`Verdict::seen`] counts what each rule had before it, so that a run
//! which passes because nothing happened is told from one which passes.

pub mod cursor;
pub mod event;
pub mod invariants;
pub mod outages;
pub mod read;
pub mod terms;

use event::Line;
use terms::Terms;

/// Violations of one rule that are kept at most; further ones are counted.
pub const MOST_KEPT: usize = 100;

/// Something that broke a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule's name, as in [`invariants::NAMES`].
    pub invariant: &'static str,
    /// When it was seen, in microseconds of the run.
    pub at_us: u64,
    /// What happened, with the names and positions that are needed to find it.
    pub what: String,
}

/// What one rule found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Found {
    /// The first violations, at most [`MOST_KEPT`].
    pub violations: Vec<Violation>,
    /// Violations beyond those.
    pub more: u64,
    /// Things of the rule's kind that the history held: positions, planned outages, records.
    pub seen: u64,
}

impl Found {
    /// Notes a violation, or counts it where the bound is reached.
    pub fn add(&mut self, invariant: &'static str, at_us: u64, what: String) {
        if self.violations.len() < MOST_KEPT {
            self.violations.push(Violation { invariant, at_us, what });
        } else {
            self.more += 1;
        }
    }
}

/// What all rules found, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Each rule's name and what it found, in the order of [`invariants::NAMES`].
    pub found: Vec<(&'static str, Found)>,
}

impl Verdict {
    /// Whether no rule was broken.
    pub fn passed(&self) -> bool {
        self.found.iter().all(|(_, f)| f.violations.is_empty())
    }

    /// All violations kept, by rule.
    pub fn violations(&self) -> impl Iterator<Item = &Violation> {
        self.found.iter().flat_map(|(_, f)| &f.violations)
    }

    /// Whether the rule of this name was broken.
    pub fn broke(&self, name: &str) -> bool {
        self.found.iter().any(|(n, f)| *n == name && !f.violations.is_empty())
    }

    /// What the rule of this name had before it; 0 for an unknown name.
    pub fn seen(&self, name: &str) -> u64 {
        self.found.iter().find(|(n, _)| *n == name).map_or(0, |(_, f)| f.seen)
    }
}

/// Holds a history against the terms. Lines must be in the order of their times, as [`read::lines`] gives them.
pub fn check(history: &[Line], terms: &Terms) -> Verdict {
    Verdict { found: invariants::ALL.iter().map(|(name, judge)| (*name, judge(history, terms))).collect() }
}
