//! Clients of the platform's front (PostgreSQL 3.0, simple queries). Some keep their session, some pipeline
//! requests, write slowly, leave early or cancel.

use crate::judge::Rule;
use crate::manager_endpoint::ManagerEndpoint;
use crate::world::{World, CLASSES};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time after a request's timeout after which a missing answer counts as lost.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Time after which a client that has cancelled closes its connection.
const CLOSE_AFTER_CANCEL: Duration = Duration::from_millis(500);
/// Maximum length of a message from a manager.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Error text of a session that its manager rejected.
const REJECTED: &str = "rejected";
/// Request code of a CancelRequest in the PostgreSQL protocol.
const CANCEL_CODE: u32 = 80_877_102;

/// A session with a manager.
struct Session {
    stream: TcpStream,
    /// Process id and secret of BackendKeyData.
    key: Vec<u8>,
    opened_at: Instant,
}

/// How a request ended at its client.
#[derive(Debug)]
enum Answer {
    /// The request was served. Holds the first column of the only row.
    Served(String),
    /// The request was rejected or failed with an error.
    Error,
}

struct Request {
    id: u64,
    class: usize,
    timeout: Duration,
}

impl Request {
    fn draw(rng: &mut ChaCha8Rng) -> Request {
        let class = match rng.gen_range(0..10) {
            0 => 1,
            1 => 2,
            _ => 0,
        };
        Request { id: rng.gen(), class, timeout: Duration::from_millis(rng.gen_range(300..4_000)) }
    }

    fn message(&self) -> Vec<u8> {
        let key = if self.class == 1 { format!(",opkey={:032x}", self.id) } else { String::new() };
        let id = self.id;
        let timeout_ms = self.timeout.as_millis();
        let name = CLASSES[self.class].name;
        let text = format!(
            "/* kind={name},req={id:016x},timeout={timeout_ms},owner=sud,ms=40.0{key} */ SELECT '{id:016x}' FROM rates_3.lanes\0"
        );
        let mut message = vec![b'Q'];
        message.extend_from_slice(&(text.len() as u32 + 4).to_be_bytes());
        message.extend_from_slice(text.as_bytes());
        message
    }
}

fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0app\0database\0core\0\0";
    [&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

impl Session {
    /// Connects and sends the start-up packet and, in the same write, `first_bytes`.
    async fn open(address: SocketAddr, first_bytes: &[u8]) -> io::Result<Session> {
        let mut stream = TcpStream::connect(address).await?;
        let opened_at = Instant::now();
        stream.set_nodelay(true)?;
        stream.write_all(&[&startup(), first_bytes].concat()).await?;
        Ok(Session { stream, key: Vec::new(), opened_at })
    }

    async fn message(&mut self) -> io::Result<(u8, Vec<u8>)> {
        let mut head = [0; 5];
        self.stream.read_exact(&mut head).await?;
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        if !(4..=MAX_MESSAGE_BYTES).contains(&length) {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let mut body = vec![0; length - 4];
        self.stream.read_exact(&mut body).await?;
        Ok((head[0], body))
    }

    /// Reads up to the first ReadyForQuery.
    async fn wait_until_started(&mut self) -> io::Result<()> {
        loop {
            match self.message().await? {
                (b'K', key) => self.key = key,
                (b'Z', _) => return Ok(()),
                (b'E', _) => return Err(io::Error::other(REJECTED)),
                _ => {}
            }
        }
    }

    /// Reads messages up to ReadyForQuery, which ends the answer to the oldest open request.
    async fn answer(&mut self) -> io::Result<Answer> {
        let mut row = None;
        let mut answer = None;
        loop {
            match self.message().await? {
                (b'D', body) => row = Some(first_column(&body)),
                (b'C', _) => answer = Some(Answer::Served(row.take().unwrap_or_default())),
                (b'E', _) => answer = Some(Answer::Error),
                (b'Z', _) => return answer.ok_or_else(|| io::ErrorKind::InvalidData.into()),
                _ => {}
            }
        }
    }

    /// Whether the manager has closed the idle session.
    fn is_closed(&self) -> bool {
        let mut byte = [0];
        self.stream.try_read(&mut byte).is_ok()
    }
}

fn first_column(row: &[u8]) -> String {
    let length =
        row.get(2..6).map_or(0, |bytes| u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]));
    String::from_utf8_lossy(row.get(6..6 + length as usize).unwrap_or_default()).into_owned()
}

