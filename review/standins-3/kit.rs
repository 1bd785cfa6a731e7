//! Stand-ins of clients, engines and the control feed, and the start of workload managers. They speak what
//! PROTOCOL says, and behave like sound clients, engines and platforms unless a case tells them otherwise.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn prctl(option: i32, argument: u64, a: u64, b: u64, c: u64) -> i32;
}

pub type Failure = Box<dyn std::error::Error + Send + Sync>;
pub type Outcome<T> = Result<T, Failure>;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The record of a case: what was sent, answered and run, each line with the seconds since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Outcome<Record> {
        Ok(Record { file: Arc::new(Mutex::new(File::create(path)?)), start: Instant::now() })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.start.elapsed().as_secs_f64(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// Numbers that differ from run to run; no case depends on their values.
pub fn random() -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |d| d.as_nanos() as u64);
    let _ = STATE.compare_exchange(0, seed | 1, Ordering::SeqCst, Ordering::SeqCst);
    let mut x = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::SeqCst);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

pub fn new_id() -> String {
    format!("{:016x}", random())
}

/// A temporary folder, removed at the end. `run-case.sh` says where: in memory if it can, because the platform keeps
/// TMPDIR in memory.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Outcome<Folder> {
        let place = std::env::var_os("CASE_TMP").map_or_else(std::env::temp_dir, PathBuf::from);
        let path = place.join(format!("review-3-{}-{:08x}", std::process::id(), random() as u32));
        fs::create_dir(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

// ---------------------------------------------------------------------------------------------- managers

/// The settings of a small deployment: the classes and figures of `fret-main`, and `ledger-load` of the second
/// deployment, which must never run twice.
const SETTINGS: &str = r#"{"kindOfService":"queries","zones":["hall-a","hall-b"],"az":0,"shapes":["std-12"],
 "siblings":2,"position":0,"discovery":"push","stage":0,"tick":0.005,"tiers":["query-fleet"],"weights":"rough",
 "worthBy":"request","overShareWorth":0.05,"clients":{"marksRetry":true},
 "goal":{"whole":0.45,"worstClass":0.2,"worstTenant":0.25,"worstWindow":0.1},
 "profiles":[
  {"name":"lane-rate","value":1.0,"aim":1.2,"aimStretch":2.0,"deadline":6.0,"effect":"read_like","dedupScope":"all","repeatWindow":5.0,"lateWorth":0.0,"streamed":false},
  {"name":"lane-report","value":8.0,"aim":1.5,"aimStretch":2.5,"deadline":25.0,"effect":"read_like","dedupScope":"all","repeatWindow":5.0,"lateWorth":0.4,"streamed":false},
  {"name":"tariff-load","value":5.0,"aim":4.0,"aimStretch":2.5,"deadline":25.0,"effect":"idempotency_key","dedupScope":"all","repeatWindow":15.0,"lateWorth":0.6,"streamed":false},
  {"name":"ledger-load","value":4.0,"aim":3.0,"aimStretch":2.5,"deadline":25.0,"effect":"non_idempotent","dedupScope":"all","repeatWindow":15.0,"lateWorth":0.5,"streamed":false}],
 "customers":[{"name":"sud-transport","portion":0.77,"quotaPerS":79.0},{"name":"nord-fret","portion":0.23,"quotaPerS":24.0}],
 "specifics":{"classThreads":[1,3,2,2],"loads":[false,false,true,true],"yieldsToLoads":[true,true,false,false],"sizeCores":[12],
  "ramOfKindMb":[24576.0],"maxGrantShare":0.4,"takesGrants":true,"priorities":true,"tellsCost":true,"memoryShort":"swap","progressPace":1.0},
 "limits":{"cancel":true,"maxAttempts":6,"maxRetryAfter":2.0,"maxStreams":32,"connIdle":15.0,"connectTimeout":0.25,
  "probes":false,"peers":false,"retryAfter":false,"secondCopies":false,"maxOpen":26240},
 "loadReport":{"via":"piggyback","fields":["rif","q","x1","x0"]},
 "prices":{"probe":0.0,"crossZone":0.04,"handshake":0.0,"lateFail":0.035,"waste":0.028},
 "invariants":{"budgetShare":0.1,"freeResends":3.0,"ratioSpan":5.0,"drainGrace":0.5,"fallMultiple":2.5,
  "overloadFor":2.0,"startCapacity":0.3,"cold":15.0,"graceToAnswer":0.02}}"#;

