//! Processes of the real program: started with a configuration of their own, signalled and restarted by
//! their own ids only, and all killed when the fleet is dropped.

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::fs::File;
use std::io::Read;
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Maximum number of managers of a run: each is a process with its descriptors and a log.
pub const MAX_MANAGERS: usize = 1_000;

/// Maximum number of bytes that [`Fleet::log`] reads from the beginning of a log.
const MAX_LOG_BYTES: u64 = 4 << 20;
/// Maximum number of bytes that [`Tail::new_lines`] reads of a log at a time.
pub const MAX_NEW_BYTES: u64 = 1 << 20;

/// The settings of the harness's deployment for `managers` managers, in the platform's format: two classes,
/// two tenants, engines of 8 cores.
pub fn settings(managers: usize) -> String {
    format!(
        r#"{{"kindOfService":"queries","zones":["hall-a","hall-b"],"shapes":["std"],"siblings":{managers},
 "profiles":[
  {{"name":"lane-rate","value":1.0,"aim":2.0,"deadline":6.0,"effect":"read_like","dedupScope":"all"}},
  {{"name":"tariff-load","value":5.0,"aim":4.0,"deadline":25.0,"effect":"idempotency_key","dedupScope":"all","repeatWindow":15.0}}],
 "customers":[{{"name":"sud","portion":0.8,"quotaPerS":100000.0}},{{"name":"nord","portion":0.2,"quotaPerS":100000.0}}],
 "specifics":{{"classThreads":[1,2],"loads":[false,true],"sizeCores":[8],"ramOfKindMb":[65536.0],"takesGrants":true,
  "priorities":true,"tellsCost":true,"memoryShort":"swap","progressPace":0.0}},
 "limits":{{"cancel":true,"maxAttempts":6,"maxRetryAfter":2.0,"maxStreams":32,"connIdle":15.0,"connectTimeout":5.0}},
 "loadReport":{{"via":"piggyback","fields":["rif","q"]}},
 "invariants":{{"budgetShare":0.1,"freeResends":3.0,"ratioSpan":5.0,"drainGrace":0.5,"fallMultiple":2.5,
  "overloadFor":2.0,"startCapacity":0.3,"cold":15.0}}}}"#
    )
}

/// One engine in an event of the endpoint list.
#[derive(Clone, Debug)]
pub struct Row {
    /// Id of the engine.
    pub id: String,
    /// Address at which the recipients of the event reach the engine.
    pub address: SocketAddr,
    /// Zone of the engine.
    pub zone: String,
    /// Phase of the engine on the list: `ready`, `draining` or `gone`.
    pub phase: &'static str,
    /// Unix time of the engine's last cold start, in milliseconds; 0: the engine started warm.
    pub since_ms: u128,
}

/// An endpoint list event as JSON: its number, the list's revision, whether it is complete (a snapshot), and
/// its rows.
pub fn event(n: u64, revision: u64, complete: bool, rows: &[Row]) -> String {
    let rows: Vec<String> = rows
        .iter()
        .map(|r| {
            let Row { id, address, zone, phase, since_ms } = r;
            format!(
                r#"{{"id":"{id}","host_port":"{address}","locality":"{zone}","flavor":"std","cell":0,"phase":"{phase}","size":8,"up_since_ms":{since_ms}}}"#
            )
        })
        .collect();
    let rows = rows.join(",");
    format!(r#"{{"n":{n},"members":{{"revision":{revision},"complete":{complete},"members":[{rows}]}}}}"#)
}

/// Event 1 of the endpoint list: a complete list of these engines, all ready and in the zone hall-a.
pub fn list(engines: &[(String, SocketAddr)]) -> String {
    let row = |(id, address): &(String, SocketAddr)| Row {
        id: id.clone(),
        address: *address,
        zone: "hall-a".into(),
        phase: "ready",
        since_ms: 0,
    };
    event(1, 1, true, &engines.iter().map(row).collect::<Vec<_>>())
}

/// A manager's configuration in the platform's format; `known` is the number of the feed's events so far, and
/// the events.
pub fn config(name: &str, seed: u64, feed: SocketAddr, known: &(u64, String), settings: &str) -> String {
    let (count, events) = known;
    format!(
        r#"{{"name":"{name}","listen":"127.0.0.1:0","seed":"{seed:016x}","feed":"{feed}",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{{"n":{count},"events":[{events}]}},"settings":{settings}}}"#
    )
}

/// How a process ended: its exit status, or the signal that ended it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessExit {
    /// Exit status; absent if a signal ended the process.
    pub status: Option<i32>,
    /// Number of the signal that ended the process; absent if it exited.
    pub signal: Option<i32>,
}

