//! A stand-in engine that counts every connection and every thread put to work on it. It answers `do` with one
//! page after the work's time on its cores, shared by all that run; `ping` with `green`; what it cannot read
//! closes the connection, as the engines' wire says. Started cold it bears a share of its cores only, and what is
//! sent beyond the cold budget in one span pushes it over: it drops all connections and refuses for a while.
//!
//! Left out, and said in docs/design/cold-start.md: memory, pages, priorities, notes, data sets.

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
use wire::{array, command};

/// Connections that an engine holds open; further ones are closed at once.
const MAX_CONNECTIONS: usize = 5_000;

struct Shared {
    number: usize,
    start: Instant,
    machine: Mutex<Machine>,
    dials: Counter,
    work: Counter,
    ledger: Ledger,
    history: Recorder,
    connections: AtomicUsize,
    next: AtomicU64,
    /// Raised when all connections are to end: a fall, or the engine's end.
    ends: watch::Sender<u64>,
}

impl Shared {
    fn name(&self) -> String {
        name_of(self.number)
    }

    fn machine<T>(&self, f: impl FnOnce(&mut Machine) -> T) -> T {
        f(&mut self.machine.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// The id of a rig's engine, by its number.
pub fn name_of(number: usize) -> String {
    format!("s-{number:04}")
}

/// An engine, running on a port of its own until it is stopped or the process ends.
pub struct CountingEngine {
    /// Where it listens.
    pub address: SocketAddr,
    /// Every connection made to it, when it came.
    pub dials: Counter,
    /// Every `do`, when it came.
    pub work: Counter,
    shared: Arc<Shared>,
    listening: tokio::task::JoinHandle<()>,
}

impl CountingEngine {
    /// Starts one that answers at once, on a loopback port the kernel chooses.
    ///
    /// # Errors
    /// Those of binding a loopback port.
    pub fn start(start: Instant) -> std::io::Result<CountingEngine> {
        CountingEngine::start_as(Spec::default(), 0, Ledger::default(), Recorder::default(), start)
    }

    /// Starts engine `number` of a rig, which writes what reaches it in `ledger` and in `history`.
    ///
    /// # Errors
    /// Those of binding a loopback port.
    pub fn start_as(
        spec: Spec,
        number: usize,
        ledger: Ledger,
        history: Recorder,
        start: Instant,
    ) -> std::io::Result<CountingEngine> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            number,
            start,
            machine: Mutex::new(Machine::new(spec, Instant::now())),
            dials: Counter::default(),
            work: Counter::default(),
            ledger,
            history,
            connections: AtomicUsize::new(0),
            next: AtomicU64::new(0),
            ends: watch::channel(0).0,
        });
        let engine = Arc::clone(&shared);
        let listening = runtime().spawn(async move {
            let Ok(listener) = TcpListener::from_std(listener) else { return };
            while let Ok((stream, _)) = listener.accept().await {
                engine.dials.note(engine.start);
                let down = engine.machine(|m| m.down(Instant::now()));
                if down || engine.connections.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
                    continue;
                }
                engine.connections.fetch_add(1, Ordering::Relaxed);
                let engine = Arc::clone(&engine);
                tokio::spawn(async move {
                    connection(&engine, stream).await;
                    engine.connections.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        let dials = shared.dials.clone();
        let work = shared.work.clone();
        Ok(CountingEngine { address, dials, work, shared, listening })
    }

    /// Ends it as a process dies: the port closes, every connection ends.
    pub fn stop(&self) {
        self.listening.abort();
        self.shared.ends.send_modify(|n| *n += 1);
    }

    /// Restarts it on its port: all connections end, and it is in slow start.
    pub fn restart_cold(&self, cold_for: f64) {
        self.shared.machine(|m| {
            let max_threads = m.max_threads;
            *m = Machine::new(Spec { cold_for, ..m.spec }, Instant::now());
            m.max_threads = max_threads;
        });
        self.shared.ends.send_modify(|n| *n += 1);
    }

    /// Threads at work at most so far.
    pub fn max_threads(&self) -> f64 {
        self.shared.machine(|m| m.max_threads)
    }

    /// Connections open now.
    pub fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::Relaxed)
    }
}

async fn connection(engine: &Arc<Shared>, stream: TcpStream) {
    let connection = engine.next.fetch_add(1, Ordering::Relaxed);
    engine.history.note_engine(|| Event::Connected { engine: engine.name(), connection });
    let _ = stream.set_nodelay(true);
    let (reader, mut writer) = stream.into_split();
    let (answers, mut outbox) = mpsc::unbounded_channel::<Vec<u8>>();
    // What is open here: its threads, and a switch that calls it off.
    let open: Arc<Mutex<BTreeMap<u64, f64>>> = Arc::default();
    let mut ends = engine.ends.subscribe();
    let mut input = BufReader::new(reader);
    let reading = async {
        while let Some(parts) = command(&mut input).await {
            let id = parts.get(1).and_then(|p| std::str::from_utf8(p).ok());
            let id = id.and_then(|t| u64::from_str_radix(t, 16).ok());
            engine.history.note_engine(|| Event::Command {
                engine: engine.name(),
                connection,
                word: parts.first().map_or(String::new(), |name| command_name(name)),
                manager: id.map(|id| format!("n{}", manager_of(id))),
            });
            match (parts.first().map(Vec::as_slice), id) {
                (Some(b"do"), Some(id)) if parts.len() == 4 => {
                    if !begin(engine, connection, id, &parts[2], &open, &answers) {
                        return;
                    }
                }
                (Some(b"undo"), Some(id)) => end(engine, connection, id, &open),
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
        _ = ends.changed() => {}
        () = async {
            while let Some(answer) = outbox.recv().await {
                if writer.write_all(&answer).await.is_err() {
                    return;
                }
            }
        } => {}
    }
    let left: Vec<u64> = open.lock().unwrap_or_else(PoisonError::into_inner).keys().copied().collect();
    left.iter().for_each(|id| end(engine, connection, *id, &open));
    engine.history.note_engine(|| Event::Disconnected { engine: engine.name(), connection });
}

/// A command's name as the history records it, cut after 16 bytes: longer than any name.
fn command_name(bytes: &[u8]) -> String {
    String::from_utf8_lossy(&bytes[..bytes.len().min(16)]).into_owned()
}

/// Ends what is open under an id on a connection, once.
fn end(engine: &Shared, connection: u64, id: u64, open: &Mutex<BTreeMap<u64, f64>>) {
    let threads = open.lock().unwrap_or_else(PoisonError::into_inner).remove(&id);
    if let Some(threads) = threads {
        engine.machine(|m| m.release(threads));
        engine.ledger.over(id, engine.number, connection);
    }
}

/// Takes a query: false if this pushed the engine over.
fn begin(
    engine: &Arc<Shared>,
    connection: u64,
    id: u64,
    fields: &[u8],
    open: &Arc<Mutex<BTreeMap<u64, f64>>>,
    answers: &mpsc::UnboundedSender<Vec<u8>>,
) -> bool {
    let now = Instant::now();
    engine.work.note(engine.start);
    engine.ledger.reached(id, engine.number, connection, now);
    let heavy = fields.windows(17).any(|w| w == b"class=tariff-load");
    let spec = engine.machine(|m| m.spec);
    let (work, threads) = if heavy { (spec.heavy, 2.0) } else { (spec.light, 1.0) };
    let Some(runs) = engine.machine(|m| m.take(now, work, threads)) else {
        engine.ledger.fell();
        engine.ledger.over(id, engine.number, connection);
        engine.ends.send_modify(|n| *n += 1);
        return false;
    };
    open.lock().unwrap_or_else(PoisonError::into_inner).insert(id, threads);
    let engine = Arc::clone(engine);
    let open = Arc::clone(open);
    let answers = answers.clone();
    tokio::spawn(async move {
        if runs > Duration::ZERO {
            sleep(runs).await;
        }
        if !open.lock().unwrap_or_else(PoisonError::into_inner).contains_key(&id) {
            return;
        }
        end(&engine, connection, id, &open);
        let left = engine.machine(|m| m.queries());
        let fields = format!("batches=1,cpu={:.1},used=1.0,stats=rif:{left}", work * 1e3);
        let name = format!("{id:016x}");
        let _ = answers.send(array(&[name.as_bytes(), b"served", fields.as_bytes(), b"a\tb\tc\n"]));
    });
    true
}
