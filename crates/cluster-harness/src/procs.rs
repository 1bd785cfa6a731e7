//! Processes of the real program: started with a configuration of their own, signalled and restarted by
//! their own ids only, and all ended when the rig ends.

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::fs::File;
use std::io::Read;
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Managers of one run: each is a process with its descriptors and a log.
pub const MAX_MANAGERS: usize = 1_000;

/// Bytes that are read of a log.
const MAX_LOG_BYTES: u64 = 4 << 20;
/// Bytes that [`Tail::new_lines`] reads of a log at a time.
pub const MAX_NEW_BYTES: u64 = 1 << 20;

/// The settings of the rig's deployment for `managers` managers: two classes, two tenants, engines of 8
/// cores, as the platform words them.
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

/// One engine as a list event words it.
#[derive(Clone, Debug)]
pub struct Row {
    /// Its id.
    pub id: String,
    /// Where it is reached.
    pub at: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// `ready`, `draining` or `gone`.
    pub phase: &'static str,
    /// Unix milliseconds of a late start, or 0.
    pub since_ms: u128,
}

/// A list event: its number, its revision, whether it is whole, and what it names.
pub fn event(n: u64, revision: u64, complete: bool, rows: &[Row]) -> String {
    let rows: Vec<String> = rows
        .iter()
        .map(|r| {
            let Row { id, at, zone, phase, since_ms } = r;
            format!(
                r#"{{"id":"{id}","host_port":"{at}","locality":"{zone}","flavor":"std","cell":0,"phase":"{phase}","size":8,"up_since_ms":{since_ms}}}"#
            )
        })
        .collect();
    let rows = rows.join(",");
    format!(r#"{{"n":{n},"members":{{"revision":{revision},"complete":{complete},"members":[{rows}]}}}}"#)
}

/// The list event (number 1, whole) that names these engines, all ready, in hall-a.
pub fn list(engines: &[(String, SocketAddr)]) -> String {
    let row = |(id, at): &(String, SocketAddr)| Row {
        id: id.clone(),
        at: *at,
        zone: "hall-a".into(),
        phase: "ready",
        since_ms: 0,
    };
    event(1, 1, true, &engines.iter().map(row).collect::<Vec<_>>())
}

/// A manager's configuration, as the platform gives it: `known` is the feed's events so far and how many.
pub fn config(name: &str, seed: u64, feed: SocketAddr, known: &(u64, String), settings: &str) -> String {
    let (n, events) = known;
    format!(
        r#"{{"name":"{name}","listen":"127.0.0.1:0","seed":"{seed:016x}","feed":"{feed}",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{{"n":{n},"events":[{events}]}},"settings":{settings}}}"#
    )
}

/// How a process ended: its exit status, or the signal that ended it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessExit {
    /// Its status.
    pub status: Option<i32>,
    /// The signal.
    pub signal: Option<i32>,
}

/// One manager: its process and where its log goes.
pub struct Manager {
    /// Its name, the same after a restart.
    pub name: String,
    /// Further arguments of `serve`, from its next start on.
    pub args: Vec<String>,
    child: Option<Child>,
    log: PathBuf,
    config: PathBuf,
    /// Starts so far.
    pub starts: u32,
}

/// The managers of one rig.
pub struct Fleet {
    program: PathBuf,
    dir: PathBuf,
    /// Every manager started, in order.
    pub managers: Vec<Manager>,
}

impl Fleet {
    /// A fleet of `program`'s processes, with their files in `dir`.
    pub fn new(program: &Path, dir: &Path) -> std::io::Result<Fleet> {
        std::fs::create_dir_all(dir)?;
        Ok(Fleet { program: program.to_owned(), dir: dir.to_owned(), managers: Vec::new() })
    }

    /// Starts a manager with a configuration and further arguments of `serve`; its number.
    pub fn start(&mut self, name: &str, config: &str, args: &[String]) -> std::io::Result<usize> {
        if self.managers.len() >= MAX_MANAGERS {
            return Err(std::io::Error::other(format!("at most {MAX_MANAGERS} managers")));
        }
        let path = self.dir.join(format!("{name}.json"));
        std::fs::write(&path, config)?;
        let log = self.dir.join(format!("{name}.log"));
        let mut m =
            Manager { name: name.to_owned(), args: args.to_vec(), child: None, log, config: path, starts: 0 };
        spawn(&self.program, &mut m)?;
        self.managers.push(m);
        Ok(self.managers.len() - 1)
    }

    /// Sends a signal to manager `i`'s own process, if it runs.
    pub fn signal(&self, i: usize, signal: Signal) -> nix::Result<()> {
        match self.managers.get(i).and_then(|m| m.child.as_ref()) {
            Some(child) => kill(Pid::from_raw(child.id() as i32), signal),
            None => Ok(()),
        }
    }

    /// Kills manager `i` outright, if it runs, and waits for its end.
    pub fn kill(&mut self, i: usize) {
        if let Some(m) = self.managers.get_mut(i) {
            end(m);
        }
    }

