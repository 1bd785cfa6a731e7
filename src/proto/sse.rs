//! The control feed's stream: server-sent events (HTML standard, section 9.2), with the fields `id` and
//! `data` alone and lines that end in a line feed, with or without a carriage return.
//!
//! No crate is used because no maintained crate for event streams is bounded (docs/measurements/plumbing.md
//! has the figures): a feed that never ends a line or an event would exhaust the memory.

use super::events::MAX_EVENT_NUMBER;
use thiserror::Error;

/// Maximum number of bytes of one line, and of the data of one event.
pub const MAX_EVENT_BYTES: usize = 1 << 20;
/// Name of the field that holds an event's number.
const ID_FIELD: &str = "id";
/// Name of the field that holds an event's data.
const DATA_FIELD: &str = "data";

/// Reason why a stream cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SseError {
    /// A line, or the data of an event, is longer than [`MAX_EVENT_BYTES`].
    #[error("field data is too long")]
    TooLong,
}

/// One event of the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSentEvent {
    /// Number of the event, from its field `id`; `None` if the field is absent or invalid.
    pub id: Option<u64>,
    /// Values of the event's fields `data`, joined by line feeds.
    pub data: String,
}

/// Decodes a stream of events piece by piece.
#[derive(Debug, Default)]
pub struct Decoder {
    /// The bytes of the incomplete line.
    line: Vec<u8>,
    /// Number of the incomplete event.
    id: Option<u64>,
    /// Data of the incomplete event.
    data: Option<String>,
    /// Whether the incomplete event is skipped up to its end.
    is_skipping: bool,
    /// Undecoded bytes after the piece at which an event became too long.
    rest: Vec<u8>,
    /// Number of complete events and comments.
    completed: u64,
}

impl Decoder {
    /// Decodes the next bytes, and appends the events that they complete.
    ///
    /// # Errors
    /// If an event is too long; [`Decoder::skip_event`] must be called before any other bytes are decoded.
    pub fn decode(&mut self, bytes: &[u8], events: &mut Vec<ServerSentEvent>) -> Result<(), SseError> {
        let mut decoded = 0;
        for piece in bytes.split_inclusive(|byte| *byte == b'\n') {
            self.line.extend_from_slice(piece);
            decoded += piece.len();
            if self.is_too_long() {
                let is_complete = piece.ends_with(b"\n");
                self.shorten_line();
                if !self.is_skipping {
                    let line_end: &[u8] = if is_complete { b"\n" } else { b"" };
                    self.rest = [line_end, &bytes[decoded..]].concat();
                    return Err(SseError::TooLong);
                }
                if is_complete {
                    self.line.push(b'\n');
                }
            }
            if piece.ends_with(b"\n") {
                let line = std::mem::take(&mut self.line);
                self.decode_line(String::from_utf8_lossy(&line).trim_end_matches(['\n', '\r']), events);
            }
        }
        Ok(())
    }

    /// Number of the incomplete event, if its field `id` was received.
    pub fn id(&self) -> Option<u64> {
        self.id
    }

    /// Skips the event that was too long up to its end, and decodes the bytes after it.
    ///
    /// # Errors
    /// If a later event is too long, as for [`Decoder::decode`].
    pub fn skip_event(&mut self, events: &mut Vec<ServerSentEvent>) -> Result<(), SseError> {
        self.is_skipping = true;
        self.data = None;
        self.id = None;
        let rest = std::mem::take(&mut self.rest);
        self.decode(&rest, events)
    }

    /// Number of complete events and comments. While this number does not grow, the stream makes no progress.
    pub fn completed(&self) -> u64 {
        self.completed
    }

    fn is_too_long(&self) -> bool {
        let data_bytes = self.data.as_ref().map_or(0, String::len);
        self.line.len() > MAX_EVENT_BYTES || data_bytes > MAX_EVENT_BYTES
    }

    /// Shortens an overlong line to a placeholder that preserves whether the line is empty: an empty line
    /// ends the event.
    fn shorten_line(&mut self) {
        let is_empty = self.line.iter().all(|byte| matches!(byte, b'\r' | b'\n'));
        self.line.clear();
        if !is_empty {
            self.line.push(b'x');
        }
    }

    fn decode_line(&mut self, line: &str, events: &mut Vec<ServerSentEvent>) {
        if line.is_empty() || line.starts_with(':') {
            self.completed += 1;
        }
        if line.is_empty() {
            return self.end_event(events);
        }
        if self.is_skipping {
            return;
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            // A number above the maximum is ignored: if it were accepted, every later event would count as a
            // repetition.
            ID_FIELD => self.id = value.parse().ok().filter(|number| *number <= MAX_EVENT_NUMBER),
            DATA_FIELD => match &mut self.data {
                Some(data) => {
                    data.push('\n');
                    data.push_str(value);
                }
                None => self.data = Some(value.to_owned()),
            },
            _ => {}
        }
    }

    fn end_event(&mut self, events: &mut Vec<ServerSentEvent>) {
        let id = self.id.take();
        let was_skipped = std::mem::take(&mut self.is_skipping);
        if let Some(data) = self.data.take().filter(|_| !was_skipped) {
            events.push(ServerSentEvent { id, data });
        }
    }
}
