//! The managers under test. Their processes are signalled and ended by process id only.

use crate::client;
use crate::judge::Rule;
use crate::manager_endpoint::{Incarnation, ManagerEndpoint};
use crate::shim::{SyscallFaults, FAULTS_VARIABLE};
use crate::world::World;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::fs::{File, OpenOptions};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time within which a started process must answer the health check.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between SIGTERM and the platform's SIGKILL: the longest deadline (at most 3 s) and another 0.7 s.
const KILL_DELAY: Duration = Duration::from_millis(3_700);

/// Program, settings and folder that all managers of a run share.
pub struct Deployment {
    /// Path of the program under test.
    pub program: PathBuf,
    /// Path of the compiled library that makes system calls fail.
    pub library: PathBuf,
    /// Folder for the managers' configurations, logs and state.
    pub folder: PathBuf,
    /// Object under the key `settings` of each configuration, as JSON.
    pub settings: String,
    /// System call faults of every process.
    pub faults: SyscallFaults,
    /// Further arguments of the program's `serve`, after `--config`.
    pub arguments: Vec<String>,
}

/// A manager and its current process.
pub struct Manager {
    /// Address and process states, shared with the clients.
    pub endpoint: Arc<ManagerEndpoint>,
    name: String,
    child: Option<Child>,
    starts: u64,
    world: Arc<World>,
}

impl Manager {
    /// Creates a manager without a process, on a free port. `number` counts from 0.
    ///
    /// # Errors
    /// Fails if no port is free.
    pub fn new(number: usize, world: &Arc<World>) -> io::Result<Manager> {
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let endpoint = ManagerEndpoint::new(number, address);
        let name = format!("n{number}");
        Ok(Manager { endpoint: Arc::new(endpoint), name, child: None, starts: 0, world: Arc::clone(world) })
    }

    /// Replaces the manager's configuration file by one with this feed address and these list events.
    ///
    /// # Errors
    /// Fails if the manager's folder cannot be written.
    pub fn write_config(
        &self,
        deployment: &Deployment,
        feed: SocketAddr,
        events: &[String],
    ) -> io::Result<()> {
        let (name, listen, seed) =
            (&self.name, self.endpoint.address, self.endpoint.number as u64 * 1_000 + self.starts);
        let known = events.join(",");
        let settings = &deployment.settings;
        let text = format!(
            r#"{{"name":"{name}","listen":"{listen}","seed":"{seed:016x}","feed":"{feed}",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{{"n":{},"events":[{known}]}},"settings":{settings}}}"#,
            events.len()
        );
        std::fs::create_dir_all(self.folder(deployment))?;
        let draft = self.folder(deployment).join("draft");
        std::fs::write(&draft, text)?;
        std::fs::rename(draft, self.config_path(deployment))
    }

    fn folder(&self, deployment: &Deployment) -> PathBuf {
        deployment.folder.join(&self.name)
    }

    fn config_path(&self, deployment: &Deployment) -> PathBuf {
        self.folder(deployment).join("config.json")
    }

    /// Path of the log that all processes of this manager append to.
    pub fn log_path(&self, deployment: &Deployment) -> PathBuf {
        deployment.folder.join(format!("{}.log", self.name))
    }

    /// Starts a process and waits in the background until it serves. `last_known` is the number of the last
    /// list event in its configuration.
    ///
    /// # Errors
    /// Fails if the log cannot be opened or the process cannot be started.
    pub fn start(&mut self, deployment: &Deployment, last_known: u64) -> io::Result<()> {
        self.starts += 1;
        if self.starts == 1 {
            // The folder may hold the log of an earlier run, which must not be checked again.
            File::create(self.log_path(deployment))?;
        }
        let log = OpenOptions::new().create(true).append(true).open(self.log_path(deployment))?;
        let seed = self.endpoint.number as u64 * 1_000_003 + self.starts;
        let mut command = Command::new(&deployment.program);
        command.arg("serve").arg("--config").arg(self.config_path(deployment)).args(&deployment.arguments);
        command.env("TMPDIR", self.folder(deployment)).env("LD_PRELOAD", &deployment.library);
        command.env(FAULTS_VARIABLE, deployment.faults.to_variable(seed)).env_remove("EDGE_FD");
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        self.world.manager_started(self.endpoint.number, last_known);
        self.child = Some(command.spawn()?);
        let started_at = Instant::now();
        self.endpoint.incarnations().push(Incarnation {
            started_at,
            is_up: false,
            terminated_at: None,
            was_killed: false,
        });
        let endpoint = Arc::clone(&self.endpoint);
        let world = Arc::clone(&self.world);
        let starts = self.starts;
        tokio::spawn(async move {
            let wait_started_at = Instant::now();
            while !client::is_healthy(endpoint.address).await {
                if wait_started_at.elapsed() > READY_TIMEOUT {
                    return world.report_violation(
                        Rule::Crash,
                        format!("manager {}, start {starts}: not ready", endpoint.number),
                    );
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            endpoint.change(|incarnation| incarnation.is_up = true);
        });
        Ok(())
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Whether the manager has a process that has answered a health check and got no SIGTERM.
    pub fn is_serving(&self) -> bool {
        let serves = |incarnation: Incarnation| incarnation.is_up && incarnation.terminated_at.is_none();
        self.child.is_some() && self.endpoint.incarnation().is_some_and(serves)
    }

    /// Sends SIGHUP, on which the process reloads its configuration.
    pub fn reload(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Sends SIGTERM and records the time in [`Manager::endpoint`].
    pub fn terminate(&self) {
        self.endpoint.change(|incarnation| incarnation.terminated_at = Some(Instant::now()));
        self.signal(Signal::SIGTERM);
    }

    /// Sends SIGKILL and waits for the end of the process. Its unanswered requests don't count as lost.
    pub fn kill(&mut self) {
        self.endpoint.change(|incarnation| {
            incarnation.is_up = false;
            incarnation.was_killed = true;
        });
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Checks whether the process has ended, and reports an unexpected end as a violation. A process that
    /// still runs [`KILL_DELAY`] after SIGTERM is killed. Returns true once for each process that ended after
    /// SIGTERM.
    pub fn has_ended(&mut self) -> bool {
        let terminated_at = self.endpoint.incarnation().and_then(|incarnation| incarnation.terminated_at);
        let Some(child) = &mut self.child else { return false };
        let ended = child.try_wait().ok().flatten();
        let number = self.endpoint.number;
        match (ended, terminated_at) {
            (None, Some(at)) if at.elapsed() > KILL_DELAY + self.world.lag() => {
                // The platform kills the process at this time: its unanswered requests count as lost.
                let mut child = self.child.take();
                child.iter_mut().for_each(|child| drop(child.kill().and_then(|()| child.wait())));
                self.endpoint.change(|incarnation| incarnation.is_up = false);
                true
            }
            (None, _) => false,
            (Some(status), at) => {
                if at.is_none() || !status.success() {
                    self.world.report_violation(Rule::Crash, format!("manager {number} ended with {status}"));
                }
                self.child = None;
                self.endpoint.change(|incarnation| incarnation.is_up = false);
                at.is_some()
            }
        }
    }
}

impl Drop for Manager {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Lines of a manager's log that report a violated invariant or a panic.
///
/// # Errors
/// Fails if the log cannot be read.
pub fn failure_lines(path: &Path) -> io::Result<Vec<String>> {
    let mut text = String::new();
    io::Read::read_to_string(&mut File::open(path)?, &mut text)?;
    let is_failure = |line: &&str| line.contains("invariant violated") || line.contains("panicked");
    Ok(text.lines().filter(is_failure).map(str::to_owned).collect())
}
