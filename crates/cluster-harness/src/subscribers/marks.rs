//! Records that mean something to the checker: releases, halts and schemas, found by the scenario's marks.

use crate::scenario::Marks;
use serde_json::Value;
use sprucelink_history_checker::event::Event;
use std::collections::BTreeMap;

/// Releases that a subscriber remembers; further ones it does not know.
const MAX_RELEASES: usize = 1_000;

/// What one subscriber has read of releases: their versions.
#[derive(Debug, Default)]
pub struct Marked(BTreeMap<String, String>);

/// A text or a number at a place.
fn text_at(value: &Value, at: &str) -> Option<String> {
    match value.pointer(at)? {
        Value::String(text) => Some(text.clone()),
        Value::Number(n) => Some(n.to_string()),
        _ => None,
    }
}

impl Marked {
    /// What a record means. A halt of a release that this subscriber knows nothing of is left to those who do.
    pub fn read(&mut self, marks: &Marks, name: &str, value: &Value) -> Vec<Event> {
        let mut all = Vec::new();
        if marks.only.iter().any(|(at, want)| value.pointer(at).unwrap_or(&Value::Null) != want) {
            return all;
        }
        if let Some(m) = marks.release.as_ref().filter(|m| m.record == name) {
            if let Some((id, version)) = text_at(value, &m.id).zip(text_at(value, &m.version)) {
                if self.0.len() < MAX_RELEASES {
                    self.0.insert(id, version);
                }
            }
        }
        if let Some(m) = marks.halt.as_ref().filter(|m| m.record == name) {
            let version = match (&m.version, &m.release) {
                (Some(at), _) => Some(text_at(value, at)),
                (None, Some(at)) => text_at(value, at).and_then(|id| self.0.get(&id).cloned()).map(Some),
                (None, None) => Some(None),
            };
            all.extend(text_at(value, &m.id).zip(version).map(|(id, version)| Event::Halted { id, version }));
        }
        if let Some(m) = marks.halt_over.as_ref().filter(|m| m.record == name) {
            all.extend(text_at(value, &m.id).map(|id| Event::HaltLifted { id }));
        }
        if let Some(m) = marks.schema.as_ref().filter(|m| m.record == name) {
            let reads = value.pointer(&m.reads).and_then(Value::as_array);
            let reads = reads.map(|r| r.iter().filter_map(Value::as_str).map(str::to_owned).collect());
            let publisher = text_at(value, &m.publisher);
            all.extend(
                publisher.zip(reads).map(|(publisher, reads)| Event::SchemaActivated { publisher, reads }),
            );
        }
        all
    }
}

#[cfg(test)]
mod tests;
