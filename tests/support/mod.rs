//! What the socket tests share: stand-in engines, a stand-in feed, the program itself and a client
//! that speaks raw bytes. Everything is on loopback, on ports that the kernel chooses.
#![allow(dead_code)]

pub mod admin_client;
pub mod golden;
pub mod resource_limits;
pub mod timed_engine;

use command_fds::{CommandFdExt, FdMapping};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a test waits for what must come; never for what must not.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// One command as an engine saw it.
#[derive(Clone, Debug)]
pub struct ReceivedCommand {
    pub at: Instant,
    pub parts: Vec<String>,
}

impl ReceivedCommand {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.parts[2].split(',').filter_map(|p| p.split_once('=')).find(|p| p.0 == name).map(|p| p.1)
    }
}

/// What a stand-in engine does with a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Serves these pages.
    Pages(Vec<String>),
    /// Says nothing, ever.
    Hold,
    /// One word without a body.
    Word(&'static str),
    /// These bytes, with the request's id for each `@`.
    Raw(String),
    /// Closes the connection.
    Cut,
    /// Says that there are two pages and closes the connection when asked for the second.
    CutMidAnswer(String),
}

/// A stand-in engine.
pub struct Engine {
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<ReceivedCommand>>>,
}

impl Engine {
    pub fn start(reply: impl Fn(&ReceivedCommand) -> Reply + Send + Sync + 'static) -> Engine {
        Engine::behind(TcpListener::bind("127.0.0.1:0").expect("a port"), reply)
    }

    /// One that takes what comes to this listener.
    fn behind(
        listener: TcpListener,
        reply: impl Fn(&ReceivedCommand) -> Reply + Send + Sync + 'static,
    ) -> Engine {
        let address = listener.local_addr().expect("an address");
        let seen: Arc<Mutex<Vec<ReceivedCommand>>> = Arc::default();
        let (log, reply) = (Arc::clone(&seen), Arc::new(reply));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (log, reply) = (Arc::clone(&log), Arc::clone(&reply));
                thread::spawn(move || serve_engine(stream, &log, &*reply));
            }
        });
        Engine { address, seen }
    }

    /// One that serves one row to every request: its statement.
    pub fn echo() -> Engine {
        Engine::start(|seen| Reply::Pages(vec![format!("{}\tb\tc\n", seen.parts[3])]))
    }

    /// The commands of a word that it saw.
    pub fn seen(&self, word: &str) -> Vec<ReceivedCommand> {
        let seen = self.seen.lock().expect("unpoisoned");
        seen.iter().filter(|s| s.parts[0] == word).cloned().collect()
    }

    /// All commands that it saw, in order.
    pub fn all_seen(&self) -> Vec<ReceivedCommand> {
        self.seen.lock().expect("unpoisoned").clone()
    }

    /// Waits until it has seen so many of a word.
    pub fn wait_for(&self, word: &str, n: usize) -> Vec<ReceivedCommand> {
        until(|| Some(self.seen(word)).filter(|s| s.len() >= n))
    }
}

/// A stand-in engine whose machine takes no connection yet: those that come wait in the network.
pub struct DelayedListener {
    pub address: SocketAddr,
    listener: TcpListener,
    _filler: Vec<TcpStream>,
}

impl DelayedListener {
    pub fn listen() -> DelayedListener {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build().expect("a runtime");
        let listener = runtime.block_on(async {
            let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
            socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
            socket.listen(0).and_then(tokio::net::TcpListener::into_std).expect("a listener")
        });
        listener.set_nonblocking(false).expect("set");
        let address = listener.local_addr().expect("an address");
        // Until one more does not come up: the queue is full then.
        let fill = |_| TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
        let filler = (0..16).map_while(fill).collect::<Vec<_>>();
        assert!((1..16).contains(&filler.len()), "{} came up", filler.len());
        DelayedListener { address, listener, _filler: filler }
    }

    /// From now on it takes them.
    pub fn open(self, reply: impl Fn(&ReceivedCommand) -> Reply + Send + Sync + 'static) -> Engine {
        Engine::behind(self.listener, reply)
    }
}

