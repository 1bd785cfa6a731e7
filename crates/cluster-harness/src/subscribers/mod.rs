//! Stand-in subscribers: up to 300 connections for server-sent events over the managers' ports, each with a cursor of
//! its own. What they read goes into the history. [`reader`] and [`marks`] decide, [`sse`] reads, this file connects.

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

/// Commands queued for a subscriber; one that falls behind further misses the oldest.
const MAX_ORDERS: usize = 64;
/// The status that says of a cursor that it leads nowhere any more (RFC 9110, 410 Gone): the state is given up with it.
const GONE: u16 = 410;

/// Marks that are remembered, so that each is noted once; further ones are noted by every subscriber that reads them.
const MAX_MARKED: usize = 100_000;

struct Shared {
    spec: Spec,
    seed: u64,
    /// Names and addresses of the managers they go to.
    managers: Vec<(String, SocketAddr)>,
    history: Recorder,
    /// Marks that are in the history already: each subscriber reads the same halt.
    marked: Mutex<BTreeSet<String>>,
}

/// All stand-in subscribers of a run; they end when this is dropped.
pub struct Subscribers {
    orders: broadcast::Sender<(u64, SubscriberAction)>,
    given: u64,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Drop for Subscribers {
    fn drop(&mut self) {
        self.tasks.iter().for_each(|t| t.abort());
    }
}

impl Subscribers {
    /// Sets them going: the first at its time after `start`, which go to these managers.
    pub fn start(
        scenario: &Scenario,
        start: Instant,
        managers: Vec<(String, SocketAddr)>,
        history: Recorder,
    ) -> Subscribers {
        let spec = scenario.subscribers.clone();
        let (orders, _) = broadcast::channel(MAX_ORDERS);
        let count = spec.count;
        let apart = spec.over_ms / 1e3 / spec.count.max(1) as f64;
        let first = start + Duration::from_secs_f64(spec.at);
        let shared =
            Arc::new(Shared { spec, seed: scenario.seed, managers, history, marked: Mutex::default() });
        let one = |number: usize| {
            let shared = Arc::clone(&shared);
            let orders = orders.subscribe();
            let due = first + Duration::from_secs_f64(apart * number as f64);
            runtime().spawn(async move {
                sleep_until(due.into()).await;
                run_subscriber(&shared, number, orders).await;
            })
        };
        let tasks = (0..count).map(one).collect();
        Subscribers { orders, given: 0, tasks }
    }

