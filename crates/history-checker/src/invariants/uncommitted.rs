//! No subscriber reads an uncommitted record: a record that only one manager sent, and that no other manager
//! has at its position although another passed the position. A manager passed a position if, without a filter
//! or in its log as read from outside, it sent the previous record or began directly there, and then
//! continued with a later record.

use super::subscribers::SubscriberDeclarations;
use crate::config::CheckConfig;
use crate::cursor::Cursor;
use crate::event::{Event, HistoryEntry};
use crate::InvariantReport;
use std::collections::{BTreeMap, BTreeSet};

/// Name of the invariant in reports.
pub const NAME: &str = "uncommitted-record";

/// Reader name of records that the harness read from a manager's log.
const HARNESS: &str = "the harness";

/// Range of records that one manager sent without a gap: after position `from`, up to and including `to`.
#[derive(Clone, Copy)]
struct Span {
    from: Cursor,
    to: Cursor,
}

/// A stream of records, identified by the sending manager, the protocol version and the reader.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Stream<'a> {
    manager: &'a str,
    version: &'a str,
    reader: &'a str,
}

/// A sent record, identified by its position, protocol version and digest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SentRecord<'a> {
    cursor: Cursor,
    version: &'a str,
    digest: &'a str,
}

/// The managers that sent a record, with its first reader and the time of that reading.
struct Senders<'a> {
    managers: BTreeSet<&'a str>,
    first_reader: &'a str,
    first_read_us: u64,
}

/// All records and gapless spans of a history.
#[derive(Default)]
struct Observations<'a> {
    records: BTreeMap<SentRecord<'a>, Senders<'a>>,
    spans: BTreeMap<Stream<'a>, Vec<Span>>,
}

/// Checks a history for violations of the invariant.
pub fn check(history: &[HistoryEntry], _: &CheckConfig) -> InvariantReport {
    let mut declarations = SubscriberDeclarations::default();
    let mut observations = Observations::default();
    for entry in history {
        declarations.observe(entry);
        observations.observe(entry, &declarations);
    }
    let examined = observations.records.len() as u64;
    let mut report = InvariantReport { examined, ..InvariantReport::default() };
    for (record, senders) in &observations.records {
        let Some(sender) = senders.managers.first().filter(|_| senders.managers.len() == 1) else { continue };
        if let Some(other) = observations.manager_that_passed(record, sender) {
            let description = format!(
                "{}: {sender} sent {} at {}; {other} passed this position without the record, and no other \
                 manager has it",
                senders.first_reader, record.digest, record.cursor
            );
            report.add(NAME, senders.first_read_us, description);
        }
    }
    report
}

impl<'a> Observations<'a> {
    fn observe(&mut self, entry: &'a HistoryEntry, declarations: &SubscriberDeclarations<'a>) {
        match &entry.event {
            Event::SubscriberConnected { subscriber, manager, cursor, .. } => {
                self.begin_span(manager, subscriber, cursor.unwrap_or_default(), declarations);
            }
            Event::Snapshot { subscriber, manager, cursor, .. } => {
                self.begin_span(manager, subscriber, *cursor, declarations);
            }
            Event::Record { subscriber, manager, cursor, prev, digest, .. } => {
                let version = declarations.version(subscriber);
                let record = SentRecord { cursor: *cursor, version, digest };
                self.add_sender(record, manager, subscriber, entry.at_us);
                if declarations.is_unfiltered(subscriber) {
                    let stream = Stream { manager, version, reader: subscriber };
                    extend_spans(self.spans.entry(stream).or_default(), *cursor, *prev);
                }
            }
            Event::JournalRecord { manager, cursor, digest, .. } => {
                let record = SentRecord { cursor: *cursor, version: "", digest };
                self.add_sender(record, manager, HARNESS, entry.at_us);
                let stream = Stream { manager, version: "", reader: "" };
                extend_spans(self.spans.entry(stream).or_default(), *cursor, None);
            }
            _ => {}
        }
    }

    /// Begins a span of an unfiltered subscriber's stream.
    fn begin_span(
        &mut self,
        manager: &'a str,
        subscriber: &'a str,
        position: Cursor,
        declarations: &SubscriberDeclarations<'a>,
    ) {
        if declarations.is_unfiltered(subscriber) {
            let stream = Stream { manager, version: declarations.version(subscriber), reader: subscriber };
            self.spans.entry(stream).or_default().push(Span { from: position, to: position });
        }
    }

    fn add_sender(&mut self, record: SentRecord<'a>, manager: &'a str, reader: &'a str, at_us: u64) {
        let senders = self.records.entry(record).or_insert_with(|| Senders {
            managers: BTreeSet::new(),
            first_reader: reader,
            first_read_us: at_us,
        });
        senders.managers.insert(manager);
    }

    /// A manager other than `sender` that passed the position of a record, in the record's protocol version.
    fn manager_that_passed(&self, record: &SentRecord<'a>, sender: &str) -> Option<&'a str> {
        let passes = |span: &Span| span.from < record.cursor && record.cursor < span.to;
        let other = self.spans.iter().find(|(stream, spans)| {
            stream.manager != sender && stream.version == record.version && spans.iter().any(passes)
        });
        other.map(|(stream, _)| stream.manager)
    }
}

/// Extends the last span by a record that directly follows it, or begins a new span.
fn extend_spans(spans: &mut Vec<Span>, cursor: Cursor, prev: Option<Cursor>) {
    let follows = |last: Cursor| {
        last.is_followed_by(cursor) || last.index == 0 && cursor.index == 1 || prev == Some(last)
    };
    if let Some(span) = spans.last_mut().filter(|span| follows(span.to)) {
        span.to = cursor;
        return;
    }
    let from = prev.unwrap_or(Cursor::new(cursor.epoch, cursor.index.saturating_sub(1)));
    spans.push(Span { from, to: cursor });
}