/// A client of one manager.
pub struct Client {
    world: Arc<World>,
    endpoint: Arc<ManagerEndpoint>,
    rng: ChaCha8Rng,
}

/// Behaviour of a client.
#[derive(Clone, Copy)]
enum ClientBehaviour {
    /// Sends one request on a new connection, together with the start-up packet.
    Once,
    /// Sends several requests on one session that is idle between them.
    KeepsSession,
    /// Sends several requests on one session without waiting for answers.
    Pipelines,
    /// Sends its request in pieces.
    WritesSlowly,
    /// Closes its connection while its request is in flight.
    Leaves,
    /// Cancels its request while it is in flight.
    Cancels,
    /// Sends malformed input or an incomplete request.
    Misbehaves,
}

/// Weights with which the behaviours are drawn.
const CLIENT_BEHAVIOURS: [(u32, ClientBehaviour); 7] = [
    (30, ClientBehaviour::Once),
    (25, ClientBehaviour::KeepsSession),
    (12, ClientBehaviour::Pipelines),
    (8, ClientBehaviour::WritesSlowly),
    (10, ClientBehaviour::Leaves),
    (10, ClientBehaviour::Cancels),
    (5, ClientBehaviour::Misbehaves),
];

impl Client {
    /// Creates a client whose behaviour and requests are drawn from `rng`.
    pub fn new(world: &Arc<World>, endpoint: &Arc<ManagerEndpoint>, rng: ChaCha8Rng) -> Client {
        Client { world: Arc::clone(world), endpoint: Arc::clone(endpoint), rng }
    }

    /// Runs a drawn behaviour once. Errors for which the manager is not responsible are ignored.
    pub async fn run(mut self) {
        let total: u32 = CLIENT_BEHAVIOURS.iter().map(|(weight, _)| weight).sum();
        let mut drawn = self.rng.gen_range(0..total);
        let mut behaviour = ClientBehaviour::Once;
        for (weight, candidate) in CLIENT_BEHAVIOURS {
            if drawn < weight {
                behaviour = candidate;
                break;
            }
            drawn -= weight;
        }
        let address = self.endpoint.address;
        match behaviour {
            ClientBehaviour::Once => self.send_once(address).await,
            ClientBehaviour::KeepsSession => self.keep_session(address).await,
            ClientBehaviour::Pipelines => self.pipeline(address).await,
            ClientBehaviour::WritesSlowly => self.write_slowly(address).await,
            ClientBehaviour::Leaves => self.leave(address).await,
            ClientBehaviour::Cancels => self.cancel(address).await,
            ClientBehaviour::Misbehaves => self.misbehave(address).await,
        }
    }

    fn request_sent(&self, request: &Request) {
        self.world.request_sent(request.id, self.endpoint.number, request.class, request.timeout);
    }

    /// Checks the result of a request that was sent at `sent_at` on a connection opened at `opened_at`.
    /// `context` says how it was sent.
    fn check_result(
        &self,
        request: &Request,
        (opened_at, sent_at): (Instant, Instant),
        result: io::Result<Answer>,
        context: &str,
    ) {
        match result {
            Ok(Answer::Served(column)) if column != format!("{:016x}", request.id) => {
                let detail =
                    format!("manager {}, request {:016x}: got {column:?}", self.endpoint.number, request.id);
                self.world.report_violation(Rule::WrongAnswer, detail);
            }
            Ok(_) => {}
            // A request sent too long after SIGTERM, or to a process that was killed, needs no answer.
            Err(_) if !self.endpoint.must_answer(opened_at, sent_at) => {}
            Err(error) => {
                let number = self.endpoint.number;
                let id = request.id;
                let elapsed = sent_at.elapsed();
                let timeout = request.timeout;
                let class = CLASSES[request.class].name;
                let detail = format!(
                    "manager {number}, request {id:016x} ({context}, {class}, {timeout:?}): {error} after {elapsed:?}"
                );
                self.world.report_violation(Rule::Lost, detail);
            }
        }
    }