/// Waits for something to hold.
pub fn until<T>(mut found: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + PATIENCE;
    loop {
        if let Some(t) = found() {
            return t;
        }
        assert!(Instant::now() < end, "it never came");
        thread::sleep(Duration::from_millis(2));
    }
}

fn read_command(from: &mut impl BufRead) -> Option<Vec<String>> {
    let number = |mark: char, from: &mut dyn BufRead| -> Option<usize> {
        let mut line = String::new();
        from.read_line(&mut line).ok().filter(|n| *n > 0)?;
        line.trim_end().strip_prefix(mark)?.parse().ok()
    };
    let count = number('*', from)?;
    (0..count)
        .map(|_| {
            let len = number('$', from)?;
            let mut bytes = vec![0; len + 2];
            from.read_exact(&mut bytes).ok()?;
            bytes.truncate(len);
            String::from_utf8(bytes).ok()
        })
        .collect()
}

fn answer(to: &mut TcpStream, parts: &[&str]) {
    let mut out = format!("*{}\r\n", parts.len());
    parts.iter().for_each(|p| out.push_str(&format!("${}\r\n{p}\r\n", p.len())));
    // The other side may have gone: the test sees that by itself.
    let _ = to.write_all(out.as_bytes());
}

fn serve_engine(
    stream: TcpStream,
    log: &Mutex<Vec<ReceivedCommand>>,
    reply: &dyn Fn(&ReceivedCommand) -> Reply,
) {
    let mut out = stream.try_clone().expect("a second handle");
    let mut input = BufReader::new(stream);
    let mut pages: std::collections::BTreeMap<String, Vec<String>> = Default::default();
    while let Some(parts) = read_command(&mut input) {
        let seen = ReceivedCommand { at: Instant::now(), parts };
        log.lock().expect("unpoisoned").push(seen.clone());
        let id = seen.parts.get(1).cloned().unwrap_or_default();
        match seen.parts[0].as_str() {
            "do" => match reply(&seen) {
                Reply::Pages(all) => {
                    let fields = format!("batches={},cpu=5,used=8,stats=inflight:1;queue:0", all.len());
                    answer(&mut out, &[&id, "served", &fields, &all[0]]);
                    pages.insert(id, all);
                }
                Reply::Hold => {}
                Reply::Word(word) => answer(&mut out, &[&id, word, "-", ""]),
                Reply::Raw(text) => drop(out.write_all(text.replace('@', &id).as_bytes())),
                Reply::Cut => break,
                Reply::CutMidAnswer(first) => answer(&mut out, &[&id, "served", "batches=2", &first]),
            },
            "page" => {
                let n: usize = seen.parts[2].parse().expect("a page's number");
                let Some(body) = pages.get(&id).and_then(|p| p.get(n)) else { break };
                answer(&mut out, &[&id, "rows", &format!("batch={n}"), body]);
            }
            _ => {}
        }
    }
    let _ = out.shutdown(std::net::Shutdown::Both);
}

/// A stand-in control feed: sends what it is told to, and notes the event each call goes on from.
pub struct Feed {
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<String>>>,
    pub calls: Arc<Mutex<Vec<u64>>>,
    cuts: Arc<AtomicU64>,
    open: Arc<AtomicU64>,
    malformed: Arc<Mutex<Option<(usize, String)>>>,
}

