//! Starts the program with the deploy file's `run`, as the platform does.

use crate::record::Record;
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// What a workload manager is told.
pub struct Told<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub operator: Option<SocketAddr>,
    pub feed: SocketAddr,
    pub engines: &'a [(String, SocketAddr)],
    pub settings: &'a str,
    pub memory_mb: u32,
    pub sockets: u32,
    /// The clients' listening socket, where the platform holds it.
    pub held: Option<&'a TcpListener>,
    /// `$TMPDIR`.
    pub folder: &'a Path,
}

pub struct Manager {
    child: Child,
    pub name: String,
}

/// The `run` line of the deploy file.
fn run_line(root: &Path) -> String {
    let text = fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let line = text.lines().find(|line| line.trim_start().starts_with("run ")).expect("run");
    let value = line.split_once('=').unwrap().1.trim();
    value.trim_matches('"').to_owned()
}

/// A seed for random numbers, another for each start.
fn seed(label: &str) -> String {
    let text =
        label.bytes().fold(0x8c1f_30d2_7a5b_e964u64, |seed, byte| seed.rotate_left(7) ^ u64::from(byte));
    format!("{text:016x}")
}

/// Ids of the processes that were started and not yet waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills every process that still runs.
pub fn kill_all() {
    for pid in RUNNING.lock().unwrap().iter() {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -KILL {pid}")).status();
    }
}

/// Writes a process id to the file that `run.sh` names, from which it ends what is left if it is interrupted.
fn note_pid(pid: u32) {
    let Some(file) = std::env::var_os("REVIEW_PIDS") else { return };
    if let Ok(mut file) = fs::OpenOptions::new().append(true).open(file) {
        let _ = writeln!(file, "{pid}");
    }
}

pub fn entry(id: &str, address: SocketAddr, phase: &str, up_since_ms: u64) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"hall-a","flavor":"std-12","cell":0,"phase":"{phase}","size":1,"up_since_ms":{up_since_ms}}}"#
    )
}

pub fn list_event(number: u64, complete: bool, entries: &[String]) -> String {
    let entries = entries.join(",");
    format!(
        r#"{{"n":{number},"members":{{"revision":{number},"complete":{complete},"members":[{entries}]}}}}"#
    )
}

impl Manager {
    pub fn start(root: &Path, told: &Told, record: &Record, label: &str) -> Manager {
        let entries: Vec<String> = told.engines.iter().map(|(id, at)| entry(id, *at, "ready", 0)).collect();
        let operator = told.operator.map_or(String::new(), |at| format!(r#""operator":"{at}","#));
        let config = format!(
            r#"{{"name":"{}","listen":"{}",{operator}"seed":"{}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"feed":"{}","known":{{"n":1,"events":[{}]}},"settings":{}}}"#,
            told.name,
            told.listen,
            seed(label),
            told.memory_mb,
            told.sockets,
            told.feed,
            list_event(1, true, &entries),
            told.settings
        );
        let file: PathBuf = told.folder.with_extension(format!("{label}.json"));
        fs::write(&file, config).expect("a configuration");
        let run = run_line(root);
        let command = match told.held {
            Some(_) => format!("exec 5<&0 0</dev/null; {run}"),
            None => run,
        };
        let log = fs::File::create(told.folder.with_extension(format!("{label}.log"))).expect("a log");
        let mut start = Command::new("/bin/sh");
        start.arg("-c").arg(&command).current_dir(root);
        start.env("EDGE_NAME", told.name).env("EDGE_LISTEN", told.listen.to_string());
        start.env("EDGE_CONFIG", &file).env("TMPDIR", told.folder);
        start.env_remove("EDGE_FD").env_remove("EDGE_OPERATOR");
        if let Some(at) = told.operator {
            start.env("EDGE_OPERATOR", at.to_string());
        }
        match told.held {
            Some(listener) => {
                start.env("EDGE_FD", "5");
                start.stdin(Stdio::from(OwnedFd::from(listener.try_clone().expect("a handle"))));
            }
            None => {
                start.stdin(Stdio::null());
            }
        }
        start.stdout(Stdio::from(log.try_clone().unwrap())).stderr(Stdio::from(log));
        let child = start.spawn().expect("the program");
        record.line(format!("{label} started, pid {}", child.id()));
        note_pid(child.id());
        RUNNING.lock().unwrap().push(child.id());
        Manager { child, name: label.to_owned() }
    }

    pub fn signal(&self, name: &str, record: &Record) {
        record.line(format!("SIG{name} to {}", self.name));
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {}", self.child.id())).status();
    }

    /// Private memory of the process (what is mapped from files not counted) and the files of `$TMPDIR`, in kB.
    pub fn private_memory_kb(&self, folder: &Path) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let anonymous = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        let number = anonymous.and_then(|text| text.trim().trim_end_matches("kB").trim().parse().ok());
        let files = fs::read_dir(folder).into_iter().flatten().flatten();
        let bytes: u64 = files.filter_map(|file| file.metadata().ok()).map(|metadata| metadata.len()).sum();
        number.unwrap_or(0) + bytes / 1024
    }

    /// Whether the process has ended, with its exit status as text.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }
}

impl Drop for Manager {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let pid = self.child.id();
        RUNNING.lock().unwrap().retain(|running| *running != pid);
    }
}

/// A loopback address with a free port.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// Whether `GET /admin/health` is answered with yes.
pub fn is_healthy(operator: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&operator, Duration::from_secs(1)) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let call = format!("GET /admin/health HTTP/1.1\r\nHost: {operator}\r\nConnection: close\r\n\r\n");
    let mut answer = String::new();
    stream.write_all(call.as_bytes()).is_ok()
        && stream.read_to_string(&mut answer).is_ok()
        && answer.starts_with("HTTP/1.1 2")
}

/// Waits until a condition holds; false after the time given.
pub fn wait_until(within: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + within;
    while !holds() {
        if Instant::now() > end {
            return false;
        }
        thread::sleep(Duration::from_millis(5));
    }
    true
}
