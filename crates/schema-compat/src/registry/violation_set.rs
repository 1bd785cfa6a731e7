//! Collects breaking findings into the violations of a rejection.

use super::CommandRejection;
use crate::limits::{MAX_NAMED_READERS, MAX_VIOLATIONS};
use crate::rules::{Finding, Rule, Severity, Violation};
use std::collections::{BTreeMap, BTreeSet};

/// Violations by rule, path and detail, with the readers that would break.
#[derive(Default)]
pub(super) struct ViolationSet {
    found: BTreeMap<(Rule, String, String), (BTreeSet<String>, usize)>,
}

impl ViolationSet {
    /// Adds the breaking findings for these readers; returns whether there were any.
    pub(super) fn add(&mut self, findings: &[Finding], who: &[&str]) -> bool {
        let mut any = false;
        for finding in findings.iter().filter(|finding| finding.severity == Severity::Break) {
            any = true;
            let key = (finding.rule, finding.path.clone(), finding.detail.clone());
            let (names, count) = self.found.entry(key).or_default();
            *count += who.len();
            let room = MAX_NAMED_READERS.saturating_sub(names.len());
            names.extend(who.iter().take(room).map(|name| name.to_string()));
        }
        any
    }

    pub(super) fn into_rejection(self) -> Option<CommandRejection> {
        let count = self.found.len();
        let reason =
            |((rule, path, detail), (who, count)): ((Rule, String, String), (BTreeSet<String>, usize))| {
                Violation { path, rule, affected: who.into_iter().collect(), affected_count: count, detail }
            };
        let violations: Vec<Violation> = self.found.into_iter().take(MAX_VIOLATIONS).map(reason).collect();
        (count > 0).then_some(CommandRejection::BreaksReaders { violations, count })
    }
}