impl Feed {
    pub fn start() -> Feed {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let events: Arc<Mutex<Vec<String>>> = Arc::default();
        let calls: Arc<Mutex<Vec<u64>>> = Arc::default();
        let cuts: Arc<AtomicU64> = Arc::default();
        let open: Arc<AtomicU64> = Arc::default();
        let (log, all, cut) = (Arc::clone(&calls), Arc::clone(&events), Arc::clone(&cuts));
        let held = Arc::clone(&open);
        let malformed: Arc<Mutex<Option<(usize, String)>>> = Arc::default();
        let overlay = Arc::clone(&malformed);
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let mut input = BufReader::new(stream.try_clone().expect("a second handle"));
                let mut last = 0;
                for line in input.by_ref().lines().map_while(Result::ok).take_while(|l| !l.is_empty()) {
                    let value = line.to_ascii_lowercase();
                    if let Some(n) = value.strip_prefix("last-event-id:") {
                        last = n.trim().parse().expect("a number");
                    }
                }
                log.lock().expect("unpoisoned").push(last);
                let (all, cut) = (Arc::clone(&all), Arc::clone(&cut));
                let before = cut.load(Ordering::SeqCst);
                let held = Arc::clone(&held);
                let overlay = Arc::clone(&overlay);
                held.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
                    let mut alive = stream.write_all(head.as_bytes()).is_ok();
                    // One event more than was asked for: a repeat must be passed over.
                    let mut next = last.saturating_sub(1) as usize;
                    while alive {
                        let fresh = all.lock().expect("unpoisoned")[next..].to_vec();
                        for data in fresh {
                            next += 1;
                            let other = overlay.lock().expect("unpoisoned").take_if(|o| o.0 == next);
                            let data = other.map_or(data, |o| o.1);
                            alive &= write!(stream, "id: {next}\ndata: {data}\n\n").is_ok();
                        }
                        alive &= cut.load(Ordering::SeqCst) == before;
                        alive &= write!(stream, ": still here\n\n").is_ok();
                        thread::sleep(Duration::from_millis(20));
                    }
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                    held.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Feed { address, events, calls, cuts, open, malformed }
    }

    /// Calls that are open.
    pub fn listening(&self) -> u64 {
        self.open.load(Ordering::SeqCst)
    }

    /// Sends an event that the first call to get it gets as another text.
    pub fn send_malformed_once(&self, event: impl Into<String>, malformed: impl Into<String>) {
        let mut events = self.events.lock().expect("unpoisoned");
        *self.malformed.lock().expect("unpoisoned") = Some((events.len() + 1, malformed.into()));
        events.push(event.into());
    }

    /// Ends every call.
    pub fn cut(&self) {
        self.cuts.fetch_add(1, Ordering::SeqCst);
    }

    pub fn send(&self, event: impl Into<String>) {
        self.events.lock().expect("unpoisoned").push(event.into());
    }
}

/// An event of the list of engines: numbers, ids, addresses and states.
pub fn list(n: usize, complete: bool, engines: &[(&str, SocketAddr, &str)]) -> String {
    let row = |(id, address, phase): &(&str, SocketAddr, &str)| {
        format!(
            r#"{{"id":"{id}","host_port":"{address}","locality":"hall-a","flavor":"std","cell":0,"phase":"{phase}","size":1,"up_since_ms":0}}"#
        )
    };
    let rows: Vec<String> = engines.iter().map(row).collect();
    format!(
        r#"{{"n":{n},"members":{{"revision":{n},"complete":{complete},"members":[{}]}}}}"#,
        rows.join(",")
    )
}

/// The configuration's settings, with two classes: lane-rate is safe, tariff-load keyed.
pub const SETTINGS: &str = r#"{"kindOfService":"queries","zones":["hall-a","hall-b"],"shapes":["std"],"siblings":1,
 "profiles":[
  {"name":"lane-rate","value":1.0,"aim":20.0,"deadline":30.0,"effect":"read_like","dedupScope":"all"},
  {"name":"tariff-load","value":5.0,"aim":20.0,"deadline":30.0,"effect":"idempotency_key","dedupScope":"all","repeatWindow":15.0}],
 "customers":[{"name":"sud","portion":0.8,"quotaPerS":1000.0},{"name":"nord","portion":0.2,"quotaPerS":1000.0}],
 "specifics":{"classThreads":[1,2],"loads":[false,true],"sizeCores":[64],"ramOfKindMb":[65536.0],"takesGrants":true,
  "priorities":true,"tellsCost":true,"memoryShort":"swap","progressPace":0.0},
 "limits":{"cancel":true,"maxAttempts":6,"maxRetryAfter":2.0,"maxStreams":32,"connIdle":15.0,"connectTimeout":5.0},
 "loadReport":{"via":"piggyback","fields":["rif","q"]},
 "invariants":{"budgetShare":0.1,"freeResends":3.0,"ratioSpan":5.0,"drainGrace":0.5,"fallMultiple":2.5,
  "overloadFor":2.0,"startCapacity":0.3,"cold":15.0}}"#;

