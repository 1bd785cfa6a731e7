//! A stand-in engine that counts every connection and every thread put to work on it. It answers `do` with one
//! page after the work's time on its cores, shared by all that run; `ping` with `green`; what it cannot read
//! closes the connection, as the engines' wire says. Started cold it bears a share of its cores only, and what is
//! sent beyond the cold budget in one span pushes it over: it drops all connections and refuses for a while.
//!
//! Left out, and said in docs/design/cold-start.md: memory, pages, priorities, notes, data sets.

use crate::counted::Tally;
use crate::ledger::Ledger;
use crate::runtime;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

/// The longest part of a command that is read: far over any statement of the rig's.
const MOST_PART: usize = 1 << 20;
/// Parts of a command at most.
const MOST_PARTS: usize = 16;
/// Longest line of a command's head.
const MOST_LINE: u64 = 64;
/// Connections an engine holds at most.
const MOST_CONNECTIONS: usize = 5_000;
/// An engine that was pushed over refuses for so long.
const DOWN_FOR: Duration = Duration::from_secs(2);

/// What an engine is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spec {
    /// Its cores.
    pub cores: f64,
    /// Work of a light query (one thread), in seconds on one core.
    pub light: f64,
    /// Work of a load (two threads), in seconds on one core.
    pub heavy: f64,
    /// It starts cold: so many seconds to all of its cores. Zero: it is warm.
    pub cold_for: f64,
    /// Share of its cores that it starts with.
    pub start_share: f64,
    /// Work sent within `fall_span` over this multiple of what it can do in that span pushes it over while cold.
    pub fall_multiple: f64,
    /// In seconds.
    pub fall_span: f64,
}

impl Default for Spec {
    /// A warm engine of 8 cores that answers at once.
    fn default() -> Spec {
        Spec {
            cores: 8.0,
            light: 0.0,
            heavy: 0.0,
            cold_for: 0.0,
            start_share: 0.3,
            fall_multiple: 2.5,
            fall_span: 2.0,
        }
    }
}

/// What an engine knows of itself, with time as argument: its warmth, what runs, and when it falls over.
#[derive(Debug)]
pub struct Machine {
    spec: Spec,
    born: Instant,
    sent: VecDeque<(Instant, f64)>,
    threads: f64,
    queries: u32,
    /// Threads at work at most so far.
    pub most_threads: f64,
    down_until: Option<Instant>,
}

impl Machine {
    /// An engine that starts now.
    pub fn new(spec: Spec, now: Instant) -> Machine {
        Machine {
            spec,
            born: now,
            sent: VecDeque::new(),
            threads: 0.0,
            queries: 0,
            most_threads: 0.0,
            down_until: None,
        }
    }

    /// Share of its cores that it has by now.
    pub fn warmth(&self, now: Instant) -> f64 {
        if self.spec.cold_for <= 0.0 {
            return 1.0;
        }
        let age = now.saturating_duration_since(self.born).as_secs_f64() / self.spec.cold_for;
        self.spec.start_share + (1.0 - self.spec.start_share) * age.min(1.0)
    }

    /// Whether it is down after a fall.
    pub fn down(&self, now: Instant) -> bool {
        self.down_until.is_some_and(|t| now < t)
    }

    /// Takes a query of `work` seconds on `threads`: how long it runs, or `None` if this pushes it over.
    pub fn take(&mut self, now: Instant, work: f64, threads: f64) -> Option<Duration> {
        let span = Duration::from_secs_f64(self.spec.fall_span);
        while self.sent.front().is_some_and(|(t, _)| now.saturating_duration_since(*t) > span) {
            self.sent.pop_front();
        }
        self.sent.push_back((now, work));
        let warmth = self.warmth(now);
        let recent: f64 = self.sent.iter().map(|(_, w)| w).sum();
        let bears = self.spec.fall_multiple * warmth * self.spec.cores * self.spec.fall_span;
        if warmth < 1.0 && recent > bears {
            // It comes back as cold as it was at first.
            (self.down_until, self.born) = (Some(now + DOWN_FOR), now + DOWN_FOR);
            self.sent.clear();
            (self.threads, self.queries) = (0.0, 0);
            return None;
        }
        self.threads += threads;
        self.queries += 1;
        self.most_threads = self.most_threads.max(self.threads);
        let crowding = (self.threads / (self.spec.cores * warmth)).max(1.0);
        Some(Duration::from_secs_f64(work / threads.max(1.0) * crowding))
    }

    /// A query of so many threads has ended.
    pub fn release(&mut self, threads: f64) {
        self.threads = (self.threads - threads).max(0.0);
        self.queries = self.queries.saturating_sub(1);
    }

    /// Queries in hand: what load reports count.
    pub fn queries(&self) -> u32 {
        self.queries
    }

    /// Threads at work.
    pub fn threads(&self) -> f64 {
        self.threads
    }
}

struct Shared {
    number: usize,
    start: Instant,
    machine: Mutex<Machine>,
    dials: Tally,
    work: Tally,
    ledger: Ledger,
    connections: AtomicUsize,
    next: AtomicU64,
    /// Raised when all connections are to end: a fall, or the engine's end.
    ends: watch::Sender<u64>,
}

