//! Stand-in engines: they serve, shed, fail, hang, send malformed answers and reset connections, and report
//! the start and end of each attempt to the [`World`].

use crate::world::World;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sprucelink_float_math::ln;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

/// Maximum length of an incomplete command; a connection that exceeds it is closed.
const MAX_COMMAND_BYTES: usize = 256 * 1024;
/// Mean service time of a request.
pub const MEAN_WORK: Duration = Duration::from_millis(40);

/// Faults of a stand-in engine: how often each occurs, and when idle connections are closed.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Time until which the engine sends no answer.
    pub hangs_until: Instant,
    /// Requests per 1,000 that are answered as failed.
    pub failed_per_mille: u32,
    /// Requests per 1,000 that are answered as shed.
    pub shed_per_mille: u32,
    /// Requests per 1,000 whose answer is truncated, so that no other answer can be read on the connection.
    pub malformed_per_mille: u32,
    /// Requests per 1,000 whose connection is reset before the answer.
    pub reset_per_mille: u32,
    /// Time after which a connection without an open request is closed.
    pub idle_close: Duration,
}

impl Default for Behaviour {
    fn default() -> Behaviour {
        Behaviour {
            hangs_until: Instant::now(),
            failed_per_mille: 5,
            shed_per_mille: 10,
            malformed_per_mille: 2,
            reset_per_mille: 2,
            idle_close: Duration::from_secs(4),
        }
    }
}

/// State shared by the tasks of an engine.
struct Shared {
    id: String,
    world: Arc<World>,
    behaviour: Mutex<Behaviour>,
    /// Seed of the next request's random numbers.
    next_seed: AtomicU64,
    /// Its value changes when all connections must be reset.
    resets: watch::Receiver<u64>,
}

/// A stand-in engine.
pub struct Engine {
    /// Id in the endpoint list.
    pub id: String,
    /// Address that the engine listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    resets: watch::Sender<u64>,
    accept_task: JoinHandle<()>,
}

impl Engine {
    /// Starts an engine that reports its attempts to `world`. Connections to it are established only after
    /// `accept_delay`. `seed` selects the random numbers of its requests.
    ///
    /// # Errors
    /// Fails if the listener cannot be created.
    pub async fn start(
        id: &str,
        seed: u64,
        world: &Arc<World>,
        accept_delay: Duration,
    ) -> io::Result<Engine> {
        let is_delayed = accept_delay > Duration::ZERO;
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let listener = socket.listen(if is_delayed { 0 } else { 1_024 })?;
        let address = listener.local_addr()?;
        let filler = if is_delayed { fill_accept_queue(address).await } else { Vec::new() };
        let (resets, reset_receiver) = watch::channel(0);
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            world: Arc::clone(world),
            behaviour: Mutex::new(Behaviour::default()),
            next_seed: AtomicU64::new(seed),
            resets: reset_receiver,
        });
        let accept_task = tokio::spawn(accept(listener, filler, accept_delay, Arc::clone(&shared)));
        Ok(Engine { id: id.to_owned(), address, shared, resets, accept_task })
    }

    /// Changes the behaviour of requests that arrive later. `hangs_until` also delays the requests in flight.
    pub fn change_behaviour(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.shared.behaviour.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Resets every connection.
    pub fn reset_connections(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    /// Stops the engine: closes its listener and resets its connections.
    pub fn stop(self) {
        self.accept_task.abort();
        self.reset_connections();
    }
}

/// Opens connections until the accept queue of a listener is full, so that no further connection is
/// established.
async fn fill_accept_queue(address: SocketAddr) -> Vec<TcpStream> {
    let mut filler = Vec::new();
    while filler.len() < 16 {
        let dial = tokio::time::timeout(Duration::from_millis(50), TcpStream::connect(address));
        match dial.await {
            Ok(Ok(stream)) => filler.push(stream),
            _ => break,
        }
    }
    filler
}

async fn accept(listener: TcpListener, filler: Vec<TcpStream>, delay: Duration, shared: Arc<Shared>) {
    tokio::time::sleep(delay).await;
    drop(filler);
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, Arc::clone(&shared)));
        }
    }
}

