//! Tests of sessions with CancelRequests and stops that cross their input, on both fronts. The engines answer
//! nothing. A client's write directly before a call of the front is one of which the runtime does not know yet.

use crate::core::test_support::{core, run_local};
use crate::core::{now, Core};
use crate::front::startup::SessionKey;
use crate::front::{ClassConfig, Front, FrontConfig, UnknownCancel};
use crate::proto::pg::{self, StartupPacket};
use sprucelink_time::TimeDelta;
use std::future::Future;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

const TIMEOUT: Duration = Duration::from_secs(10);
/// The code and status of an answer to a cancelled request.
const CANCELLED: &str = "57014 Z";

/// A front with its core.
struct Fixture {
    core: Rc<Core>,
    front: Rc<Front>,
    address: SocketAddr,
    _engines: Vec<TcpListener>,
}

impl Fixture {
    async fn start(allows_extended_queries: bool) -> Fixture {
        let (core, engines) = core().await;
        let class = ClassConfig {
            name: "c".into(),
            has_idempotency_key: false,
            default_timeout: TimeDelta::from_secs(20),
        };
        let config = FrontConfig {
            classes: vec![class],
            tenants: Vec::new(),
            max_sessions: 8,
            max_evicted: 8,
            max_sessionless: 8,
            allows_extended_queries,
            require_tls: false,
            default_class: None,
            default_tenant: None,
        };
        let front = Front::new(Rc::clone(&core), config);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        spawn_local(Rc::clone(&front).accept_connections(listener));
        spawn_local(Rc::clone(&core).run());
        Fixture { core, front, address, _engines: engines }
    }

    async fn cancel(&self, client: &Client) {
        self.front.request_cancel(client.key).await;
    }

    /// Waits until `count` requests are open.
    async fn wait_for_open_requests(&self, count: usize) {
        let deadline = Instant::now() + TIMEOUT;
        while self.core.pending_requests() != count {
            assert!(Instant::now() < deadline, "{} requests are open", self.core.pending_requests());
            sleep(Duration::from_millis(1)).await;
        }
    }

    /// Sends a request and checks that it stays open, unlike a cancelled one.
    async fn check_next_request_is_open(&self, client: &mut Client) {
        client.send(&request(99));
        self.wait_for_open_requests(1).await;
        sleep(Duration::from_millis(20)).await;
        assert_eq!((client.answer_so_far(), self.core.pending_requests()), (String::new(), 1));
    }
}

/// A client whose writes don't let the runtime run.
struct Client {
    stream: TcpStream,
    key: SessionKey,
    received: Vec<u8>,
}

impl Client {
    async fn connect(fixture: &Fixture) -> Client {
        let stream = TcpStream::connect(fixture.address).expect("connected");
        stream.set_nonblocking(true).expect("set");
        stream.set_nodelay(true).expect("set");
        let key = SessionKey { process_id: 0, secret: 0 };
        let mut client = Client { stream, key, received: Vec::new() };
        let parameters = b"user\0app\0\0";
        let version = 196_608u32.to_be_bytes();
        client.send(&[&(8 + parameters.len() as u32).to_be_bytes()[..], &version, parameters].concat());
        client.next_answer().await;
        // The session waits for its first message.
        sleep(Duration::from_millis(5)).await;
        client
    }

    fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("written");
    }

    /// The codes of the errors and the statuses that have arrived and were not returned before.
    fn answer_so_far(&mut self) -> String {
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

    /// The next answers that arrive.
    async fn next_answer(&mut self) -> String {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let answer = self.answer_so_far();
            if answer.ends_with('Z') {
                return answer;
            }
            assert!(Instant::now() < deadline, "no answer, only {answer:?}");
            sleep(Duration::from_millis(1)).await;
        }
    }
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

fn request(id: u64) -> Vec<u8> {
    let text = format!("/* kind=c,req={id:016x},timeout=20000 */ SELECT a FROM sales_17.orders\0");
    [&b"Q"[..], &(4 + text.len() as u32).to_be_bytes(), text.as_bytes()].concat()
}

/// Runs a test on the platform's front and on the second front.
fn on_both_fronts<T: Future<Output = ()>>(test: impl Fn(Fixture) -> T) {
    for allows_extended_queries in [false, true] {
        run_local(async { test(Fixture::start(allows_extended_queries).await).await });
    }
}

/// Guards against a CancelRequest that is dropped because the runtime does not know of the request, which was sent
/// before (review, case 10).
#[test]
fn cancel_directly_behind_a_request_cancels_it() {
    on_both_fronts(|fixture| async move {
        let mut client = Client::connect(&fixture).await;
        for id in 1..20 {
            client.send(&request(id));
            fixture.cancel(&client).await;
            assert_eq!(client.next_answer().await, CANCELLED);
        }
        fixture.wait_for_open_requests(0).await;
        fixture.check_next_request_is_open(&mut client).await;
    });
}

