//! Helpers of the fronts' tests: a front whose engines answer nothing, and its clients. A client's write directly
//! before a call of the front is one of which the runtime does not know yet.

use super::startup::SessionKey;
use super::{ClassConfig, Front, FrontConfig};
use crate::core::test_support::{core, run_local};
use crate::core::Core;
use crate::proto::pg::{self, StartupPacket};
use sprucelink_time::TimeDelta;
use std::future::Future;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::spawn_local;
use tokio::time::sleep;

const TIMEOUT: Duration = Duration::from_secs(10);
/// Number of sessions that a front has slots for.
pub(super) const MAX_SESSIONS: usize = 256;
/// Number of connections that wait in the listener's queue at most.
const MAX_QUEUED_CONNECTIONS: u32 = 1_024;
/// The code and status of an answer to a cancelled request.
pub(super) const CANCELLED: &str = "57014 Z";

/// A front with its core.
pub(super) struct Fixture {
    pub(super) core: Rc<Core>,
    pub(super) front: Rc<Front>,
    pub(super) address: SocketAddr,
    _engines: Vec<TcpListener>,
}

impl Fixture {
    pub(super) async fn start(allows_extended_queries: bool) -> Fixture {
        let (core, engines) = core().await;
        let class = ClassConfig {
            name: "c".into(),
            has_idempotency_key: false,
            default_timeout: TimeDelta::from_secs(20),
        };
        let config = FrontConfig {
            classes: vec![class],
            tenants: Vec::new(),
            max_sessions: MAX_SESSIONS,
            max_evicted: 8,
            max_sessionless: 8,
            allows_extended_queries,
            require_tls: false,
            default_class: None,
            default_tenant: None,
        };
        let front = Front::new(Rc::clone(&core), config);
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(([127, 0, 0, 1], 0).into()).expect("a port");
        let listener = socket.listen(MAX_QUEUED_CONNECTIONS).expect("listening");
        let address = listener.local_addr().expect("an address");
        spawn_local(Rc::clone(&front).accept_connections(listener));
        spawn_local(Rc::clone(&core).run());
        Fixture { core, front, address, _engines: engines }
    }

    pub(super) async fn cancel(&self, client: &Client) {
        self.front.request_cancel(client.key).await;
    }

    /// Waits until `count` requests are open.
    pub(super) async fn wait_for_open_requests(&self, count: usize) {
        let deadline = Instant::now() + TIMEOUT;
        while self.core.pending_requests() != count {
            assert!(Instant::now() < deadline, "{} requests are open", self.core.pending_requests());
            sleep(Duration::from_millis(1)).await;
        }
    }

    /// Sends a request and checks that it stays open, unlike a cancelled one.
    pub(super) async fn check_next_request_is_open(&self, client: &mut Client) {
        client.send(&request(99));
        self.wait_for_open_requests(1).await;
        sleep(Duration::from_millis(20)).await;
        assert_eq!((client.answer_so_far(), self.core.pending_requests()), (String::new(), 1));
    }
}

/// A client whose writes don't let the runtime run.
pub(super) struct Client {
    stream: TcpStream,
    pub(super) key: SessionKey,
    received: Vec<u8>,
}

impl Client {
    pub(super) async fn connect(fixture: &Fixture) -> Client {
        let stream = TcpStream::connect(fixture.address).expect("connected");
        stream.set_nonblocking(true).expect("set");
        stream.set_nodelay(true).expect("set");
        let key = SessionKey { process_id: 0, secret: 0 };
        let mut client = Client { stream, key, received: Vec::new() };
        client.send(&startup_packet());
        client.next_answer().await;
        // The session waits for its first message.
        sleep(Duration::from_millis(5)).await;
        client
    }

    pub(super) fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("written");
    }

    /// The codes of the errors and the statuses that have arrived and were not returned before.
    pub(super) fn answer_so_far(&mut self) -> String {
        let mut chunk = [0; 4096];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => break,
                Ok(count) => self.received.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) => panic!("{error}"),
            }
        }
        let mut words = Vec::new();
        while let Some((kind, body)) = self.take_message() {
            match kind {
                b'K' => self.key = session_key(&body),
                b'E' => words.push(error_code(&body)),
                b'Z' => words.push("Z".to_owned()),
                _ => {}
            }
        }
        words.join(" ")
    }

    fn take_message(&mut self) -> Option<(u8, Vec<u8>)> {
        let length = u32::from_be_bytes(self.received.get(1..5)?.try_into().ok()?) as usize;
        let message: Vec<u8> = self.received.get(..=length)?.to_vec();
        self.received.drain(..=length);
        Some((message[0], message[5..].to_vec()))
    }

    /// The next answer, and those that arrive with it.
    pub(super) async fn next_answer(&mut self) -> String {
        self.next_answers(1).await
    }

    /// The next `count` answers, and those that arrive with the last of them.
    pub(super) async fn next_answers(&mut self, count: usize) -> String {
        let deadline = Instant::now() + TIMEOUT;
        let mut answers = Vec::new();
        loop {
            answers.push(self.answer_so_far());
            answers.retain(|answer| !answer.is_empty());
            let all = answers.join(" ");
            if all.ends_with('Z') && all.matches('Z').count() >= count {
                return all;
            }
            assert!(Instant::now() < deadline, "{count} answers are due, there is only {all:?}");
            sleep(Duration::from_millis(1)).await;
        }
    }
}

/// The first packet of a session.
pub(super) fn startup_packet() -> Vec<u8> {
    let parameters = b"user\0app\0\0";
    let version = 196_608u32.to_be_bytes();
    [&(8 + parameters.len() as u32).to_be_bytes()[..], &version, parameters].concat()
}

fn session_key(body: &[u8]) -> SessionKey {
    let packet = [&16u32.to_be_bytes()[..], &80_877_102u32.to_be_bytes(), body].concat();
    match pg::read_startup_packet(&packet) {
        Ok(Some((StartupPacket::Cancel { process_id, secret }, _))) => SessionKey { process_id, secret },
        _ => panic!("not a key: {body:?}"),
    }
}

/// The field `C` of an ErrorResponse.
fn error_code(body: &[u8]) -> String {
    let code = body.split(|byte| *byte == 0).find_map(|field| field.strip_prefix(b"C"));
    String::from_utf8_lossy(code.expect("a code")).into_owned()
}

pub(super) fn request(id: u64) -> Vec<u8> {
    let text = format!("/* kind=c,req={id:016x},timeout=20000 */ SELECT a FROM sales_17.orders\0");
    [&b"Q"[..], &(4 + text.len() as u32).to_be_bytes(), text.as_bytes()].concat()
}

/// Runs a test on the platform's front and on the second front.
pub(super) fn on_both_fronts<T: Future<Output = ()>>(test: impl Fn(Fixture) -> T) {
    for allows_extended_queries in [false, true] {
        run_local(async { test(Fixture::start(allows_extended_queries).await).await });
    }
}
