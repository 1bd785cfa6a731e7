//! A stand-in list service: the control feed's wire (`GET /v1/events`, server-sent events), a comment each
//! second, every call counted. It keeps every event told and sends a call those after its `Last-Event-ID`. On
//! command it refuses (503) or stalls (takes the call and says nothing), and it tells whatever list it is given,
//! older and contradictory ones too.

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
/// Time within which the head of a request must be there.
const MAX_HEAD_TIME: Duration = Duration::from_secs(5);
/// Events that the service keeps; a further one is an error.
const MAX_EVENTS: usize = 10_000;
/// Longest watch request; the manager then sends another.
const MAX_CALL_TIME: Duration = Duration::from_secs(60);
/// Longest time for which a request is left without an answer in [`DiscoveryMode::Stalling`].
const MAX_STALL_TIME: Duration = Duration::from_secs(30);

/// The service has no room for a further event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a list service tells at most {MAX_EVENTS} events")]
pub struct TooManyEvents;

/// How the service answers calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// It serves.
    Serving = 0,
    /// It answers 503 at once, and ends the calls that are open.
    Refusing = 1,
    /// It takes the call and says nothing; calls that are open fall silent.
    Stalling = 2,
}

/// What calls look at: the mode, and how many events there are.
type State = (DiscoveryMode, usize);

/// What all calls of a service share.
struct Shared {
    /// The party that the service is for.
    name: String,
    start: Instant,
    calls: Counter,
    events: Arc<Mutex<Vec<String>>>,
    history: Recorder,
}

/// The service, running on a port of its own until the process ends.
pub struct ListService {
    /// Where it listens.
    pub address: SocketAddr,
    /// Every call, when it came.
    pub calls: Counter,
    state: watch::Sender<State>,
    events: Arc<Mutex<Vec<String>>>,
}

impl ListService {
    /// Starts it on a loopback port the kernel chooses, with `first` (an event's JSON, numbered 1) to tell.
    /// Calls are counted from `start`.
    ///
    /// # Errors
    /// Those of binding a loopback port.
    pub fn start(first: String, start: Instant) -> std::io::Result<ListService> {
        ListService::start_as(first, start, "", Recorder::default())
    }

    /// As [`ListService::start`], for the party of this name; each call is noted in `history`.
    ///
    /// # Errors
    /// Those of binding a loopback port.
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

    /// From now on calls are answered so.
    pub fn set_discovery_mode(&self, mode: DiscoveryMode) {
        self.state.send_modify(|s| s.0 = mode);
    }

    /// Tells one more event: `json` gets the event's number, the count of all events told so far.
    ///
    /// # Errors
    /// Where the bound on events is reached.
    pub fn tell(&self, json: impl FnOnce(u64) -> String) -> Result<u64, TooManyEvents> {
        let n = {
            let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
            if events.len() >= MAX_EVENTS {
                return Err(TooManyEvents);
            }
            let n = events.len() as u64 + 1;
            events.push(json(n));
            n
        };
        self.state.send_modify(|s| s.1 = n as usize);
        Ok(n)
    }

    /// All events told so far, as a manager's configuration words them (`known`).
    pub fn known(&self) -> (u64, String) {
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        (events.len() as u64, events.join(","))
    }
}

async fn head(stream: &mut TcpStream) -> Option<String> {
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

/// The word that a history has for the answer to a poll.
fn answer_name(mode: DiscoveryMode) -> &'static str {
    match mode {
        DiscoveryMode::Serving => "serving",
        DiscoveryMode::Refusing => "refusing",
        DiscoveryMode::Stalling => "stalling",
    }
}

/// Appends the events from `first` up to `end`, and returns the position behind the last one.
fn append_events(out: &mut String, events: &Mutex<Vec<String>>, first: usize, end: usize) -> usize {
    let events = events.lock().unwrap_or_else(PoisonError::into_inner);
    let mut position = first;
    for event in events.get(first..end).unwrap_or_default() {
        position += 1;
        out.push_str(&format!("id: {position}\ndata: {event}\n\n"));
    }
    position
}

/// Counts and records a call; how many events the caller already has.
fn note_call(shared: &Shared, head: &str, mode: DiscoveryMode) -> usize {
    shared.calls.note(shared.start);
    let cursor =
        head.lines().find_map(|l| l.to_ascii_lowercase().strip_prefix("last-event-id:").map(str::to_owned));
    let cursor = cursor.map(|value| value.trim().to_owned());
    shared.history.note(Event::ListCall {
        service: shared.name.clone(),
        cursor: cursor.clone(),
        answer: answer_name(mode).to_owned(),
    });
    cursor.and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// Answers one call until it ends; `None` where it broke off.
async fn serve(mut stream: TcpStream, shared: &Shared, mut state: watch::Receiver<State>) -> Option<()> {
    let head = timeout(MAX_HEAD_TIME, head(&mut stream)).await.ok()??;
    let mode = state.borrow().0;
    let mut sent = note_call(shared, &head, mode);
    let mut opened = false;
    loop {
        let (mode, n) = *state.borrow_and_update();
        match mode {
            DiscoveryMode::Refusing if opened => return None,
            DiscoveryMode::Refusing => {
                let refusal =
                    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
                return stream.write_all(refusal).await.ok();
            }
            DiscoveryMode::Stalling => {
                // Silent until its mode changes; a caller that gives up is noticed then.
                timeout(MAX_STALL_TIME, state.changed()).await.ok()?.ok()?;
                continue;
            }
            DiscoveryMode::Serving => {}
        }
        let mut out = String::new();
        if !std::mem::replace(&mut opened, true) {
            out.push_str("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
        }
        sent = append_events(&mut out, &shared.events, sent, n);
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
