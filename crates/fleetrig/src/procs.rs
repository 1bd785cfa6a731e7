//! Processes of the real program: started with a configuration of their own, signalled and restarted by
//! their own ids only, and all ended when the rig ends.

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::fs::File;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Managers one rig starts at most: each holds a process, its descriptors and a log.
pub const MOST_MANAGERS: usize = 1_000;

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

/// The list event (number 1, whole) that names these engines, all ready, in hall-a.
pub fn list(engines: &[(String, std::net::SocketAddr)]) -> String {
    let rows: Vec<String> = engines
        .iter()
        .map(|(id, at)| {
            format!(
                r#"{{"id":"{id}","host_port":"{at}","locality":"hall-a","flavor":"std","cell":0,"phase":"ready","size":8,"up_since_ms":0}}"#
            )
        })
        .collect();
    format!(r#"{{"n":1,"members":{{"revision":1,"complete":true,"members":[{}]}}}}"#, rows.join(","))
}

/// A manager's configuration, as the platform gives it.
pub fn config(name: &str, seed: u64, feed: std::net::SocketAddr, list: &str, settings: &str) -> String {
    format!(
        r#"{{"name":"{name}","listen":"127.0.0.1:0","seed":"{seed:016x}","feed":"{feed}",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{{"n":1,"events":[{list}]}},"settings":{settings}}}"#
    )
}

/// One manager: its process and where its log goes.
pub struct Manager {
    /// Its name, the same after a restart.
    pub name: String,
    child: Option<Child>,
    log: PathBuf,
    config: PathBuf,
    args: Vec<String>,
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
        if self.managers.len() >= MOST_MANAGERS {
            return Err(std::io::Error::other(format!("at most {MOST_MANAGERS} managers")));
        }
        let path = self.dir.join(format!("{name}.json"));
        std::fs::write(&path, config)?;
        let log = self.dir.join(format!("{name}.log"));
        let mut m =
            Manager { name: name.to_owned(), child: None, log, config: path, args: args.to_vec(), starts: 0 };
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

    /// Kills manager `i` outright, if it runs, and starts it anew under its name.
    pub fn restart(&mut self, i: usize) -> std::io::Result<()> {
        let Some(m) = self.managers.get_mut(i) else { return Ok(()) };
        end(m);
        spawn(&self.program, m)
    }

    /// Whether manager `i`'s log of this start holds `text`.
    pub fn said(&self, i: usize, text: &str) -> bool {
        let mut log = String::new();
        let read = File::open(&self.managers[i].log).and_then(|mut f| f.read_to_string(&mut log));
        read.is_ok() && log.contains(text)
    }

    /// Where manager `i` serves, once its log says so.
    pub fn serving(&self, i: usize) -> Option<std::net::SocketAddr> {
        let mut log = String::new();
        File::open(&self.managers[i].log).and_then(|mut f| f.read_to_string(&mut log)).ok()?;
        let line = log.lines().find(|l| l.contains("serving on "))?;
        line.rsplit(' ').next()?.parse().ok()
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
