//! The declarations of subscribers at their last connection.

use crate::event::{Event, HistoryEntry};
use std::collections::BTreeMap;

/// Declaration of one subscriber.
#[derive(Clone, Copy)]
struct Declaration<'a> {
    version: &'a str,
    filter: &'a str,
}

/// The protocol version and the filter that each subscriber declared when it connected last.
#[derive(Default)]
pub(super) struct SubscriberDeclarations<'a>(BTreeMap<&'a str, Declaration<'a>>);

impl<'a> SubscriberDeclarations<'a> {
    /// Processes the next entry of the history.
    pub(super) fn observe(&mut self, entry: &'a HistoryEntry) {
        if let Event::SubscriberConnected { subscriber, version, filter, .. } = &entry.event {
            self.0.insert(subscriber, Declaration { version, filter });
        }
    }

    /// Protocol version of a subscriber; empty if it never connected.
    pub(super) fn version(&self, subscriber: &str) -> &'a str {
        self.0.get(subscriber).map_or("", |declaration| declaration.version)
    }

    /// Filter of a subscriber; empty if it reads all records or never connected.
    pub(super) fn filter(&self, subscriber: &str) -> &'a str {
        self.0.get(subscriber).map_or("", |declaration| declaration.filter)
    }

    /// Whether a subscriber reads all records.
    pub(super) fn is_unfiltered(&self, subscriber: &str) -> bool {
        self.filter(subscriber).is_empty()
    }
}
