//! Server-sent events, read piece by piece as WHATWG's HTML standard words them ("Interpreting an event stream"):
//! lines end in LF, CR or both; an event is over at an empty line; one without data is none.

/// Bytes of one event at most, its lines together.
pub const MOST_EVENT: usize = 1 << 20;

/// What a stream tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
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
    /// Where an event is over [`MOST_EVENT`]: the stream cannot be read on.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Told>, String> {
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
            if self.line.len() + self.data.len() > MOST_EVENT {
                return Err(format!("an event of over {MOST_EVENT} bytes"));
            }
        }
        Ok(out)
    }

    fn end_line(&mut self, line: &[u8], out: &mut Vec<Told>) {
        let text = String::from_utf8_lossy(line);
        // One byte order mark may lead the stream.
        let text = if std::mem::replace(&mut self.begun, true) {
            &*text
        } else {
            text.trim_start_matches('\u{feff}')
        };
        if text.is_empty() {
            let (name, data) = (std::mem::take(&mut self.name), std::mem::take(&mut self.data));
            if std::mem::take(&mut self.has_data) {
                out.push(Told::Event { name, id: self.id.clone(), data });
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
                out.extend(value.parse().ok().map(Told::Retry));
            }
            // Comments (no name before the colon) and fields that are not known.
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn event(name: &str, id: &str, data: &str) -> Told {
        Told::Event { name: name.into(), id: id.into(), data: data.into() }
    }

    #[test]
    fn a_stream_reads_the_same_in_any_pieces() {
        let text = "\u{feff}: hello\r\nretry: 250\nid: 1:1\nevent: permit\ndata: a\ndata:b\n\nid: 1:2\rdata\r\rdata: c\n\nevent: x\n\nid:\ndata: d\n\n";
        let want = [
            Told::Retry(250),
            event("permit", "1:1", "a\nb"),
            event("", "1:2", ""),
            event("", "1:2", "c"),
            event("", "", "d"),
        ];
        for step in [1, 2, 3, 7, 1_000] {
            let mut stream = Stream::default();
            let got: Vec<Told> =
                text.as_bytes().chunks(step).flat_map(|c| stream.push(c).expect("read")).collect();
            assert_eq!(got, want, "in pieces of {step}");
        }
    }

    #[test]
    fn an_event_without_end_is_cut() {
        let mut stream = Stream::default();
        stream.push(b"data: ").expect("read");
        let cut = (0..2_000).find_map(|_| stream.push(&[b'x'; 1_000]).err());
        assert!(cut.expect("cut").contains("over"));
    }
}
