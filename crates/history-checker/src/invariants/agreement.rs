//! No two readers read different records at one position. Subscribers of different protocol versions receive
//! different encodings of a record, so record digests are compared among subscribers of one version, and
//! snapshot digests among subscribers of one version and filter.

use super::subscribers::SubscriberDeclarations;
use crate::config::CheckConfig;
use crate::cursor::Cursor;
use crate::event::{Event, HistoryEntry};
use crate::InvariantReport;
use std::collections::HashMap;

/// Name of the invariant in reports.
pub const NAME: &str = "position-agreement";

/// Reader name of records that the harness read from a manager's log.
const HARNESS: &str = "the harness";

/// Key under which all digests must be equal.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct ReadingKey<'a> {
    cursor: Cursor,
    version: &'a str,
    /// The filter, for snapshots only.
    snapshot_filter: Option<&'a str>,
}

/// A digest with the manager that sent it and its reader.
#[derive(Clone, Copy)]
struct Reading<'a> {
    digest: &'a str,
    manager: &'a str,
    reader: &'a str,
}

/// Checks a history for violations of the invariant.
pub fn check(history: &[HistoryEntry], _: &CheckConfig) -> InvariantReport {
    let mut report = InvariantReport::default();
    let mut declarations = SubscriberDeclarations::default();
    let mut first_readings: HashMap<ReadingKey<'_>, Reading<'_>> = HashMap::new();
    for entry in history {
        declarations.observe(entry);
        let Some((key, reading)) = reading_of(&entry.event, &declarations) else { continue };
        let first = *first_readings.entry(key).or_insert(reading);
        if first.digest != reading.digest {
            report.add(NAME, entry.at_us, describe(&key, &first, &reading));
        }
    }
    report.examined = first_readings.len() as u64;
    report
}

/// The record or snapshot at a position that an event shows; `None` for other events.
fn reading_of<'a>(
    event: &'a Event,
    declarations: &SubscriberDeclarations<'a>,
) -> Option<(ReadingKey<'a>, Reading<'a>)> {
    match event {
        Event::Record { subscriber, manager, cursor, digest, .. } => {
            let version = declarations.version(subscriber);
            let key = ReadingKey { cursor: *cursor, version, snapshot_filter: None };
            Some((key, Reading { digest, manager, reader: subscriber }))
        }
        Event::Snapshot { subscriber, manager, cursor, digest } => {
            let version = declarations.version(subscriber);
            let snapshot_filter = Some(declarations.filter(subscriber));
            let key = ReadingKey { cursor: *cursor, version, snapshot_filter };
            Some((key, Reading { digest, manager, reader: subscriber }))
        }
        Event::JournalRecord { manager, cursor, digest, .. } => {
            let key = ReadingKey { cursor: *cursor, version: "", snapshot_filter: None };
            Some((key, Reading { digest, manager, reader: HARNESS }))
        }
        _ => None,
    }
}

fn describe(key: &ReadingKey<'_>, first: &Reading<'_>, second: &Reading<'_>) -> String {
    let suffix = if key.snapshot_filter.is_some() { " (snapshots)" } else { "" };
    format!(
        "position {}: {} sent {} {}, {} sent {} {}{suffix}",
        key.cursor, first.manager, first.reader, first.digest, second.manager, second.reader, second.digest,
    )
}
