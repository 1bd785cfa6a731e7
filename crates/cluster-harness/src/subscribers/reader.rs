//! What a subscriber makes of what it reads, without input or output: its cursor, kept with its state, what goes into
//! the history, where it goes next and when.

use super::marks::Marked;
use super::sse::StreamItem;
use crate::history::MAX_DATA_BYTES;
use crate::scenario::Subscribers as Spec;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use sprucelink_history_checker::cursor::{Cursor, ParseCursorError};
use sprucelink_history_checker::event::Event;
use std::time::Duration;

/// An event's id is no cursor.
#[derive(Debug, thiserror::Error)]
#[error("event {event:?}: {source}")]
pub struct InvalidEventCursor {
    /// The event's name.
    event: String,
    source: ParseCursorError,
}

/// The name of an event that stands for all records up to its id.
const SNAPSHOT: &str = "snapshot";
/// A `retry` longer than this is taken as this: a manager cannot send a subscriber away for good.
const MAX_RETRY: Duration = Duration::from_secs(60);

/// One subscriber.
#[derive(Debug)]
pub struct Reader<'a> {
    spec: &'a Spec,
    number: usize,
    rng: ChaCha8Rng,
    /// Its name.
    pub name: String,
    /// The protocol version it speaks.
    pub version: String,
    /// Its filter; empty: none.
    pub filter: String,
    /// Where it stands; kept with its state, so that both are of one moment.
    pub cursor: Option<Cursor>,
    /// The manager it goes to, by its number among those it may go to.
    pub at: usize,
    retry: Duration,
    marks: Marked,
}

impl<'a> Reader<'a> {
    /// Subscriber `number` of a run with `seed`: its version, filter and first manager by its number.
    pub fn new(spec: &'a Spec, number: usize, seed: u64) -> Reader<'a> {
        let turn = |all: &[String]| all.get(number % all.len().max(1)).cloned().unwrap_or_default();
        Reader {
            spec,
            number,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5b5 << 44 ^ number as u64),
            name: format!("sub{number}"),
            version: turn(&spec.versions),
            // Versions and filters in turn, but not the same filter always with one version.
            filter: turn(&spec.filters[number / spec.versions.len().max(1) % spec.filters.len().max(1)..]),
            cursor: None,
            at: number,
            retry: Duration::from_secs_f64(spec.retry_ms / 1e3),
            marks: Marked::default(),
        }
    }

    /// The path it asks for.
    pub fn path(&self) -> String {
        let path = self.spec.path.replace("{version}", &self.version);
        let path = path.replace("{filter}", &self.filter).replace("{subscriber}", &self.name);
        path.trim_end_matches(['&', '?']).to_owned()
    }

    /// Takes in what a manager told: what the history notes of it.
    ///
    /// # Errors
    /// Where an event has no cursor for an id: nothing can be resumed behind it.
    pub fn take(&mut self, manager: &str, item: StreamItem) -> Result<Vec<Event>, InvalidEventCursor> {
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
        let text = |at: &str| value.as_ref().and_then(|v| v.pointer(at)).and_then(Value::as_str);
        let subscriber = self.name.clone();
        let manager = manager.to_owned();
        let digest = digest(value.as_ref(), &data, &self.spec.prev_at);
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
        let prev = text(&self.spec.prev_at).and_then(|p| p.parse().ok());
        let op = text(&self.spec.op_at).map(str::to_owned);
        let mut all = value.as_ref().map_or(Vec::new(), |v| self.marks.read(&self.spec.marks, &name, v));
        let mut data = data;
        if data.len() > MAX_DATA_BYTES {
            let end = (0..=MAX_DATA_BYTES).rev().find(|i| data.is_char_boundary(*i)).unwrap_or(0);
            data.truncate(end);
        }
        all.insert(
            0,
            Event::Record { subscriber, manager, cursor, prev, name, digest, data, op, unreadable },
        );
        Ok(all)
    }

    /// Drops the cursor, after a manager has answered that it is no longer valid.
    pub fn forget(&mut self) {
        self.cursor = None;
    }

    /// Goes to another manager, drawn, of `managers`.
    pub fn hop(&mut self, managers: usize) {
        let at = self.at % managers.max(1);
        if managers > 1 {
            self.at = (at + self.rng.gen_range(1..managers)) % managers;
        }
    }

    /// Time until it reconnects: 0.5 to 1.5 times the retry time, drawn at random.
    pub fn wait(&mut self) -> Duration {
        self.retry.mul_f64(self.rng.gen_range(0.5..1.5))
    }

    /// How long it stays before it leaves by itself; none: for ever.
    pub fn stay(&mut self) -> Option<Duration> {
        let mean = self.spec.hop_s;
        // An exponential gap; the draw is never zero.
        (mean > 0.0).then(|| Duration::from_secs_f64(-(1.0 - self.rng.gen::<f64>()).ln() * mean))
    }

    /// Whether it is in a random fraction of the subscribers; each order of a run draws its own.
    pub fn among(&self, share: f64, order: u64, seed: u64) -> bool {
        let drawn = ChaCha8Rng::seed_from_u64(seed ^ order << 20 ^ self.number as u64).gen::<f64>();
        drawn < share
    }
}

/// What stands for a record's content: a checksum (CRC-32) and length of its JSON with keys in order, without the
/// position before it, which differs by filter.
fn digest(value: Option<&Value>, data: &str, prev_at: &str) -> String {
    let mut text = data.to_owned();
    if let Some(mut v) = value.cloned() {
        if let Some((parent, key)) = prev_at.rsplit_once('/') {
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
