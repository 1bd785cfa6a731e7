//! Stand-in engines: they serve, shed, fail, hang, send malformed answers and reset connections, and report each attempt to the [`World`].

use crate::world::World;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
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

/// Longest command that is read.
const MAX_COMMAND_BYTES: usize = 256 * 1024;
/// Mean time that an engine takes for a request.
pub const MEAN_WORK: Duration = Duration::from_millis(40);

/// How an engine behaves from now on.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// It answers nothing until then.
    pub hangs_until: Instant,
    /// In 1,000 requests: answered as failed.
    pub failing: u32,
    /// In 1,000 requests: answered as shed.
    pub shedding: u32,
    /// In 1,000 answers: malformed, and followed by nothing.
    pub malformed: u32,
    /// In 1,000 requests: the connection is reset under it.
    pub resetting: u32,
    /// Connections with nothing open are closed after this.
    pub idle_close: Duration,
}

impl Default for Behaviour {
    fn default() -> Behaviour {
        Behaviour {
            hangs_until: Instant::now(),
            failing: 5,
            shedding: 10,
            malformed: 2,
            resetting: 2,
            idle_close: Duration::from_secs(4),
        }
    }
}

/// What the tasks of an engine share.
struct Shared {
    id: String,
    world: Arc<World>,
    behaviour: Mutex<Behaviour>,
    draws: AtomicU64,
    /// Changes when every connection is to be reset.
    resets: watch::Receiver<u64>,
}

/// A stand-in engine.
pub struct Engine {
    /// Its id in the list.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    resets: watch::Sender<u64>,
    accepting: JoinHandle<()>,
}

impl Engine {
    /// Starts an engine. `comes_up_after`: connections to it come up only then.
    ///
    /// # Errors
    /// No port, or no connections to fill its queue with.
    pub async fn start(
        id: &str,
        seed: u64,
        world: &Arc<World>,
        comes_up_after: Duration,
    ) -> io::Result<Engine> {
        let is_late = comes_up_after > Duration::ZERO;
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let listener = socket.listen(if is_late { 0 } else { 1_024 })?;
        let address = listener.local_addr()?;
        let filler = if is_late { fill_queue(address).await } else { Vec::new() };
        let (resets, watched) = watch::channel(0);
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            world: Arc::clone(world),
            behaviour: Mutex::new(Behaviour::default()),
            draws: AtomicU64::new(seed),
            resets: watched,
        });
        let accepting = tokio::spawn(accept(listener, filler, comes_up_after, Arc::clone(&shared)));
        Ok(Engine { id: id.to_owned(), address, shared, resets, accepting })
    }

    /// Changes its behaviour.
    pub fn behave(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.shared.behaviour.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Resets every connection.
    pub fn reset_connections(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    /// Ends it: its listener closes, and its connections are reset.
    pub fn stop(self) {
        self.accepting.abort();
        self.reset_connections();
    }
}

/// Connections that fill the queue of a listener, so that further ones do not come up.
async fn fill_queue(address: SocketAddr) -> Vec<TcpStream> {
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

/// What a request becomes.
#[derive(Clone, Copy)]
enum Reaction {
    Serve,
    Fail,
    Shed,
    SendMalformed,
    Reset,
}

impl Shared {
    fn draw(&self) -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(self.draws.fetch_add(1, Ordering::Relaxed))
    }

    fn behaviour(&self) -> Behaviour {
        self.behaviour.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn reaction(&self, rng: &mut ChaCha8Rng) -> Reaction {
        let behaviour = self.behaviour();
        let chances = [
            (behaviour.failing, Reaction::Fail),
            (behaviour.shedding, Reaction::Shed),
            (behaviour.malformed, Reaction::SendMalformed),
            (behaviour.resetting, Reaction::Reset),
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

/// An attempt on a connection.
struct OpenAttempt {
    number: u64,
    work: JoinHandle<()>,
}

/// What a worker hands to the writer of its connection.
enum Answer {
    Bytes { id: u64, number: u64, bytes: Vec<u8>, never_ran: bool },
    Reset,
}

/// Serves one connection to its end.
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
                Answer::Bytes { id, number, bytes, never_ran } => {
                    if open.remove(&id).is_none_or(|attempt| attempt.number != number) {
                        continue;
                    }
                    shared.world.attempt_ended(id, number, never_ran);
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
        shared.world.attempt_ended(id, attempt.number, false);
    }
    if must_reset {
        if let Ok(stream) = reader.reunite(writer) {
            let _ = stream.set_zero_linger();
        }
    }
}

/// Handles the complete commands of the input; false where it cannot be read.
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
                let Some(number) = shared.world.attempt_begun(&shared.id, id, wait) else { continue };
                let work = tokio::spawn(work(Arc::clone(shared), answers.clone(), id, number));
                open.insert(id, OpenAttempt { number, work });
            }
            ("undo", Some(id)) => {
                if let Some(attempt) = open.remove(&id) {
                    attempt.work.abort();
                    shared.world.attempt_ended(id, attempt.number, false);
                }
            }
            _ => {}
        }
    }
    input.len() <= MAX_COMMAND_BYTES
}

