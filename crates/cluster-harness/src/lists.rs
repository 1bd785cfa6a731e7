//! A stand-in list service with the protocol of the control feed (`GET /v1/events`, server-sent events, a
//! comment each second). It counts every call, keeps every published event and answers a call with the events
//! after its `Last-Event-ID`. On command it refuses calls (503) or stalls them (accepts them without an
//! answer). It publishes any list, also older and contradictory ones.

use crate::counter::Counter;
use crate::history::Recorder;
use crate::runtime;
use sprucelink_history_checker::event::Event;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Longest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 16_384;
/// Time within which the complete head of a request must have arrived.
const MAX_HEAD_TIME: Duration = Duration::from_secs(5);
/// Maximum number of events that the service keeps; a further one is an error.
const MAX_EVENTS: usize = 10_000;
/// Time after which the service ends a call; the manager then makes another one.
const MAX_CALL_TIME: Duration = Duration::from_secs(60);
/// Longest time for which a request is left without an answer in [`DiscoveryMode::Stalling`].
const MAX_STALL_TIME: Duration = Duration::from_secs(30);

/// The service has reached its limit of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too many list events: at most {MAX_EVENTS} per list service")]
pub struct TooManyEvents;

/// The way in which a running service answers calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// The service answers with the events, and sends new ones as they are published.
    Serving = 0,
    /// The service answers 503 at once, and ends the open calls.
    Refusing = 1,
    /// The service accepts calls without an answer, and sends nothing on open calls.
    Stalling = 2,
}

/// The state that calls watch: the mode, and the number of events published so far.
type State = (DiscoveryMode, usize);

/// State that all calls of a service share.
struct Shared {
    /// Name of the party that the service is for.
    name: String,
    start: Instant,
    calls: Counter,
    events: Arc<Mutex<Vec<String>>>,
    history: Recorder,
}

/// The service, running on a port of its own until the process ends.
pub struct ListService {
    /// Address on which the service listens.
    pub address: SocketAddr,
    /// Counter of the calls to the service, answered or not.
    pub calls: Counter,
    state: watch::Sender<State>,
    events: Arc<Mutex<Vec<String>>>,
}

impl ListService {
    /// Starts a service on a loopback port that the kernel chooses, with `first` (JSON) as event 1. The times
    /// of calls are counted from `start`.
    ///
    /// # Errors
    /// If a loopback port can't be bound.
    pub fn start(first: String, start: Instant) -> std::io::Result<ListService> {
        ListService::start_as(first, start, "", Recorder::default())
    }

    /// Starts a service as [`ListService::start`] does, for the party of this name; each call is recorded in
    /// `history`.
    ///
    /// # Errors
    /// If a loopback port can't be bound.
    pub fn start_as(
        first: String,
        start: Instant,
        name: &str,
        history: Recorder,
    ) -> std::io::Result<ListService> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (state, watched_state) = watch::channel((DiscoveryMode::Serving, 1));
        let calls = Counter::default();
        let events = Arc::new(Mutex::new(vec![first]));
        let shared = Arc::new(Shared {
            name: name.to_owned(),
            start,
            calls: calls.clone(),
            events: Arc::clone(&events),
            history,
        });
        runtime().spawn(async move {
            let Ok(listener) = TcpListener::from_std(listener) else { return };
            while let Ok((stream, _)) = listener.accept().await {
                let shared = Arc::clone(&shared);
                let state = watched_state.clone();
                tokio::spawn(async move {
                    let _ = timeout(MAX_CALL_TIME, serve(stream, &shared, state)).await;
                });
            }
        });
        Ok(ListService { address, calls, state, events })
    }

    /// Sets the mode for open and new calls.
    pub fn set_discovery_mode(&self, mode: DiscoveryMode) {
        self.state.send_modify(|s| s.0 = mode);
    }

    /// Publishes an event, whose JSON `json` returns for the event's number, and returns the number. Events
    /// are numbered from 1 on.
    ///
    /// # Errors
    /// If the limit of events is reached.
    pub fn publish(&self, json: impl FnOnce(u64) -> String) -> Result<u64, TooManyEvents> {
        let number = {
            let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
            if events.len() >= MAX_EVENTS {
                return Err(TooManyEvents);
            }
            let number = events.len() as u64 + 1;
            events.push(json(number));
            number
        };
        self.state.send_modify(|s| s.1 = number as usize);
        Ok(number)
    }

    /// The number of events so far and their JSON, separated by commas, for the field `known` of a manager's
    /// configuration.
    pub fn known(&self) -> (u64, String) {
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        (events.len() as u64, events.join(","))
    }
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut bytes = [0u8; 1024];
    while !head.windows(4).any(|w| w == b"\r\n\r\n") {
        let n = stream.read(&mut bytes).await.ok().filter(|n| *n > 0)?;
        head.extend_from_slice(&bytes[..n]);
        if head.len() > MAX_HEAD_BYTES {
            return None;
        }
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}

/// The name of a mode in the history's record of a call.
fn answer_name(mode: DiscoveryMode) -> &'static str {
    match mode {
        DiscoveryMode::Serving => "serving",
        DiscoveryMode::Refusing => "refusing",
        DiscoveryMode::Stalling => "stalling",
    }
}

/// Appends the events from index `first` up to `end`, and returns the index after the last one.
fn append_events(out: &mut String, events: &Mutex<Vec<String>>, first: usize, end: usize) -> usize {
    let events = events.lock().unwrap_or_else(PoisonError::into_inner);
    let mut position = first;
    for event in events.get(first..end).unwrap_or_default() {
        position += 1;
        out.push_str(&format!("id: {position}\ndata: {event}\n\n"));
    }
    position
}

/// Counts and records a call, and returns the number of events that the caller already has.
fn record_call(shared: &Shared, head: &str, mode: DiscoveryMode) -> usize {
    shared.calls.record(shared.start);
    let cursor =
        head.lines().find_map(|l| l.to_ascii_lowercase().strip_prefix("last-event-id:").map(str::to_owned));
    let cursor = cursor.map(|value| value.trim().to_owned());
    shared.history.record(Event::ListCall {
        service: shared.name.clone(),
        cursor: cursor.clone(),
        answer: answer_name(mode).to_owned(),
    });
    cursor.and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// Answers one call until it ends; `None` if it ended early.
async fn serve(mut stream: TcpStream, shared: &Shared, mut state: watch::Receiver<State>) -> Option<()> {
    let head = timeout(MAX_HEAD_TIME, read_head(&mut stream)).await.ok()??;
    let mode = state.borrow().0;
    let mut sent = record_call(shared, &head, mode);
    let mut opened = false;
    loop {
        let (mode, events) = *state.borrow_and_update();
        match mode {
            DiscoveryMode::Refusing if opened => return None,
            DiscoveryMode::Refusing => {
                let refusal =
                    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
                return stream.write_all(refusal).await.ok();
            }
            DiscoveryMode::Stalling => {
                // No answer until the mode changes; a closed connection is only detected then.
                timeout(MAX_STALL_TIME, state.changed()).await.ok()?.ok()?;
                continue;
            }
            DiscoveryMode::Serving => {}
        }
        let mut out = String::new();
        if !std::mem::replace(&mut opened, true) {
            out.push_str("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
        }
        sent = append_events(&mut out, &shared.events, sent, events);
        if out.is_empty() {
            out.push_str(": still here\n\n");
        }
        stream.write_all(out.as_bytes()).await.ok()?;
        tokio::select! {
            () = sleep(Duration::from_secs(1)) => {}
            changed = state.changed() => changed.ok()?,
        }
    }
}
