//! Checks whether a schema change is compatible with the readers of both versions.

use crate::comparison::compare;
use crate::findings::findings_for_usage;
use crate::limits::SAMPLES_PER_RECORD_TYPE;
use crate::rules::{Direction, Finding, Rule, Severity};
use crate::sample::sample;
use crate::schema::Schema;
use crate::symbol_history::SymbolHistory;
use crate::translate::Translation;
use crate::usage::ReaderUsage;

/// The directions in which a schema change is checked.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Directions {
    /// Whether records of the new version are checked against readers of the old one, for a change in which
    /// publishers are upgraded first.
    pub new_to_old: bool,
    /// Whether records of the old version are checked against readers of the new one, for a change in which
    /// old records are replayed or old publishers continue beside new ones.
    pub old_to_new: bool,
}

impl Directions {
    /// Both directions are checked.
    pub const BOTH: Self = Self { new_to_old: true, old_to_new: true };
    /// Only new writers are checked against old readers.
    pub const NEW_TO_OLD: Self = Self { new_to_old: true, old_to_new: false };
    /// Only old writers are checked against new readers.
    pub const OLD_TO_NEW: Self = Self { new_to_old: false, old_to_new: true };
}

/// The result of a compatibility check.
#[derive(Clone, Debug)]
pub enum Compatibility {
    /// Readers need no translation.
    Compatible,
    /// Readers need translated records.
    Translatable(Box<Translations>),
    /// Readers break or a history rule is violated: up to [`crate::limits::MAX_VIOLATIONS`] breaking
    /// findings.
    Rejected(Vec<Finding>),
}

impl Compatibility {
    /// The name of the result: `compatible`, `translatable` or `rejected`.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Compatibility::Compatible => "compatible",
            Compatibility::Translatable(_) => "translatable",
            Compatibility::Rejected(_) => "rejected",
        }
    }
}

/// The translations between two versions.
#[derive(Clone, Debug)]
pub struct Translations {
    /// Translates records of the new version into the old one.
    pub new_to_old: Translation,
    /// Translates records of the old version into the new one.
    pub old_to_new: Translation,
}

/// The highest severity of the findings; [`Severity::Note`] if there are none.
#[must_use]
pub fn worst_severity(findings: &[Finding]) -> Severity {
    findings.iter().map(|finding| finding.severity).max().unwrap_or(Severity::Note)
}

/// Checks the change from `old` to `new`. Readers of records that the new version writes use the parts of
/// `old` that `usage` declares; readers of records that the old version writes are assumed to use all of
/// `new`, with the encoding and tolerance of `usage`.
#[must_use]
pub fn check(old: &Schema, new: &Schema, usage: &ReaderUsage, directions: Directions) -> Compatibility {
    let findings = check_findings(old, new, usage, directions);
    match worst_severity(&findings) {
        Severity::Note => Compatibility::Compatible,
        Severity::Translate => Compatibility::Translatable(Box::new(Translations {
            new_to_old: Translation::between(new, old, Direction::NewToOld),
            old_to_new: Translation::between(old, new, Direction::OldToNew),
        })),
        Severity::Break => Compatibility::Rejected(breaking_findings(findings)),
    }
}

/// All findings of [`check`], including notes and the history rules between the two versions.
#[must_use]
pub fn check_findings(
    old: &Schema,
    new: &Schema,
    usage: &ReaderUsage,
    directions: Directions,
) -> Vec<Finding> {
    let mut findings = history_findings(&[old], new);
    if directions.new_to_old {
        findings.extend(reader_findings(new, old, usage, Direction::NewToOld));
    }
    if directions.old_to_new {
        let new_usage = ReaderUsage { paths: None, ..usage.clone() };
        findings.extend(reader_findings(old, new, &new_usage, Direction::OldToNew));
    }
    findings
}

/// Findings for the schema `new` of the rules on numbers and names that earlier versions used or reserved
/// (the history rules). `before` holds these versions, oldest first.
#[must_use]
pub fn history_findings(before: &[&Schema], new: &Schema) -> Vec<Finding> {
    let mut symbol_history = SymbolHistory::default();
    before.iter().for_each(|schema| symbol_history.record(&schema.model));
    symbol_history.check(&new.model)
}

/// Findings for a reader of version `reader` with `usage` that receives records of version `writer`. If a
/// translation is needed, it is also run on sample records.
pub(crate) fn reader_findings(
    writer: &Schema,
    reader: &Schema,
    usage: &ReaderUsage,
    direction: Direction,
) -> Vec<Finding> {
    let comparison = compare(&writer.model, &reader.model, direction);
    let mut findings = findings_for_usage(&comparison, &reader.model, usage);
    if worst_severity(&findings) == Severity::Translate {
        let translation = Translation::from_comparison(&comparison, reader);
        let opposite =
            if direction == Direction::NewToOld { Direction::OldToNew } else { Direction::NewToOld };
        let inverse = Translation::between(reader, writer, opposite);
        findings.extend(test_translation(&translation, &inverse, writer, direction));
    }
    findings
}

/// Runs a translation on sample records of each of the writer's record types, and its inverse on the results;
/// returns the first failure.
fn test_translation(
    translation: &Translation,
    inverse: &Translation,
    writer: &Schema,
    direction: Direction,
) -> Option<Finding> {
    for name in writer.records() {
        for seed in 0..SAMPLES_PER_RECORD_TYPE {
            let Some(record) = sample(writer, name, seed) else { continue };
            let failure = match translation.run(&record) {
                Ok(None) => None,
                Ok(Some(read)) => inverse.run(&read).err().map(|error| format!("translating back: {error}")),
                Err(error) => Some(error.to_string()),
            };
            if let Some(detail) = failure {
                return Some(Finding {
                    rule: Rule::TranslationFailed,
                    path: name.to_string(),
                    direction,
                    severity: Severity::Break,
                    detail,
                });
            }
        }
    }
    None
}

fn breaking_findings(mut findings: Vec<Finding>) -> Vec<Finding> {
    findings.retain(|finding| finding.severity == Severity::Break);
    findings.truncate(crate::limits::MAX_VIOLATIONS);
    findings
}