/// Does the work of a request and hands over its answer.
async fn work(shared: Arc<Shared>, answers: mpsc::UnboundedSender<Answer>, id: u64, number: u64) {
    let mut rng = shared.draw();
    let reaction = shared.reaction(&mut rng);
    let mut took = MEAN_WORK.mul_f64(-(1.0 - rng.gen::<f64>()).ln().min(5.0));
    if matches!(reaction, Reaction::Shed) {
        took = Duration::from_millis(1);
    }
    tokio::time::sleep(took).await;
    loop {
        let hangs_until = shared.behaviour().hangs_until;
        if hangs_until <= Instant::now() {
            break;
        }
        tokio::time::sleep_until(hangs_until.into()).await;
    }
    let name = format!("{id:016x}");
    let load = "stats=inflight:1;queue:0";
    let bytes = match reaction {
        Reaction::Serve => command(&[
            &name,
            "served",
            &format!("batches=1,cpu=40,used=8,{load}"),
            &format!("{name}\tb\tc\n"),
        ]),
        Reaction::Fail => command(&[&name, "crashed", load, ""]),
        Reaction::Shed => command(&[&name, "overload", load, ""]),
        Reaction::SendMalformed => {
            format!("*4\r\n$16\r\n{name}\r\n$6\r\nserved\r\n$9\r\nbatches=1\r\n$5000\r\nabc").into_bytes()
        }
        Reaction::Reset => {
            let _ = answers.send(Answer::Reset);
            return;
        }
    };
    let never_ran = matches!(reaction, Reaction::Shed);
    let _ = answers.send(Answer::Bytes { id, number, bytes, never_ran });
}

/// The value of a field in `name=value,name=value`.
fn field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    fields.split(',').filter_map(|pair| pair.split_once('=')).find(|pair| pair.0 == name).map(|pair| pair.1)
}

/// An array of bulk strings.
fn command(parts: &[&str]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        bytes.extend_from_slice(format!("${}\r\n{part}\r\n", part.len()).as_bytes());
    }
    bytes
}

/// The first complete command of the input, and its length.
fn parse_command(input: &[u8]) -> Option<(Vec<String>, usize)> {
    let mut at = 0;
    let count = parse_number(input, &mut at)?;
    let mut parts = Vec::new();
    for _ in 0..count {
        let length = parse_number(input, &mut at)?;
        let body = input.get(at..at + length)?;
        input.get(at + length..at + length + 2)?;
        parts.push(String::from_utf8_lossy(body).into_owned());
        at += length + 2;
    }
    (!parts.is_empty()).then_some((parts, at))
}

/// The number on a line that begins with a mark, such as `*4`.
fn parse_number(input: &[u8], at: &mut usize) -> Option<usize> {
    let line_length = input.get(*at..)?.iter().position(|byte| *byte == b'\r')?;
    let text = std::str::from_utf8(input.get(*at + 1..*at + line_length)?).ok()?;
    input.get(*at + line_length + 1)?;
    *at += line_length + 2;
    text.parse().ok()
}