/// One manager: its process, configuration file and log file.
pub struct Manager {
    /// Name of the manager, the same after a restart.
    pub name: String,
    /// Additional arguments of `serve`, used from the next start on.
    pub args: Vec<String>,
    child: Option<Child>,
    log: PathBuf,
    config: PathBuf,
    /// Number of starts of the manager's process so far.
    pub starts: u32,
}

/// The managers of one run.
pub struct Fleet {
    program: PathBuf,
    dir: PathBuf,
    /// Every manager that was started, by index.
    pub managers: Vec<Manager>,
}

impl Fleet {
    /// An empty fleet of processes of `program`, with their files in `dir`, which is created.
    pub fn new(program: &Path, dir: &Path) -> std::io::Result<Fleet> {
        std::fs::create_dir_all(dir)?;
        Ok(Fleet { program: program.to_owned(), dir: dir.to_owned(), managers: Vec::new() })
    }

    /// Starts a manager with a configuration and additional arguments of `serve`, and returns its index.
    pub fn start(&mut self, name: &str, config: &str, args: &[String]) -> std::io::Result<usize> {
        if self.managers.len() >= MAX_MANAGERS {
            return Err(std::io::Error::other(format!("at most {MAX_MANAGERS} managers")));
        }
        let path = self.dir.join(format!("{name}.json"));
        std::fs::write(&path, config)?;
        let log = self.dir.join(format!("{name}.log"));
        let mut manager =
            Manager { name: name.to_owned(), args: args.to_vec(), child: None, log, config: path, starts: 0 };
        spawn(&self.program, &mut manager)?;
        self.managers.push(manager);
        Ok(self.managers.len() - 1)
    }

    /// Sends a signal to manager `i`'s own process, if it runs.
    pub fn signal(&self, i: usize, signal: Signal) -> nix::Result<()> {
        match self.managers.get(i).and_then(|m| m.child.as_ref()) {
            Some(child) => kill(Pid::from_raw(child.id() as i32), signal),
            None => Ok(()),
        }
    }

    /// Kills manager `i` (SIGKILL), if it runs, and waits for its exit.
    pub fn kill(&mut self, i: usize) {
        if let Some(manager) = self.managers.get_mut(i) {
            kill_and_wait(manager);
        }
    }

    /// Kills manager `i`, if it runs, and starts it again under its name with a configuration.
    ///
    /// # Errors
    /// If the manager's files can't be written or its process can't be started.
    pub fn restart(&mut self, i: usize, config: &str) -> std::io::Result<()> {
        let Some(manager) = self.managers.get_mut(i) else { return Ok(()) };
        kill_and_wait(manager);
        std::fs::write(&manager.config, config)?;
        spawn(&self.program, manager)
    }

    /// How manager `i`'s process exited; `None` while it runs, and if this fleet killed it.
    pub fn exited(&mut self, i: usize) -> Option<ProcessExit> {
        let child = self.managers.get_mut(i)?.child.as_mut()?;
        let status = child.try_wait().ok().flatten()?;
        Some(ProcessExit { status: status.code(), signal: status.signal() })
    }

    /// Processor time that manager `i`'s process has used so far, in seconds, as the kernel accounts it.
    pub fn cpu(&self, i: usize) -> Option<f64> {
        let pid = self.managers.get(i)?.child.as_ref()?.id();
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // After the name in parentheses, the 12th and 13th fields are user and system time, in ticks
        // (proc(5)).
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        let ticks_per_second = nix::unistd::sysconf(nix::unistd::SysconfVar::CLK_TCK).ok()??;
        Some(ticks / ticks_per_second as f64)
    }

