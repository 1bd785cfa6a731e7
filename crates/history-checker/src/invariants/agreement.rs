//! No two parties read different records at one position. Subscribers of different protocol versions receive different
//! encodings of a record, so digests are compared among subscribers of one version; those of snapshots among subscribers
//! of one version and filter.

use super::subscribers::SubscriberDeclarations;
use crate::config::CheckConfig;
use crate::cursor::Cursor;
use crate::event::{Event, HistoryEntry};
use crate::InvariantReport;
use std::collections::HashMap;

/// Name of the invariant.
pub const NAME: &str = "position-agreement";

/// Stands for the reader of records that the harness read from a manager's log.
const HARNESS: &str = "the harness";

/// Where digests must agree.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct Place<'a> {
    cursor: Cursor,
    version: &'a str,
    /// The filter, for snapshots only.
    snapshot_filter: Option<&'a str>,
}

/// A digest, who sent it, and who read it.
#[derive(Clone, Copy)]
struct Reading<'a> {
    digest: &'a str,
    manager: &'a str,
    reader: &'a str,
}

/// Checks a history.
pub fn check(history: &[HistoryEntry], _: &CheckConfig) -> InvariantReport {
    let mut report = InvariantReport::default();
    let mut declarations = SubscriberDeclarations::default();
    let mut first_readings: HashMap<Place<'_>, Reading<'_>> = HashMap::new();
    for entry in history {
        declarations.observe(entry);
        let Some((place, reading)) = reading_of(&entry.event, &declarations) else { continue };
        let first = *first_readings.entry(place).or_insert(reading);
        if first.digest != reading.digest {
            report.add(NAME, entry.at_us, describe(&place, &first, &reading));
        }
    }
    report.examined = first_readings.len() as u64;
    report
}

/// What an event shows of the record or snapshot at a position, if anything.
fn reading_of<'a>(
    event: &'a Event,
    declarations: &SubscriberDeclarations<'a>,
) -> Option<(Place<'a>, Reading<'a>)> {
    match event {
        Event::Record { subscriber, manager, cursor, digest, .. } => {
            let version = declarations.version(subscriber);
            let place = Place { cursor: *cursor, version, snapshot_filter: None };
            Some((place, Reading { digest, manager, reader: subscriber }))
        }
        Event::Snapshot { subscriber, manager, cursor, digest } => {
            let version = declarations.version(subscriber);
            let snapshot_filter = Some(declarations.filter(subscriber));
            let place = Place { cursor: *cursor, version, snapshot_filter };
            Some((place, Reading { digest, manager, reader: subscriber }))
        }
        Event::JournalRecord { manager, cursor, digest, .. } => {
            let place = Place { cursor: *cursor, version: "", snapshot_filter: None };
            Some((place, Reading { digest, manager, reader: HARNESS }))
        }
        _ => None,
    }
}

fn describe(place: &Place<'_>, first: &Reading<'_>, second: &Reading<'_>) -> String {
    let snapshots = if place.snapshot_filter.is_some() { " (snapshots)" } else { "" };
    format!(
        "position {}: {} sent {} {}, {} sent {} {}{snapshots}",
        place.cursor, first.manager, first.reader, first.digest, second.manager, second.reader, second.digest,
    )
}