impl Shared {
    fn machine<T>(&self, f: impl FnOnce(&mut Machine) -> T) -> T {
        f(&mut self.machine.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// An engine, running on a port of its own until it is stopped or the process ends.
pub struct CountingEngine {
    /// Where it listens.
    pub address: SocketAddr,
    /// Every connection made to it, when it came.
    pub dials: Tally,
    /// Every `do`, when it came.
    pub work: Tally,
    shared: Arc<Shared>,
    listening: tokio::task::JoinHandle<()>,
}

impl CountingEngine {
    /// Starts one that answers at once, on a loopback port the kernel chooses.
    ///
    /// # Errors
    /// Those of binding a loopback port.
    pub fn start(start: Instant) -> std::io::Result<CountingEngine> {
        CountingEngine::start_as(Spec::default(), 0, Ledger::default(), start)
    }

    /// Starts engine `number` of a rig, which writes what reaches it in `ledger`.
    ///
    /// # Errors
    /// Those of binding a loopback port.
    pub fn start_as(
        spec: Spec,
        number: usize,
        ledger: Ledger,
        start: Instant,
    ) -> std::io::Result<CountingEngine> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            number,
            start,
            machine: Mutex::new(Machine::new(spec, Instant::now())),
            dials: Tally::default(),
            work: Tally::default(),
            ledger,
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
                if down || engine.connections.load(Ordering::Relaxed) >= MOST_CONNECTIONS {
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
        let (dials, work) = (shared.dials.clone(), shared.work.clone());
        Ok(CountingEngine { address, dials, work, shared, listening })
    }

    /// Ends it as a process dies: the port closes, every connection ends.
    pub fn stop(&self) {
        self.listening.abort();
        self.shared.ends.send_modify(|n| *n += 1);
    }

    /// It starts anew on its port, as a process does: cold, and every connection ends.
    pub fn restart_cold(&self, cold_for: f64) {
        self.shared.machine(|m| {
            let most = m.most_threads;
            *m = Machine::new(Spec { cold_for, ..m.spec }, Instant::now());
            m.most_threads = most;
        });
        self.shared.ends.send_modify(|n| *n += 1);
    }

    /// Threads at work at most so far.
    pub fn most_threads(&self) -> f64 {
        self.shared.machine(|m| m.most_threads)
    }

    /// Connections open now.
    pub fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::Relaxed)
    }
}

fn bulk(out: &mut Vec<u8>, part: &[u8]) {
    out.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
    out.extend_from_slice(part);
    out.extend_from_slice(b"\r\n");
}

fn array(parts: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", parts.len()).into_bytes();
    parts.iter().for_each(|p| bulk(&mut out, p));
    out
}

/// Reads the number of one head line (`*3`, `$12`); `None` at the end or on what cannot be read.
async fn number<R: AsyncBufReadExt + Unpin>(input: &mut R, mark: char, most: usize) -> Option<usize> {
    let mut line = Vec::new();
    input.take(MOST_LINE).read_until(b'\n', &mut line).await.ok()?;
    let text = std::str::from_utf8(&line).ok()?.trim_end().strip_prefix(mark)?;
    text.parse().ok().filter(|n| *n <= most)
}

/// Reads one RESP array of bulk strings; `None` at the end or on what cannot be read.
async fn command<R: AsyncBufReadExt + Unpin>(input: &mut R) -> Option<Vec<Vec<u8>>> {
    let n = number(input, '*', MOST_PARTS).await?;
    let mut parts = Vec::with_capacity(n);
    for _ in 0..n {
        let len = number(input, '$', MOST_PART).await?;
        let mut part = vec![0; len + 2];
        input.read_exact(&mut part).await.ok()?;
        part.truncate(len);
        parts.push(part);
    }
    Some(parts)
}

async fn connection(engine: &Arc<Shared>, stream: TcpStream) {
    let connection = engine.next.fetch_add(1, Ordering::Relaxed);
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
    let (engine, open, answers) = (Arc::clone(engine), Arc::clone(open), answers.clone());
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_cold_machine_falls_over_under_the_sum_and_a_warm_one_does_not() {
        let t = Instant::now();
        let cold = Spec { cold_for: 15.0, ..Spec::default() };
        let mut m = Machine::new(cold, t);
        // 2.5 x 0.3 x 8 cores x 2 s = 12 s of work in 2 s.
        assert!((0..12).all(|_| m.take(t, 1.0, 1.0).is_some()));
        assert!(m.take(t, 1.0, 1.0).is_none() && m.down(t) && !m.down(t + DOWN_FOR));
        let mut m = Machine::new(cold, t);
        assert!(
            (0..20).all(|s| m.take(t + Duration::from_secs(s), 5.0, 1.0).is_some()),
            "spread out it stands"
        );
        let mut warm = Machine::new(Spec::default(), t);
        assert!((0..500).all(|_| warm.take(t, 1.0, 1.0).is_some()));
    }

    #[test]
    fn what_runs_shares_the_cores() {
        let t = Instant::now();
        let mut m = Machine::new(Spec { cores: 2.0, ..Spec::default() }, t);
        let runs: Vec<f64> = (0..4).map(|_| m.take(t, 0.1, 1.0).expect("taken").as_secs_f64()).collect();
        assert_eq!(runs, [0.1, 0.1, 0.15, 0.2]);
        (0..4).for_each(|_| m.release(1.0));
        assert_eq!((m.threads(), m.most_threads), (0.0, 4.0));
    }
}
