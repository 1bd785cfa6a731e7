//! Stand-in subscribers: up to 300 connections for server-sent events over the managers' ports, each with a cursor of
//! its own. What they read goes into the history. [`reader`] and [`marks`] decide, [`sse`] reads, this file connects.

pub mod marks;
pub mod reader;
pub mod sse;

use crate::history::Recorder;
use crate::http;
use crate::runtime;
use crate::scenario::{Scenario, Subs, Subscribers as Spec};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::Request;
use reader::Reader;
use sprucelink_history_checker::event::Event;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::broadcast;
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
    /// What the marks have told already: each subscriber reads the same halt.
    marked: Mutex<BTreeSet<String>>,
}

/// All stand-in subscribers of a run; they end when this is dropped.
pub struct Subscribers {
    orders: broadcast::Sender<(u64, Subs)>,
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
                live(&shared, number, orders).await;
            })
        };
        let tasks = (0..count).map(one).collect();
        Subscribers { orders, given: 0, tasks }
    }

    /// Something happens to them.
    pub fn order(&mut self, what: Subs) {
        self.given += 1;
        // With nobody there nobody is told.
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
enum Over {
    /// It comes back to another manager after its backoff.
    Lost(String),
    /// It goes to another manager at once.
    Hopped,
    /// As lost, and its cursor is nothing any more.
    Forgotten(String),
}

async fn live(shared: &Shared, number: usize, mut orders: broadcast::Receiver<(u64, Subs)>) {
    let mut reader = Reader::new(&shared.spec, number, shared.seed);
    let mut slow = 0.0;
    let all = shared.managers.len();
    if all == 0 {
        return;
    }
    loop {
        let (manager, at) = shared.managers[reader.at % all].clone();
        let over = visit(shared, &mut reader, &mut orders, &mut slow, &manager, at).await;
        let (why, wait) = match over {
            Over::Lost(why) => (why, reader.wait()),
            Over::Hopped => ("left for another".into(), Duration::ZERO),
            Over::Forgotten(why) => {
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
async fn open_stream(reader: &Reader<'_>, at: SocketAddr) -> Result<Incoming, Over> {
    let request =
        Request::get(reader.path()).header("host", at.to_string()).header("accept", "text/event-stream");
    let request = match reader.cursor {
        Some(c) => request.header("last-event-id", c.to_string()),
        None => request,
    };
    let request = request.body(Full::<Bytes>::default()).map_err(|_| Over::Lost("no request".into()))?;
    let answer = http::send(at, request).await.map_err(|error| Over::Lost(error.to_string()))?;
    match answer.status().as_u16() {
        200 => Ok(answer.into_body()),
        GONE => Err(Over::Forgotten("status 410".into())),
        other => Err(Over::Lost(format!("status {other}"))),
    }
}

/// Applies an order to a subscriber, if it is among those that the order is for; why its connection ends, if it does.
fn apply_order(
    shared: &Shared,
    reader: &Reader<'_>,
    number: u64,
    order: Subs,
    slow: &mut f64,
) -> Option<Over> {
    match order {
        Subs::Drop(share) if reader.among(share, number, shared.seed) => Some(Over::Lost("dropped".into())),
        Subs::Hop(share) if reader.among(share, number, shared.seed) => Some(Over::Hopped),
        Subs::Slow { share, bytes_s } if reader.among(share, number, shared.seed) => {
            *slow = bytes_s;
            None
        }
        _ => None,
    }
}

/// One connection, from its beginning to its end.
async fn visit(
    shared: &Shared,
    reader: &mut Reader<'_>,
    orders: &mut broadcast::Receiver<(u64, Subs)>,
    slow: &mut f64,
    manager: &str,
    at: SocketAddr,
) -> Over {
    let mut body = match open_stream(reader, at).await {
        Ok(body) => body,
        Err(over) => return over,
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
                let bytes = match frame {
                    Err(_) => return Over::Lost("silent".into()),
                    Ok(None) => return Over::Lost("ended".into()),
                    Ok(Some(Err(e))) => return Over::Lost(format!("broken: {e}")),
                    Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                };
                if let Err(e) = read(shared, reader, &mut stream, manager, &bytes) {
                    return Over::Lost(e.to_string());
                }
                rests = Instant::now() + pause(bytes.len(), *slow);
            }
            order = orders.recv() => {
                let Ok((number, order)) = order else { continue };
                if let Some(over) = apply_order(shared, reader, number, order, slow) {
                    return over;
                }
            }
            () = sleep_until(leaves.unwrap_or(rests + silent * 10).into()), if leaves.is_some() => return Over::Hopped,
        }
    }
}

/// How long a reader of so many bytes a second takes for these.
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
