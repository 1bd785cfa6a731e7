//! The clients' wire: the PostgreSQL protocol, version 3.0.

use super::Malformed;

/// What a connection may begin with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Opening {
    /// The client asks for TLS.
    Ssl,
    /// The client asks for GSSAPI encryption.
    Gssenc,
    /// Another connection's request is to be given up.
    Cancel {
        /// The session's number.
        session: u32,
        /// Its secret.
        secret: u32,
    },
    /// The session begins.
    Startup {
        /// The minor version asked for.
        minor: u16,
        /// Names and values.
        parameters: Vec<(String, String)>,
    },
}

/// Longest opening packet.
const MOST_OPENING: usize = 10_000;

/// Reads the first packet of a connection and how many bytes it took; `None` if more are wanted.
pub fn read_opening(bytes: &[u8]) -> Result<Option<(Opening, usize)>, Malformed> {
    let Some(len) = bytes.get(..4) else { return Ok(None) };
    let len = u32::from_be_bytes([len[0], len[1], len[2], len[3]]) as usize;
    if !(8..=MOST_OPENING).contains(&len) {
        return Err(Malformed::field("length", "of the start-up packet is not a legal one"));
    }
    let Some(packet) = bytes.get(4..len) else { return Ok(None) };
    let mut c = Cursor(packet);
    let opening = match c.u32("code")? {
        80_877_103 => Opening::Ssl,
        80_877_104 => Opening::Gssenc,
        80_877_102 => Opening::Cancel { session: c.u32("process id")?, secret: c.u32("secret key")? },
        code if code >> 16 == 3 => {
            let mut parameters = Vec::new();
            while c.0.first().is_some_and(|b| *b != 0) {
                let name = c.text("parameter name")?.to_owned();
                parameters.push((name, c.text("parameter value")?.to_owned()));
            }
            Opening::Startup { minor: code as u16, parameters }
        }
        code => {
            let version = format!("{}.{}", code >> 16, code & 0xffff);
            return Err(Malformed(format!("field version is not 3.0 but {version}")));
        }
    };
    Ok(Some((opening, len)))
}

/// A statement or a portal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A prepared statement.
    Statement,
    /// A portal.
    Portal,
}

/// One message of a client.
#[derive(Clone, Debug, PartialEq)]
pub enum Message<'a> {
    /// A simple query.
    Query(&'a str),
    /// Prepares a statement.
    Parse {
        /// Its name; empty: unnamed.
        name: &'a str,
        /// Its text.
        sql: &'a str,
        /// Parameter types, 0 where not said.
        types: Vec<u32>,
    },
    /// Makes a portal of a statement.
    Bind {
        /// The portal's name.
        portal: &'a str,
        /// The statement's name.
        statement: &'a str,
        /// Parameter formats: none, one for all, or one each.
        formats: Vec<u16>,
        /// Values; `None` is NULL.
        values: Vec<Option<&'a [u8]>>,
        /// Result formats.
        results: Vec<u16>,
    },
    /// Asks what a statement or portal is.
    Describe(Kind, &'a str),
    /// Runs a portal.
    Execute {
        /// The portal's name.
        portal: &'a str,
        /// Most rows to send; 0: all.
        rows: u32,
    },
    /// Closes a statement or portal.
    Close(Kind, &'a str),
    /// Asks for what is held back.
    Flush,
    /// Ends a batch.
    Sync,
    /// Ends the session.
    Terminate,
    /// Data or the end of a COPY: out of place here.
    Copy,
    /// A function call.
    FunctionCall,
    /// An answer to a password question nobody asked.
    Password,
}

/// What is wrong with a message, and how many bytes to pass over if the stream can go on behind it.
pub type BadMessage = (Malformed, Option<usize>);

/// Reads one message from the front of `bytes` and how many bytes it took; `None` if more are
/// wanted. One longer than `limit` is malformed. An error says how many bytes to pass over, if
/// the stream can go on behind the message.
pub fn read_message(bytes: &[u8], limit: usize) -> Result<Option<(Message<'_>, usize)>, BadMessage> {
    let Some(head) = bytes.get(..5) else { return Ok(None) };
    let len = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    if len < 4 || len >= limit {
        return Err((Malformed::field("length", "of the message is not a legal one"), None));
    }
    let Some(body) = bytes.get(5..=len) else { return Ok(None) };
    let message = body_of(head[0], body).map_err(|e| (e, (head[0] != 0).then_some(len + 1)))?;
    Ok(Some((message, len + 1)))
}

/// Whether the message at the front of `bytes` is a simple query.
pub fn is_simple_query(bytes: &[u8]) -> bool {
    bytes.first() == Some(&b'Q')
}

fn body_of(tag: u8, body: &[u8]) -> Result<Message<'_>, Malformed> {
    let mut c = Cursor(body);
    let message = match tag {
        b'Q' => Message::Query(c.text("query")?),
        b'P' => {
            let (name, sql) = (c.text("statement name")?, c.text("query")?);
            let count = c.u16("parameter type count")?;
            let types = (0..count).map(|_| c.u32("parameter type")).collect::<Result<_, _>>()?;
            Message::Parse { name, sql, types }
        }
        b'B' => {
            let (portal, statement) = (c.text("portal name")?, c.text("statement name")?);
            let count = c.u16("parameter format count")?;
            let formats = (0..count).map(|_| c.format("parameter format")).collect::<Result<_, _>>()?;
            let count = c.u16("parameter count")?;
            let values = (0..count).map(|_| c.value("parameter value")).collect::<Result<_, _>>()?;
            let count = c.u16("result format count")?;
            let results = (0..count).map(|_| c.format("result format")).collect::<Result<_, _>>()?;
            Message::Bind { portal, statement, formats, values, results }
        }
        b'D' => Message::Describe(c.kind()?, c.text("name")?),
        b'C' => Message::Close(c.kind()?, c.text("name")?),
        b'E' => Message::Execute { portal: c.text("portal name")?, rows: c.u32("row limit")? },
        b'H' => Message::Flush,
        b'S' => Message::Sync,
        b'X' => Message::Terminate,
        b'F' => return Ok(Message::FunctionCall),
        b'd' | b'c' | b'f' => return Ok(Message::Copy),
        b'p' => return Ok(Message::Password),
        _ => return Err(Malformed(format!("field type is unknown: 0x{tag:02x}"))),
    };
    if c.0.is_empty() {
        Ok(message)
    } else {
        Err(Malformed::field("length", "counts more bytes than the message has fields"))
    }
}

struct Cursor<'a>(&'a [u8]);