pub fn entry(id: &str, address: &str, phase: &str) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"hall-a","flavor":"std-12","cell":0,"phase":"{phase}","size":12,"up_since_ms":0}}"#
    )
}

pub fn event(number: u64, complete: bool, entries: &[String]) -> String {
    let entries = entries.join(",");
    format!(r#"{{"n":{number},"members":{{"revision":{number},"complete":{complete},"members":[{entries}]}}}}"#)
}

/// What a workload manager is started with.
pub struct Site<'a> {
    pub entries: Vec<String>,
    pub feed: String,
    pub port: u16,
    pub tmp: &'a Folder,
}

/// A workload manager: one process, started with the command `run` of the deploy file.
pub struct Manager {
    child: Child,
    _files: Folder,
}

fn run_command() -> Outcome<String> {
    let text = fs::read_to_string("deploy/balancer.toml")?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = ")).ok_or("no run in the deploy file")?;
    Ok(line.trim().trim_matches('"').to_owned())
}

pub fn free_port() -> Outcome<u16> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.port())
}

/// Process ids of all workload managers that were started, to end them if a case hangs.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends every workload manager that was started and is still alive.
pub fn end_all() {
    for id in STARTED.lock().unwrap().drain(..) {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -KILL {id}")).stderr(Stdio::null()).status();
    }
}

impl Manager {
    pub fn start(site: &Site) -> Outcome<Manager> {
        let files = Folder::create()?;
        let listen = format!("127.0.0.1:{}", site.port);
        let known = event(1, true, &site.entries);
        let config = format!(
            r#"{{"name":"n1","listen":"{listen}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"feed":"{}","known":{{"n":1,"events":[{known}]}},"settings":{SETTINGS}}}"#,
            random() >> 1,
            site.feed
        );
        let path = files.0.join("config.json");
        fs::write(&path, config)?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(format!("ulimit -n 1024; {}", run_command()?)).stdin(Stdio::null());
        command.env("EDGE_NAME", "n1").env("EDGE_LISTEN", &listen).env("EDGE_CONFIG", &path).env("TMPDIR", &site.tmp.0);
        // It ends with this process, however that ends: PR_SET_PDEATHSIG with SIGKILL.
        // SAFETY: prctl may be called between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(1, 9, 0, 0, 0);
                Ok(())
            });
        }
        let log = File::create(files.0.join("log"))?;
        command.stdout(log.try_clone()?).stderr(log);
        let child = command.spawn()?;
        STARTED.lock().unwrap().push(child.id());
        Ok(Manager { child, _files: files })
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Manager {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|id| *id != self.child.id());
    }
}

/// Waits as the platform's front does: until an empty query is answered with EmptyQueryResponse.
pub fn wait_until_ready(port: u16) -> Outcome<()> {
    let end = Instant::now() + ms(10_000);
    while Instant::now() < end {
        if let Ok(mut client) = Client::connect(port) {
            if matches!(client.query(""), Ok(Answer::Empty)) {
                return Ok(());
            }
        }
        thread::sleep(ms(20));
    }
    Err("the workload manager was not ready within 10 s".into())
}

// ----------------------------------------------------------------------------------------------- clients

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(Vec<Vec<String>>),
    Empty,
    Refused(String),
    Failed(String),
}

impl Answer {
    pub fn is_served(&self) -> bool {
        matches!(self, Answer::Served(_))
    }
}

pub struct Client {
    stream: TcpStream,
    input: Vec<u8>,
    is_started: bool,
    key: Option<[u8; 8]>,
}

fn query_message(text: &str) -> Vec<u8> {
    let mut message = vec![b'Q'];
    message.extend_from_slice(&(text.len() as u32 + 5).to_be_bytes());
    message.extend_from_slice(text.as_bytes());
    message.push(0);
    message
}

