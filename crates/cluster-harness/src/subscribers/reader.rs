//! The state of a subscriber, without I/O: its cursor, the history events of the stream's events, and to
//! which manager it connects next and when.

use super::marks::KnownReleases;
use super::sse::StreamItem;
use crate::history::MAX_DATA_BYTES;
use crate::scenario::Subscribers as Spec;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use sprucelink_float_math::ln;
use sprucelink_history_checker::cursor::{Cursor, ParseCursorError};
use sprucelink_history_checker::event::Event;
use std::time::Duration;

/// The id of an event is not a valid cursor.
#[derive(Debug, thiserror::Error)]
#[error("event {event:?}: {source}")]
pub struct InvalidEventCursor {
    /// Name of the event.
    event: String,
    source: ParseCursorError,
}

/// Name of an event that holds the state after all records up to its id.
const SNAPSHOT: &str = "snapshot";
/// Maximum retry time. A longer `retry` is reduced to it, so that a manager can't keep a subscriber away for
/// good.
const MAX_RETRY: Duration = Duration::from_secs(60);

/// State of one subscriber over all its connections.
#[derive(Debug)]
pub struct Reader<'a> {
    spec: &'a Spec,
    index: usize,
    rng: ChaCha8Rng,
    /// Name of the subscriber in the history and in requests.
    pub name: String,
    /// Protocol version that the subscriber requests and can read.
    pub version: String,
    /// Filter in the requested path; empty: none.
    pub filter: String,
    /// Cursor of the last event; absent before the first one. It is kept together with the state, so that
    /// both are consistent.
    pub cursor: Option<Cursor>,
    /// Index of the manager to connect to, among those that subscribers may use.
    pub manager: usize,
    retry: Duration,
    releases: KnownReleases,
}

impl<'a> Reader<'a> {
    /// The subscriber of this index in a run with `seed`; the index determines its version, filter and first
    /// manager.
    pub fn new(spec: &'a Spec, index: usize, seed: u64) -> Reader<'a> {
        let round_robin = |all: &[String]| all.get(index % all.len().max(1)).cloned().unwrap_or_default();
        Reader {
            spec,
            index,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5b5 << 44 ^ index as u64),
            name: format!("sub{index}"),
            version: round_robin(&spec.versions),
            // Versions and filters are assigned in turn; the offset avoids pairing each version with one
            // filter only.
            filter: round_robin(
                &spec.filters[index / spec.versions.len().max(1) % spec.filters.len().max(1)..],
            ),
            cursor: None,
            manager: index,
            retry: Duration::from_secs_f64(spec.retry_ms / 1e3),
            releases: KnownReleases::default(),
        }
    }

    /// The path to request, with its placeholders filled.
    pub fn path(&self) -> String {
        let path = self.spec.path.replace("{version}", &self.version);
        let path = path.replace("{filter}", &self.filter).replace("{subscriber}", &self.name);
        path.trim_end_matches(['&', '?']).to_owned()
    }

    /// Processes an item of a manager's stream: advances the cursor or sets the retry time. Returns the
    /// events for the history.
    ///
    /// # Errors
    /// If the id of an event is not a valid cursor, so that the subscriber could not resume after the event.
    pub fn process(&mut self, manager: &str, item: StreamItem) -> Result<Vec<Event>, InvalidEventCursor> {
        let (name, id, data) = match item {
            StreamItem::Retry(ms) => {
                self.retry = Duration::from_millis(ms).min(MAX_RETRY);
                return Ok(Vec::new());
            }
            StreamItem::Event { name, id, data } => (name, id, data),
        };
        let cursor: Cursor =
            id.parse().map_err(|source| InvalidEventCursor { event: name.clone(), source })?;
        let value: Option<Value> = serde_json::from_str(&data).ok();
        let text = |pointer: &str| value.as_ref().and_then(|v| v.pointer(pointer)).and_then(Value::as_str);
        let subscriber = self.name.clone();
        let manager = manager.to_owned();
        let digest = digest(value.as_ref(), &data, &self.spec.previous_pointer);
        self.cursor = Some(cursor);
        if name == SNAPSHOT {
            return Ok(vec![Event::Snapshot { subscriber, manager, cursor, digest }]);
        }
        let unreadable = match &value {
            None => Some("its data is no JSON".to_owned()),
            Some(v) => {
                let needs = self.spec.needs.get(&self.version).and_then(|n| n.get(&name));
                needs
                    .into_iter()
                    .flatten()
                    .find(|p| v.pointer(p).is_none())
                    .map(|p| format!("{p} is missing"))
            }
        };
        let prev = text(&self.spec.previous_pointer).and_then(|p| p.parse().ok());
        let op = text(&self.spec.operation_pointer).map(str::to_owned);
        let mut events =
            value.as_ref().map_or(Vec::new(), |v| self.releases.events_of(&self.spec.marks, &name, v));
        let mut data = data;
        if data.len() > MAX_DATA_BYTES {
            let end = (0..=MAX_DATA_BYTES).rev().find(|i| data.is_char_boundary(*i)).unwrap_or(0);
            data.truncate(end);
        }
        events.insert(
            0,
            Event::Record { subscriber, manager, cursor, prev, name, digest, data, op, unreadable },
        );
        Ok(events)
    }

    /// Drops the cursor, after a manager has answered that it is no longer valid.
    pub fn reset_cursor(&mut self) {
        self.cursor = None;
    }

    /// Selects another of `managers` managers at random.
    pub fn hop(&mut self, managers: usize) {
        let current = self.manager % managers.max(1);
        if managers > 1 {
            self.manager = (current + self.rng.gen_range(1..managers)) % managers;
        }
    }

    /// Time until the subscriber reconnects: 0.5 to 1.5 times the retry time, drawn at random.
    pub fn reconnect_delay(&mut self) -> Duration {
        self.retry.mul_f64(self.rng.gen_range(0.5..1.5))
    }

    /// Time until the subscriber leaves a manager by itself, drawn at random; `None`: never.
    pub fn time_to_hop(&mut self) -> Option<Duration> {
        let mean = self.spec.hop_s;
        // Exponentially distributed; the argument of the logarithm is never zero.
        (mean > 0.0).then(|| Duration::from_secs_f64(-ln(1.0 - self.rng.gen::<f64>()) * mean))
    }

    /// Whether the subscriber is in the random fraction `share` of the subscribers, drawn anew for each
    /// command of a run.
    pub fn is_selected(&self, share: f64, command: u64, seed: u64) -> bool {
        let drawn = ChaCha8Rng::seed_from_u64(seed ^ command << 20 ^ self.index as u64).gen::<f64>();
        drawn < share
    }
}

/// Digest of a record's content: the checksum (CRC-32) and length of its JSON with sorted keys, without the
/// position before the record, which depends on the filter.
fn digest(value: Option<&Value>, data: &str, previous_pointer: &str) -> String {
    let mut text = data.to_owned();
    if let Some(mut v) = value.cloned() {
        if let Some((parent, key)) = previous_pointer.rsplit_once('/') {
            if let Some(Value::Object(map)) = v.pointer_mut(parent) {
                map.remove(key);
            }
        }
        text = v.to_string();
    }
    format!("{:08x}-{}", crc32fast::hash(text.as_bytes()), text.len())
}

#[cfg(test)]
mod tests;
