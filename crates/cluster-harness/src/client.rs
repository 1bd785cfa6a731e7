//! Clients of the platform's front: PostgreSQL 3.0, simple queries, one request on one connection each, sent
//! when it is due whether earlier ones were answered or not (open loop).

use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest message of an answer that is read, in bytes.
const MAX_MESSAGE: usize = 1 << 20;
/// An answer that comes later than this after the request's time is lost.
const LATE: Duration = Duration::from_millis(500);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// All rows came.
    Served,
    /// An error that says a repeat is harmless.
    Refused,
    /// Any other error.
    Failed,
    /// No connection came up: nobody took it.
    NotTaken,
    /// The connection ended, or the time and half a second more ran out, without a whole answer.
    Lost,
}

/// A request of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientRequest {
    /// Its id, new with every request.
    pub id: u64,
    /// A load of two threads, or a light query.
    pub heavy: bool,
    /// Its key, for loads.
    pub key: u64,
    /// The client's estimate of the work on one core, in milliseconds; 0: the request carries none.
    pub ms: f64,
    /// How long the client waits.
    pub timeout: Duration,
}

/// The start-up message and the query, as bytes of the PostgreSQL protocol.
fn encode(request: &ClientRequest) -> Vec<u8> {
    let mut startup = Vec::new();
    for part in [&b"user"[..], b"app", b"database", b"core", b""] {
        startup.extend_from_slice(part);
        startup.push(0);
    }
    let mut message = ((startup.len() + 8) as u32).to_be_bytes().to_vec();
    message.extend_from_slice(&196_608u32.to_be_bytes());
    message.extend_from_slice(&startup);
    let id = request.id;
    let ms = request.timeout.as_millis();
    let key = request.key;
    let estimate = if request.ms > 0.0 { format!(",ms={:.1}", request.ms) } else { String::new() };
    let sql = if request.heavy {
        format!("/* kind=tariff-load,req={id:016x},timeout={ms},owner=sud,opkey={key:032x}{estimate} */ INSERT INTO rates_3.lanes VALUES (1)\0")
    } else {
        format!(
            "/* kind=lane-rate,req={id:016x},timeout={ms},owner=sud{estimate} */ SELECT a FROM sales_17.orders\0"
        )
    };
    message.push(b'Q');
    message.extend_from_slice(&((sql.len() + 4) as u32).to_be_bytes());
    message.extend_from_slice(sql.as_bytes());
    message
}

/// The SQLSTATE in an ErrorResponse's body.
fn sqlstate(body: &[u8]) -> Option<&str> {
    let field = body.split(|b| *b == 0).find(|f| f.first() == Some(&b'C'))?;
    std::str::from_utf8(&field[1..]).ok()
}

async fn answer(stream: &mut TcpStream) -> Option<RequestOutcome> {
    let mut rows = false;
    let mut outcome = None;
    let mut ready = 0;
    // Two ReadyForQuery: one after the start-up, one after the answer.
    while ready < 2 {
        let mut head = [0u8; 5];
        stream.read_exact(&mut head).await.ok()?;
        let len = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let mut body = vec![0; len.checked_sub(4).filter(|l| *l <= MAX_MESSAGE)?];
        stream.read_exact(&mut body).await.ok()?;
        match head[0] {
            b'D' => rows = true,
            b'C' if rows => outcome = Some(RequestOutcome::Served),
            b'C' => outcome = Some(RequestOutcome::Failed),
            b'E' => {
                let state = sqlstate(&body).unwrap_or("");
                let harmless = state.starts_with("53") || state == "57P03";
                outcome = Some(if harmless { RequestOutcome::Refused } else { RequestOutcome::Failed });
                // A front that refuses a connection says so and closes it.
                if ready == 0 {
                    return outcome;
                }
            }
            b'Z' => ready += 1,
            _ => {}
        }
    }
    outcome
}

/// Sends one request to a manager and waits for its end: its outcome and its latency.
pub async fn send(at: SocketAddr, request: ClientRequest) -> (RequestOutcome, Duration) {
    let begun = Instant::now();
    let exchange = async {
        let Ok(mut stream) = TcpStream::connect(at).await else { return RequestOutcome::NotTaken };
        let _ = stream.set_nodelay(true);
        if stream.write_all(&encode(&request)).await.is_err() {
            return RequestOutcome::NotTaken;
        }
        answer(&mut stream).await.unwrap_or(RequestOutcome::Lost)
    };
    let outcome = timeout(request.timeout + LATE, exchange).await.unwrap_or(RequestOutcome::Lost);
    (outcome, begun.elapsed())
}

/// Sends one light query and says whether it was served, from outside the rig's tasks. It waits five seconds.
///
/// # Errors
/// Where no connection came up, or it ended without a whole answer.
pub fn query_once(at: SocketAddr, id: u64) -> std::io::Result<bool> {
    let request = ClientRequest { id, heavy: false, key: 0, ms: 0.0, timeout: Duration::from_secs(5) };
    match crate::runtime().block_on(send(at, request)).0 {
        RequestOutcome::NotTaken => Err(std::io::Error::other("no connection came up")),
        RequestOutcome::Lost => Err(std::io::Error::other("no whole answer came")),
        outcome => Ok(outcome == RequestOutcome::Served),
    }
}