/// A request in the form of PROTOCOL.
pub fn request(id: &str, kind: &str, timeout_ms: u64, work_ms: u64, statement: &str) -> String {
    format!("/* kind={kind},req={id},timeout={timeout_ms},owner=sud-transport,ms={work_ms}.0,heap_mb=96 */ {statement}")
}

impl Client {
    pub fn connect(port: u16) -> io::Result<Client> {
        let mut stream = TcpStream::connect(("127.0.0.1", port))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ms(30_000)))?;
        let body = b"\x00\x03\x00\x00user\0app\0database\0core\0\0";
        let mut packet = (body.len() as u32 + 4).to_be_bytes().to_vec();
        packet.extend_from_slice(body);
        stream.write_all(&packet)?;
        Ok(Client { stream, input: Vec::new(), is_started: false, key: None })
    }

    /// The longest time that [`Client::answer`] waits for further bytes.
    pub fn set_patience(&self, patience: Duration) -> io::Result<()> {
        self.stream.set_read_timeout(Some(patience))
    }

    /// Writes requests behind one another, in one piece.
    pub fn send_all(&mut self, texts: &[String]) -> io::Result<()> {
        let bytes: Vec<u8> = texts.iter().flat_map(|text| query_message(text)).collect();
        self.stream.write_all(&bytes)
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(&query_message(text))
    }

    fn message(&mut self) -> io::Result<(u8, Vec<u8>)> {
        loop {
            if self.input.len() >= 5 {
                let length = u32::from_be_bytes(self.input[1..5].try_into().unwrap()) as usize;
                if self.input.len() > length {
                    let rest = self.input.split_off(length + 1);
                    let message = std::mem::replace(&mut self.input, rest);
                    return Ok((message[0], message[5..].to_vec()));
                }
            }
            let mut bytes = [0; 65_536];
            match self.stream.read(&mut bytes)? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                count => self.input.extend_from_slice(&bytes[..count]),
            }
        }
    }

    /// Reads the greeting, if it was not read yet.
    pub fn start(&mut self) -> io::Result<()> {
        while !self.is_started {
            match self.message()? {
                (b'K', body) => self.key = body.get(..8).and_then(|key| key.try_into().ok()),
                (b'Z', _) => self.is_started = true,
                (b'E', body) => return Err(io::Error::other(format!("greeted by an error: {}", code(&body)))),
                _ => {}
            }
        }
        Ok(())
    }

    /// Reads one whole answer.
    pub fn answer(&mut self) -> io::Result<Answer> {
        self.start()?;
        let mut rows = Vec::new();
        let mut answer = None;
        loop {
            match self.message()? {
                (b'D', body) => rows.push(columns(&body)),
                (b'C', _) => answer = Some(Answer::Served(std::mem::take(&mut rows))),
                (b'I', _) => answer = Some(Answer::Empty),
                (b'E', body) => {
                    let code = code(&body);
                    let is_refusal = code.starts_with("53") || code == "57P03";
                    let error = if is_refusal { Answer::Refused(code) } else { Answer::Failed(code) };
                    if body.starts_with(b"SFATAL") {
                        return Ok(error);
                    }
                    answer = Some(error);
                }
                (b'Z', _) => return answer.ok_or_else(|| io::Error::other("ready without an answer")),
                _ => {}
            }
        }
    }

    pub fn query(&mut self, text: &str) -> io::Result<Answer> {
        self.send(text)?;
        self.answer()
    }

    pub fn close(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

fn code(error: &[u8]) -> String {
    let fields = error.split(|byte| *byte == 0);
    let code = fields.filter(|field| field.first() == Some(&b'C')).map(|field| String::from_utf8_lossy(&field[1..]).into_owned());
    code.last().unwrap_or_default()
}

fn columns(row: &[u8]) -> Vec<String> {
    let count = u16::from_be_bytes([row[0], row[1]]);
    let mut rest = &row[2..];
    (0..count)
        .map(|_| {
            let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
            let text = String::from_utf8_lossy(&rest[4..4 + length]).into_owned();
            rest = &rest[4 + length..];
            text
        })
        .collect()
}

// ----------------------------------------------------------------------------------------------- engines

/// An engine: runs everything it is sent at once, each request for the time that `work` gives its class and
/// statement, sends a note of progress each second, and answers with one row: the request's id and statement.
pub struct Engine {
    pub address: String,
    arrivals: Arc<Mutex<Vec<Instant>>>,
    is_dead: Arc<AtomicBool>,
}

type Work = fn(&str, &str) -> Duration;

struct EngineState {
    name: &'static str,
    work: Work,
    record: Record,
    arrivals: Arc<Mutex<Vec<Instant>>>,
    is_dead: Arc<AtomicBool>,
}

impl Engine {
    pub fn start(name: &'static str, record: &Record, work: Work) -> Outcome<Engine> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?.to_string();
        let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let is_dead: Arc<AtomicBool> = Arc::default();
        let state = Arc::new(EngineState {
            name,
            work,
            record: record.clone(),
            arrivals: Arc::clone(&arrivals),
            is_dead: Arc::clone(&is_dead),
        });
        thread::spawn(move || {
            // The listener is closed with the engine, so that later connections are refused.
            while !state.is_dead.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let state = Arc::clone(&state);
                        thread::spawn(move || state.serve(stream));
                    }
                    Err(_) => thread::sleep(ms(1)),
                }
            }
        });
        Ok(Engine { address, arrivals, is_dead })
    }

    /// The times at which requests reached the engine whole.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.arrivals.lock().unwrap().clone()
    }

    /// Ends the engine's process: its connections and all that is open on them end.
    pub fn end(&self) {
        self.is_dead.store(true, Ordering::SeqCst);
    }
}

