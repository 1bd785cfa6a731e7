//! Server-sent events, read piece by piece as WHATWG's HTML standard words them ("Interpreting an event stream"):
//! lines end in LF, CR or both; an event is over at an empty line; one without data is none.

/// Longest event, all its lines together, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event exceeds [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event of over {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// What a stream tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// An event.
    Event {
        /// Its name; empty where none was told.
        name: String,
        /// The stream's last id by then.
        id: String,
        /// Its data, lines joined.
        data: String,
    },
    /// How long to wait before coming back, in milliseconds.
    Retry(u64),
}

/// Reads a stream.
#[derive(Debug, Default)]
pub struct Stream {
    line: Vec<u8>,
    after_cr: bool,
    begun: bool,
    name: String,
    id: String,
    data: String,
    has_data: bool,
}

impl Stream {
    /// Takes the next bytes in and gives what they complete.
    ///
    /// # Errors
    /// Where an event is over [`MAX_EVENT_BYTES`]: the stream cannot be read on.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<StreamItem>, EventTooLong> {
        let mut out = Vec::new();
        for b in bytes {
            let behind_cr = std::mem::replace(&mut self.after_cr, *b == b'\r');
            match b {
                b'\n' if behind_cr => {}
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
        // One byte order mark may lead the stream.
        let text = if std::mem::replace(&mut self.begun, true) {
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
            // Comments (no name before the colon) and fields that are not known.
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