    /// Waits for an answer until it counts as lost.
    async fn await_answer(&self, session: &mut Session, request: &Request) -> io::Result<Answer> {
        let limit = request.timeout + ANSWER_GRACE + self.world.lag();
        timeout(limit, session.answer()).await?
    }

    /// Waits until the session has started, then for the answer as [`Client::await_answer`] does.
    async fn await_first_answer(&self, session: &mut Session, request: &Request) -> io::Result<Answer> {
        match timeout(request.timeout + ANSWER_GRACE, session.wait_until_started()).await? {
            Ok(()) => self.await_answer(session, request).await,
            // A session that is rejected with an error counts as answered.
            Err(error) if error.to_string() == REJECTED => Ok(Answer::Error),
            Err(error) => Err(error),
        }
    }

    async fn send_once(&mut self, address: SocketAddr) {
        let request = Request::draw(&mut self.rng);
        let Ok(mut session) = Session::open(address, &request.message()).await else { return };
        let sent_at = Instant::now();
        self.request_sent(&request);
        let result = self.await_first_answer(&mut session, &request).await;
        self.check_result(&request, (session.opened_at, sent_at), result, "new connection");
    }

    async fn keep_session(&mut self, address: SocketAddr) {
        let Ok(mut session) = Session::open(address, &[]).await else { return };
        if !matches!(timeout(Duration::from_secs(3), session.wait_until_started()).await, Ok(Ok(()))) {
            return;
        }
        for _ in 0..self.rng.gen_range(2..6) {
            let idle_time = Duration::from_millis(self.rng.gen_range(0..1_500));
            tokio::time::sleep(idle_time).await;
            if !self.endpoint.takes_requests() || session.is_closed() {
                return;
            }
            let request = Request::draw(&mut self.rng);
            if session.stream.write_all(&request.message()).await.is_err() {
                return self.retry(address, request).await;
            }
            let sent_at = Instant::now();
            self.request_sent(&request);
            match self.await_answer(&mut session, &request).await {
                // The manager closed the idle session while the request was under way: it is sent once more,
                // on a new connection.
                Err(error) if is_connection_end(&error) && sent_at.elapsed() < Duration::from_millis(100) => {
                    return self.retry(address, request).await;
                }
                result => {
                    let has_failed = result.is_err();
                    self.check_result(&request, (session.opened_at, sent_at), result, "open session");
                    if has_failed {
                        return;
                    }
                }
            }
        }
    }

    async fn retry(&mut self, address: SocketAddr, request: Request) {
        if !self.endpoint.takes_connections() {
            return;
        }
        let Ok(mut session) = Session::open(address, &request.message()).await else { return };
        let sent_at = Instant::now();
        self.request_sent(&request);
        let result = self.await_first_answer(&mut session, &request).await;
        self.check_result(&request, (session.opened_at, sent_at), result, "sent again");
    }