/// How an engine answers a request.
#[derive(Clone, Copy)]
enum Reaction {
    Serve,
    Fail,
    Shed,
    SendMalformed,
    Reset,
}

impl Shared {
    fn next_rng(&self) -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(self.next_seed.fetch_add(1, Ordering::Relaxed))
    }

    fn behaviour(&self) -> Behaviour {
        self.behaviour.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn reaction(&self, rng: &mut ChaCha8Rng) -> Reaction {
        let behaviour = self.behaviour();
        let chances = [
            (behaviour.failed_per_mille, Reaction::Fail),
            (behaviour.shed_per_mille, Reaction::Shed),
            (behaviour.malformed_per_mille, Reaction::SendMalformed),
            (behaviour.reset_per_mille, Reaction::Reset),
        ];
        let mut drawn = rng.gen_range(0..1_000);
        for (chance, reaction) in chances {
            if drawn < chance {
                return reaction;
            }
            drawn -= chance;
        }
        Reaction::Serve
    }
}

/// An attempt in flight on a connection.
struct OpenAttempt {
    attempt_id: u64,
    work: JoinHandle<()>,
}

/// Result that a worker task sends to the task of its connection.
enum Answer {
    Bytes { request_id: u64, attempt_id: u64, bytes: Vec<u8>, never_ran: bool },
    Reset,
}

/// Serves one connection until it ends.
async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let _ = stream.set_nodelay(true);
    let mut resets = shared.resets.clone();
    resets.mark_unchanged();
    let (mut reader, mut writer) = stream.into_split();
    let (answers, mut finished) = mpsc::unbounded_channel();
    let mut open: HashMap<u64, OpenAttempt> = HashMap::new();
    let mut input = Vec::new();
    let mut must_reset = false;
    loop {
        let idle_close = shared.behaviour().idle_close;
        tokio::select! {
            read = reader.read_buf(&mut input) => {
                if !matches!(read, Ok(count) if count > 0) || !handle_input(&mut input, &shared, &answers, &mut open) {
                    break;
                }
            }
            Some(answer) = finished.recv() => match answer {
                Answer::Bytes { request_id, attempt_id, bytes, never_ran } => {
                    if open.remove(&request_id).is_none_or(|attempt| attempt.attempt_id != attempt_id) {
                        continue;
                    }
                    shared.world.attempt_ended(request_id, attempt_id, never_ran);
                    if writer.write_all(&bytes).await.is_err() {
                        break;
                    }
                }
                Answer::Reset => { must_reset = true; break; }
            },
            _ = resets.changed() => { must_reset = true; break; }
            () = tokio::time::sleep(idle_close), if open.is_empty() => break,
        }
    }
    for (id, attempt) in open {
        attempt.work.abort();
        shared.world.attempt_ended(id, attempt.attempt_id, false);
    }
    if must_reset {
        if let Ok(stream) = reader.reunite(writer) {
            let _ = stream.set_zero_linger();
        }
    }
}

/// Handles and removes the complete commands of the input. Returns false if the incomplete command after them
/// exceeds [`MAX_COMMAND_BYTES`].
fn handle_input(
    input: &mut Vec<u8>,
    shared: &Arc<Shared>,
    answers: &mpsc::UnboundedSender<Answer>,
    open: &mut HashMap<u64, OpenAttempt>,
) -> bool {
    while let Some((parts, length)) = parse_command(input) {
        input.drain(..length);
        let id = parts.get(1).and_then(|text| u64::from_str_radix(text, 16).ok());
        match (parts[0].as_str(), id) {
            ("do", Some(id)) if parts.len() >= 4 => {
                let wait = field(&parts[2], "wait").and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait = Duration::from_millis(wait);
                let Some(attempt_id) = shared.world.attempt_started(&shared.id, id, wait) else { continue };
                let work = tokio::spawn(work(Arc::clone(shared), answers.clone(), id, attempt_id));
                open.insert(id, OpenAttempt { attempt_id, work });
            }
            ("undo", Some(id)) => {
                if let Some(attempt) = open.remove(&id) {
                    attempt.work.abort();
                    shared.world.attempt_ended(id, attempt.attempt_id, false);
                }
            }
            _ => {}
        }
    }
    input.len() <= MAX_COMMAND_BYTES
}

