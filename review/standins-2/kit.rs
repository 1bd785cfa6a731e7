//! Stand-ins for the cases of the second review, with the standard library alone: the platform (starts and
//! signals the program by the deploy file's `run` line), query engines, the control feed, and clients. All
//! sockets are on loopback, on ports that the kernel chooses.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn dup2(from: i32, to: i32) -> i32;
    fn fcntl(fd: i32, command: i32, argument: i32) -> i32;
    fn prctl(option: i32, argument: u64, a: u64, b: u64, c: u64) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// What was sent, answered and run, with the time in milliseconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create() -> Record {
        let path = std::env::var("RECORD").expect("RECORD names the file");
        let file = File::create(path).expect("record.txt can be written");
        Record { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64() * 1e3;
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.1} {}", text.as_ref());
    }
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }
}

/// Exit status 2: the case could not run.
pub fn cannot_run(record: &Record, reason: &str) -> ! {
    record.line(format!("could not run: {reason}"));
    println!("could not run: {reason}");
    std::process::exit(2)
}

/// Ends the case: 1 if the rule was broken, 0 if it held.
pub fn verdict(record: &Record, broken: &[String]) -> i32 {
    for text in broken {
        record.line(format!("BROKEN {text}"));
        println!("BROKEN {text}");
    }
    let text = if broken.is_empty() { "the rule held" } else { "the rule was broken" };
    record.line(text);
    println!("{text}");
    i32::from(!broken.is_empty())
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// An empty folder, removed at the end of the case by `run.sh`.
pub fn folder(name: &str) -> PathBuf {
    let base = std::env::var("CASE_TMP").expect("CASE_TMP names a folder");
    let path = Path::new(&base).join(name);
    std::fs::create_dir_all(&path).expect("a folder");
    path
}

// ---------------------------------------------------------------- the platform

/// The command `run` of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    let line = text.lines().find(|line| line.starts_with("run = ")).expect("a line `run`");
    line.split_once('"').unwrap().1.rsplit_once('"').unwrap().0.to_owned()
}

pub fn free_port() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

pub struct Manager {
    child: Child,
    pub listen: SocketAddr,
    pub admin: Option<SocketAddr>,
    pub config: PathBuf,
    pub pid: i32,
    pub log: Arc<Mutex<Vec<String>>>,
}

pub struct Launch<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    /// A second address, for operators.
    pub admin: Option<SocketAddr>,
    /// The listening socket that the platform holds, inherited as descriptor 5.
    pub inherited: Option<&'a TcpListener>,
    pub tmpdir: &'a Path,
    pub memory_mb: u64,
    pub sockets: u64,
    pub feed: Option<SocketAddr>,
    /// `known`: the number of the last event, and the events.
    pub known: (u64, Vec<String>),
    pub settings: &'a str,
}

impl Launch<'_> {
    pub fn config_text(&self) -> String {
        let feed = self.feed.map_or(String::new(), |feed| format!(r#""feed":"{feed}","#));
        let admin = self.admin.map_or(String::new(), |admin| format!(r#""operator":"{admin}","#));
        let seed = format!("{:016x}", unix_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15));
        format!(
            r#"{{"name":"{}","listen":"{}","seed":"{seed}",{feed}{admin}"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"known":{{"n":{},"events":[{}]}},"settings":{}}}"#,
            self.name, self.listen, self.memory_mb, self.sockets, self.known.0, self.known.1.join(","), self.settings
        )
    }

    pub fn start(&self, record: &Record) -> Manager {
        static STARTS: AtomicU64 = AtomicU64::new(0);
        let number = STARTS.fetch_add(1, Ordering::Relaxed);
        let config = folder("config").join(format!("{}-{number}.json", self.name));
        std::fs::write(&config, self.config_text()).expect("the configuration");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command());
        command.env_remove("EDGE_FD").env_remove("EDGE_OPERATOR");
        command.env("EDGE_NAME", self.name).env("EDGE_LISTEN", self.listen.to_string());
        command.env("EDGE_CONFIG", &config).env("TMPDIR", self.tmpdir);
        if let Some(admin) = self.admin {
            command.env("EDGE_OPERATOR", admin.to_string());
        }
        // The program ends with this process, however that ends: PR_SET_PDEATHSIG.
        // SAFETY: prctl may be called between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        if let Some(listener) = self.inherited {
            command.env("EDGE_FD", "5");
            let fd = listener.as_raw_fd();
            // SAFETY: dup2 and fcntl may be called between fork and exec.
            unsafe {
                command.pre_exec(move || {
                    if fd == 5 {
                        fcntl(5, 2, 0);
                    } else if dup2(fd, 5) < 0 {
                        return Err(std::io::Error::last_os_error());
                    }
                    Ok(())
                });
            }
        }
        let mut child =
            command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().expect("started");
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let outputs: [Box<dyn Read + Send>; 2] =
            [Box::new(child.stdout.take().unwrap()), Box::new(child.stderr.take().unwrap())];
        for output in outputs {
            let log = Arc::clone(&log);
            thread::spawn(move || {
                for line in BufReader::new(output).lines().map_while(Result::ok) {
                    log.lock().unwrap().push(line);
                }
            });
        }
        let pid = child.id() as i32;
        record.line(format!("platform: started {} as process {pid}", self.name));
        Manager { child, listen: self.listen, admin: self.admin, config, pid, log }
    }
}