impl<'a> Cursor<'a> {
    fn bytes(&mut self, n: usize, name: &str) -> Result<&'a [u8], Malformed> {
        if n > self.0.len() {
            return Err(Malformed::field(name, "is cut short"));
        }
        let (head, rest) = self.0.split_at(n);
        self.0 = rest;
        Ok(head)
    }
    fn u16(&mut self, name: &str) -> Result<u16, Malformed> {
        self.bytes(2, name).map(|b| u16::from_be_bytes([b[0], b[1]]))
    }
    fn u32(&mut self, name: &str) -> Result<u32, Malformed> {
        self.bytes(4, name).map(|b| u32::from_be_bytes([b[0], b[1], b[2], b[3]]))
    }
    fn text(&mut self, name: &str) -> Result<&'a str, Malformed> {
        let end = self.0.iter().position(|b| *b == 0);
        let end = end.ok_or_else(|| Malformed::field(name, "is not ended by a zero byte"))?;
        let text = std::str::from_utf8(&self.0[..end]).map_err(|_| Malformed::field(name, "is not UTF-8"))?;
        self.0 = &self.0[end + 1..];
        Ok(text)
    }
    fn format(&mut self, name: &str) -> Result<u16, Malformed> {
        self.u16(name)
            .and_then(|f| if f < 2 { Ok(f) } else { Err(Malformed::field(name, "is neither 0 nor 1")) })
    }
    fn value(&mut self, name: &str) -> Result<Option<&'a [u8]>, Malformed> {
        match self.u32(name)? {
            u32::MAX => Ok(None),
            n => self.bytes(n as usize, name).map(Some),
        }
    }
    fn kind(&mut self) -> Result<Kind, Malformed> {
        match self.bytes(1, "kind")?[0] {
            b'S' => Ok(Kind::Statement),
            b'P' => Ok(Kind::Portal),
            _ => Err(Malformed::field("kind", "is neither S nor P")),
        }
    }
}

/// An error as a client sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Its SQLSTATE.
    pub code: &'static str,
    /// What happened.
    pub message: String,
    /// For programs: `name=value`.
    pub detail: Option<String>,
    /// What the client may do.
    pub hint: Option<String>,
    /// The session ends with it.
    pub fatal: bool,
}

impl Fault {
    /// An error without detail or hint.
    pub fn new(code: &'static str, message: impl Into<String>) -> Fault {
        Fault { code, message: message.into(), detail: None, hint: None, fatal: false }
    }
    /// The same, with advice.
    pub fn hint(self, hint: impl Into<String>) -> Fault {
        Fault { hint: Some(hint.into()), ..self }
    }
    /// The same, as the session's last word.
    pub fn fatal(self) -> Fault {
        Fault { fatal: true, ..self }
    }
}

impl From<Malformed> for Fault {
    fn from(m: Malformed) -> Fault {
        Fault::new("08P01", format!("malformed message: {m}"))
    }
}

/// Appends a message: its type, its length and what `body` writes.
fn framed(out: &mut Vec<u8>, tag: u8, body: impl FnOnce(&mut Vec<u8>)) {
    out.push(tag);
    let at = out.len();
    out.extend_from_slice(&[0; 4]);
    body(out);
    let len = (out.len() - at) as u32;
    out[at..at + 4].copy_from_slice(&len.to_be_bytes());
}

