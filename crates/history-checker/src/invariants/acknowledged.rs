//! No acknowledged operation is lost: after the configured settling time, a record that a subscriber read or
//! that a manager's log contains carries the operation out, at the acknowledged position.

use crate::config::CheckConfig;
use crate::cursor::Cursor;
use crate::event::{Event, HistoryEntry};
use crate::InvariantReport;
use std::collections::BTreeMap;

/// Name of the invariant in reports.
pub const NAME: &str = "acknowledged-lost";

/// Checks a history for violations of the invariant.
pub fn check(history: &[HistoryEntry], config: &CheckConfig) -> InvariantReport {
    let mut report = InvariantReport::default();
    let mut positions: BTreeMap<&str, Vec<Cursor>> = BTreeMap::new();
    // Time of the last record: operations acknowledged later cannot appear in a record of this history.
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
            (Some(recorded), Some(acknowledged)) if !recorded.contains(acknowledged) => {
                let description = format!(
                    "operation {op} was acknowledged at {acknowledged}, but is recorded at {recorded:?}"
                );
                report.add(NAME, *at_us, description);
            }
            (None, _) if at_us + config.settle_ms * 1_000 <= last_record_us => {
                let position = cursor.map_or(String::new(), |cursor| format!(" at {cursor}"));
                let description =
                    format!("operation {op} was acknowledged{position}, but no record contains it");
                report.add(NAME, *at_us, description);
            }
            _ => {}
        }
    }
    report
}