impl Manager {
    pub fn signal(&self, signal: i32) {
        // SAFETY: a signal to a child that was not waited for.
        unsafe { kill(self.pid, signal) };
    }
    pub fn exited(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().unwrap()
    }
    /// Waits until the manager answers an empty query with EmptyQueryResponse.
    pub fn wait_ready(&mut self, record: &Record) {
        let end = Instant::now() + ms(20_000);
        while Instant::now() < end {
            if let Some(status) = self.exited() {
                cannot_run(record, &format!("the program ended at its start: {status}"));
            }
            if let Some(mut client) = Client::connect(self.listen) {
                client.send(&query(""));
                if matches!(client.answer(ms(2_000)), Answer::Empty) {
                    record.line("platform: the program is ready");
                    return;
                }
            }
            thread::sleep(ms(20));
        }
        cannot_run(record, "the program was not ready in time");
    }
    /// Private memory of the process in bytes: resident pages that no file backs.
    pub fn private_bytes(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.pid)).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("RssAnon:")).unwrap_or("0 kB");
        line.trim().trim_end_matches("kB").trim().parse::<u64>().unwrap_or(0) * 1024
    }
    pub fn log_lines(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }
}

impl Drop for Manager {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// One call to the operators' address; the status of the answer.
pub fn admin_call(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(ms(3_000))).ok()?;
    let text = format!("{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).ok()?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    line.split(' ').nth(1)?.parse().ok()
}

// ---------------------------------------------------------------- engines

/// A command that an engine read whole.
#[derive(Clone, Debug)]
pub struct Received {
    /// Milliseconds since the start of the case.
    pub at: f64,
    pub engine: String,
    pub connection: u64,
    pub parts: Vec<Vec<u8>>,
}

impl Received {
    pub fn word(&self) -> String {
        String::from_utf8_lossy(&self.parts[0]).into_owned()
    }
    pub fn id(&self) -> String {
        String::from_utf8_lossy(self.parts.get(1).map_or(&[][..], |id| id)).into_owned()
    }
    pub fn field(&self, name: &str) -> Option<String> {
        let fields = String::from_utf8_lossy(self.parts.get(2)?).into_owned();
        fields.split(',').filter_map(|pair| pair.split_once('=')).find(|pair| pair.0 == name).map(|p| p.1.to_owned())
    }
}

pub enum Reply {
    /// Serves this result after this time.
    Serve(Duration, Vec<Vec<u8>>),
    /// Answers with this word after this time.
    Word(Duration, &'static str),
    /// Never answers.
    Hold,
}

pub type Behaviour = Arc<dyn Fn(&Received) -> Reply + Send + Sync>;

pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
}

pub type Journal = Arc<Mutex<Vec<Received>>>;

fn read_command(input: &mut impl BufRead) -> Option<Vec<Vec<u8>>> {
    fn number(input: &mut impl BufRead, mark: char) -> Option<usize> {
        let mut line = String::new();
        input.read_line(&mut line).ok().filter(|count| *count > 0)?;
        line.trim_end().strip_prefix(mark)?.parse().ok()
    }
    let count = number(input, '*')?;
    let mut parts = Vec::new();
    for _ in 0..count {
        let length = number(input, '$')?;
        let mut bytes = vec![0; length + 2];
        input.read_exact(&mut bytes).ok()?;
        bytes.truncate(length);
        parts.push(bytes);
    }
    Some(parts)
}

fn write_answer(to: &Mutex<TcpStream>, parts: &[&[u8]]) {
    let mut out = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        out.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
        out.extend_from_slice(part);
        out.extend_from_slice(b"\r\n");
    }
    let _ = to.lock().unwrap().write_all(&out);
}

