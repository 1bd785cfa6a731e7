//! Nothing acknowledged is lost: an operation that was acknowledged is carried out by some record that a subscriber
//! reads or a manager holds, at the position told with it, once the terms' time to settle is over.

use crate::cursor::Cursor;
use crate::event::{Event, Line};
use crate::terms::Terms;
use crate::Found;
use std::collections::BTreeMap;

/// The rule's name.
pub const NAME: &str = "acknowledged-lost";

/// Judges a history.
pub fn judge(history: &[Line], terms: &Terms) -> Found {
    let mut found = Found::default();
    let mut held: BTreeMap<&str, Vec<Cursor>> = BTreeMap::new();
    // When the last record came: after that nobody could show anything.
    let mut read_until = 0;
    for line in history {
        if let Event::Record { cursor, op, .. } | Event::Held { cursor, op, .. } = &line.event {
            read_until = line.at_us;
            if let Some(op) = op {
                held.entry(op).or_default().push(*cursor);
            }
        }
    }
    for Line { at_us, event } in history {
        let Event::Ack { op, cursor } = event else { continue };
        found.seen += 1;
        let at = held.get(op.as_str());
        match (at, cursor) {
            (Some(at), Some(cursor)) if !at.contains(cursor) => {
                let what = format!("operation {op} was acknowledged at {cursor} and is held at {at:?}");
                found.add(NAME, *at_us, what);
            }
            (None, _) if at_us + terms.settle_ms * 1_000 <= read_until => {
                let whence = cursor.map_or(String::new(), |c| format!(" at {c}"));
                found.add(
                    NAME,
                    *at_us,
                    format!("operation {op} was acknowledged{whence} and no record holds it"),
                );
            }
            _ => {}
        }
    }
    found
}
