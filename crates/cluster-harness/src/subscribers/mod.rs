//! Stand-in subscribers: up to 300 connections for server-sent events to the managers' ports, each with a
//! cursor of its own. The records that they read go into the history. This module makes the connections,
//! [`sse`] parses the streams, [`reader`] holds the state of a subscriber, and [`marks`] finds the records
//! with a meaning for the checker.

pub mod marks;
pub mod reader;
pub mod sse;

use crate::history::Recorder;
use crate::http;
use crate::runtime;
use crate::scenario::{Scenario, SubscriberAction, Subscribers as Spec};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, Incoming};
use hyper::Request;
use reader::Reader;
use sprucelink_history_checker::event::Event;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::broadcast;
use tokio::time::error::Elapsed;
use tokio::time::{sleep, sleep_until, timeout};

/// Maximum number of commands queued for a subscriber; a subscriber that falls further behind misses the
/// oldest ones.
const MAX_COMMANDS: usize = 64;
/// Status of an answer to a cursor that is no longer valid (RFC 9110, 410 Gone): the subscriber drops its
/// cursor and state.
const GONE: u16 = 410;

/// Maximum number of marks that are remembered, so that each is recorded once; further marks are recorded by
/// every subscriber that reads them.
const MAX_RECORDED_MARKS: usize = 100_000;

struct Shared {
    spec: Spec,
    seed: u64,
    /// Names and addresses of the managers to which subscribers connect.
    managers: Vec<(String, SocketAddr)>,
    history: Recorder,
    /// Marks that are in the history already; without them, each mark would be recorded once per subscriber.
    recorded_marks: Mutex<BTreeSet<String>>,
}

/// All stand-in subscribers of a run; dropping the value stops them.
pub struct Subscribers {
    commands: broadcast::Sender<(u64, SubscriberAction)>,
    /// Number of commands sent so far. It is sent with each command as the command's number.
    commands_sent: u64,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Drop for Subscribers {
    fn drop(&mut self) {
        self.tasks.iter().for_each(|t| t.abort());
    }
}

impl Subscribers {
    /// Starts the scenario's subscribers, each at its time after `start`. They connect to `managers`, given
    /// by name and address.
    pub fn start(
        scenario: &Scenario,
        start: Instant,
        managers: Vec<(String, SocketAddr)>,
        history: Recorder,
    ) -> Subscribers {
        let spec = scenario.subscribers.clone();
        let (commands, _) = broadcast::channel(MAX_COMMANDS);
        let count = spec.count;
        let interval = spec.over_ms / 1e3 / spec.count.max(1) as f64;
        let first = start + Duration::from_secs_f64(spec.at);
        let recorded_marks = Mutex::default();
        let shared = Arc::new(Shared { spec, seed: scenario.seed, managers, history, recorded_marks });
        let spawn = |index: usize| {
            let shared = Arc::clone(&shared);
            let commands = commands.subscribe();
            let due = first + Duration::from_secs_f64(interval * index as f64);
            runtime().spawn(async move {
                sleep_until(due.into()).await;
                run_subscriber(&shared, index, commands).await;
            })
        };
        let tasks = (0..count).map(spawn).collect();
        Subscribers { commands, commands_sent: 0, tasks }
    }

