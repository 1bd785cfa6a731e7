//! Shared by the socket tests: stand-in engines, a stand-in control feed, the program itself and a client
//! that sends raw bytes. All sockets are on loopback, on ports that the kernel chooses.
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

/// Time limit of waits for an expected event. It is never used to show that an event doesn't happen.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A command that an engine received.
#[derive(Clone, Debug)]
pub struct ReceivedCommand {
    pub received_at: Instant,
    /// Bulk strings of the command. For `do`: command word, request id, fields and statement.
    pub parts: Vec<String>,
}

impl ReceivedCommand {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.parts[2].split(',').filter_map(|p| p.split_once('=')).find(|p| p.0 == name).map(|p| p.1)
    }
}

/// How a stand-in engine responds to a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Serves a result that consists of these pages.
    Pages(Vec<String>),
    /// Never answers, and keeps the connection open.
    Hold,
    /// Sends an answer with this status word and an empty body.
    Word(&'static str),
    /// Sends these bytes, with each `@` replaced by the request's id.
    Raw(String),
    /// Closes the connection.
    Disconnect,
    /// Announces two pages, sends this first one, and closes the connection when the second is requested.
    DisconnectMidAnswer(String),
}

/// A stand-in engine.
pub struct Engine {
    pub address: SocketAddr,
    commands: Arc<Mutex<Vec<ReceivedCommand>>>,
}

impl Engine {
    pub fn start(reply: impl Fn(&ReceivedCommand) -> Reply + Send + Sync + 'static) -> Engine {
        Engine::start_on_listener(TcpListener::bind("127.0.0.1:0").expect("a port"), reply)
    }

    /// Starts an engine on an existing listener.
    fn start_on_listener(
        listener: TcpListener,
        reply: impl Fn(&ReceivedCommand) -> Reply + Send + Sync + 'static,
    ) -> Engine {
        let address = listener.local_addr().expect("an address");
        let commands: Arc<Mutex<Vec<ReceivedCommand>>> = Arc::default();
        let (log, reply) = (Arc::clone(&commands), Arc::new(reply));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (log, reply) = (Arc::clone(&log), Arc::clone(&reply));
                thread::spawn(move || serve_engine(stream, &log, &*reply));
            }
        });
        Engine { address, commands }
    }

    /// Starts an engine that answers every request with one row whose first column is the statement.
    pub fn echo() -> Engine {
        Engine::start(|command| Reply::Pages(vec![format!("{}\tb\tc\n", command.parts[3])]))
    }

    /// Commands with this word that the engine received, in order.
    pub fn received(&self, word: &str) -> Vec<ReceivedCommand> {
        let commands = self.commands.lock().expect("unpoisoned");
        commands.iter().filter(|c| c.parts[0] == word).cloned().collect()
    }

    /// All commands that the engine received, in order.
    pub fn all_received(&self) -> Vec<ReceivedCommand> {
        self.commands.lock().expect("unpoisoned").clone()
    }

    /// Waits until the engine has received `count` commands with this word, and returns them.
    pub fn wait_for(&self, word: &str, count: usize) -> Vec<ReceivedCommand> {
        wait_until(|| Some(self.received(word)).filter(|s| s.len() >= count))
    }
}

/// A listener that doesn't accept: its backlog is full, so that connections to it stay in SYN_SENT until
/// [`open`].
///
/// [`open`]: DelayedListener::open
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
        // Fills the accept queue: it is full when a further connection isn't established.
        let fill = |_| TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
        let filler = (0..16).map_while(fill).collect::<Vec<_>>();
        assert!((1..16).contains(&filler.len()), "{} connections filled the accept queue", filler.len());
        DelayedListener { address, listener, _filler: filler }
    }

    /// Starts an engine that accepts the waiting connections.
    pub fn open(self, reply: impl Fn(&ReceivedCommand) -> Reply + Send + Sync + 'static) -> Engine {
        Engine::start_on_listener(self.listener, reply)
    }
}

