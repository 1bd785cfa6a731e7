//! The control feed's wire: an HTTP response that carries server-sent events.

use super::Malformed;

/// The longest line, and the most data of one event.
const MOST: usize = 1 << 20;

/// One event as it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sent {
    /// Its number.
    pub id: Option<u64>,
    /// Its data, lines joined by line feeds.
    pub data: String,
}

#[derive(Debug, Default, PartialEq)]
enum Stage {
    #[default]
    Status,
    Headers,
    ChunkSize,
    ChunkBody(usize),
    ChunkEnd,
    Plain,
    Over,
}

/// Reads a response piece by piece.
#[derive(Debug, Default)]
pub struct Reader {
    stage: Stage,
    status: Option<u16>,
    chunked: bool,
    line: Vec<u8>,
    text: Vec<u8>,
    id: Option<u64>,
    data: Option<String>,
}

/// The request that asks for what came after event `last`.
pub fn request(host: &str, last: u64) -> String {
    format!(
        "GET /v1/events HTTP/1.1\r\nHost: {host}\r\nAccept: text/event-stream\r\n\
         Last-Event-ID: {last}\r\nConnection: close\r\n\r\n"
    )
}

impl Reader {
    /// Takes the next bytes and appends the events that they complete.
    pub fn take(&mut self, mut bytes: &[u8], out: &mut Vec<Sent>) -> Result<(), Malformed> {
        while !bytes.is_empty() {
            match self.stage {
                Stage::Plain => {
                    self.body(bytes, out)?;
                    bytes = &[];
                }
                Stage::ChunkBody(left) => {
                    let n = left.min(bytes.len());
                    self.body(&bytes[..n], out)?;
                    bytes = &bytes[n..];
                    self.stage = if n == left { Stage::ChunkEnd } else { Stage::ChunkBody(left - n) };
                }
                Stage::Over => return Ok(()),
                _ => {
                    let end = bytes.iter().position(|b| *b == b'\n');
                    self.line.extend_from_slice(&bytes[..end.unwrap_or(bytes.len())]);
                    if self.line.len() > MOST {
                        return Err(Malformed::field("header", "is too long"));
                    }
                    let Some(end) = end else { return Ok(()) };
                    bytes = &bytes[end + 1..];
                    let line = std::mem::take(&mut self.line);
                    self.head(String::from_utf8_lossy(&line).trim_end_matches('\r'))?;
                }
            }
        }
        Ok(())
    }

    /// Whether the response has ended by its own word.
    pub fn over(&self) -> bool {
        self.stage == Stage::Over
    }

    /// The status code of the response's head, once it was read and could be.
    pub fn status(&self) -> Option<u16> {
        self.status
    }

    /// Whether the service said that it would not serve now: 429 (too many requests) or 503 (unavailable).
    pub fn refused(&self) -> bool {
        matches!(self.status, Some(429 | 503))
    }

    /// Whether the call was answered: the head of the response was read and is a good one.
    pub fn open(&self) -> bool {
        !matches!(self.stage, Stage::Status | Stage::Headers)
    }

    fn head(&mut self, line: &str) -> Result<(), Malformed> {
        match self.stage {
            Stage::Status => {
                self.status = line.split(' ').nth(1).and_then(|code| code.parse().ok());
                if !line.starts_with("HTTP/1.") || line.split(' ').nth(1) != Some("200") {
                    return Err(Malformed(format!("field status is not 200: {line:.60}")));
                }
                self.stage = Stage::Headers;
            }
            Stage::Headers if line.is_empty() => {
                self.stage = if self.chunked { Stage::ChunkSize } else { Stage::Plain };
            }
            Stage::Headers => {
                let lower = line.to_ascii_lowercase();
                self.chunked |= lower.starts_with("transfer-encoding:") && lower.contains("chunked");
            }
            Stage::ChunkEnd => self.stage = Stage::ChunkSize,
            _ => {
                let digits = line.split(';').next().unwrap_or("").trim();
                let size = usize::from_str_radix(digits, 16).ok().filter(|s| *s <= MOST);
                let size = size.ok_or_else(|| Malformed::field("chunk size", "is not a legal one"))?;
                self.stage = if size == 0 { Stage::Over } else { Stage::ChunkBody(size) };
            }
        }
        Ok(())
    }

    fn body(&mut self, bytes: &[u8], out: &mut Vec<Sent>) -> Result<(), Malformed> {
        for piece in bytes.split_inclusive(|b| *b == b'\n') {
            self.text.extend_from_slice(piece);
            if self.text.len() > MOST || self.data.as_ref().is_some_and(|d| d.len() > MOST) {
                return Err(Malformed::field("data", "is too long"));
            }
            if piece.ends_with(b"\n") {
                let line = std::mem::take(&mut self.text);
                self.event_line(String::from_utf8_lossy(&line).trim_end_matches(['\n', '\r']), out);
            }
        }
        Ok(())
    }

    fn event_line(&mut self, line: &str, out: &mut Vec<Sent>) {
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
