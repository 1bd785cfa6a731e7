//! A stand-in engine that counts every connection and every thread of work sent to it. It answers `do` with
//! one page after the time that the work takes on its cores, which all running queries share, and `ping` with
//! `green`; a command that it cannot read closes the connection, as in the engines' protocol. A cold engine
//! starts with a fraction of its cores, and falls over if more work than its cold budget is sent within one
//! span: it drops all connections and refuses new ones for a while.
//!
//! Not simulated (see docs/design/cold-start.md): memory, pages, priorities, progress notes, data sets.

mod machine;
mod wire;

pub use machine::{Machine, Spec};

use crate::counter::Counter;
use crate::history::Recorder;
use crate::ledger::{manager_of, Ledger};
use crate::runtime;
use sprucelink_history_checker::event::Event;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;
use wire::{array, read_command};

/// Maximum number of open connections of an engine; further ones are closed at once.
const MAX_CONNECTIONS: usize = 5_000;

struct Shared {
    /// Index of the engine in the run.
    index: usize,
    start: Instant,
    machine: Mutex<Machine>,
    dials: Counter,
    work: Counter,
    ledger: Ledger,
    history: Recorder,
    connections: AtomicUsize,
    next_connection: AtomicU64,
    /// Incremented to end all connections, when the engine falls over, restarts or stops.
    disconnects: watch::Sender<u64>,
}

impl Shared {
    fn id(&self) -> String {
        engine_id(self.index)
    }

