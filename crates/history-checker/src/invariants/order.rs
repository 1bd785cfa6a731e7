//! Each subscriber reads every record that passes its filter exactly once and in order, starting from its
//! cursor. A record's `prev` must be the position read last; without `prev`, positions must be dense. A
//! snapshot, marked as such, may skip forward but never back. Records that a subscriber reads again because
//! it resumed from an older cursor are not duplicates: its state is as old as its cursor.

use super::subscribers::SubscriberDeclarations;
use crate::config::CheckConfig;
use crate::cursor::Cursor;
use crate::event::{Event, HistoryEntry};
use crate::InvariantReport;
use std::collections::BTreeMap;

/// Name of the invariant in reports.
pub const NAME: &str = "subscriber-order";

/// Checks a history for violations of the invariant.
pub fn check(history: &[HistoryEntry], _: &CheckConfig) -> InvariantReport {
    let mut report = InvariantReport::default();
    let mut declarations = SubscriberDeclarations::default();
    let mut last_read: BTreeMap<&str, Option<Cursor>> = BTreeMap::new();
    for entry in history {
        declarations.observe(entry);
        match &entry.event {
            Event::SubscriberConnected { subscriber, cursor, .. } => {
                last_read.insert(subscriber, *cursor);
            }
            Event::Snapshot { subscriber, cursor, manager, .. } => {
                report.examined += 1;
                let last = last_read.insert(subscriber, Some(*cursor)).flatten();
                if let Some(last) = last.filter(|last| cursor < last) {
                    let description =
                        format!("{subscriber}: snapshot at {cursor} from {manager} is older than {last}");
                    report.add(NAME, entry.at_us, description);
                }
            }
            Event::Record { subscriber, manager, cursor, prev, .. } => {
                report.examined += 1;
                let last = last_read.insert(subscriber, Some(*cursor)).flatten();
                let is_filtered = !declarations.is_unfiltered(subscriber);
                if let Some(fault) = sequence_fault(last, *cursor, *prev, is_filtered) {
                    let last = last.map_or("nothing".to_owned(), |last| last.to_string());
                    let prev = prev.map_or(String::new(), |prev| format!(" (prev {prev})"));
                    let description =
                        format!("{subscriber}: {fault}: {cursor}{prev} from {manager} after {last}");
                    report.add(NAME, entry.at_us, description);
                }
            }
            _ => {}
        }
    }
    report
}

/// The fault in the position of a record that was read after `last`; `None` if there is none.
fn sequence_fault(
    last: Option<Cursor>,
    cursor: Cursor,
    prev: Option<Cursor>,
    is_filtered: bool,
) -> Option<&'static str> {
    if cursor.index == 0 || prev.is_some_and(|prev| prev >= cursor) {
        return Some("impossible position");
    }
    match (last, prev) {
        (Some(last), _) if cursor == last => Some("duplicate"),
        (Some(last), _) if cursor < last => Some("reordered or duplicate"),
        (Some(last), Some(prev)) if prev > last => Some("gap"),
        (Some(last), Some(prev)) if prev < last => Some("does not follow the record read last"),
        // Without a filter, positions must be dense even if `prev` names a gap: a manager that reports that
        // it skipped a record has still skipped it.
        (Some(last), _) if !is_filtered && last.epoch == cursor.epoch && !last.is_followed_by(cursor) => {
            Some("gap")
        }
        (Some(last), None) if last.epoch != cursor.epoch => Some("new epoch without prev or snapshot"),
        (Some(_), None) if is_filtered => Some("filtered record without prev"),
        // The first record of a subscriber must be at the start of the log or follow a snapshot.
        (None, Some(prev)) if prev.index != 0 => Some("gap"),
        (None, None) if !is_filtered && cursor.index != 1 => Some("gap"),
        _ => None,
    }
}