impl Engine {
    pub fn start(id: &str, record: &Record, journal: &Journal, behaviour: Behaviour) -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().unwrap();
        let (record, journal, id_text) = (record.clone(), Arc::clone(journal), id.to_owned());
        thread::spawn(move || {
            static CONNECTIONS: AtomicU64 = AtomicU64::new(1);
            for stream in listener.incoming().flatten() {
                let (record, journal, behaviour) = (record.clone(), Arc::clone(&journal), Arc::clone(&behaviour));
                let (id, connection) = (id_text.clone(), CONNECTIONS.fetch_add(1, Ordering::Relaxed));
                thread::spawn(move || serve_engine(stream, &id, connection, &record, &journal, &behaviour));
            }
        });
        Engine { id: id.to_owned(), address }
    }
}

fn serve_engine(stream: TcpStream, engine: &str, connection: u64, record: &Record, journal: &Journal, behaviour: &Behaviour) {
    let _ = stream.set_nodelay(true);
    let out = Arc::new(Mutex::new(stream.try_clone().expect("a second handle")));
    let mut input = BufReader::new(stream);
    let pages: Arc<Mutex<BTreeMap<Vec<u8>, Vec<Vec<u8>>>>> = Arc::default();
    let given_up: Arc<Mutex<std::collections::BTreeSet<Vec<u8>>>> = Arc::default();
    while let Some(parts) = read_command(&mut input) {
        let received = Received { at: record.now(), engine: engine.to_owned(), connection, parts };
        journal.lock().unwrap().push(received.clone());
        let id = received.parts.get(1).cloned().unwrap_or_default();
        match received.word().as_str() {
            "do" => {
                given_up.lock().unwrap().remove(&id);
                let reply = behaviour(&received);
                let (out, pages, given_up) = (Arc::clone(&out), Arc::clone(&pages), Arc::clone(&given_up));
                match reply {
                    Reply::Hold => {}
                    Reply::Word(after, word) => {
                        thread::spawn(move || {
                            thread::sleep(after);
                            if !given_up.lock().unwrap().contains(&id) {
                                write_answer(&out, &[&id, word.as_bytes(), b"-", b""]);
                            }
                        });
                    }
                    Reply::Serve(after, result) => {
                        let finish = move || {
                            if given_up.lock().unwrap().contains(&id) {
                                return;
                            }
                            let fields = format!("batches={},cpu=20,used=8,stats=inflight:1;queue:0;x1:0.1;x0:0.1", result.len());
                            pages.lock().unwrap().insert(id.clone(), result.clone());
                            write_answer(&out, &[&id, b"served", fields.as_bytes(), &result[0]]);
                        };
                        if after.is_zero() {
                            finish();
                        } else {
                            thread::spawn(move || {
                                thread::sleep(after);
                                finish();
                            });
                        }
                    }
                }
            }
            "undo" => drop(given_up.lock().unwrap().insert(id)),
            "page" => {
                let number: usize = String::from_utf8_lossy(&received.parts[2]).parse().unwrap_or(0);
                let body = pages.lock().unwrap().get(&id).and_then(|pages| pages.get(number).cloned());
                match body {
                    Some(body) => write_answer(&out, &[&id, b"rows", format!("batch={number}").as_bytes(), &body]),
                    None => write_answer(&out, &[&id, b"crashed", b"-", b""]),
                }
            }
            "forget" => drop(pages.lock().unwrap().remove(&id)),
            _ => {}
        }
    }
}

// ---------------------------------------------------------------- the control feed

/// One engine of a list: id, address, zone, cell, state, Unix millisecond of a late start or 0.
pub struct Entry<'a>(pub &'a str, pub SocketAddr, pub &'a str, pub u32, pub &'a str, pub u64);

pub fn list_event(n: u64, complete: bool, entries: &[Entry]) -> String {
    let row = |Entry(id, address, zone, cell, state, since): &Entry| {
        format!(r#"{{"id":"{id}","host_port":"{address}","locality":"{zone}","flavor":"std-12","cell":{cell},"phase":"{state}","size":12,"up_since_ms":{since}}}"#)
    };
    let rows: Vec<String> = entries.iter().map(row).collect();
    format!(r#"{{"n":{n},"members":{{"revision":{n},"complete":{complete},"members":[{}]}}}}"#, rows.join(","))
}

pub struct Feed {
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Feed {
    pub fn start() -> Feed {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().unwrap();
        let events: Arc<Mutex<Vec<(u64, String)>>> = Arc::default();
        let shared = Arc::clone(&events);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let events = Arc::clone(&shared);
                thread::spawn(move || serve_feed(stream, &events));
            }
        });
        Feed { address, events }
    }
    pub fn send(&self, n: u64, event: String) {
        self.events.lock().unwrap().push((n, event));
    }
}

