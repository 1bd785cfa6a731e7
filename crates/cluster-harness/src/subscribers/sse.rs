//! An incremental parser of server-sent events (WHATWG HTML standard, "Interpreting an event stream"): lines
//! end in LF, CR or both; an empty line ends an event; an event without data is ignored.

/// Longest event, all its lines together, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event exceeds [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event of over {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// A parsed item of an event stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// An event with data.
    Event {
        /// Name of the event; empty if the event has none.
        name: String,
        /// The last id of the stream, which may be that of an earlier event; empty if there was none.
        id: String,
        /// The event's data, with its lines joined by LF.
        data: String,
    },
    /// Delay before the client reconnects, in milliseconds.
    Retry(u64),
}

/// State of the parser of one stream.
#[derive(Debug, Default)]
pub struct Stream {
    line: Vec<u8>,
    after_cr: bool,
    /// Whether the first line has been read.
    started: bool,
    name: String,
    id: String,
    data: String,
    has_data: bool,
}

impl Stream {
    /// Parses the next bytes and returns the items that they complete.
    ///
    /// # Errors
    /// If an event exceeds [`MAX_EVENT_BYTES`]; the stream can't be read any further.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<StreamItem>, EventTooLong> {
        let mut out = Vec::new();
        for b in bytes {
            let after_cr = std::mem::replace(&mut self.after_cr, *b == b'\r');
            match b {
                b'\n' if after_cr => {}
                b'\n' | b'\r' => {
                    let line = std::mem::take(&mut self.line);
                    self.end_line(&line, &mut out);
                }
                b => self.line.push(*b),
            }
            if self.line.len() + self.data.len() > MAX_EVENT_BYTES {
                return Err(EventTooLong);
            }
        }
        Ok(out)
    }

    fn end_line(&mut self, line: &[u8], out: &mut Vec<StreamItem>) {
        let text = String::from_utf8_lossy(line);
        // The stream may begin with a byte order mark.
        let text = if std::mem::replace(&mut self.started, true) {
            &*text
        } else {
            text.trim_start_matches('\u{feff}')
        };
        if text.is_empty() {
            let name = std::mem::take(&mut self.name);
            let data = std::mem::take(&mut self.data);
            if std::mem::take(&mut self.has_data) {
                out.push(StreamItem::Event { name, id: self.id.clone(), data });
            }
            return;
        }
        let (field, value) = text.split_once(':').unwrap_or((text, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => self.name = value.to_owned(),
            "data" => {
                if self.has_data {
                    self.data.push('\n');
                }
                self.has_data = true;
                self.data.push_str(value);
            }
            "id" if !value.contains('\0') => self.id = value.to_owned(),
            "retry" if !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit()) => {
                out.extend(value.parse().ok().map(StreamItem::Retry));
            }
            // Comments (no name before the colon) and unknown fields.
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
