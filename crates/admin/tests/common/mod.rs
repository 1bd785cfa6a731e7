//! A test program behind the admin address, and clients that write bytes.
#![allow(dead_code)]

use sprucelink_admin::{serve, LimitReached, Limits, OperationError, OperationOutcome, Operations};
use sprucelink_metrics::Metrics;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;
use tokio::net::TcpSocket;

/// Maximum time that a test waits for a response, far longer than a response may take.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Name of the thread that serves the admin address.
pub const SERVING_THREAD: &str = "operators";

/// Operations on the engines `s-1` and `s-2`, with metrics, and with the faults that a real program may have.
struct TestOperations {
    cordoned: RefCell<BTreeSet<String>>,
    metrics: Metrics,
    /// Number of bytes that are appended to the metrics.
    padding: usize,
}

impl Operations for TestOperations {
    fn is_healthy(&self) -> bool {
        !self.cordoned.borrow().contains("s-2")
    }
    fn stats(&self) -> String {
        self.metrics.set_ejected(self.cordoned.borrow().len());
        self.metrics.render() + &"#".repeat(self.padding)
    }
    fn cordon(&self, target: &str) -> Result<OperationOutcome, OperationError> {
        match target {
            "s-1" | "s-2" if self.cordoned.borrow_mut().insert(target.into()) => {
                Ok(OperationOutcome::Changed)
            }
            "s-1" | "s-2" => Ok(OperationOutcome::Unchanged),
            "busy" => Err(OperationError::Unavailable("no room for another ban".into())),
            "panic" => panic!("a fault of the program"),
            _ => Err(OperationError::Unknown),
        }
    }
    fn uncordon(&self, target: &str) -> Result<OperationOutcome, OperationError> {
        match target {
            "s-1" | "s-2" if self.cordoned.borrow_mut().remove(target) => Ok(OperationOutcome::Changed),
            "s-1" | "s-2" => Ok(OperationOutcome::Unchanged),
            _ => Err(OperationError::Unknown),
        }
    }
    fn on_limit_reached(&self, limit: LimitReached) {
        self.metrics.counter(limit.counter_name()).unwrap().increment(1);
    }
}

/// Starts the admin address on a thread of its own, for as long as the test runs. `padding` is the number of
/// bytes appended to the metrics; `send_buffer` limits the bytes that the kernel takes of a response that is
/// not read.
pub fn start(limits: Limits, padding: usize, send_buffer: Option<u32>) -> SocketAddr {
    let (sender, address) = mpsc::channel();
    let thread = std::thread::Builder::new().name(SERVING_THREAD.into());
    let serving = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let serving = async move {
            let socket = TcpSocket::new_v4().unwrap();
            send_buffer.into_iter().for_each(|n| socket.set_send_buffer_size(n).unwrap());
            socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
            let listener = socket.listen(1024).unwrap();
            sender.send(listener.local_addr().unwrap()).unwrap();
            let metrics = Metrics::try_new(&["lane-rate".into()]).unwrap();
            let operations = Rc::new(TestOperations { cordoned: RefCell::default(), metrics, padding });
            serve(listener, operations, limits).await;
        };
        tokio::task::LocalSet::new().block_on(&runtime, serving);
    };
    thread.spawn(serving).unwrap();
    address.recv().unwrap()
}

/// Starts the admin address with the default limits.
pub fn start_with_default_limits() -> SocketAddr {
    start(Limits::default(), 0, None)
}

/// A response as it was received.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: String,
}

/// Connects a client.
pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream
}

/// Reads until the server closes the connection; returns the only response, which must be complete and
/// announce the close.
pub fn read_response(stream: &mut TcpStream) -> Response {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).unwrap();
    parse(&bytes)
}

pub fn parse(bytes: &[u8]) -> Response {
    let text = std::str::from_utf8(bytes).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or_else(|| panic!("no response in {text:?}"));
    let status =
        head.strip_prefix("HTTP/1.1 ").or(head.strip_prefix("HTTP/1.0 ")).unwrap()[..3].parse().unwrap();
    let length: usize =
        head.lines().find_map(|l| l.strip_prefix("content-length: ")).unwrap().parse().unwrap();
    assert!(body.len() == length || body.is_empty(), "a second response or a part of one: {text:?}");
    assert!(head.contains("\r\nconnection: close") || head.starts_with("HTTP/1.0"), "{head}");
    Response { status, head: head.into(), body: body.into() }
}

/// Sends `bytes` and returns the response. The write may fail after an early response.
pub fn send(address: SocketAddr, bytes: &[u8]) -> Response {
    let mut stream = connect(address);
    let _ = stream.write_all(bytes);
    read_response(&mut stream)
}

/// Sends `bytes`, shuts down the client's side and returns the response.
pub fn send_and_shut_down(address: SocketAddr, bytes: &[u8]) -> Response {
    let mut stream = connect(address);
    stream.write_all(bytes).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    read_response(&mut stream)
}

pub fn get(address: SocketAddr, path: &str) -> Response {
    send(address, format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes())
}

pub fn post_request(path: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}")
}

pub fn post(address: SocketAddr, path: &str, body: &str) -> Response {
    send(address, post_request(path, body).as_bytes())
}

/// The value of a metric on `/admin/stats`; 0 if it is absent.
pub fn metric(address: SocketAddr, name: &str) -> u64 {
    let stats = get(address, "/admin/stats");
    let line = stats.body.lines().find_map(|l| l.strip_prefix(&format!("edge.{name}=")).map(str::to_owned));
    line.map_or(0, |value| value.parse().unwrap())
}
