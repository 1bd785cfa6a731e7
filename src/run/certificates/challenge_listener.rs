//! Answers the authority's validation requests (RFC 8555, section 8.3): plain HTTP, open to any client.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout};

/// Maximum number of concurrent requests; a further request evicts the oldest one. An authority sends
/// requests from a few places at once.
pub const MAX_REQUESTS: usize = 16;
/// Maximum length of a request's head in bytes.
const MAX_HEAD_BYTES: usize = 4096;
/// Maximum number of bytes of one read from a connection.
const READ_BYTES: usize = 512;
/// Maximum duration of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Path of a validation request up to the token of the challenge.
const CHALLENGE_PATH: &str = "/.well-known/acme-challenge/";

/// Responses to open challenges, by token. Clones share the responses.
#[derive(Clone, Default)]
pub struct ChallengeResponses(Rc<RefCell<BTreeMap<String, String>>>);

impl ChallengeResponses {
    /// Sets the response for `token`, which is served from then on.
    pub fn insert(&self, token: String, response: String) {
        self.0.borrow_mut().insert(token, response);
    }

    /// Removes all responses, after an order has ended.
    pub fn clear(&self) {
        self.0.borrow_mut().clear();
    }

    fn get(&self, token: &str) -> Option<String> {
        self.0.borrow().get(token).cloned()
    }
}

/// Accepts validation requests until the future is dropped.
pub async fn run(listener: TcpListener, responses: ChallengeResponses) {
    let mut requests: VecDeque<JoinHandle<()>> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                requests.retain(|request| !request.is_finished());
                if requests.len() >= MAX_REQUESTS {
                    evict_oldest(&mut requests).await;
                }
                let responses = responses.clone();
                requests.push_back(spawn_local(async move {
                    // A client that is too slow, or whose connection fails, gets no response.
                    let _ = timeout(REQUEST_TIMEOUT, answer(stream, responses)).await;
                }));
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Evicts the oldest request. This bounds the descriptors: any client may connect and send nothing.
async fn evict_oldest(requests: &mut VecDeque<JoinHandle<()>>) {
    if let Some(oldest) = requests.pop_front() {
        oldest.abort();
        // The error of an aborted task only reports that it was aborted.
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

/// Reads up to the end of the head; `None` if the head is too long or incomplete at the end of the stream.
async fn read_head(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let mut head = Vec::new();
    while !head.windows(4).any(|window| window == b"\r\n\r\n") {
        let mut buffer = [0; READ_BYTES];
        let count = stream.read(&mut buffer).await?;
        if count == 0 || head.len() + count > MAX_HEAD_BYTES {
            return Ok(None);
        }
        head.extend_from_slice(&buffer[..count]);
    }
    Ok(Some(String::from_utf8_lossy(&head).into_owned()))
}
