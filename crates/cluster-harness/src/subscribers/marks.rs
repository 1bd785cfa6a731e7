//! Finds the records that have a meaning for the checker (releases, halts and schemas) by the scenario's
//! marks.

use crate::scenario::Marks;
use serde_json::Value;
use sprucelink_history_checker::event::Event;
use std::collections::BTreeMap;

/// Maximum number of releases that a subscriber remembers; further ones are ignored.
const MAX_RELEASES: usize = 1_000;

/// The releases that one subscriber has read: their versions by release id.
#[derive(Debug, Default)]
pub struct KnownReleases(BTreeMap<String, String>);

/// The string or number at a JSON pointer, as text.
fn text_at(value: &Value, pointer: &str) -> Option<String> {
    match value.pointer(pointer)? {
        Value::String(text) => Some(text.clone()),
        Value::Number(n) => Some(n.to_string()),
        _ => None,
    }
}

impl KnownReleases {
    /// The history events that a record stands for. A halt of a release that this subscriber has not read
    /// gives no event: subscribers that have read the release record the halt.
    pub fn events_of(&mut self, marks: &Marks, name: &str, value: &Value) -> Vec<Event> {
        let mut all = Vec::new();
        if marks.only.iter().any(|(at, expected)| value.pointer(at).unwrap_or(&Value::Null) != expected) {
            return all;
        }
        if let Some(mark) = marks.release.as_ref().filter(|m| m.record == name) {
            if let Some((id, version)) = text_at(value, &mark.id).zip(text_at(value, &mark.version)) {
                if self.0.len() < MAX_RELEASES {
                    self.0.insert(id, version);
                }
            }
        }
        if let Some(mark) = marks.halt.as_ref().filter(|m| m.record == name) {
            let version = match (&mark.version, &mark.release) {
                (Some(at), _) => Some(text_at(value, at)),
                (None, Some(at)) => text_at(value, at).and_then(|id| self.0.get(&id).cloned()).map(Some),
                (None, None) => Some(None),
            };
            let halt = text_at(value, &mark.id).zip(version);
            all.extend(halt.map(|(id, version)| Event::Halted { id, version }));
        }
        if let Some(mark) = marks.halt_over.as_ref().filter(|m| m.record == name) {
            all.extend(text_at(value, &mark.id).map(|id| Event::HaltLifted { id }));
        }
        if let Some(mark) = marks.schema.as_ref().filter(|m| m.record == name) {
            let reads = value.pointer(&mark.reads).and_then(Value::as_array);
            let reads = reads.map(|r| r.iter().filter_map(Value::as_str).map(str::to_owned).collect());
            let publisher = text_at(value, &mark.publisher);
            all.extend(
                publisher.zip(reads).map(|(publisher, reads)| Event::SchemaActivated { publisher, reads }),
            );
        }
        all
    }
}

#[cfg(test)]
mod tests;
