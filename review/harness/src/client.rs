//! A client of the platform's front: simple queries over the PostgreSQL wire protocol.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Rows, each with its columns joined by `|`.
    Served(Vec<String>),
    /// SQLSTATE and message of an error.
    Error(String, String),
    /// The connection ended before a whole answer.
    Ended,
    /// Nothing came within the time given.
    Silent,
}

impl Answer {
    pub fn text(&self) -> String {
        match self {
            Answer::Served(rows) => format!("served, {} rows", rows.len()),
            Answer::Error(code, message) => format!("error {code} {message}"),
            Answer::Ended => "the connection ended without a whole answer".to_owned(),
            Answer::Silent => "no answer".to_owned(),
        }
    }

    pub fn is_final(&self) -> bool {
        matches!(self, Answer::Served(_) | Answer::Error(..))
    }
}

pub struct Client {
    pub stream: TcpStream,
    /// Body of BackendKeyData.
    key: Vec<u8>,
}

fn framed(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![kind];
    bytes.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    bytes.extend_from_slice(body);
    bytes
}

pub fn query(text: &str) -> Vec<u8> {
    framed(b'Q', format!("{text}\0").as_bytes())
}

impl Client {
    pub fn connect(to: SocketAddr) -> std::io::Result<Client> {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(5))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        let body = b"\0\x03\0\0user\0app\0database\0core\0\0";
        stream.write_all(&(body.len() as u32 + 4).to_be_bytes())?;
        stream.write_all(body)?;
        let mut client = Client { stream, key: Vec::new() };
        loop {
            match client.message()? {
                (b'K', body) => client.key = body,
                (b'Z', _) => return Ok(client),
                (b'E', body) => {
                    return Err(std::io::Error::other(format!("refused: {:?}", error_fields(&body))))
                }
                _ => {}
            }
        }
    }

    fn message(&mut self) -> std::io::Result<(u8, Vec<u8>)> {
        let mut head = [0; 5];
        self.stream.read_exact(&mut head)?;
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let mut body = vec![0; length.saturating_sub(4)];
        self.stream.read_exact(&mut body)?;
        Ok((head[0], body))
    }

    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads one answer, up to ReadyForQuery. An error is whole although the connection ends behind it.
    pub fn answer(&mut self, within: Duration) -> Answer {
        let _ = self.stream.set_read_timeout(Some(within.max(Duration::from_millis(1))));
        let (mut rows, mut error, mut complete) = (Vec::new(), None, false);
        loop {
            match self.message() {
                Ok((b'D', body)) => rows.push(row(&body)),
                Ok((b'C', _)) => complete = true,
                Ok((b'E', body)) => error = Some(error_fields(&body)),
                Ok((b'Z', _)) => break,
                Ok(_) => {}
                Err(failed) => {
                    let waited = matches!(
                        failed.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    );
                    return match error {
                        Some((code, message)) => Answer::Error(code, message),
                        None if waited => Answer::Silent,
                        None => Answer::Ended,
                    };
                }
            }
        }
        match error {
            Some((code, message)) => Answer::Error(code, message),
            None if complete => Answer::Served(rows),
            None => Answer::Ended,
        }
    }

    /// A CancelRequest for this session, on a new connection.
    pub fn cancel(&self, to: SocketAddr) -> std::io::Result<()> {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(5))?;
        stream.write_all(&[&16u32.to_be_bytes()[..], &80_877_102u32.to_be_bytes(), &self.key].concat())
    }

    pub fn close(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

fn error_fields(body: &[u8]) -> (String, String) {
    let field = |kind: u8| {
        let found = body.split(|b| *b == 0).find(|field| field.first() == Some(&kind));
        found.map_or(String::new(), |field| String::from_utf8_lossy(&field[1..]).into_owned())
    };
    (field(b'C'), field(b'M'))
}

fn row(body: &[u8]) -> String {
    let (mut at, mut columns) = (2, Vec::new());
    while at + 4 <= body.len() {
        let length = u32::from_be_bytes([body[at], body[at + 1], body[at + 2], body[at + 3]]) as usize;
        columns.push(String::from_utf8_lossy(&body[at + 4..at + 4 + length]).into_owned());
        at += 4 + length;
    }
    columns.join("|")
}