/// Simulates the work of a request and sends its answer to the connection.
async fn work(shared: Arc<Shared>, answers: mpsc::UnboundedSender<Answer>, request_id: u64, attempt_id: u64) {
    let mut rng = shared.next_rng();
    let reaction = shared.reaction(&mut rng);
    let mut service_time = MEAN_WORK.mul_f64(-ln(1.0 - rng.gen::<f64>()).min(5.0));
    if matches!(reaction, Reaction::Shed) {
        service_time = Duration::from_millis(1);
    }
    tokio::time::sleep(service_time).await;
    loop {
        let hangs_until = shared.behaviour().hangs_until;
        if hangs_until <= Instant::now() {
            break;
        }
        tokio::time::sleep_until(hangs_until.into()).await;
    }
    let name = format!("{request_id:016x}");
    let load = "stats=inflight:1;queue:0";
    let bytes = match reaction {
        Reaction::Serve => encode_array(&[
            &name,
            "served",
            &format!("batches=1,cpu=40,used=8,{load}"),
            &format!("{name}\tb\tc\n"),
        ]),
        Reaction::Fail => encode_array(&[&name, "crashed", load, ""]),
        Reaction::Shed => encode_array(&[&name, "overload", load, ""]),
        Reaction::SendMalformed => {
            format!("*4\r\n$16\r\n{name}\r\n$6\r\nserved\r\n$9\r\nbatches=1\r\n$5000\r\nabc").into_bytes()
        }
        Reaction::Reset => {
            let _ = answers.send(Answer::Reset);
            return;
        }
    };
    let never_ran = matches!(reaction, Reaction::Shed);
    let _ = answers.send(Answer::Bytes { request_id, attempt_id, bytes, never_ran });
}

/// Value of a field in a list such as `name=value,name=value`.
fn field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    fields.split(',').filter_map(|pair| pair.split_once('=')).find(|pair| pair.0 == name).map(|pair| pair.1)
}

/// Encodes an array of bulk strings.
fn encode_array(parts: &[&str]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        bytes.extend_from_slice(format!("${}\r\n{part}\r\n", part.len()).as_bytes());
    }
    bytes
}

/// Parses the first command of the input and returns its parts and its length; `None` if it is incomplete.
fn parse_command(input: &[u8]) -> Option<(Vec<String>, usize)> {
    let mut offset = 0;
    let count = parse_number(input, &mut offset)?;
    let mut parts = Vec::new();
    for _ in 0..count {
        let length = parse_number(input, &mut offset)?;
        let body = input.get(offset..offset + length)?;
        input.get(offset + length..offset + length + 2)?;
        parts.push(String::from_utf8_lossy(body).into_owned());
        offset += length + 2;
    }
    (!parts.is_empty()).then_some((parts, offset))
}

/// Parses the number on a line with a one-byte prefix, such as `*4`, and advances `offset` past the line.
fn parse_number(input: &[u8], offset: &mut usize) -> Option<usize> {
    let line_length = input.get(*offset..)?.iter().position(|byte| *byte == b'\r')?;
    let text = std::str::from_utf8(input.get(*offset + 1..*offset + line_length)?).ok()?;
    input.get(*offset + line_length + 1)?;
    *offset += line_length + 2;
    text.parse().ok()
}
