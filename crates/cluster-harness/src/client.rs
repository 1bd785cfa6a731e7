//! Clients of the platform's front: PostgreSQL 3.0, simple queries, one connection per request. A request is
//! sent when it is due, whether or not earlier ones were answered (open loop).

use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest message of an answer that is read, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Time after the request's timeout at which the client gives up waiting; the request then counts as lost.
const TIMEOUT_GRACE: Duration = Duration::from_millis(500);

/// Outcome of a request as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The manager sent a complete result.
    Served,
    /// The manager answered with an error after which a retry is safe.
    Refused,
    /// The manager answered with any other error.
    Failed,
    /// The request could not be sent: no connection was established, or writing to it failed.
    NotTaken,
    /// No complete answer before the connection ended or the timeout and a grace of 500 ms were over.
    Lost,
}

/// A request that a client sends on a connection of its own.
#[derive(Clone, Copy, Debug)]
pub struct ClientRequest {
    /// Id of the request; contains the index of the manager, see [`crate::ledger::request_id`].
    pub id: u64,
    /// Whether the request is a load (class `tariff-load`, two threads) rather than a light query (class
    /// `lane-rate`, one thread).
    pub heavy: bool,
    /// Idempotency key of a load; not sent with light queries.
    pub key: u64,
    /// The client's estimate of the work on one core, in milliseconds; 0: the request carries none.
    pub estimated_work_ms: f64,
    /// Timeout that is sent with the request; the client waits a grace of 500 ms longer.
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
    let estimate = if request.estimated_work_ms > 0.0 {
        format!(",ms={:.1}", request.estimated_work_ms)
    } else {
        String::new()
    };
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

/// Reads an answer to its end; `None` if the connection ends before, or a message is invalid or too long.
async fn read_answer(stream: &mut TcpStream) -> Option<RequestOutcome> {
    let mut rows = false;
    let mut outcome = None;
    let mut ready = 0;
    // There are two ReadyForQuery messages: one after the start-up, one after the answer.
    while ready < 2 {
        let mut head = [0u8; 5];
        stream.read_exact(&mut head).await.ok()?;
        let len = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let mut body = vec![0; len.checked_sub(4).filter(|l| *l <= MAX_MESSAGE_BYTES)?];
        stream.read_exact(&mut body).await.ok()?;
        match head[0] {
            b'D' => rows = true,
            b'C' if rows => outcome = Some(RequestOutcome::Served),
            b'C' => outcome = Some(RequestOutcome::Failed),
            b'E' => {
                let state = sqlstate(&body).unwrap_or("");
                let is_retry_safe = state.starts_with("53") || state == "57P03";
                outcome = Some(if is_retry_safe { RequestOutcome::Refused } else { RequestOutcome::Failed });
                // An error before the first ReadyForQuery rejects the connection, which the front then
                // closes.
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

/// Sends one request to a manager and returns its outcome and latency.
pub async fn send(address: SocketAddr, request: ClientRequest) -> (RequestOutcome, Duration) {
    let started = Instant::now();
    let exchange = async {
        let Ok(mut stream) = TcpStream::connect(address).await else { return RequestOutcome::NotTaken };
        let _ = stream.set_nodelay(true);
        if stream.write_all(&encode(&request)).await.is_err() {
            return RequestOutcome::NotTaken;
        }
        read_answer(&mut stream).await.unwrap_or(RequestOutcome::Lost)
    };
    let outcome = timeout(request.timeout + TIMEOUT_GRACE, exchange).await.unwrap_or(RequestOutcome::Lost);
    (outcome, started.elapsed())
}

/// Sends one light query with a timeout of five seconds and returns whether it was served. Blocks the caller,
/// so it must not be called from an asynchronous task.
///
/// # Errors
/// If no connection was established, or no complete answer arrived.
pub fn query_once(address: SocketAddr, id: u64) -> std::io::Result<bool> {
    let request =
        ClientRequest { id, heavy: false, key: 0, estimated_work_ms: 0.0, timeout: Duration::from_secs(5) };
    match crate::runtime().block_on(send(address, request)).0 {
        RequestOutcome::NotTaken => Err(std::io::Error::other("no connection established")),
        RequestOutcome::Lost => Err(std::io::Error::other("no complete answer")),
        outcome => Ok(outcome == RequestOutcome::Served),
    }
}
