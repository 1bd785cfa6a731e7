//! Two schemas, or one against all in use: the verdict.

use crate::comparison::compare;
use crate::findings::findings_for_usage;
use crate::limits::SAMPLES_PER_RECORD;
use crate::rules::{Direction, Finding, Rule, Severity};
use crate::sample::sample;
use crate::schema::Schema;
use crate::symbol_history::SymbolHistory;
use crate::translate::Translation;
use crate::usage::ReaderUsage;

/// Who writes and who reads, of two versions.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Directions {
    /// The new version writes, the old one reads: publishers go first.
    pub down: bool,
    /// The old version writes or wrote, the new one reads: history is replayed, or old publishers go on beside new ones.
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

/// What a change does to readers.
#[derive(Clone, Debug)]
pub enum Compatibility {
    /// Readers go on without any help.
    Compatible,
    /// Readers go on if records are translated for them.
    Translatable(Box<Translations>),
    /// Readers break, or history is hurt: the findings that break, worst first, [`crate::limits::MAX_VIOLATIONS`] at most.
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

/// What records of two versions go through on their way to readers of the other.
#[derive(Clone, Debug)]
pub struct Translations {
    /// From the new version to the old.
    pub down: Translation,
    /// From the old version to the new.
    pub up: Translation,
}

/// The worst that findings say.
#[must_use]
pub fn worst(findings: &[Finding]) -> Severity {
    findings.iter().map(|finding| finding.severity).max().unwrap_or(Severity::Note)
}

/// Judges the change from `old` to `new` for readers that use `uses` of the version that they read: of `old` where the
/// new version writes; where the old one writes, readers are taken to use all of `new`, with the form and tolerance of
/// `uses`.
#[must_use]
pub fn check(old: &Schema, new: &Schema, usage: &ReaderUsage, directions: Directions) -> Compatibility {
    let findings = check_findings(old, new, usage, directions);
    match worst(&findings) {
        Severity::Note => Compatibility::Compatible,
        Severity::Translate => Compatibility::Translatable(Box::new(Translations {
            down: Translation::between(new, old, Direction::Down),
            up: Translation::between(old, new, Direction::Up),
        })),
        Severity::Break => Compatibility::Rejected(breaks(findings)),
    }
}

/// All that [`check`] finds, notes too, and history's rules between the two.
#[must_use]
pub fn check_findings(
    old: &Schema,
    new: &Schema,
    usage: &ReaderUsage,
    directions: Directions,
) -> Vec<Finding> {
    let mut found = history(&[old], new);
    if directions.down {
        found.extend(read_by(new, old, usage, Direction::Down));
    }
    if directions.up {
        let future = ReaderUsage { paths: None, ..usage.clone() };
        found.extend(read_by(old, new, &future, Direction::Up));
    }
    found
}

/// What the new schema does to numbers and names that any version before it, oldest first, gave away or set aside.
#[must_use]
pub fn history(before: &[&Schema], new: &Schema) -> Vec<Finding> {
    let mut symbol_history = SymbolHistory::default();
    before.iter().for_each(|schema| symbol_history.absorb(&schema.model));
    symbol_history.check(&new.model)
}

/// What a reader of `reader` with `uses` meets in records of `writer`. A translation that would be needed has been run on
/// samples.
pub(crate) fn read_by(
    writer: &Schema,
    reader: &Schema,
    usage: &ReaderUsage,
    direction: Direction,
) -> Vec<Finding> {
    let pair = compare(&writer.model, &reader.model, direction);
    let mut found = findings_for_usage(&pair, &reader.model, usage);
    if worst(&found) == Severity::Translate {
        let there = Translation::of(&pair, reader);
        let back = if direction == Direction::Down { Direction::Up } else { Direction::Down };
        let back = Translation::between(reader, writer, back);
        found.extend(try_out(&there, &back, writer, direction));
    }
    found
}

/// Runs a translation on samples of every record, there and back.
fn try_out(
    there: &Translation,
    back: &Translation,
    writer: &Schema,
    direction: Direction,
) -> Option<Finding> {
    for name in writer.records() {
        for seed in 0..SAMPLES_PER_RECORD {
            let Some(record) = sample(writer, name, seed) else { continue };
            let failed = match there.run(&record) {
                Ok(None) => None,
                Ok(Some(read)) => back.run(&read).err().map(|error| format!("on the way back: {error}")),
                Err(error) => Some(error.to_string()),
            };
            if let Some(detail) = failed {
                let (rule, path, severity) = (Rule::TranslationFailed, name.to_string(), Severity::Break);
                return Some(Finding { rule, path, direction, severity, detail });
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