/// Polls until `found` returns a value. Panics after [`WAIT_TIMEOUT`].
pub fn wait_until<T>(mut found: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = found() {
            return value;
        }
        assert!(Instant::now() < end, "the awaited condition wasn't met within {WAIT_TIMEOUT:?}");
        thread::sleep(Duration::from_millis(2));
    }
}

fn read_command(from: &mut impl BufRead) -> Option<Vec<String>> {
    let read_number = |prefix: char, from: &mut dyn BufRead| -> Option<usize> {
        let mut line = String::new();
        from.read_line(&mut line).ok().filter(|n| *n > 0)?;
        line.trim_end().strip_prefix(prefix)?.parse().ok()
    };
    let count = read_number('*', from)?;
    (0..count)
        .map(|_| {
            let len = read_number('$', from)?;
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
    // Errors are ignored: a test that needs the connection fails by itself when the connection is lost.
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
        let command = ReceivedCommand { received_at: Instant::now(), parts };
        log.lock().expect("unpoisoned").push(command.clone());
        let id = command.parts.get(1).cloned().unwrap_or_default();
        match command.parts[0].as_str() {
            "do" => match reply(&command) {
                Reply::Pages(result) => {
                    let fields = format!("batches={},cpu=5,used=8,stats=inflight:1;queue:0", result.len());
                    answer(&mut out, &[&id, "served", &fields, &result[0]]);
                    pages.insert(id, result);
                }
                Reply::Hold => {}
                Reply::Word(word) => answer(&mut out, &[&id, word, "-", ""]),
                Reply::Raw(text) => drop(out.write_all(text.replace('@', &id).as_bytes())),
                Reply::Disconnect => break,
                Reply::DisconnectMidAnswer(first) => answer(&mut out, &[&id, "served", "batches=2", &first]),
            },
            "page" => {
                let index: usize = command.parts[2].parse().expect("a page index");
                let Some(body) = pages.get(&id).and_then(|p| p.get(index)) else { break };
                answer(&mut out, &[&id, "rows", &format!("batch={index}"), body]);
            }
            _ => {}
        }
    }
    let _ = out.shutdown(std::net::Shutdown::Both);
}

/// A stand-in control feed, which sends the events that the test adds.
pub struct Feed {
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<String>>>,
    /// `Last-Event-ID` of every call so far, in order; 0 for a call without this header.
    pub calls: Arc<Mutex<Vec<u64>>>,
    /// Incremented to close all open calls.
    close_generation: Arc<AtomicU64>,
    open_calls: Arc<AtomicU64>,
    /// Number of an event, and the malformed text sent in place of the event to the first call that reaches
    /// it.
    malformed: Arc<Mutex<Option<(usize, String)>>>,
}

impl Feed {
    pub fn start() -> Feed {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let events: Arc<Mutex<Vec<String>>> = Arc::default();
        let calls: Arc<Mutex<Vec<u64>>> = Arc::default();
        let close_generation: Arc<AtomicU64> = Arc::default();
        let open_calls: Arc<AtomicU64> = Arc::default();
        let (log, sent, generation) =
            (Arc::clone(&calls), Arc::clone(&events), Arc::clone(&close_generation));
        let open = Arc::clone(&open_calls);
        let malformed: Arc<Mutex<Option<(usize, String)>>> = Arc::default();
        let replacement = Arc::clone(&malformed);
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let mut input = BufReader::new(stream.try_clone().expect("a second handle"));
                let mut last_event = 0;
                for line in input.by_ref().lines().map_while(Result::ok).take_while(|l| !l.is_empty()) {
                    let header = line.to_ascii_lowercase();
                    if let Some(n) = header.strip_prefix("last-event-id:") {
                        last_event = n.trim().parse().expect("a number");
                    }
                }
                log.lock().expect("unpoisoned").push(last_event);
                let (sent, generation) = (Arc::clone(&sent), Arc::clone(&generation));
                let opened_in = generation.load(Ordering::SeqCst);
                let open = Arc::clone(&open);
                let replacement = Arc::clone(&replacement);
                open.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
                    let mut alive = stream.write_all(head.as_bytes()).is_ok();
                    // Sends the last event that the caller already has once more: the caller must ignore it.
                    let mut next = last_event.saturating_sub(1) as usize;
                    while alive {
                        let new_events = sent.lock().expect("unpoisoned")[next..].to_vec();
                        for data in new_events {
                            next += 1;
                            let malformed = replacement.lock().expect("unpoisoned").take_if(|r| r.0 == next);
                            let data = malformed.map_or(data, |r| r.1);
                            alive &= write!(stream, "id: {next}\ndata: {data}\n\n").is_ok();
                        }
                        alive &= generation.load(Ordering::SeqCst) == opened_in;
                        alive &= write!(stream, ": still here\n\n").is_ok();
                        thread::sleep(Duration::from_millis(20));
                    }
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Feed { address, events, calls, close_generation, open_calls, malformed }
    }

    /// Number of calls to this feed that are open now.
    pub fn open_calls(&self) -> u64 {
        self.open_calls.load(Ordering::SeqCst)
    }

    /// Adds `event` to the feed. The first call that reaches the event gets `malformed` in its place.
    pub fn send_malformed_once(&self, event: impl Into<String>, malformed: impl Into<String>) {
        let mut events = self.events.lock().expect("unpoisoned");
        *self.malformed.lock().expect("unpoisoned") = Some((events.len() + 1, malformed.into()));
        events.push(event.into());
    }

    /// Closes every open call.
    pub fn close_calls(&self) {
        self.close_generation.fetch_add(1, Ordering::SeqCst);
    }

    pub fn send(&self, event: impl Into<String>) {
        self.events.lock().expect("unpoisoned").push(event.into());
    }
}

/// Data of an endpoint list event: `n` is both the event's number and the list's revision; each engine is
/// given by id, address and phase.
pub fn list_event(n: usize, complete: bool, engines: &[(&str, SocketAddr, &str)]) -> String {
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

/// Settings with two classes: `lane-rate` may always be retried, `tariff-load` with an idempotency key.
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

/// A running process of the program.
pub struct Program {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
    /// Address of the platform's front.
    pub platform: SocketAddr,
    /// Address of the second front; `None` without an operator's file.
    pub second: Option<SocketAddr>,
    /// Address for admin calls; `None` without `EDGE_OPERATOR`.
    pub operators: Option<SocketAddr>,
    dir: std::path::PathBuf,
}

static NEXT_DIR: AtomicU64 = AtomicU64::new(0);

/// Path of the program under test: `SPRUCELINK_PROGRAM` if it is set, otherwise the program of this build.
pub fn program_path() -> std::ffi::OsString {
    std::env::var_os("SPRUCELINK_PROGRAM").unwrap_or_else(|| env!("CARGO_BIN_EXE_sprucelink").into())
}

/// Creates an empty folder for this test.
pub fn scratch_dir() -> std::path::PathBuf {
    let n = NEXT_DIR.fetch_add(1, Ordering::Relaxed);
    let dir = std::env::temp_dir().join(format!("sprucelink-test-{}-{n}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    dir
}

impl Program {
    /// Starts the program with these engines, given by id and address. `operator` is the text of the
    /// operator's file, with which the second front is started.
    pub fn start(engines: &[(&str, SocketAddr)], feed: Option<&Feed>, operator: Option<&str>) -> Program {
        Program::start_limited(engines, feed, operator, 192, 1024)
    }

    /// As [`Program::start`], with these limits on memory (megabytes) and descriptors.
    pub fn start_limited(
        engines: &[(&str, SocketAddr)],
        feed: Option<&Feed>,
        operator: Option<&str>,
        memory_mb: usize,
        sockets: usize,
    ) -> Program {
        Program::launch(engines, feed, operator, (memory_mb, sockets), SETTINGS, &[])
    }

    /// As [`Program::start`], with the operators' address open.
    pub fn with_operators(engines: &[(&str, SocketAddr)], feed: Option<&Feed>, settings: &str) -> Program {
        let vars = [("EDGE_OPERATOR", "127.0.0.1:0")];
        Program::launch_in(&vars, None, engines, feed, None, (192, 1024), settings, &[])
    }

    /// As [`Program::start`], with limits on memory (megabytes) and descriptors, settings and further
    /// arguments.
    pub fn launch(
        engines: &[(&str, SocketAddr)],
        feed: Option<&Feed>,
        operator: Option<&str>,
        limits: (usize, usize),
        settings: &str,
        extra_args: &[&str],
    ) -> Program {
        Program::launch_in(&[], None, engines, feed, operator, limits, settings, extra_args)
    }

    /// Starts one of several processes that accept on the same inherited listening socket and share a state
    /// folder.
    pub fn start_on_shared_listener(
        listener: &TcpListener,
        folder: &Path,
        engines: &[(&str, SocketAddr)],
    ) -> Program {
        let folder = folder.to_str().expect("a name in UTF-8");
        let vars = [("EDGE_OPERATOR", "127.0.0.1:0"), ("EDGE_FD", "5"), ("TMPDIR", folder)];
        Program::launch_in(&vars, Some(listener), engines, None, None, (192, 1024), SETTINGS, &[])
    }

    /// As [`Program::launch`], with additional environment variables and an inherited listening socket as
    /// descriptor 5. The limits are megabytes of memory and a number of descriptors.
    #[allow(clippy::too_many_arguments, reason = "the functions above name their arguments")]
    pub fn launch_in(
        vars: &[(&str, &str)],
        inherited: Option<&TcpListener>,
        engines: &[(&str, SocketAddr)],
        feed: Option<&Feed>,
        operator: Option<&str>,
        (memory_mb, sockets): (usize, usize),
        settings: &str,
        extra_args: &[&str],
    ) -> Program {
        let dir = scratch_dir();
        let ready: Vec<_> = engines.iter().map(|(id, address)| (*id, *address, "ready")).collect();
        let feed = feed.map_or(String::new(), |f| format!(r#""feed":"{}","#, f.address));
        let config = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"00000000000000aa",{feed}
             "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
             "known":{{"n":1,"events":[{}]}},"settings":{settings}}}"#,
            list_event(1, true, &ready)
        );
        std::fs::write(dir.join("config.json"), config).expect("written");
        let mut command = Command::new(program_path());
        command.arg("serve").arg("--config").arg(dir.join("config.json")).args(extra_args);
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
        let has_admin_address = vars.iter().any(|v| v.0 == "EDGE_OPERATOR");
        program.operators = has_admin_address.then(|| program.admin_address());
        program.second = operator.map(|_| program.front_address("second"));
        program
    }

    /// Starts a command and collects its log lines. The caller sets the program's addresses.
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
        let unknown = "127.0.0.1:0".parse().expect("an address");
        Program { child, lines, platform: unknown, second: None, operators: None, dir }
    }

    /// Waits until a front accepts connections, and returns its address.
    pub fn front_address(&self, front: &str) -> SocketAddr {
        let (text, json) = (format!("front={front} "), format!("\"front\":\"{front}\""));
        let is_listening =
            |l: &&String| l.contains("accepting connections") && (l.contains(&text) || l.contains(&json));
        logged_address(&wait_until(|| self.lines().iter().find(is_listening).cloned()))
    }

    /// Waits until admin calls are accepted, and returns their address.
    pub fn admin_address(&self) -> SocketAddr {
        logged_address(&self.wait_line("admin server listening"))
    }

    /// Waits for a log line that contains a text.
    pub fn wait_line(&self, text: &str) -> String {
        wait_until(|| self.lines.lock().expect("unpoisoned").iter().find(|l| l.contains(text)).cloned())
    }

    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().expect("unpoisoned").clone()
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file's text and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(self.dir.join("config.json"), config).expect("written");
        self.signal("-HUP");
    }

    /// Returns the configuration file's text with another feed address.
    pub fn config_with_feed(&self, feed: SocketAddr) -> String {
        let text = std::fs::read_to_string(self.dir.join("config.json")).expect("read");
        let mut json: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        json["feed"] = feed.to_string().into();
        json.to_string()
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill").success());
    }

    /// Sends SIGKILL, as a crash, and waits for the process's end.
    pub fn kill(&mut self) {
        self.child.kill().expect("killed");
        self.child.wait().expect("waited");
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the process ends, and returns its exit status; `None` if a signal ended it.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        wait_until(|| self.child.try_wait().expect("waited")).code()
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("waited").is_none()
    }
}

/// Parses the field `address` of a log line in text or JSON format.
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

/// A message of the PostgreSQL protocol: its type and its body.
pub type Message = (u8, Vec<u8>);

/// A client that sends raw bytes.
pub struct RawClient {
    pub stream: TcpStream,
    /// Body of the session's BackendKeyData, for CancelRequests.
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

impl RawClient {
    /// Connects without sending a start-up packet.
    pub fn open(to: SocketAddr) -> RawClient {
        let stream = TcpStream::connect(to).expect("connected");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
        RawClient { stream, key: Vec::new() }
    }
    /// Connects and starts a session.
    pub fn connect(to: SocketAddr) -> RawClient {
        let mut client = RawClient::open(to);
        client.send(&startup());
        let start = client.until_ready();
        client.key = start.into_iter().find(|m| m.0 == b'K').expect("a key").1;
        client
    }
    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("written");
    }
    /// Reads the next message; `None` at the end of the connection.
    pub fn message(&mut self) -> Option<Message> {
        let mut head = [0; 5];
        self.stream.read_exact(&mut head).ok()?;
        let len = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let mut body = vec![0; len - 4];
        self.stream.read_exact(&mut body).ok()?;
        Some((head[0], body))
    }
    /// Reads all messages up to ReadyForQuery.
    pub fn until_ready(&mut self) -> Vec<Message> {
        let mut messages = Vec::new();
        loop {
            messages.push(self.message().expect("a message"));
            if messages.last().is_some_and(|m| m.0 == b'Z') {
                return messages;
            }
        }
    }
    /// Sends a simple query and reads its answer up to ReadyForQuery.
    pub fn ask(&mut self, sql: &str) -> Vec<Message> {
        self.send(&query(sql));
        self.until_ready()
    }
    /// Sends a CancelRequest for this session on a new connection.
    pub fn cancel(&self, to: SocketAddr) {
        let mut cancel_connection = RawClient::open(to);
        cancel_connection.send(&[&16u32.to_be_bytes()[..], &80_877_102u32.to_be_bytes(), &self.key].concat());
    }
}

/// Type bytes of the messages, one character per message.
pub fn message_types(messages: &[Message]) -> String {
    messages.iter().map(|m| char::from(m.0)).collect()
}

/// Code, message, detail and hint of the first ErrorResponse among the messages; absent fields are empty.
pub fn error_fields(messages: &[Message]) -> [String; 4] {
    let body = &messages.iter().find(|m| m.0 == b'E').expect("an error").1;
    let fields: Vec<(u8, String)> = body
        .split(|b| *b == 0)
        .filter(|f| !f.is_empty())
        .map(|f| (f[0], String::from_utf8_lossy(&f[1..]).into_owned()))
        .collect();
    [b'C', b'M', b'D', b'H']
        .map(|tag| fields.iter().find(|f| f.0 == tag).map_or(String::new(), |f| f.1.clone()))
}

/// Rows of the DataRow messages, with the columns of each joined by `|`.
pub fn rows(messages: &[Message]) -> Vec<String> {
    let row = |body: &[u8]| {
        let (mut offset, mut columns) = (2, Vec::new());
        while offset < body.len() {
            let length = &body[offset..offset + 4];
            let len = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize;
            columns.push(String::from_utf8_lossy(&body[offset + 4..offset + 4 + len]).into_owned());
            offset += 4 + len;
        }
        columns.join("|")
    };
    messages.iter().filter(|m| m.0 == b'D').map(|m| row(&m.1)).collect()
}