/// Guards against a CancelRequest that is dropped because a part of its request has not arrived.
#[test]
fn cancel_between_the_bytes_of_a_request_cancels_it() {
    on_both_fronts(|fixture| async move {
        let mut client = Client::connect(&fixture).await;
        for (id, settling_time) in [(1, Duration::ZERO), (2, Duration::from_millis(5))] {
            let bytes = request(id);
            let (first, rest) = bytes.split_at(40);
            client.send(first);
            sleep(settling_time).await;
            fixture.cancel(&client).await;
            client.send(rest);
            assert_eq!(client.next_answer().await, CANCELLED);
        }
        fixture.check_next_request_is_open(&mut client).await;
    });
}

/// Guards against a CancelRequest that is dropped because it overtakes its request in the network.
#[test]
fn cancel_that_overtakes_its_request_cancels_it() {
    on_both_fronts(|fixture| async move {
        let mut client = Client::connect(&fixture).await;
        let front = Rc::clone(&fixture.front);
        let key = client.key;
        spawn_local(async move { front.request_cancel(key).await });
        sleep(Duration::from_millis(5)).await;
        client.send(&request(1));
        assert_eq!(client.next_answer().await, CANCELLED);
        fixture.check_next_request_is_open(&mut client).await;
    });
}

/// Guards against a CancelRequest that crosses the answer to its request, and cancels the next request of a client
/// that does not wait for the close of the CancelRequest's connection.
#[test]
fn cancel_that_crosses_an_answer_does_not_cancel_the_next_request() {
    on_both_fronts(|fixture| async move {
        let mut client = Client::connect(&fixture).await;
        client.send(b"Q\0\0\0\x05\0");
        assert_eq!(client.next_answer().await, "Z");
        let front = Rc::clone(&fixture.front);
        let key = client.key;
        spawn_local(async move { front.request_cancel(key).await });
        sleep(Duration::from_millis(5)).await;
        fixture.check_next_request_is_open(&mut client).await;
    });
}

/// Guards against a CancelRequest whose connection is closed before it is known what it cancels: its client sends
/// the next request then.
#[test]
fn cancel_before_a_request_does_not_cancel_it() {
    on_both_fronts(|fixture| async move {
        let mut client = Client::connect(&fixture).await;
        fixture.cancel(&client).await;
        fixture.check_next_request_is_open(&mut client).await;
    });
}

/// Guards against requests that are submitted for a client which has cancelled all that it sent (review, case 7).
#[test]
fn cancel_cancels_the_requests_that_wait_behind_an_open_one() {
    on_both_fronts(|fixture| async move {
        let mut client = Client::connect(&fixture).await;
        client.send(&request(1));
        fixture.wait_for_open_requests(1).await;
        client.send(&[request(2), request(3)].concat());
        fixture.cancel(&client).await;
        let mut answers = client.next_answer().await;
        while answers.len() < 3 * CANCELLED.len() {
            answers = format!("{answers} {}", client.next_answer().await);
        }
        assert_eq!(answers, [CANCELLED; 3].join(" "));
        fixture.wait_for_open_requests(0).await;
        fixture.check_next_request_is_open(&mut client).await;
    });
}

/// Guards against a CancelRequest that another process forwards late, and that cancels a request which was sent
/// after it.
#[test]
fn forwarded_cancel_cancels_only_what_arrived_in_time() {
    on_both_fronts(|fixture| async move {
        let mut client = Client::connect(&fixture).await;
        let SessionKey { process_id, secret } = client.key;
        let forward = |received_at| {
            assert!(fixture.front.apply_forwarded_cancel(UnknownCancel { process_id, secret, received_at }));
        };
        client.send(&request(1));
        forward(now());
        assert_eq!(client.next_answer().await, CANCELLED);
        let received_at = now() - TimeDelta::from_secs(1);
        client.send(&request(2));
        fixture.wait_for_open_requests(1).await;
        forward(received_at);
        sleep(Duration::from_millis(20)).await;
        assert_eq!(client.answer_so_far(), "");
        fixture.cancel(&client).await;
        assert_eq!(client.next_answer().await, CANCELLED);
        forward(received_at);
        fixture.check_next_request_is_open(&mut client).await;
    });
}

/// Guards against a stop or a drain that closes a session although its next request has arrived.
#[test]
fn request_that_arrived_before_a_stop_is_submitted() {
    let stops: [fn(&Front); 2] = [|front| front.close(), |front| front.drain_sessions(TimeDelta::ZERO)];
    for stop in stops {
        on_both_fronts(|fixture| async move {
            let mut client = Client::connect(&fixture).await;
            client.send(&request(1));
            stop(&fixture.front);
            fixture.wait_for_open_requests(1).await;
        });
    }
}
