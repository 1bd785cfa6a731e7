//! No two parties are told different things at one journal position. Subscribers of different protocol versions get
//! different words for one record, so words are compared among those of one version; snapshots among those of one
//! version and filter.

use super::Speaks;
use crate::cursor::Cursor;
use crate::event::{Event, Line};
use crate::terms::Terms;
use crate::Found;
use std::collections::HashMap;

/// The rule's name.
pub const NAME: &str = "position-agreement";

/// Judges a history.
pub fn judge(history: &[Line], _: &Terms) -> Found {
    let mut found = Found::default();
    let mut speaks = Speaks::default();
    // By position, version, and filter for snapshots: the words first told there, and by whom to whom.
    type Place<'a> = (Cursor, &'a str, Option<&'a str>);
    let mut told: HashMap<Place<'_>, (&str, &str, &str)> = HashMap::new();
    for line in history {
        speaks.see(line);
        let (place, digest, manager, to) = match &line.event {
            Event::Record { subscriber, manager, cursor, digest, .. } => {
                ((*cursor, speaks.version(subscriber), None), digest, manager, subscriber.as_str())
            }
            Event::Snapshot { subscriber, manager, cursor, digest } => {
                let (version, filter) = (speaks.version(subscriber), speaks.filter(subscriber));
                ((*cursor, version, Some(filter)), digest, manager, subscriber.as_str())
            }
            Event::Held { manager, cursor, digest, .. } => ((*cursor, "", None), digest, manager, "the rig"),
            _ => continue,
        };
        let first = told.entry(place).or_insert((digest, manager, to));
        if first.0 != digest {
            let (other, by, whom) = *first;
            let what = format!(
                "position {}: {by} told {whom} {other}, {manager} told {to} {digest}{}",
                place.0,
                if place.2.is_some() { " (snapshots)" } else { "" },
            );
            found.add(NAME, line.at_us, what);
        }
    }
    found.seen = told.len() as u64;
    found
}