impl EngineState {
    fn serve(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else { return };
        let output = Arc::new(Mutex::new(writer));
        let open: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
        if let Ok(closer) = stream.try_clone() {
            let state = Arc::clone(&self);
            let open = Arc::clone(&open);
            thread::spawn(move || {
                while !state.is_dead.load(Ordering::SeqCst) {
                    thread::sleep(ms(2));
                }
                open.lock().unwrap().clear();
                let _ = closer.shutdown(Shutdown::Both);
            });
        }
        let mut input = BufReader::new(stream);
        while let Some(parts) = read_command(&mut input) {
            let id = parts.get(1).cloned().unwrap_or_default();
            match parts[0].as_str() {
                "do" if parts.len() == 4 => self.run(&id, &parts[2], &parts[3], &output, &open),
                "undo" => {
                    self.record.line(format!("engine {}: undo {id}", self.name));
                    open.lock().unwrap().remove(&id);
                }
                "ping" => answer(&output, &[&id, "green", "-", ""]),
                _ => {}
            }
        }
        open.lock().unwrap().clear();
    }

    fn run(
        self: &Arc<Self>,
        id: &str,
        fields: &str,
        statement: &str,
        output: &Arc<Mutex<TcpStream>>,
        open: &Arc<Mutex<HashMap<String, u64>>>,
    ) {
        let field = |name: &str| fields.split(',').filter_map(|pair| pair.split_once('=')).find(|pair| pair.0 == name);
        let class = field("class").map_or(String::new(), |pair| pair.1.to_owned());
        let shown: String = statement.chars().take(60).collect();
        self.record.line(format!("engine {}: do {id} {class}: {shown}", self.name));
        self.arrivals.lock().unwrap().push(Instant::now());
        let run = random();
        open.lock().unwrap().insert(id.to_owned(), run);
        let (state, id, row) = (Arc::clone(self), id.to_owned(), format!("{id}\t{shown}\tok\n"));
        let (output, open) = (Arc::clone(output), Arc::clone(open));
        thread::spawn(move || {
            let is_open = || open.lock().unwrap().get(&id) == Some(&run);
            let work = (state.work)(&class, &row);
            let begun = Instant::now();
            let mut notes = 0;
            while begun.elapsed() < work {
                thread::sleep(ms(5).min(work.saturating_sub(begun.elapsed())));
                if !is_open() {
                    return;
                }
                if begun.elapsed() >= ms(1_000 * (notes + 1)) {
                    notes += 1;
                    let done = begun.elapsed().as_secs_f64() / work.as_secs_f64();
                    answer(&output, &[&id, "update", &format!("how=so_far,num={:.2}", done.min(1.0)), ""]);
                }
            }
            if open.lock().unwrap().remove(&id) == Some(run) {
                let fields = format!("batches=1,cpu={},used=80,stats=inflight:1;queue:0;x1:0.1;x0:0.1", work.as_millis());
                state.record.line(format!("engine {}: served {id}", state.name));
                answer(&output, &[&id, "served", &fields, &row]);
            }
        });
    }
}

