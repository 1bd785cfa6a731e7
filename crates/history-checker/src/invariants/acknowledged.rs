//! No acknowledged operation is lost: some record that a subscriber reads or a manager holds carries it out, at the
//! position that was acknowledged, once the configured time to settle is over.

use crate::config::CheckConfig;
use crate::cursor::Cursor;
use crate::event::{Event, HistoryEntry};
use crate::InvariantReport;
use std::collections::BTreeMap;

/// Name of the invariant.
pub const NAME: &str = "acknowledged-lost";

/// Checks a history.
pub fn check(history: &[HistoryEntry], config: &CheckConfig) -> InvariantReport {
    let mut report = InvariantReport::default();
    let mut positions: BTreeMap<&str, Vec<Cursor>> = BTreeMap::new();
    // The time of the last record: later acknowledgements cannot show up any more.
    let mut last_record_us = 0;
    for entry in history {
        if let Event::Record { cursor, op, .. } | Event::JournalRecord { cursor, op, .. } = &entry.event {
            last_record_us = entry.at_us;
            if let Some(operation) = op {
                positions.entry(operation).or_default().push(*cursor);
            }
        }
    }
    for HistoryEntry { at_us, event } in history {
        let Event::Acknowledged { op, cursor } = event else { continue };
        report.examined += 1;
        match (positions.get(op.as_str()), cursor) {
            (Some(found), Some(acknowledged)) if !found.contains(acknowledged) => {
                let description =
                    format!("operation {op} was acknowledged at {acknowledged} and is held at {found:?}");
                report.add(NAME, *at_us, description);
            }
            (None, _) if at_us + config.settle_ms * 1_000 <= last_record_us => {
                let place = cursor.map_or(String::new(), |cursor| format!(" at {cursor}"));
                let description = format!("operation {op} was acknowledged{place} and no record holds it");
                report.add(NAME, *at_us, description);
            }
            _ => {}
        }
    }
    report
}