fn serve_feed(mut stream: TcpStream, events: &Mutex<Vec<(u64, String)>>) {
    let mut last = 0;
    for line in BufReader::new(stream.try_clone().unwrap()).lines().map_while(Result::ok).take_while(|l| !l.is_empty()) {
        if let Some(number) = line.to_ascii_lowercase().strip_prefix("last-event-id:") {
            last = number.trim().parse().unwrap_or(0);
        }
    }
    if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n").is_err() {
        return;
    }
    let mut commented = Instant::now();
    loop {
        let new: Vec<(u64, String)> = events.lock().unwrap().iter().filter(|(n, _)| *n > last).cloned().collect();
        for (n, data) in new {
            last = n;
            if stream.write_all(format!("id: {n}\ndata: {data}\n\n").as_bytes()).is_err() {
                return;
            }
        }
        if commented.elapsed() > ms(1_000) {
            commented = Instant::now();
            if stream.write_all(b": still here\n\n").is_err() {
                return;
            }
        }
        thread::sleep(ms(10));
    }
}

// ---------------------------------------------------------------- clients

pub fn framed(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![tag];
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
    out
}

pub fn query(text: &str) -> Vec<u8> {
    framed(b'Q', format!("{text}\0").as_bytes())
}

pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0app\0database\0core\0\0";
    [&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Rows, each as its columns joined by tabs.
    Served(Vec<String>),
    Empty,
    /// SQLSTATE and text of the error.
    Error(String, String),
    /// The connection ended without a whole answer; whether by a reset.
    Closed { reset: bool },
    /// Nothing whole within the time.
    Nothing,
}

impl Answer {
    pub fn is_refusal(&self) -> bool {
        matches!(self, Answer::Error(code, _) if code.starts_with("53") || code == "57P03")
    }
    pub fn short(&self) -> String {
        match self {
            Answer::Served(rows) => format!("served, {} rows", rows.len()),
            Answer::Error(code, text) => format!("error {code} ({text})"),
            other => format!("{other:?}"),
        }
    }
}

pub struct Client {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    pub key: Vec<u8>,
}

impl Client {
    pub fn open(to: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&to, ms(3_000)).ok()?;
        let _ = stream.set_nodelay(true);
        Some(Client { stream, buffer: Vec::new(), key: Vec::new() })
    }
    /// Connects and starts a session.
    pub fn connect(to: SocketAddr) -> Option<Client> {
        let mut client = Client::open(to)?;
        client.stream.write_all(&startup()).ok()?;
        loop {
            match client.message(Instant::now() + ms(3_000)) {
                Ok((b'K', body)) => client.key = body,
                Ok((b'Z', _)) => return Some(client),
                Ok((b'E', _)) | Err(_) => return None,
                Ok(_) => {}
            }
        }
    }
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
    pub fn cancel(&self, to: SocketAddr) {
        if let Ok(mut stream) = TcpStream::connect(to) {
            let packet = [&16u32.to_be_bytes()[..], &80_877_102u32.to_be_bytes(), &self.key].concat();
            let _ = stream.write_all(&packet);
        }
    }
    fn message(&mut self, until: Instant) -> Result<(u8, Vec<u8>), Answer> {
        loop {
            if self.buffer.len() >= 5 {
                let length = u32::from_be_bytes([self.buffer[1], self.buffer[2], self.buffer[3], self.buffer[4]]) as usize;
                if self.buffer.len() > length {
                    let tag = self.buffer[0];
                    let body = self.buffer[5..=length].to_vec();
                    self.buffer.drain(..=length);
                    return Ok((tag, body));
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(Answer::Nothing);
            }
            let _ = self.stream.set_read_timeout(Some(left));
            let mut chunk = [0; 16 * 1024];
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(Answer::Closed { reset: false }),
                Ok(count) => self.buffer.extend_from_slice(&chunk[..count]),
                Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => return Err(Answer::Nothing),
                Err(_) => return Err(Answer::Closed { reset: true }),
            }
        }
    }
    /// Reads up to ReadyForQuery, or to a final error of the session. Messages of the start-up are passed over.
    pub fn answer(&mut self, within: Duration) -> Answer {
        let until = Instant::now() + within;
        let mut rows = Vec::new();
        let mut answer = None;
        loop {
            match self.message(until) {
                Ok((b'D', body)) => rows.push(columns(&body)),
                Ok((b'C', _)) => answer = Some(Answer::Served(std::mem::take(&mut rows))),
                Ok((b'I', _)) => answer = Some(Answer::Empty),
                Ok((b'K', body)) => self.key = body,
                Ok((b'E', body)) => {
                    let field = |tag: u8| {
                        let found = body.split(|byte| *byte == 0).find(|field| field.first() == Some(&tag));
                        found.map_or(String::new(), |field| String::from_utf8_lossy(&field[1..]).into_owned())
                    };
                    let error = Answer::Error(field(b'C'), field(b'M'));
                    if field(b'S') == "FATAL" {
                        return error;
                    }
                    answer = Some(error);
                }
                Ok((b'Z', _)) => {
                    if let Some(answer) = answer {
                        return answer;
                    }
                }
                Ok(_) => {}
                Err(end) => return answer.unwrap_or(end),
            }
        }
    }
}