fn text(out: &mut Vec<u8>, s: &str) {
    out.extend(s.bytes().filter(|b| *b != 0));
    out.push(0);
}

/// AuthenticationOk.
pub fn authentication_ok(out: &mut Vec<u8>) {
    framed(out, b'R', |o| o.extend_from_slice(&[0; 4]));
}

/// ParameterStatus.
pub fn parameter_status(out: &mut Vec<u8>, name: &str, value: &str) {
    framed(out, b'S', |o| {
        text(o, name);
        text(o, value);
    });
}

/// BackendKeyData: what a CancelRequest must carry.
pub fn backend_key(out: &mut Vec<u8>, session: u32, secret: u32) {
    framed(out, b'K', |o| {
        o.extend_from_slice(&session.to_be_bytes());
        o.extend_from_slice(&secret.to_be_bytes());
    });
}

/// NegotiateProtocolVersion: 3.0 it is, and these options are unknown.
pub fn negotiate_version(out: &mut Vec<u8>, unknown: &[&str]) {
    framed(out, b'v', |o| {
        o.extend_from_slice(&[0; 4]);
        o.extend_from_slice(&(unknown.len() as u32).to_be_bytes());
        unknown.iter().for_each(|name| text(o, name));
    });
}

/// ReadyForQuery, outside any transaction.
pub fn ready(out: &mut Vec<u8>) {
    framed(out, b'Z', |o| o.push(b'I'));
}

/// A message that is its type alone.
pub fn bare(out: &mut Vec<u8>, tag: u8) {
    framed(out, tag, |_| {});
}

/// EmptyQueryResponse.
pub const EMPTY_QUERY: u8 = b'I';
/// ParseComplete.
pub const PARSE_COMPLETE: u8 = b'1';
/// BindComplete.
pub const BIND_COMPLETE: u8 = b'2';
/// CloseComplete.
pub const CLOSE_COMPLETE: u8 = b'3';
/// NoData.
pub const NO_DATA: u8 = b'n';
/// PortalSuspended.
pub const PORTAL_SUSPENDED: u8 = b's';

/// Type number of text.
pub const TEXT: u32 = 25;

/// RowDescription of so many text columns, named c1, c2 and so on; one format for all or one each.
pub fn row_description(out: &mut Vec<u8>, columns: usize, formats: &[u16]) {
    framed(out, b'T', |o| {
        o.extend_from_slice(&(columns as u16).to_be_bytes());
        for i in 0..columns {
            text(o, &format!("c{}", i + 1));
            o.extend_from_slice(&[0; 6]);
            o.extend_from_slice(&TEXT.to_be_bytes());
            o.extend_from_slice(&(-1i16).to_be_bytes());
            o.extend_from_slice(&(-1i32).to_be_bytes());
            let format = formats.get(i).or(formats.first().filter(|_| formats.len() == 1));
            o.extend_from_slice(&format.copied().unwrap_or(0).to_be_bytes());
        }
    });
}

/// ParameterDescription.
pub fn parameter_description(out: &mut Vec<u8>, types: &[u32]) {
    framed(out, b't', |o| {
        o.extend_from_slice(&(types.len() as u16).to_be_bytes());
        types.iter().for_each(|t| o.extend_from_slice(&t.to_be_bytes()));
    });
}

/// DataRow of one line of a page: columns parted by tabs.
pub fn data_row(out: &mut Vec<u8>, line: &[u8]) {
    framed(out, b'D', |o| {
        let columns = line.split(|b| *b == b'\t').count() as u16;
        o.extend_from_slice(&columns.to_be_bytes());
        for column in line.split(|b| *b == b'\t') {
            o.extend_from_slice(&(column.len() as u32).to_be_bytes());
            o.extend_from_slice(column);
        }
    });
}

/// Bytes that [`data_row`] takes at most.
pub fn data_row_size(line: &[u8]) -> usize {
    7 + line.len() + 4 * line.split(|b| *b == b'\t').count()
}

/// CommandComplete.
pub fn command_complete(out: &mut Vec<u8>, tag: &str) {
    framed(out, b'C', |o| text(o, tag));
}

/// ErrorResponse.
pub fn error(out: &mut Vec<u8>, fault: &Fault) {
    framed(out, b'E', |o| {
        let severity = if fault.fatal { "FATAL" } else { "ERROR" };
        let fields = [
            (b'S', Some(severity)),
            (b'V', Some(severity)),
            (b'C', Some(fault.code)),
            (b'M', Some(fault.message.as_str())),
            (b'D', fault.detail.as_deref()),
            (b'H', fault.hint.as_deref()),
        ];
        for (tag, value) in fields {
            if let Some(value) = value {
                o.push(tag);
                text(o, value);
            }
        }
        o.push(0);
    });
}
