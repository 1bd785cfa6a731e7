//! Answers the authority's validation requests (RFC 8555, section 8.3): plain HTTP, open to anybody.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout};

/// Requests in progress at a time: a new one displaces the oldest. An authority validates from a few places at once.
pub const MAX_REQUESTS: usize = 16;
/// Longest head of a request in bytes.
const MAX_HEAD_BYTES: usize = 4096;
/// Bytes read from a request at once.
const READ_BYTES: usize = 512;
/// Longest duration of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// The path below which tokens are looked up.
const CHALLENGE_PATH: &str = "/.well-known/acme-challenge/";

/// Responses to open challenges, by token; clones share them.
#[derive(Clone, Default)]
pub struct ChallengeResponses(Rc<RefCell<BTreeMap<String, String>>>);

impl ChallengeResponses {
    /// Sets the response for a token.
    pub fn insert(&self, token: String, response: String) {
        self.0.borrow_mut().insert(token, response);
    }

    /// Forgets all tokens.
    pub fn clear(&self) {
        self.0.borrow_mut().clear();
    }

    fn get(&self, token: &str) -> Option<String> {
        self.0.borrow().get(token).cloned()
    }
}

/// Accepts validation requests until it is dropped.
pub async fn run(listener: TcpListener, responses: ChallengeResponses) {
    let mut requests: VecDeque<JoinHandle<()>> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                requests.retain(|request| !request.is_finished());
                if requests.len() >= MAX_REQUESTS {
                    end_oldest(&mut requests).await;
                }
                let responses = responses.clone();
                requests.push_back(spawn_local(async move {
                    // A client that fails or is too slow gets nothing more.
                    let _ = timeout(REQUEST_TIMEOUT, answer(stream, responses)).await;
                }));
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Bounds the descriptors: anybody may connect here and send nothing.
async fn end_oldest(requests: &mut VecDeque<JoinHandle<()>>) {
    if let Some(oldest) = requests.pop_front() {
        oldest.abort();
        // The error of an aborted task only says that it has ended.
        let _ = oldest.await;
    }
}

async fn answer(mut stream: TcpStream, responses: ChallengeResponses) -> io::Result<()> {
    let Some(head) = read_head(&mut stream).await? else { return Ok(()) };
    let path = head.strip_prefix("GET ").and_then(|rest| rest.split(' ').next()).unwrap_or("");
    let token = path.strip_prefix(CHALLENGE_PATH).unwrap_or("");
    let (status, body) = match responses.get(token) {
        Some(response) => ("200 OK", response),
        None => ("404 Not Found", String::new()),
    };
    let response = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/octet-stream\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(response.as_bytes()).await
}

/// Reads up to the end of the head; `None` where it is too long, or ends before it is complete.
async fn read_head(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let mut head = Vec::new();
    while !head.windows(4).any(|window| window == b"\r\n\r\n") {
        let mut piece = [0; READ_BYTES];
        let count = stream.read(&mut piece).await?;
        if count == 0 || head.len() + count > MAX_HEAD_BYTES {
            return Ok(None);
        }
        head.extend_from_slice(&piece[..count]);
    }
    Ok(Some(String::from_utf8_lossy(&head).into_owned()))
}