fn columns(body: &[u8]) -> String {
    let mut texts = Vec::new();
    let mut offset = 2;
    while offset + 4 <= body.len() {
        let length = u32::from_be_bytes([body[offset], body[offset + 1], body[offset + 2], body[offset + 3]]) as usize;
        offset += 4;
        texts.push(String::from_utf8_lossy(&body[offset..offset + length]).into_owned());
        offset += length;
    }
    texts.join("\t")
}

/// A request id that is new in this run.
pub fn new_id() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    (unix_ms() << 20 ^ n).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ n
}

pub fn close(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}

/// Settings like those of the site fret-main: three classes, one of them a load with a key.
pub fn settings(siblings: u32, load_effect: &str, deadlines: [f64; 3]) -> String {
    format!(
        r#"{{"kindOfService":"queries","zones":["hall-a","hall-b"],"az":0,"shapes":["std-12"],"siblings":{siblings},"position":0,"stage":0,"tiers":["query-fleet"],"tick":0.005,"weights":"rough","worthBy":"request","discovery":"push","overShareWorth":0.05,
"clients":{{"marksRetry":true}},
"customers":[{{"name":"sud-transport","portion":0.77,"quotaPerS":79.0}},{{"name":"nord-fret","portion":0.23,"quotaPerS":24.0}}],
"goal":{{"whole":0.45,"worstClass":0.2,"worstTenant":0.25,"worstWindow":0.1}},
"invariants":{{"askEvery":10.0,"budgetShare":0.1,"cold":15.0,"drainGrace":0.5,"fallMultiple":2.5,"freeResends":3.0,"graceToAnswer":0.02,"overloadFor":2.0,"ratioSpan":5.0,"startCapacity":0.3}},
"limits":{{"cancel":true,"connIdle":15.0,"connectTimeout":0.25,"cpuUsPerRequest":0.0,"cpuUsPerS":524809,"maxAttempts":6,"maxOpen":26240,"maxRetryAfter":2.0,"maxStreams":32,"peers":false,"probes":false,"retryAfter":false,"secondCopies":false}},
"loadReport":{{"fields":["rif","q","x1","x0"],"via":"piggyback"}},
"prices":{{"connection":0.0,"crossZone":0.04,"discovery":0.0,"handshake":0.0,"lateFail":0.035,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.0,"waste":0.028}},
"profiles":[
{{"name":"lane-rate","aim":1.2,"aimStretch":2.0,"deadline":{:?},"dedupScope":"all","effect":"read_like","lateWorth":0.0,"repeatWindow":5.0,"streamed":false,"value":1.0}},
{{"name":"lane-report","aim":1.5,"aimStretch":2.5,"deadline":{:?},"dedupScope":"all","effect":"read_like","lateWorth":0.4,"repeatWindow":5.0,"streamed":false,"value":8.0}},
{{"name":"tariff-load","aim":4.0,"aimStretch":2.5,"deadline":{:?},"dedupScope":"all","effect":"{load_effect}","lateWorth":0.6,"repeatWindow":15.0,"streamed":false,"value":5.0}}],
"specifics":{{"classThreads":[1,3,2],"loads":[false,false,true],"maxGrantShare":0.4,"memoryShort":"swap","notes":"none","priorities":true,"progressPace":1.0,"ramOfKindMb":[24576.0],"reportX0":"share_of_memory_granted","reportX1":"share_of_disks_busy","sizeCores":[12],"takesGrants":true,"tellsCost":true,"yieldsToLoads":[true,true,false]}}}}"#,
        deadlines[0], deadlines[1], deadlines[2]
    )
}