fn answer(output: &Mutex<TcpStream>, parts: &[&str]) {
    let mut bytes = format!("*{}\r\n", parts.len());
    for part in parts {
        bytes.push_str(&format!("${}\r\n{part}\r\n", part.len()));
    }
    // A connection that has ended takes no answer.
    let _ = output.lock().unwrap().write_all(bytes.as_bytes());
}

fn read_command(input: &mut impl BufRead) -> Option<Vec<String>> {
    let count = read_number(input, '*')?;
    (0..count)
        .map(|_| {
            let length = read_number(input, '$')?;
            let mut bytes = vec![0; length + 2];
            input.read_exact(&mut bytes).ok()?;
            bytes.truncate(length);
            String::from_utf8(bytes).ok()
        })
        .collect()
}

fn read_number(input: &mut impl BufRead, prefix: char) -> Option<usize> {
    let mut line = String::new();
    input.read_line(&mut line).ok().filter(|count| *count > 0)?;
    line.trim_end().strip_prefix(prefix)?.parse().ok()
}

// ------------------------------------------------------------------------------------------ control feed

/// The control feed: sends the events behind `Last-Event-ID`, then each further one, and a comment each second.
pub struct Feed {
    pub address: String,
    state: Arc<FeedState>,
}

struct FeedState {
    events: Mutex<Vec<(u64, String)>>,
    /// Raised to break off every open call.
    breaks: AtomicU64,
    /// Milliseconds from the end of a call's head to the first byte of its answer.
    delay_ms: AtomicU64,
    record: Record,
}

impl Feed {
    pub fn start(record: &Record) -> Outcome<Feed> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?.to_string();
        let state = Arc::new(FeedState {
            events: Mutex::default(),
            breaks: AtomicU64::new(0),
            delay_ms: AtomicU64::new(0),
            record: record.clone(),
        });
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = Arc::clone(&shared);
                thread::spawn(move || drop(state.serve(stream)));
            }
        });
        Ok(Feed { address, state })
    }

    pub fn tell(&self, number: u64, data: String) {
        self.state.record.line(format!("feed: event {number}: {data}"));
        self.state.events.lock().unwrap().push((number, data));
    }

    pub fn break_off(&self) {
        self.state.record.line("feed: the open calls break off");
        self.state.breaks.fetch_add(1, Ordering::SeqCst);
    }

    /// Sets the time that the feed needs for the answer to each later call.
    pub fn set_delay(&self, delay: Duration) {
        self.state.delay_ms.store(delay.as_millis() as u64, Ordering::SeqCst);
    }
}

impl FeedState {
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let breaks = self.breaks.load(Ordering::SeqCst);
        let mut last_event = 0;
        let mut head = BufReader::new(stream.try_clone()?);
        loop {
            let mut line = String::new();
            head.read_line(&mut line)?;
            if line.trim().is_empty() {
                break;
            }
            if let Some(number) = line.to_ascii_lowercase().strip_prefix("last-event-id:") {
                last_event = number.trim().parse().unwrap_or(0);
            }
        }
        self.record.line(format!("feed: call from event {last_event}"));
        thread::sleep(ms(self.delay_ms.load(Ordering::SeqCst)));
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")?;
        self.record.line("feed: a call is answered");
        let mut commented = Instant::now() - ms(2_000);
        while self.breaks.load(Ordering::SeqCst) == breaks {
            let events = self.events.lock().unwrap().clone();
            let known = last_event;
            for (number, data) in events.into_iter().filter(|(number, _)| *number > known) {
                write!(stream, "id: {number}\ndata: {data}\n\n")?;
                last_event = number;
            }
            if commented.elapsed() >= ms(1_000) {
                stream.write_all(b": here\n\n")?;
                commented = Instant::now();
            }
            thread::sleep(ms(10));
        }
        stream.shutdown(Shutdown::Both)
    }
}
