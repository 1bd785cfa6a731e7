//! Each subscriber reads every record that passes its filter once and in order, from the cursor it gave on. A record's
//! `prev` must be the position read last; without it positions are dense. A snapshot, marked as such, may skip
//! forward, never back. What a subscriber reads again because it gave an older cursor than it had read is no repeat:
//! its state is as old as its cursor.

use super::Speaks;
use crate::cursor::Cursor;
use crate::event::{Event, Line};
use crate::terms::Terms;
use crate::Found;
use std::collections::BTreeMap;

/// The rule's name.
pub const NAME: &str = "subscriber-order";

/// Judges a history.
pub fn judge(history: &[Line], _: &Terms) -> Found {
    let mut found = Found::default();
    let mut speaks = Speaks::default();
    let mut last: BTreeMap<&str, Option<Cursor>> = BTreeMap::new();
    for line in history {
        speaks.see(line);
        match &line.event {
            Event::Join { subscriber, cursor, .. } => _ = last.insert(subscriber, *cursor),
            Event::Snapshot { subscriber, cursor, manager, .. } => {
                found.seen += 1;
                let held = last.insert(subscriber, Some(*cursor)).flatten();
                if let Some(held) = held.filter(|h| cursor < h) {
                    let what = format!("{subscriber}: a snapshot of {cursor} from {manager} behind {held}");
                    found.add(NAME, line.at_us, what);
                }
            }
            Event::Record { subscriber, manager, cursor, prev, .. } => {
                found.seen += 1;
                let held = last.insert(subscriber, Some(*cursor)).flatten();
                let filtered = !speaks.filter(subscriber).is_empty();
                if let Some(word) = wrong(held, *cursor, *prev, filtered) {
                    let held = held.map_or("nothing".to_owned(), |h| h.to_string());
                    let prev = prev.map_or(String::new(), |p| format!(" (behind {p})"));
                    let what = format!("{subscriber}: {word}: {cursor}{prev} from {manager} after {held}");
                    found.add(NAME, line.at_us, what);
                }
            }
            _ => {}
        }
    }
    found
}

/// What is wrong with a record behind the position held, if anything.
fn wrong(held: Option<Cursor>, cursor: Cursor, prev: Option<Cursor>, filtered: bool) -> Option<&'static str> {
    if cursor.index == 0 || prev.is_some_and(|p| p >= cursor) {
        return Some("a position that cannot be");
    }
    match (held, prev) {
        (Some(held), _) if cursor == held => Some("repeat"),
        (Some(held), _) if cursor < held => Some("reorder or repeat"),
        (Some(held), Some(prev)) if prev > held => Some("gap"),
        (Some(held), Some(prev)) if prev < held => Some("a record behind one that was not its last"),
        // Unfiltered, `prev` must be dense too: a manager that skips and says so skips all the same.
        (Some(held), _) if !filtered && held.epoch == cursor.epoch && !held.leads_to(cursor) => Some("gap"),
        (Some(held), None) if held.epoch != cursor.epoch => {
            Some("an epoch's change without prev or snapshot")
        }
        (Some(_), None) if filtered => Some("a filtered record without prev"),
        // The very first: from the journal's beginning, or behind a snapshot.
        (None, Some(prev)) if prev.index != 0 => Some("gap"),
        (None, None) if !filtered && cursor.index != 1 => Some("gap"),
        _ => None,
    }
}
