//! Collects breaking findings as the violations of a rejection.

use super::CommandRejection;
use crate::limits::{MAX_NAMED_READERS, MAX_VIOLATIONS};
use crate::rules::{Finding, Rule, Severity, Violation};
use std::collections::{BTreeMap, BTreeSet};

/// Identity of a violation. Violations are reported in the order of their keys.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ViolationKey {
    rule: Rule,
    path: String,
    detail: String,
}

/// The readers that a violation would break.
#[derive(Default)]
struct AffectedReaders {
    /// Names of the readers, at most [`MAX_NAMED_READERS`].
    names: BTreeSet<String>,
    /// Number of all readers, including those not named.
    count: usize,
}

/// Violations, with the readers that would break.
#[derive(Default)]
pub(super) struct ViolationSet {
    found: BTreeMap<ViolationKey, AffectedReaders>,
}

impl ViolationSet {
    /// Adds the breaking findings for these readers; returns whether any finding was breaking.
    pub(super) fn add(&mut self, findings: &[Finding], readers: &[&str]) -> bool {
        let mut found_any = false;
        for finding in findings.iter().filter(|finding| finding.severity == Severity::Break) {
            found_any = true;
            let key = ViolationKey {
                rule: finding.rule,
                path: finding.path.clone(),
                detail: finding.detail.clone(),
            };
            let affected = self.found.entry(key).or_default();
            affected.count += readers.len();
            let remaining = MAX_NAMED_READERS.saturating_sub(affected.names.len());
            affected.names.extend(readers.iter().take(remaining).map(|name| name.to_string()));
        }
        found_any
    }

    pub(super) fn into_rejection(self) -> Option<CommandRejection> {
        let count = self.found.len();
        let violation = |(key, affected): (ViolationKey, AffectedReaders)| Violation {
            path: key.path,
            rule: key.rule,
            affected: affected.names.into_iter().collect(),
            affected_count: affected.count,
            detail: key.detail,
        };
        let violations: Vec<Violation> = self.found.into_iter().take(MAX_VIOLATIONS).map(violation).collect();
        (count > 0).then_some(CommandRejection::BreaksReaders { violations, count })
    }
}
