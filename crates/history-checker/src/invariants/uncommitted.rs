//! No subscriber reads an uncommitted record: one that a single manager told and that no other ever holds at that
//! position, although others went past it. A manager went past a position when, unfiltered or by its journal read from
//! outside, it told the one before it or began right there, and went on to a later one.

use super::Speaks;
use crate::cursor::Cursor;
use crate::event::{Event, Line};
use crate::terms::Terms;
use crate::Found;
use std::collections::{BTreeMap, BTreeSet};

/// The rule's name.
pub const NAME: &str = "uncommitted-record";

/// A run of records that one manager told without a gap: behind which position, up to which.
type Span = (Cursor, Cursor);

/// Judges a history.
pub fn judge(history: &[Line], _: &Terms) -> Found {
    let mut speaks = Speaks::default();
    // By position, version and words: which managers told it, who read it first, when.
    type Word<'a> = (Cursor, &'a str, &'a str);
    let mut told: BTreeMap<Word<'_>, (BTreeSet<&str>, &str, u64)> = BTreeMap::new();
    // By manager, version and reader: spans that were told whole, the last still growing.
    let mut spans: BTreeMap<(&str, &str, &str), Vec<Span>> = BTreeMap::new();
    for line in history {
        speaks.see(line);
        match &line.event {
            Event::Join { subscriber, manager, cursor, filter, .. } if filter.is_empty() => {
                let from = cursor.unwrap_or_default();
                let of = (manager.as_str(), speaks.version(subscriber), subscriber.as_str());
                spans.entry(of).or_default().push((from, from));
            }
            Event::Snapshot { subscriber, manager, cursor, .. } if speaks.filter(subscriber).is_empty() => {
                let of = (manager.as_str(), speaks.version(subscriber), subscriber.as_str());
                spans.entry(of).or_default().push((*cursor, *cursor));
            }
            Event::Record { subscriber, manager, cursor, prev, digest, .. } => {
                let version = speaks.version(subscriber);
                let word = told.entry((*cursor, version, digest)).or_insert((
                    BTreeSet::new(),
                    subscriber,
                    line.at_us,
                ));
                word.0.insert(manager);
                if speaks.filter(subscriber).is_empty() {
                    grow(spans.entry((manager, version, subscriber)).or_default(), *cursor, *prev);
                }
            }
            Event::Held { manager, cursor, digest, .. } => {
                told.entry((*cursor, "", digest))
                    .or_insert((BTreeSet::new(), "the rig", line.at_us))
                    .0
                    .insert(manager);
                grow(spans.entry((manager, "", "")).or_default(), *cursor, None);
            }
            _ => {}
        }
    }
    let mut found = Found { seen: told.len() as u64, ..Found::default() };
    for ((cursor, version, digest), (managers, reader, at_us)) in &told {
        let Some(only) = managers.first().filter(|_| managers.len() == 1) else { continue };
        let past = |(manager, v, _): &(&str, &str, &str), all: &Vec<Span>| {
            manager != only && v == version && all.iter().any(|(from, to)| from < cursor && cursor < to)
        };
        if let Some(((by, _, _), _)) = spans.iter().find(|(who, all)| past(who, all)) {
            let what = format!("{reader}: {only} told {digest} at {cursor}; {by} went past it without, and no other holds it");
            found.add(NAME, *at_us, what);
        }
    }
    found
}

/// Takes a record in: the last span grows by what follows on it; else a new one begins.
fn grow(spans: &mut Vec<Span>, cursor: Cursor, prev: Option<Cursor>) {
    let follows = |to: Cursor| to.leads_to(cursor) || to.index == 0 && cursor.index == 1 || prev == Some(to);
    match spans.last_mut() {
        Some((_, to)) if follows(*to) => *to = cursor,
        _ => spans.push((prev.unwrap_or(Cursor::new(cursor.epoch, cursor.index.saturating_sub(1))), cursor)),
    }
}