    /// Whether manager `i` has a process that this fleet has not killed; a process that exited by itself
    /// counts, too.
    pub fn runs(&self, i: usize) -> bool {
        self.managers.get(i).is_some_and(|m| m.child.is_some())
    }

    /// The folder with manager `i`'s files that outlive its process; the run creates it at the first start.
    pub fn folder(&self, i: usize) -> PathBuf {
        self.dir.join(format!("n{i}"))
    }

    /// The log file of manager `i`, truncated at each start.
    pub fn log_file(&self, i: usize) -> Option<&Path> {
        self.managers.get(i).map(|m| m.log.as_path())
    }

    /// Manager `i`'s log since its last start, at most the first [`MAX_LOG_BYTES`] bytes.
    pub fn log(&self, i: usize) -> String {
        let mut log = Vec::new();
        let read =
            File::open(&self.managers[i].log).and_then(|f| f.take(MAX_LOG_BYTES).read_to_end(&mut log));
        read.map_or_else(|_| String::new(), |_| String::from_utf8_lossy(&log).into_owned())
    }

    /// Whether manager `i`'s log since its last start contains `text`.
    pub fn log_contains(&self, i: usize, text: &str) -> bool {
        self.log(i).contains(text)
    }

    /// The address at which manager `i` serves clients, once its log shows it.
    pub fn serving(&self, i: usize) -> Option<SocketAddr> {
        let log = self.log(i);
        log.lines()
            .find_map(|l| l.split_once("accepting connections front=platform address="))?
            .1
            .parse()
            .ok()
    }

    /// Waits at most `timeout` until every manager's log contains `text`, and returns the number of managers
    /// whose log does.
    pub fn wait_all(&self, text: &str, timeout: Duration) -> usize {
        let deadline = Instant::now() + timeout;
        loop {
            let count = (0..self.managers.len()).filter(|i| self.log_contains(*i, text)).count();
            if count == self.managers.len() || Instant::now() >= deadline {
                return count;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Kills every manager that runs (SIGKILL), and waits for their exits.
    pub fn end_all(&mut self) {
        self.managers.iter_mut().for_each(kill_and_wait);
    }
}

/// Reads a log as it grows: each complete line once.
pub struct Tail {
    file: File,
    /// Bytes after the last complete line.
    partial_line: Vec<u8>,
}

impl Tail {
    /// Opens a log and starts at its beginning.
    ///
    /// # Errors
    /// If the file can't be opened.
    pub fn open(log: &Path) -> std::io::Result<Tail> {
        Ok(Tail { file: File::open(log)?, partial_line: Vec::new() })
    }

    /// The complete lines that were added since the last call, from at most [`MAX_NEW_BYTES`] bytes; a longer
    /// line is split there.
    pub fn new_lines(&mut self) -> Vec<String> {
        let read =
            std::io::Read::by_ref(&mut self.file).take(MAX_NEW_BYTES).read_to_end(&mut self.partial_line);
        if !matches!(read, Ok(n) if n > 0) {
            return Vec::new();
        }
        let end = match self.partial_line.iter().rposition(|b| *b == b'\n') {
            Some(newline) => newline + 1,
            None if self.partial_line.len() as u64 >= MAX_NEW_BYTES => self.partial_line.len(),
            None => return Vec::new(),
        };
        let complete: Vec<u8> = self.partial_line.drain(..end).collect();
        String::from_utf8_lossy(&complete).lines().map(str::to_owned).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.end_all();
    }
}

fn spawn(program: &Path, manager: &mut Manager) -> std::io::Result<()> {
    let log = File::create(&manager.log)?;
    let child = Command::new(program)
        .arg("serve")
        .arg("--config")
        .arg(&manager.config)
        .args(&manager.args)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    manager.child = Some(child);
    manager.starts += 1;
    Ok(())
}

fn kill_and_wait(manager: &mut Manager) {
    if let Some(mut child) = manager.child.take() {
        let _ = kill(Pid::from_raw(child.id() as i32), Signal::SIGKILL);
        let _ = child.wait();
    }
}