    /// Something happens to them.
    pub fn order(&mut self, what: SubscriberAction) {
        self.given += 1;
        // Without subscribers nobody receives it, which is no error.
        let _ = self.orders.send((self.given, what));
    }
}

/// Why a stream cannot be read on.
#[derive(Debug, thiserror::Error)]
enum StreamError {
    /// An event exceeds its bound.
    #[error(transparent)]
    EventTooLong(#[from] sse::EventTooLong),
    /// An event has no cursor to resume from.
    #[error(transparent)]
    InvalidCursor(#[from] reader::InvalidEventCursor),
}

/// Why a connection is over, and what comes next.
enum Disconnect {
    /// It comes back to another manager after its backoff.
    Lost(String),
    /// It goes to another manager at once.
    Hopped,
    /// As lost, and its cursor is nothing any more.
    Forgotten(String),
}

async fn run_subscriber(
    shared: &Shared,
    number: usize,
    mut orders: broadcast::Receiver<(u64, SubscriberAction)>,
) {
    let mut reader = Reader::new(&shared.spec, number, shared.seed);
    let mut slow = 0.0;
    let all = shared.managers.len();
    if all == 0 {
        return;
    }
    loop {
        let (manager, at) = shared.managers[reader.at % all].clone();
        let disconnect = read_stream(shared, &mut reader, &mut orders, &mut slow, &manager, at).await;
        let (why, wait) = match disconnect {
            Disconnect::Lost(why) => (why, reader.wait()),
            Disconnect::Hopped => ("left for another".into(), Duration::ZERO),
            Disconnect::Forgotten(why) => {
                reader.forget();
                (why, reader.wait())
            }
        };
        shared.history.note(Event::SubscriberDisconnected { subscriber: reader.name.clone(), manager, why });
        reader.hop(all);
        sleep(wait).await;
    }
}

/// Requests the stream from the reader's cursor on; an answer without one ends the visit.
async fn open_stream(reader: &Reader<'_>, at: SocketAddr) -> Result<Incoming, Disconnect> {
    let request =
        Request::get(reader.path()).header("host", at.to_string()).header("accept", "text/event-stream");
    let request = match reader.cursor {
        Some(c) => request.header("last-event-id", c.to_string()),
        None => request,
    };
    let request =
        request.body(Full::<Bytes>::default()).map_err(|_| Disconnect::Lost("no request".into()))?;
    let answer = http::send(at, request).await.map_err(|error| Disconnect::Lost(error.to_string()))?;
    match answer.status().as_u16() {
        200 => Ok(answer.into_body()),
        GONE => Err(Disconnect::Forgotten("status 410".into())),
        other => Err(Disconnect::Lost(format!("status {other}"))),
    }
}

/// Applies an order to a subscriber, if it is among those that the order is for; why its connection ends, if it does.
fn apply_order(
    shared: &Shared,
    reader: &Reader<'_>,
    number: u64,
    order: SubscriberAction,
    slow: &mut f64,
) -> Option<Disconnect> {
    match order {
        SubscriberAction::Drop(share) if reader.among(share, number, shared.seed) => {
            Some(Disconnect::Lost("dropped".into()))
        }
        SubscriberAction::Hop(share) if reader.among(share, number, shared.seed) => Some(Disconnect::Hopped),
        SubscriberAction::Slow { share, bytes_s } if reader.among(share, number, shared.seed) => {
            *slow = bytes_s;
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

/// One connection, from its beginning to its end.
async fn read_stream(
    shared: &Shared,
    reader: &mut Reader<'_>,
    orders: &mut broadcast::Receiver<(u64, SubscriberAction)>,
    slow: &mut f64,
    manager: &str,
    at: SocketAddr,
) -> Disconnect {
    let mut body = match open_stream(reader, at).await {
        Ok(body) => body,
        Err(disconnect) => return disconnect,
    };
    shared.history.note(Event::SubscriberConnected {
        subscriber: reader.name.clone(),
        manager: manager.to_owned(),
        cursor: reader.cursor,
        version: reader.version.clone(),
        filter: reader.filter.clone(),
    });
    let mut stream = sse::Stream::default();
    let silent = Duration::from_secs_f64(shared.spec.silent_ms / 1e3);
    let leaves = reader.stay().map(|stay| Instant::now() + stay);
    let mut rests = Instant::now();
    loop {
        let next = async {
            sleep_until(rests.into()).await;
            timeout(silent, body.frame()).await
        };
        tokio::select! {
            frame = next => {
                let bytes = match frame_data(frame) {
                    Ok(bytes) => bytes,
                    Err(disconnect) => return disconnect,
                };
                if let Err(e) = read(shared, reader, &mut stream, manager, &bytes) {
                    return Disconnect::Lost(e.to_string());
                }
                rests = Instant::now() + pause(bytes.len(), *slow);
            }
            order = orders.recv() => {
                let Ok((number, order)) = order else { continue };
                if let Some(disconnect) = apply_order(shared, reader, number, order, slow) {
                    return disconnect;
                }
            }
            () = sleep_until(leaves.unwrap_or(rests + silent * 10).into()), if leaves.is_some() => return Disconnect::Hopped,
        }
    }
}

/// How long a subscriber takes for these bytes at its rate; a rate of 0 is no limit.
fn pause(bytes: usize, a_second: f64) -> Duration {
    match a_second > 0.0 {
        true => Duration::from_secs_f64((bytes as f64 / a_second).min(600.0)).max(Duration::from_micros(1)),
        false => Duration::ZERO,
    }
}

fn read(
    shared: &Shared,
    reader: &mut Reader<'_>,
    stream: &mut sse::Stream,
    manager: &str,
    bytes: &[u8],
) -> Result<(), StreamError> {
    for item in stream.push(bytes)? {
        let cursor = reader.cursor;
        for event in reader.take(manager, item)? {
            let mark = matches!(
                event,
                Event::Halted { .. } | Event::HaltLifted { .. } | Event::SchemaActivated { .. }
            );
            // A mark is noted where it is read first, by its record's place.
            let place = || format!("{:?} {:?}", reader.cursor.or(cursor), std::mem::discriminant(&event));
            let first = || {
                let mut marked = shared.marked.lock().unwrap_or_else(PoisonError::into_inner);
                marked.len() >= MAX_MARKED || marked.insert(place())
            };
            if !mark || first() {
                shared.history.note(event);
            }
        }
    }
    Ok(())
}
