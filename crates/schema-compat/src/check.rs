//! Checks whether a change of schema is compatible with the readers of either version.

use crate::comparison::compare;
use crate::findings::findings_for_usage;
use crate::limits::SAMPLES_PER_RECORD;
use crate::rules::{Direction, Finding, Rule, Severity};
use crate::sample::sample;
use crate::schema::Schema;
use crate::symbol_history::SymbolHistory;
use crate::translate::Translation;
use crate::usage::ReaderUsage;

/// Which of two versions writes and which reads.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Directions {
    /// The new version writes, the old one reads: publishers go first.
    pub down: bool,
    /// The old version writes or wrote, the new one reads: history is replayed, or old publishers continue beside new ones.
    pub up: bool,
}

impl Directions {
    /// Both.
    pub const BOTH: Self = Self { down: true, up: true };
    /// New writers, old readers.
    pub const DOWN: Self = Self { down: true, up: false };
    /// Old writers, new readers.
    pub const UP: Self = Self { down: false, up: true };
}

/// The result of a compatibility check.
#[derive(Clone, Debug)]
pub enum Compatibility {
    /// Readers need no translation.
    Compatible,
    /// Readers need translated records.
    Translatable(Box<Translations>),
    /// Readers break or a history rule is violated: up to [`crate::limits::MAX_VIOLATIONS`] breaking findings.
    Rejected(Vec<Finding>),
}

impl Compatibility {
    /// `compatible`, `translatable` or `rejected`.
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
    /// From the new version to the old.
    pub down: Translation,
    /// From the old version to the new.
    pub up: Translation,
}

/// The highest severity of the findings.
#[must_use]
pub fn worst_severity(findings: &[Finding]) -> Severity {
    findings.iter().map(|finding| finding.severity).max().unwrap_or(Severity::Note)
}

/// Checks the change from `old` to `new`. Where the new version writes, readers use `usage` of `old`; where the old one
/// writes, readers are assumed to use all of `new`, with the encoding and tolerance of `usage`.
#[must_use]
pub fn check(old: &Schema, new: &Schema, usage: &ReaderUsage, directions: Directions) -> Compatibility {
    let findings = check_findings(old, new, usage, directions);
    match worst_severity(&findings) {
        Severity::Note => Compatibility::Compatible,
        Severity::Translate => Compatibility::Translatable(Box::new(Translations {
            down: Translation::between(new, old, Direction::Down),
            up: Translation::between(old, new, Direction::Up),
        })),
        Severity::Break => Compatibility::Rejected(breaks(findings)),
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
    let mut found = history_findings(&[old], new);
    if directions.down {
        found.extend(read_by(new, old, usage, Direction::Down));
    }
    if directions.up {
        let future = ReaderUsage { paths: None, ..usage.clone() };
        found.extend(read_by(old, new, &future, Direction::Up));
    }
    found
}

/// Findings of the history rules for a new schema after all versions `before` it, oldest first.
#[must_use]
pub fn history_findings(before: &[&Schema], new: &Schema) -> Vec<Finding> {
    let mut symbol_history = SymbolHistory::default();
    before.iter().for_each(|schema| symbol_history.absorb(&schema.model));
    symbol_history.check(&new.model)
}

/// Findings for a reader of `reader` with `usage` that gets records of `writer`. If a translation is needed, it is run on
/// sample records as well.
pub(crate) fn read_by(
    writer: &Schema,
    reader: &Schema,
    usage: &ReaderUsage,
    direction: Direction,
) -> Vec<Finding> {
    let pair = compare(&writer.model, &reader.model, direction);
    let mut found = findings_for_usage(&pair, &reader.model, usage);
    if worst_severity(&found) == Severity::Translate {
        let translation = Translation::of(&pair, reader);
        let opposite = if direction == Direction::Down { Direction::Up } else { Direction::Down };
        let inverse = Translation::between(reader, writer, opposite);
        found.extend(test_translation(&translation, &inverse, writer, direction));
    }
    found
}

/// Runs a translation and its inverse on samples of every record; returns the first failure.
fn test_translation(
    translation: &Translation,
    inverse: &Translation,
    writer: &Schema,
    direction: Direction,
) -> Option<Finding> {
    for name in writer.records() {
        for seed in 0..SAMPLES_PER_RECORD {
            let Some(record) = sample(writer, name, seed) else { continue };
            let failed = match translation.run(&record) {
                Ok(None) => None,
                Ok(Some(read)) => inverse.run(&read).err().map(|error| format!("on the way back: {error}")),
                Err(error) => Some(error.to_string()),
            };
            if let Some(detail) = failed {
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

fn breaks(mut findings: Vec<Finding>) -> Vec<Finding> {
    findings.retain(|finding| finding.severity == Severity::Break);
    findings.truncate(crate::limits::MAX_VIOLATIONS);
    findings
}
