//! The control feed's text: server-sent events, as the HTML standard's page 9.2 has them, with `id` and `data`
//! alone and lines that end in a line feed, with or without a carriage return.
//!
//! The decoder is the project's own since no kept crate for event streams is bounded (measured, with figures in
//! docs/measurements/plumbing.md): a feed that never ends a line or an event would fill the memory.

use super::events::MOST_N;
use super::Malformed;

/// The longest line, and the most data of one event.
pub const MOST: usize = 1 << 20;

/// One event as it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sent {
    /// Its number.
    pub id: Option<u64>,
    /// Its data, lines joined by line feeds.
    pub data: String,
}

/// Reads a stream of events piece by piece.
#[derive(Debug, Default)]
pub struct Decoder {
    text: Vec<u8>,
    id: Option<u64>,
    data: Option<String>,
    /// The event in hand is passed over, to its end.
    passing: bool,
    /// What came behind an event that was too long.
    rest: Vec<u8>,
    whole: u64,
}

impl Decoder {
    /// Takes the next bytes and appends the events that they complete.
    ///
    /// # Errors
    /// Where a line, or the data of one event, passes [`MOST`] bytes; [`Decoder::pass`] must be called before
    /// anything more is given to it.
    pub fn take(&mut self, bytes: &[u8], out: &mut Vec<Sent>) -> Result<(), Malformed> {
        let mut taken = 0;
        for piece in bytes.split_inclusive(|b| *b == b'\n') {
            self.text.extend_from_slice(piece);
            taken += piece.len();
            if self.text.len() > MOST || self.data.as_ref().is_some_and(|d| d.len() > MOST) {
                // Of the line no more is wanted than whether it ends, and whether it is the empty one.
                let ends = piece.ends_with(b"\n");
                let empty = self.text.iter().all(|b| matches!(b, b'\r' | b'\n'));
                self.text.clear();
                self.text.extend_from_slice(if empty { b"" } else { b"x" });
                if !self.passing {
                    self.rest = [if ends { &b"\n"[..] } else { b"" }, &bytes[taken..]].concat();
                    return Err(Malformed::field("data", "is too long"));
                }
                self.text.extend_from_slice(if ends { b"\n" } else { b"" });
            }
            if piece.ends_with(b"\n") {
                let line = std::mem::take(&mut self.text);
                self.line(String::from_utf8_lossy(&line).trim_end_matches(['\n', '\r']), out);
            }
        }
        Ok(())
    }

    /// The number of the event in hand, as far as it came.
    pub fn id(&self) -> Option<u64> {
        self.id
    }

    /// Passes over the event that was too long, to its end, and goes on with what came behind it.
    ///
    /// # Errors
    /// As [`Decoder::take`].
    pub fn pass(&mut self, out: &mut Vec<Sent>) -> Result<(), Malformed> {
        (self.passing, self.data, self.id) = (true, None, None);
        let rest = std::mem::take(&mut self.rest);
        self.take(&rest, out)
    }

    /// Ends of events and comments so far: what only trickles has none.
    pub fn whole(&self) -> u64 {
        self.whole
    }

    fn line(&mut self, line: &str, out: &mut Vec<Sent>) {
        if line.is_empty() || line.starts_with(':') {
            self.whole += 1;
        }
        if line.is_empty() {
            let (id, passed) = (self.id.take(), std::mem::take(&mut self.passing));
            if let Some(data) = self.data.take().filter(|_| !passed) {
                out.push(Sent { id, data });
            }
            return;
        }
        if self.passing {
            return;
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            // What no feed counts up to is no number: all that comes after it would be passed over.
            "id" => self.id = value.parse().ok().filter(|n| *n <= MOST_N),
            "data" => match &mut self.data {
                Some(data) => {
                    data.push('\n');
                    data.push_str(value);
                }
                None => self.data = Some(value.to_owned()),
            },
            _ => {}
        }
    }
}
