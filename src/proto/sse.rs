//! The control feed's text: server-sent events, as the HTML standard's page 9.2 has them, with `id` and `data`
//! alone and lines that end in a line feed, with or without a carriage return.
//!
//! The decoder is the project's own since no kept crate for event streams is bounded (measured, with figures in
//! docs/measurements/plumbing.md): a feed that never ends a line or an event would fill the memory.

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
}

impl Decoder {
    /// Takes the next bytes and appends the events that they complete.
    ///
    /// # Errors
    /// Where a line, or the data of one event, passes [`MOST`] bytes; nothing more may be given to it then.
    pub fn take(&mut self, bytes: &[u8], out: &mut Vec<Sent>) -> Result<(), Malformed> {
        for piece in bytes.split_inclusive(|b| *b == b'\n') {
            self.text.extend_from_slice(piece);
            if self.text.len() > MOST || self.data.as_ref().is_some_and(|d| d.len() > MOST) {
                return Err(Malformed::field("data", "is too long"));
            }
            if piece.ends_with(b"\n") {
                let line = std::mem::take(&mut self.text);
                self.line(String::from_utf8_lossy(&line).trim_end_matches(['\n', '\r']), out);
            }
        }
        Ok(())
    }

    fn line(&mut self, line: &str, out: &mut Vec<Sent>) {
        if line.is_empty() {
            let id = self.id.take();
            if let Some(data) = self.data.take() {
                out.push(Sent { id, data });
            }
            return;
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "id" => self.id = value.parse().ok(),
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