    /// Sends a command to all subscribers; each subscriber in the drawn fraction applies it.
    pub fn command(&mut self, action: SubscriberAction) {
        self.commands_sent += 1;
        // Sending fails if there are no receivers, which is not an error here.
        let _ = self.commands.send((self.commands_sent, action));
    }
}

/// Why reading a stream ended.
#[derive(Debug, thiserror::Error)]
enum StreamError {
    /// An event exceeds the maximum size.
    #[error(transparent)]
    EventTooLong(#[from] sse::EventTooLong),
    /// The id of an event is not a valid cursor.
    #[error(transparent)]
    InvalidCursor(#[from] reader::InvalidEventCursor),
}

/// Why a connection ended, which determines how the subscriber reconnects.
enum Disconnect {
    /// The connection was lost for this reason; the subscriber connects to another manager after its retry
    /// time.
    Lost(String),
    /// The subscriber leaves for another manager at once.
    Hopped,
    /// The connection ended for this reason, and the subscriber's cursor is no longer valid; the subscriber
    /// connects to another manager after its retry time, without a cursor.
    CursorGone(String),
}

async fn run_subscriber(
    shared: &Shared,
    index: usize,
    mut commands: broadcast::Receiver<(u64, SubscriberAction)>,
) {
    let mut reader = Reader::new(&shared.spec, index, shared.seed);
    let mut bytes_per_second = 0.0;
    let managers = shared.managers.len();
    if managers == 0 {
        return;
    }
    loop {
        let (manager, address) = shared.managers[reader.manager % managers].clone();
        let disconnect =
            read_stream(shared, &mut reader, &mut commands, &mut bytes_per_second, &manager, address).await;
        let (why, delay) = match disconnect {
            Disconnect::Lost(why) => (why, reader.reconnect_delay()),
            Disconnect::Hopped => ("left for another".into(), Duration::ZERO),
            Disconnect::CursorGone(why) => {
                reader.reset_cursor();
                (why, reader.reconnect_delay())
            }
        };
        shared.history.record(Event::SubscriberDisconnected {
            subscriber: reader.name.clone(),
            manager,
            why,
        });
        reader.hop(managers);
        sleep(delay).await;
    }
}

/// Requests the stream from the reader's cursor on; an answer without a stream ends the connection.
async fn open_stream(reader: &Reader<'_>, address: SocketAddr) -> Result<Incoming, Disconnect> {
    let request =
        Request::get(reader.path()).header("host", address.to_string()).header("accept", "text/event-stream");
    let request = match reader.cursor {
        Some(c) => request.header("last-event-id", c.to_string()),
        None => request,
    };
    let request =
        request.body(Full::<Bytes>::default()).map_err(|_| Disconnect::Lost("no request".into()))?;
    let answer = http::send(address, request).await.map_err(|error| Disconnect::Lost(error.to_string()))?;
    match answer.status().as_u16() {
        200 => Ok(answer.into_body()),
        GONE => Err(Disconnect::CursorGone("status 410".into())),
        other => Err(Disconnect::Lost(format!("status {other}"))),
    }
}

/// Applies a command to a subscriber, if the subscriber is in the drawn fraction. Returns why the
/// subscriber's connection ends, if the command ends it.
fn apply_command(
    shared: &Shared,
    reader: &Reader<'_>,
    number: u64,
    command: SubscriberAction,
    bytes_per_second: &mut f64,
) -> Option<Disconnect> {
    match command {
        SubscriberAction::Drop(share) if reader.is_selected(share, number, shared.seed) => {
            Some(Disconnect::Lost("dropped".into()))
        }
        SubscriberAction::Hop(share) if reader.is_selected(share, number, shared.seed) => {
            Some(Disconnect::Hopped)
        }
        SubscriberAction::Slow { share, bytes_s } if reader.is_selected(share, number, shared.seed) => {
            *bytes_per_second = bytes_s;
            None
        }
        _ => None,
    }
}

/// The data of the next frame, or why there is none.
fn frame_data(
    next: Result<Option<Result<Frame<Bytes>, hyper::Error>>, Elapsed>,
) -> Result<Bytes, Disconnect> {
    match next {
        Err(_) => Err(Disconnect::Lost("silent".into())),
        Ok(None) => Err(Disconnect::Lost("ended".into())),
        Ok(Some(Err(error))) => Err(Disconnect::Lost(format!("broken: {error}"))),
        Ok(Some(Ok(frame))) => Ok(frame.into_data().unwrap_or_default()),
    }
}

/// Connects a subscriber to a manager and reads the stream until the connection ends; returns why it ended.
async fn read_stream(
    shared: &Shared,
    reader: &mut Reader<'_>,
    commands: &mut broadcast::Receiver<(u64, SubscriberAction)>,
    bytes_per_second: &mut f64,
    manager: &str,
    address: SocketAddr,
) -> Disconnect {
    let mut body = match open_stream(reader, address).await {
        Ok(body) => body,
        Err(disconnect) => return disconnect,
    };
    shared.history.record(Event::SubscriberConnected {
        subscriber: reader.name.clone(),
        manager: manager.to_owned(),
        cursor: reader.cursor,
        version: reader.version.clone(),
        filter: reader.filter.clone(),
    });
    let mut stream = sse::Stream::default();
    let max_silence = Duration::from_secs_f64(shared.spec.silent_ms / 1e3);
    let hops_at = reader.time_to_hop().map(|time| Instant::now() + time);
    let mut next_read = Instant::now();
    loop {
        let next_frame = async {
            sleep_until(next_read.into()).await;
            timeout(max_silence, body.frame()).await
        };
        tokio::select! {
            frame = next_frame => {
                let bytes = match frame_data(frame) {
                    Ok(bytes) => bytes,
                    Err(disconnect) => return disconnect,
                };
                if let Err(error) = process_bytes(shared, reader, &mut stream, manager, &bytes) {
                    return Disconnect::Lost(error.to_string());
                }
                next_read = Instant::now() + read_time(bytes.len(), *bytes_per_second);
            }
            command = commands.recv() => {
                let Ok((number, command)) = command else { continue };
                if let Some(disconnect) = apply_command(shared, reader, number, command, bytes_per_second) {
                    return disconnect;
                }
            }
            () = sleep_until(hops_at.unwrap_or(next_read + max_silence * 10).into()), if hops_at.is_some() => {
                return Disconnect::Hopped;
            }
        }
    }
}

/// Time that a subscriber takes to read these bytes at its rate; a rate of 0 is no limit.
fn read_time(bytes: usize, bytes_per_second: f64) -> Duration {
    match bytes_per_second > 0.0 {
        true => {
            let seconds = (bytes as f64 / bytes_per_second).min(600.0);
            Duration::from_secs_f64(seconds).max(Duration::from_micros(1))
        }
        false => Duration::ZERO,
    }
}

/// Parses received bytes and records the events that they complete.
fn process_bytes(
    shared: &Shared,
    reader: &mut Reader<'_>,
    stream: &mut sse::Stream,
    manager: &str,
    bytes: &[u8],
) -> Result<(), StreamError> {
    for item in stream.push(bytes)? {
        let cursor = reader.cursor;
        for event in reader.process(manager, item)? {
            let is_mark = matches!(
                event,
                Event::Halted { .. } | Event::HaltLifted { .. } | Event::SchemaActivated { .. }
            );
            // All subscribers read the same marks: each is recorded once, identified by its record's cursor
            // and kind.
            let mark_id = || format!("{:?} {:?}", reader.cursor.or(cursor), std::mem::discriminant(&event));
            let is_first = || {
                let mut recorded = shared.recorded_marks.lock().unwrap_or_else(PoisonError::into_inner);
                recorded.len() >= MAX_RECORDED_MARKS || recorded.insert(mark_id())
            };
            if !is_mark || is_first() {
                shared.history.record(event);
            }
        }
    }
    Ok(())
}