/// The program, running.
pub struct Program {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
    pub platform: SocketAddr,
    pub second: Option<SocketAddr>,
    pub operators: Option<SocketAddr>,
    dir: std::path::PathBuf,
}

static DIRS: AtomicU64 = AtomicU64::new(0);

/// The program's file: this build's, or another that is measured against it.
pub fn program() -> std::ffi::OsString {
    std::env::var_os("SPRUCELINK_PROGRAM").unwrap_or_else(|| env!("CARGO_BIN_EXE_sprucelink").into())
}

/// A folder of this test's own.
pub fn scratch() -> std::path::PathBuf {
    let n = DIRS.fetch_add(1, Ordering::Relaxed);
    let dir = std::env::temp_dir().join(format!("sprucelink-test-{}-{n}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    dir
}

impl Program {
    /// Starts it with these engines, by id, and the second front if there is an operator's file.
    pub fn start(engines: &[(&str, SocketAddr)], feed: Option<&Feed>, operator: Option<&str>) -> Program {
        Program::limited(engines, feed, operator, 192, 1024)
    }

    /// The same with so many megabytes and descriptors.
    pub fn limited(
        engines: &[(&str, SocketAddr)],
        feed: Option<&Feed>,
        operator: Option<&str>,
        memory_mb: usize,
        sockets: usize,
    ) -> Program {
        Program::launch(engines, feed, operator, (memory_mb, sockets), SETTINGS, &[])
    }

    /// The same with the operators' address open.
    pub fn with_operators(engines: &[(&str, SocketAddr)], feed: Option<&Feed>, settings: &str) -> Program {
        let vars = [("EDGE_OPERATOR", "127.0.0.1:0")];
        Program::launch_in(&vars, None, engines, feed, None, (192, 1024), settings, &[])
    }

    /// The same with other settings and further arguments.
    pub fn launch(
        engines: &[(&str, SocketAddr)],
        feed: Option<&Feed>,
        operator: Option<&str>,
        limits: (usize, usize),
        settings: &str,
        more: &[&str],
    ) -> Program {
        Program::launch_in(&[], None, engines, feed, operator, limits, settings, more)
    }

    /// One process of several on a listening socket that the platform holds, in the folder that they share.
    pub fn beside(listener: &TcpListener, folder: &Path, engines: &[(&str, SocketAddr)]) -> Program {
        let folder = folder.to_str().expect("a name in UTF-8");
        let vars = [("EDGE_OPERATOR", "127.0.0.1:0"), ("EDGE_FD", "5"), ("TMPDIR", folder)];
        Program::launch_in(&vars, Some(listener), engines, None, None, (192, 1024), SETTINGS, &[])
    }

    /// The same in an environment with these variables besides, and with a listening socket as descriptor 5.
    #[allow(clippy::too_many_arguments, reason = "each caller above names what it gives")]
    pub fn launch_in(
        vars: &[(&str, &str)],
        inherited: Option<&TcpListener>,
        engines: &[(&str, SocketAddr)],
        feed: Option<&Feed>,
        operator: Option<&str>,
        (memory_mb, sockets): (usize, usize),
        settings: &str,
        more: &[&str],
    ) -> Program {
        let dir = scratch();
        let ready: Vec<_> = engines.iter().map(|(id, at)| (*id, *at, "ready")).collect();
        let feed = feed.map_or(String::new(), |f| format!(r#""feed":"{}","#, f.address));
        let config = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"00000000000000aa",{feed}
             "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
             "known":{{"n":1,"events":[{}]}},"settings":{settings}}}"#,
            list(1, true, &ready)
        );
        std::fs::write(dir.join("config.json"), config).expect("written");
        let mut command = Command::new(program());
        command.arg("serve").arg("--config").arg(dir.join("config.json")).args(more);
        if let Some(listener) = inherited {
            let parent_fd = listener.try_clone().expect("a second handle").into();
            command.fd_mappings(vec![FdMapping { parent_fd, child_fd: 5 }]).expect("a mapping");
        }
        command.env_remove("EDGE_OPERATOR").env_remove("EDGE_FD").envs(vars.iter().copied());
        if let Some(text) = operator {
            std::fs::write(dir.join("operator.json"), text).expect("written");
            command.arg("--operator").arg(dir.join("operator.json"));
        }
        let mut program = Program::spawn(command, dir);
        program.platform = program.front_address("platform");
        let called = vars.iter().any(|v| v.0 == "EDGE_OPERATOR");
        program.operators = called.then(|| program.admin_address());
        program.second = operator.map(|_| program.front_address("second"));
        program
    }

    /// Starts a command and keeps its log lines; its addresses are not known yet.
    fn spawn(mut command: Command, dir: std::path::PathBuf) -> Program {
        let mut child = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().expect("started");
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let (out, err) = (child.stdout.take().expect("its output"), child.stderr.take().expect("its errors"));
        let both: [Box<dyn Read + Send>; 2] = [Box::new(out), Box::new(err)];
        for from in both {
            let log = Arc::clone(&lines);
            thread::spawn(move || {
                for line in BufReader::new(from).lines().map_while(Result::ok) {
                    log.lock().expect("unpoisoned").push(line);
                }
            });
        }
        let any = "127.0.0.1:0".parse().expect("an address");
        Program { child, lines, platform: any, second: None, operators: None, dir }
    }

    /// Waits until a front accepts connections; its address.
    pub fn front_address(&self, front: &str) -> SocketAddr {
        let (text, json) = (format!("front={front} "), format!("\"front\":\"{front}\""));
        let is_its =
            |l: &&String| l.contains("accepting connections") && (l.contains(&text) || l.contains(&json));
        logged_address(&until(|| self.lines().iter().find(is_its).cloned()))
    }

    /// Waits until admin calls are accepted; their address.
    pub fn admin_address(&self) -> SocketAddr {
        logged_address(&self.wait_line("admin server listening"))
    }

    /// Waits for a log line that holds a text.
    pub fn wait_line(&self, text: &str) -> String {
        until(|| self.lines.lock().expect("unpoisoned").iter().find(|l| l.contains(text)).cloned())
    }

    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().expect("unpoisoned").clone()
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Puts another text in the configuration's place and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(self.dir.join("config.json"), config).expect("written");
        self.signal("-HUP");
    }

    /// The configuration's text, with its feed at another address.
    pub fn config_with_feed(&self, at: SocketAddr) -> String {
        let text = std::fs::read_to_string(self.dir.join("config.json")).expect("read");
        let mut json: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        json["feed"] = at.to_string().into();
        json.to_string()
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill").success());
    }

    /// Ends it as a crash would.
    pub fn kill(&mut self) {
        self.child.kill().expect("killed");
        self.child.wait().expect("waited");
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for its end: the exit status.
    pub fn ended(&mut self) -> Option<i32> {
        until(|| self.child.try_wait().expect("waited")).code()
    }

    pub fn running(&mut self) -> bool {
        self.child.try_wait().expect("waited").is_none()
    }
}

/// The address that a log line holds as its field `address`, in either format.
fn logged_address(line: &str) -> SocketAddr {
    let json: Option<serde_json::Value> =
        serde_json::from_str(line).ok().filter(serde_json::Value::is_object);
    let address = match &json {
        Some(fields) => fields["address"].as_str(),
        None => line.rsplit_once(" address=").map(|(_, address)| address),
    };
    address.and_then(|address| address.parse().ok()).expect("an address")
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// One message of the program: its type and its body.
pub type Message = (u8, Vec<u8>);

/// A client that speaks raw bytes.
pub struct Raw {
    pub stream: TcpStream,
    pub key: Vec<u8>,
}

pub fn framed(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![tag];
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
    out
}

pub fn query(sql: &str) -> Vec<u8> {
    framed(b'Q', format!("{sql}\0").as_bytes())
}

pub fn parse(name: &str, sql: &str) -> Vec<u8> {
    framed(b'P', format!("{name}\0{sql}\0\0\0").as_bytes())
}

pub fn bind(portal: &str, statement: &str, values: &[&str]) -> Vec<u8> {
    let mut body = format!("{portal}\0{statement}\0\0\0").into_bytes();
    body.extend_from_slice(&(values.len() as u16).to_be_bytes());
    for v in values {
        body.extend_from_slice(&(v.len() as u32).to_be_bytes());
        body.extend_from_slice(v.as_bytes());
    }
    body.extend_from_slice(&[0, 0]);
    framed(b'B', &body)
}

pub fn execute(portal: &str, rows: u32) -> Vec<u8> {
    let mut body = format!("{portal}\0").into_bytes();
    body.extend_from_slice(&rows.to_be_bytes());
    framed(b'E', &body)
}

pub fn sync() -> Vec<u8> {
    framed(b'S', b"")
}

pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0app\0database\0core\0\0";
    [&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

impl Raw {
    /// Connects without a word.
    pub fn open(to: SocketAddr) -> Raw {
        let stream = TcpStream::connect(to).expect("connected");
        stream.set_read_timeout(Some(PATIENCE)).expect("set");
        Raw { stream, key: Vec::new() }
    }
    /// Connects and starts a session.
    pub fn connect(to: SocketAddr) -> Raw {
        let mut raw = Raw::open(to);
        raw.send(&startup());
        let start = raw.until_ready();
        raw.key = start.into_iter().find(|m| m.0 == b'K').expect("a key").1;
        raw
    }
    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("written");
    }
    /// The next message; `None` at the end.
    pub fn message(&mut self) -> Option<Message> {
        let mut head = [0; 5];
        self.stream.read_exact(&mut head).ok()?;
        let len = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let mut body = vec![0; len - 4];
        self.stream.read_exact(&mut body).ok()?;
        Some((head[0], body))
    }
    /// All messages up to ReadyForQuery.
    pub fn until_ready(&mut self) -> Vec<Message> {
        let mut all = Vec::new();
        loop {
            all.push(self.message().expect("a message"));
            if all.last().is_some_and(|m| m.0 == b'Z') {
                return all;
            }
        }
    }
    pub fn ask(&mut self, sql: &str) -> Vec<Message> {
        self.send(&query(sql));
        self.until_ready()
    }
    /// Asks for this session's request to be given up.
    pub fn cancel(&self, to: SocketAddr) {
        let mut other = Raw::open(to);
        other.send(&[&16u32.to_be_bytes()[..], &80_877_102u32.to_be_bytes(), &self.key].concat());
    }
}

/// The types of messages, as text.
pub fn kinds(messages: &[Message]) -> String {
    messages.iter().map(|m| char::from(m.0)).collect()
}

/// The fields of the first error among messages: code, message, detail and hint.
pub fn error(messages: &[Message]) -> [String; 4] {
    let body = &messages.iter().find(|m| m.0 == b'E').expect("an error").1;
    let fields: Vec<(u8, String)> = body
        .split(|b| *b == 0)
        .filter(|f| !f.is_empty())
        .map(|f| (f[0], String::from_utf8_lossy(&f[1..]).into_owned()))
        .collect();
    [b'C', b'M', b'D', b'H']
        .map(|tag| fields.iter().find(|f| f.0 == tag).map_or(String::new(), |f| f.1.clone()))
}

/// The rows among messages, columns joined by `|`.
pub fn rows(messages: &[Message]) -> Vec<String> {
    let row = |body: &[u8]| {
        let (mut at, mut columns) = (2, Vec::new());
        while at < body.len() {
            let len = u32::from_be_bytes([body[at], body[at + 1], body[at + 2], body[at + 3]]) as usize;
            columns.push(String::from_utf8_lossy(&body[at + 4..at + 4 + len]).into_owned());
            at += 4 + len;
        }
        columns.join("|")
    };
    messages.iter().filter(|m| m.0 == b'D').map(|m| row(&m.1)).collect()
}