    fn machine<T>(&self, f: impl FnOnce(&mut Machine) -> T) -> T {
        f(&mut self.machine.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// The id of an engine, by its index in the run.
pub fn engine_id(index: usize) -> String {
    format!("s-{index:04}")
}

/// A running engine, which listens on a port of its own until it is stopped or the process ends.
pub struct CountingEngine {
    /// Address on which the engine listens.
    pub address: SocketAddr,
    /// Connections to the engine, including refused ones.
    pub dials: Counter,
    /// Commands `do` that the engine received: one for each attempt.
    pub work: Counter,
    shared: Arc<Shared>,
    listening: tokio::task::JoinHandle<()>,
}

impl CountingEngine {
    /// Starts a warm engine that answers at once, on a loopback port that the kernel chooses; times are
    /// counted from `start`.
    ///
    /// # Errors
    /// If a loopback port can't be bound.
    pub fn start(start: Instant) -> std::io::Result<CountingEngine> {
        CountingEngine::start_as(Spec::default(), 0, Ledger::default(), Recorder::default(), start)
    }

    /// Starts the engine of this index in a run; it records the attempts that reach it in `ledger` and its
    /// connections and commands in `history`.
    ///
    /// # Errors
    /// If a loopback port can't be bound.
    pub fn start_as(
        spec: Spec,
        index: usize,
        ledger: Ledger,
        history: Recorder,
        start: Instant,
    ) -> std::io::Result<CountingEngine> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            index,
            start,
            machine: Mutex::new(Machine::new(spec, Instant::now())),
            dials: Counter::default(),
            work: Counter::default(),
            ledger,
            history,
            connections: AtomicUsize::new(0),
            next_connection: AtomicU64::new(0),
            disconnects: watch::channel(0).0,
        });
        let engine = Arc::clone(&shared);
        let listening = runtime().spawn(async move {
            let Ok(listener) = TcpListener::from_std(listener) else { return };
            while let Ok((stream, _)) = listener.accept().await {
                engine.dials.record(engine.start);
                let down = engine.machine(|m| m.is_down(Instant::now()));
                if down || engine.connections.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
                    continue;
                }
                engine.connections.fetch_add(1, Ordering::Relaxed);
                let engine = Arc::clone(&engine);
                tokio::spawn(async move {
                    serve_connection(&engine, stream).await;
                    engine.connections.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        let dials = shared.dials.clone();
        let work = shared.work.clone();
        Ok(CountingEngine { address, dials, work, shared, listening })
    }

    /// Stops the engine as if its process had died: the port and all connections are closed.
    pub fn stop(&self) {
        self.listening.abort();
        self.shared.disconnects.send_modify(|n| *n += 1);
    }

    /// Restarts the engine on its port: all connections end, and a slow start of `cold_for` seconds begins.
    pub fn restart_cold(&self, cold_for: f64) {
        self.shared.machine(|m| {
            let max_threads = m.max_threads;
            *m = Machine::new(Spec { cold_for, ..m.spec }, Instant::now());
            m.max_threads = max_threads;
        });
        self.shared.disconnects.send_modify(|n| *n += 1);
    }

    /// Highest number of threads at work at a time so far.
    pub fn max_threads(&self) -> f64 {
        self.shared.machine(|m| m.max_threads)
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::Relaxed)
    }
}

async fn serve_connection(engine: &Arc<Shared>, stream: TcpStream) {
    let connection = engine.next_connection.fetch_add(1, Ordering::Relaxed);
    engine.history.record_engine(|| Event::Connected { engine: engine.id(), connection });
    let _ = stream.set_nodelay(true);
    let (reader, mut writer) = stream.into_split();
    let (answers, mut outbox) = mpsc::unbounded_channel::<Vec<u8>>();
    // Threads of the queries in flight on this connection, by request id; removing an entry cancels its
    // query.
    let in_flight: Arc<Mutex<BTreeMap<u64, f64>>> = Arc::default();
    let mut disconnects = engine.disconnects.subscribe();
    let mut input = BufReader::new(reader);
    let reading = async {
        while let Some(parts) = read_command(&mut input).await {
            let id = parts.get(1).and_then(|p| std::str::from_utf8(p).ok());
            let id = id.and_then(|t| u64::from_str_radix(t, 16).ok());
            engine.history.record_engine(|| Event::Command {
                engine: engine.id(),
                connection,
                word: parts.first().map_or(String::new(), |name| command_name(name)),
                manager: id.map(|id| format!("n{}", manager_of(id))),
            });
            match (parts.first().map(Vec::as_slice), id) {
                (Some(b"do"), Some(id)) if parts.len() == 4 => {
                    if !start_query(engine, connection, id, &parts[2], &in_flight, &answers) {
                        return;
                    }
                }
                (Some(b"undo"), Some(id)) => end_query(engine, connection, id, &in_flight),
                (Some(b"ping"), _) if parts.len() >= 2 => {
                    let _ = answers.send(array(&[&parts[1], b"green", b"-"]));
                }
                (Some(b"bump" | b"forget"), _) => {}
                _ => return,
            }
        }
    };
    tokio::select! {
        () = reading => {}
        _ = disconnects.changed() => {}
        () = async {
            while let Some(answer) = outbox.recv().await {
                if writer.write_all(&answer).await.is_err() {
                    return;
                }
            }
        } => {}
    }
    let remaining: Vec<u64> =
        in_flight.lock().unwrap_or_else(PoisonError::into_inner).keys().copied().collect();
    remaining.iter().for_each(|id| end_query(engine, connection, *id, &in_flight));
    engine.history.record_engine(|| Event::Disconnected { engine: engine.id(), connection });
}

/// A command's name as the history records it, cut after 16 bytes, which is longer than any valid name.
fn command_name(bytes: &[u8]) -> String {
    String::from_utf8_lossy(&bytes[..bytes.len().min(16)]).into_owned()
}

/// Ends a connection's query with this request id, if it is in flight. Called when the query is answered or
/// cancelled, and when the connection ends.
fn end_query(engine: &Shared, connection: u64, id: u64, in_flight: &Mutex<BTreeMap<u64, f64>>) {
    let threads = in_flight.lock().unwrap_or_else(PoisonError::into_inner).remove(&id);
    if let Some(threads) = threads {
        engine.machine(|m| m.release(threads));
        engine.ledger.record_end(id, engine.index, connection);
    }
}

/// Starts a query, and answers it when its run time is over; false if it made the engine fall over.
fn start_query(
    engine: &Arc<Shared>,
    connection: u64,
    id: u64,
    fields: &[u8],
    in_flight: &Arc<Mutex<BTreeMap<u64, f64>>>,
    answers: &mpsc::UnboundedSender<Vec<u8>>,
) -> bool {
    let now = Instant::now();
    engine.work.record(engine.start);
    engine.ledger.record_attempt(id, engine.index, connection, now);
    let heavy = fields.windows(17).any(|w| w == b"class=tariff-load");
    let spec = engine.machine(|m| m.spec);
    let (work, threads) = if heavy { (spec.heavy, 2.0) } else { (spec.light, 1.0) };
    let Some(run_time) = engine.machine(|m| m.start_query(now, work, threads)) else {
        engine.ledger.record_fall();
        engine.ledger.record_end(id, engine.index, connection);
        engine.disconnects.send_modify(|n| *n += 1);
        return false;
    };
    in_flight.lock().unwrap_or_else(PoisonError::into_inner).insert(id, threads);
    let engine = Arc::clone(engine);
    let in_flight = Arc::clone(in_flight);
    let answers = answers.clone();
    tokio::spawn(async move {
        if run_time > Duration::ZERO {
            sleep(run_time).await;
        }
        if !in_flight.lock().unwrap_or_else(PoisonError::into_inner).contains_key(&id) {
            return;
        }
        end_query(&engine, connection, id, &in_flight);
        let queries = engine.machine(|m| m.queries());
        let fields = format!("batches=1,cpu={:.1},used=1.0,stats=rif:{queries}", work * 1e3);
        let name = format!("{id:016x}");
        let _ = answers.send(array(&[name.as_bytes(), b"served", fields.as_bytes(), b"a\tb\tc\n"]));
    });
    true
}