    async fn pipeline(&mut self, address: SocketAddr) {
        let Ok(mut session) = Session::open(address, &[]).await else { return };
        if !matches!(timeout(Duration::from_secs(3), session.wait_until_started()).await, Ok(Ok(()))) {
            return;
        }
        let mut requests = Vec::new();
        for _ in 0..self.rng.gen_range(2..5) {
            if !self.endpoint.takes_requests() {
                break;
            }
            let request = Request::draw(&mut self.rng);
            if session.stream.write_all(&request.message()).await.is_err() {
                break;
            }
            self.request_sent(&request);
            requests.push((request, Instant::now()));
            let pause = self.rng.gen_range(0..400);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        let total_timeout = requests.iter().map(|(request, _)| request.timeout).sum::<Duration>();
        for (request, sent_at) in requests {
            let result = timeout(total_timeout + ANSWER_GRACE, session.answer()).await;
            let result = result.unwrap_or_else(|elapsed| Err(elapsed.into()));
            let has_failed = result.is_err();
            self.check_result(&request, (session.opened_at, sent_at), result, "pipelined");
            if has_failed {
                return;
            }
        }
    }

    async fn write_slowly(&mut self, address: SocketAddr) {
        let request = Request::draw(&mut self.rng);
        let Ok(mut session) = Session::open(address, &[]).await else { return };
        let message = request.message();
        let pieces = self.rng.gen_range(2..6);
        for piece in message.chunks(message.len() / pieces + 1) {
            if session.stream.write_all(piece).await.is_err() {
                return;
            }
            let pause = self.rng.gen_range(0..250);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        // The deadline counts from the end of the pause, although the last piece was sent before the pause:
        // this makes the check less strict.
        let sent_at = Instant::now();
        if !self.endpoint.takes_requests() {
            return;
        }
        self.request_sent(&request);
        let result = self.await_first_answer(&mut session, &request).await;
        self.check_result(&request, (session.opened_at, sent_at), result, "in pieces");
    }

    async fn leave(&mut self, address: SocketAddr) {
        let request = Request::draw(&mut self.rng);
        let Ok(mut session) = Session::open(address, &request.message()).await else { return };
        self.request_sent(&request);
        let time_until_close = Duration::from_millis(self.rng.gen_range(0..400));
        let is_reset = self.rng.gen_bool(0.3);
        // Input is read, so that closing the connection does not send a reset.
        let _ = timeout(time_until_close, async { while session.message().await.is_ok() {} }).await;
        if is_reset {
            let _ = session.stream.set_zero_linger();
        }
        drop(session);
        self.world.client_gone(request.id);
    }

    async fn cancel(&mut self, address: SocketAddr) {
        let request = Request::draw(&mut self.rng);
        let Ok(mut session) = Session::open(address, &[]).await else { return };
        if !matches!(timeout(Duration::from_secs(3), session.wait_until_started()).await, Ok(Ok(()))) {
            return;
        }
        if session.stream.write_all(&request.message()).await.is_err() {
            return;
        }
        self.request_sent(&request);
        tokio::time::sleep(Duration::from_millis(self.rng.gen_range(0..300))).await;
        let Ok(mut cancel_connection) = TcpStream::connect(address).await else { return };
        let message = [&16u32.to_be_bytes()[..], &CANCEL_CODE.to_be_bytes(), &session.key].concat();
        if cancel_connection.write_all(&message).await.is_err() {
            return;
        }
        self.world.client_gone(request.id);
        let _ = timeout(CLOSE_AFTER_CANCEL, async { while session.message().await.is_ok() {} }).await;
    }

    async fn misbehave(&mut self, address: SocketAddr) {
        let kind = self.rng.gen_range(0..4);
        let message = Request::draw(&mut self.rng).message();
        let bytes: Vec<u8> = match kind {
            0 => (0..self.rng.gen_range(1..4_000)).map(|_| self.rng.gen()).collect(),
            1 => [&startup()[..], &message[..message.len() / 2]].concat(),
            2 => [&startup()[..], b"Q\xff\xff\xff\xff"].concat(),
            _ => Vec::new(),
        };
        let Ok(mut stream) = TcpStream::connect(address).await else { return };
        if stream.write_all(&bytes).await.is_ok() {
            let mut rest = Vec::new();
            let _ = timeout(Duration::from_millis(500), stream.read_to_end(&mut rest)).await;
        }
    }
}

/// Whether an error means that the connection ended without an answer.
fn is_connection_end(error: &io::Error) -> bool {
    use io::ErrorKind::{BrokenPipe, ConnectionReset, UnexpectedEof};
    matches!(error.kind(), UnexpectedEof | ConnectionReset | BrokenPipe)
}

/// Whether the manager at this address answers the platform's health check, an empty query.
pub async fn is_healthy(address: SocketAddr) -> bool {
    let check = async {
        let mut session = Session::open(address, b"Q\0\0\0\x05\0").await?;
        session.wait_until_started().await?;
        session.message().await
    };
    matches!(timeout(Duration::from_secs(2), check).await, Ok(Ok((b'I', _))))
}