    /// Kills manager `i`, if it runs, and starts it again under its name with a configuration.
    ///
    /// # Errors
    /// Those of writing its files and of starting it.
    pub fn restart(&mut self, i: usize, config: &str) -> std::io::Result<()> {
        let Some(m) = self.managers.get_mut(i) else { return Ok(()) };
        end(m);
        std::fs::write(&m.config, config)?;
        spawn(&self.program, m)
    }

    /// How manager `i` ended, if it has by itself.
    pub fn ended(&mut self, i: usize) -> Option<ProcessExit> {
        let child = self.managers.get_mut(i)?.child.as_mut()?;
        let status = child.try_wait().ok().flatten()?;
        Some(ProcessExit { status: status.code(), signal: status.signal() })
    }

    /// Processor time that manager `i`'s process has used so far, in seconds, as the kernel accounts it.
    pub fn cpu(&self, i: usize) -> Option<f64> {
        let pid = self.managers.get(i)?.child.as_ref()?.id();
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // Behind the name in parentheses: the 12th and 13th fields are user and system time, in ticks (proc(5)).
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        let a_second = nix::unistd::sysconf(nix::unistd::SysconfVar::CLK_TCK).ok()??;
        Some(ticks / a_second as f64)
    }

    /// Whether manager `i` has a process of its own that this rig has not seen end.
    pub fn runs(&self, i: usize) -> bool {
        self.managers.get(i).is_some_and(|m| m.child.is_some())
    }

    /// Where manager `i` keeps what outlives its process: a folder of its own, there from its first start on.
    pub fn folder(&self, i: usize) -> PathBuf {
        self.dir.join(format!("n{i}"))
    }

    /// The file that manager `i`'s log of this start goes to.
    pub fn log_file(&self, i: usize) -> Option<&Path> {
        self.managers.get(i).map(|m| m.log.as_path())
    }

    /// Manager `i`'s log of this start, up to [`MAX_LOG_BYTES`] bytes of it.
    pub fn log(&self, i: usize) -> String {
        let mut log = Vec::new();
        let read =
            File::open(&self.managers[i].log).and_then(|f| f.take(MAX_LOG_BYTES).read_to_end(&mut log));
        read.map_or_else(|_| String::new(), |_| String::from_utf8_lossy(&log).into_owned())
    }

    /// Whether manager `i`'s log of this start holds `text`.
    pub fn said(&self, i: usize, text: &str) -> bool {
        self.log(i).contains(text)
    }

    /// Where manager `i` serves, once its log says so.
    pub fn serving(&self, i: usize) -> Option<SocketAddr> {
        let log = self.log(i);
        log.lines()
            .find_map(|l| l.split_once("accepting connections front=platform address="))?
            .1
            .parse()
            .ok()
    }

    /// Waits until every manager's log holds `text`, up to `most`; how many did.
    pub fn wait_all(&self, text: &str, most: Duration) -> usize {
        let until = Instant::now() + most;
        loop {
            let n = (0..self.managers.len()).filter(|i| self.said(*i, text)).count();
            if n == self.managers.len() || Instant::now() >= until {
                return n;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Kills every manager that runs, and waits for each.
    pub fn end_all(&mut self) {
        self.managers.iter_mut().for_each(end);
    }
}

/// Reads a log as it grows: each whole line once.
pub struct Tail {
    file: File,
    part: Vec<u8>,
}

impl Tail {
    /// Begins at a log's beginning.
    ///
    /// # Errors
    /// Those of opening it.
    pub fn open(log: &Path) -> std::io::Result<Tail> {
        Ok(Tail { file: File::open(log)?, part: Vec::new() })
    }

    /// The lines that came since the last look, at most [`MAX_NEW_BYTES`] bytes of them; a longer line is cut there.
    pub fn new_lines(&mut self) -> Vec<String> {
        let read = std::io::Read::by_ref(&mut self.file).take(MAX_NEW_BYTES).read_to_end(&mut self.part);
        if !matches!(read, Ok(n) if n > 0) {
            return Vec::new();
        }
        let end = match self.part.iter().rposition(|b| *b == b'\n') {
            Some(at) => at + 1,
            None if self.part.len() as u64 >= MAX_NEW_BYTES => self.part.len(),
            None => return Vec::new(),
        };
        let complete: Vec<u8> = self.part.drain(..end).collect();
        String::from_utf8_lossy(&complete).lines().map(str::to_owned).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.end_all();
    }
}

fn spawn(program: &Path, m: &mut Manager) -> std::io::Result<()> {
    let log = File::create(&m.log)?;
    let child = Command::new(program)
        .arg("serve")
        .arg("--config")
        .arg(&m.config)
        .args(&m.args)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    m.child = Some(child);
    m.starts += 1;
    Ok(())
}

fn end(m: &mut Manager) {
    if let Some(mut child) = m.child.take() {
        let _ = kill(Pid::from_raw(child.id() as i32), Signal::SIGKILL);
        let _ = child.wait();
    }
}
