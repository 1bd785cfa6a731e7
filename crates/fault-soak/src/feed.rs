//! Stand-in control feeds. Each manager has its own feed addresses, so that the events sent to it are known;
//! all feeds send the same list.

use crate::world::World;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Interval between the comments on an open call, by which the manager sees that the feed is not silent.
const COMMENT_INTERVAL: Duration = Duration::from_secs(1);
/// Length after which the rest of a request head is not read.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// How a feed treats the calls of its manager.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum FeedMode {
    /// Calls get events and comments.
    Serve = 0,
    /// Calls stay open and get neither events nor comments.
    Silent = 1,
    /// Open and new calls are closed.
    Down = 2,
    /// The manager's configuration names another feed address. Open and new calls are closed, as with `Down`.
    Moved = 3,
}

/// Endpoint list events that were added so far, in order. Their numbers begin at 1.
pub struct EventLog {
    world: Arc<World>,
    events: Mutex<Vec<String>>,
    count: watch::Sender<u64>,
}

impl EventLog {
    /// Creates a log without events.
    pub fn new(world: &Arc<World>) -> Arc<EventLog> {
        Arc::new(EventLog { world: Arc::clone(world), events: Mutex::default(), count: watch::channel(0).0 })
    }

    /// Adds an event and returns its number, from which `text` creates the event's data.
    pub fn push(&self, text: impl FnOnce(u64) -> String) -> u64 {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let number = events.len() as u64 + 1;
        events.push(text(number));
        self.world.event_pushed();
        self.count.send_replace(number);
        number
    }

    /// Data of all events so far, in order.
    pub fn all(&self) -> Vec<String> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// A feed of one manager.
pub struct Feed {
    /// Address that the feed listens on.
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
}

impl Feed {
    /// Starts a feed for the manager with this number, which sends the events of `log`.
    ///
    /// # Errors
    /// Fails if no port is free.
    pub async fn start(manager: usize, log: &Arc<EventLog>) -> io::Result<Feed> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mode = Arc::new(AtomicU8::new(FeedMode::Serve as u8));
        tokio::spawn(accept(listener, manager, Arc::clone(log), Arc::clone(&mode)));
        Ok(Feed { address, mode })
    }

    /// Changes how open and new calls are treated.
    pub fn set_mode(&self, mode: FeedMode) {
        self.mode.store(mode as u8, Ordering::SeqCst);
    }
}

async fn accept(listener: TcpListener, manager: usize, log: Arc<EventLog>, mode: Arc<AtomicU8>) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            if mode.load(Ordering::SeqCst) >= FeedMode::Down as u8 {
                continue;
            }
            let log = Arc::clone(&log);
            let mode = Arc::clone(&mode);
            tokio::spawn(async move { drop(serve(stream, manager, &log, &mode).await) });
        }
    }
}

async fn serve(mut stream: TcpStream, manager: usize, log: &EventLog, mode: &AtomicU8) -> io::Result<()> {
    let mut next = read_last_event(&mut stream).await? + 1;
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n").await?;
    let mut count = log.count.subscribe();
    let mut next_comment = tokio::time::Instant::now();
    loop {
        if mode.load(Ordering::SeqCst) >= FeedMode::Down as u8 {
            return Ok(());
        }
        if mode.load(Ordering::SeqCst) == FeedMode::Serve as u8 {
            if tokio::time::Instant::now() >= next_comment {
                next_comment = tokio::time::Instant::now() + COMMENT_INTERVAL;
                stream.write_all(b": here\n\n").await?;
            }
            next = send_events(&mut stream, manager, log, next).await?;
        }
        let _ = tokio::time::timeout(Duration::from_millis(20), count.changed()).await;
    }
}

/// Writes the events from number `next` on, each in two pieces, and returns the number of the event after the
/// last one written.
async fn send_events(
    stream: &mut TcpStream,
    manager: usize,
    log: &EventLog,
    mut next: u64,
) -> io::Result<u64> {
    let events = log.all();
    while let Some(text) = usize::try_from(next - 1).ok().and_then(|index| events.get(index)) {
        let bytes = format!("id: {next}\ndata: {text}\n\n").into_bytes();
        let (first, second) = bytes.split_at(bytes.len() / 2);
        stream.write_all(first).await?;
        tokio::task::yield_now().await;
        stream.write_all(second).await?;
        log.world.event_delivered(manager, next);
        next += 1;
    }
    Ok(next)
}

/// Reads the head of a call and returns its Last-Event-ID, or 0 if it has none.
async fn read_last_event(stream: &mut TcpStream) -> io::Result<u64> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") && head.len() < MAX_HEAD_BYTES {
        if stream.read_buf(&mut head).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    let text = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let value = text.lines().find_map(|line| line.strip_prefix("last-event-id:"));
    Ok(value.and_then(|number| number.trim().parse().ok()).unwrap_or(0))
}
