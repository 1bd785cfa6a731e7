//! A manager's process: its folder and files, its starts and exits, and the history's record of them.

use super::{Harness, ProcessState, RunError};
use crate::procs::{ProcessExit, Tail};
use crate::scenario::{GROUPS, ZONES};
use crate::template::Values;
use sprucelink_failpoints::fault_file::{self, DiskFaults, FaultFile};
use sprucelink_history_checker::event::{Event, ExitCause};
use std::path::Path;

/// File in a process's folder with the name of the version that its supervisor starts next.
pub const NEXT_VERSION_FILE: &str = "next-version";
/// Longest name of a version, in bytes.
const MAX_VERSION_BYTES: usize = 64;
/// Maximum number of files in a folder that is copied.
const MAX_COPIED_FILES: usize = 1_000;
/// Maximum size of a folder that is copied, all files together, in bytes.
const MAX_COPIED_BYTES: u64 = 256 << 20;

/// State of one manager that outlives its processes.
pub(super) struct Proc {
    /// The version as which the manager is started.
    pub(super) version: String,
    /// Whether the history holds a start of the process without an exit.
    pub(super) alive: bool,
    /// Number of restarts by the supervisor so far.
    pub(super) supervised_restarts: usize,
    /// Reader of the process's log; absent if the scenario has no ports and no failpoint faults.
    pub(super) tail: Option<Tail>,
    /// Ports whose address the log has not shown yet, by index in the scenario's `ports`.
    pub(super) unbound: Vec<usize>,
    /// Faults of the disk under the manager's store, from its next start on.
    pub(super) disk: DiskFaults,
}

impl Proc {
    pub(super) fn new(version: &str) -> Proc {
        let version = version.to_owned();
        let disk = DiskFaults::default();
        Proc { version, alive: false, supervised_restarts: 0, tail: None, unbound: Vec::new(), disk }
    }
}

impl Harness<'_> {
    /// Starts manager `i`, with an empty folder if `emptied`; a running process is killed first.
    pub(super) fn start_manager(&mut self, i: usize, emptied: bool) -> Result<(), RunError> {
        self.kill(i);
        self.process_states[i] = ProcessState::Starting;
        let folder = self.fleet.folder(i);
        if emptied {
            match std::fs::remove_dir_all(&folder) {
                Err(e) if e.kind() != std::io::ErrorKind::NotFound => {
                    return Err(RunError::io("manager folder")(e))
                }
                _ => {}
            }
        }
        std::fs::create_dir_all(&folder).map_err(RunError::io("manager folder"))?;
        self.scenario.ports.iter().for_each(|p| self.peers.bind(&p.name, i, None));
        let values = self.values(i);
        for (name, value) in &self.scenario.files {
            let text = values.fill_value(value)?.to_string();
            std::fs::write(folder.join(name), text).map_err(RunError::io(name))?;
        }
        self.write_faults(i, &folder)?;
        let config = self.config(i);
        let mut args = self.args(i)?;
        for arg in &self.scenario.args {
            args.push(values.fill(arg)?);
        }
        self.membership_listeners[i] = None;
        if let Some(m) = self.fleet.managers.get_mut(i) {
            m.args = args;
            self.fleet.restart(i, &config).map_err(RunError::io("restart"))?;
        } else {
            self.fleet.start(&format!("n{i}"), &config, &args).map_err(RunError::io("start"))?;
        }
        let needs_log = !self.scenario.ports.is_empty() || !self.scenario.failpoint_faults.is_empty();
        let tail = self.fleet.log_file(i).filter(|_| needs_log).map(Tail::open).transpose();
        let proc = &mut self.procs[i];
        proc.tail = tail.map_err(RunError::io("manager log"))?;
        proc.unbound = (0..self.scenario.ports.len()).collect();
        proc.alive = true;
        let process = format!("n{i}");
        let version = proc.version.clone();
        self.history.record(Event::Started {
            process,
            version,
            clock_offset_ms: self.scenario.clock_offset_ms(i),
            emptied,
        });
        Ok(())
    }

    /// Kills manager `i` (SIGKILL), if it runs; clients stop sending to it.
    pub(super) fn kill(&mut self, i: usize) {
        self.mark_unavailable(i);
        self.fleet.kill(i);
        self.record_exit(i, ProcessExit { status: None, signal: Some(9) }, ExitCause::Nemesis, None);
        self.process_states[i] = ProcessState::Down;
    }

    /// Records the exit of manager `i`'s process, unless it is recorded already.
    pub(super) fn record_exit(
        &mut self,
        i: usize,
        exit: ProcessExit,
        cause: ExitCause,
        next: Option<String>,
    ) {
        if std::mem::take(&mut self.procs[i].alive) {
            let process = format!("n{i}");
            let ProcessExit { status, signal } = exit;
            self.history.record(Event::Exited { process, status, signal, cause, next });
        }
    }

    /// Reads the name of the version that a process requests for its next start.
    pub(super) fn next_version(&self, i: usize) -> Result<String, RunError> {
        let path = self.fleet.folder(i).join(NEXT_VERSION_FILE);
        let text = std::fs::read_to_string(&path).map_err(RunError::io_at(&path))?;
        let name = text.trim();
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
        let is_valid = !name.is_empty() && name.len() <= MAX_VERSION_BYTES && name.chars().all(is_allowed);
        match is_valid {
            true => Ok(name.to_owned()),
            false => Err(RunError::InvalidVersion { path }),
        }
    }

    /// The values of manager `i`'s templates.
    pub(super) fn values(&self, i: usize) -> Values {
        let group = self.scenario.group_of(i);
        let starts = self.fleet.managers.get(i).map_or(0, |m| m.starts);
        let variables = [
            ("name", format!("n{i}")),
            ("number", i.to_string()),
            ("group", GROUPS[group].to_owned()),
            ("zone", ZONES[group].to_owned()),
            ("folder", self.fleet.folder(i).display().to_string()),
            ("version", self.procs[i].version.clone()),
            ("seed", self.seed(i, starts).to_string()),
            ("clock_offset_ms", self.scenario.clock_offset_ms(i).to_string()),
        ];
        let party = &self.parties[self.scenario.party_of(i)];
        let addresses = |port: &str| {
            self.peers.addresses_for(port, party).into_iter().map(|(n, a)| (n, a.to_string())).collect()
        };
        let peers = self.scenario.ports.iter().map(|p| (p.name.clone(), addresses(&p.name))).collect();
        Values { variables: variables.into(), peers }
    }

    /// Writes the process's fault file (failpoints and disk faults) into its folder, or removes it if there
    /// are no faults.
    fn write_faults(&self, i: usize, folder: &Path) -> Result<(), RunError> {
        let faults = FaultFile { points: self.failpoint_faults.armed(i), disk: self.procs[i].disk };
        let path = folder.join(fault_file::FILE_NAME);
        if faults == FaultFile::default() {
            return match std::fs::remove_file(&path) {
                Err(e) if e.kind() != std::io::ErrorKind::NotFound => {
                    Err(RunError::io(fault_file::FILE_NAME)(e))
                }
                _ => Ok(()),
            };
        }
        let text = serde_json::to_string(&faults)?;
        std::fs::write(path, text).map_err(RunError::io(fault_file::FILE_NAME))
    }

    fn must_be_down(&self, i: usize, step: &'static str) -> Result<(), RunError> {
        match self.procs[i].alive {
            true => Err(RunError::ManagerRuns { step, manager: i }),
            false => Ok(()),
        }
    }

    /// Truncates a file in manager `i`'s folder by its last `bytes` bytes, as a torn write leaves it.
    pub(super) fn tear(&self, i: usize, file: &str, bytes: u64) -> Result<(), RunError> {
        self.must_be_down(i, "tear")?;
        let path = self.fleet.folder(i).join(file);
        let truncated = std::fs::OpenOptions::new().write(true).open(&path).and_then(|f| {
            let len = f.metadata()?.len();
            f.set_len(len.saturating_sub(bytes))
        });
        truncated.map_err(RunError::io(&format!("tear {}", path.display())))
    }

    /// Copies manager `i`'s folder. A running process is stopped meanwhile, so that the copy is a consistent
    /// snapshot.
    pub(super) fn copy_folder(&self, i: usize) -> Result<(), RunError> {
        use nix::sys::signal::Signal;
        let is_running = self.procs[i].alive && self.process_states[i] != ProcessState::Paused;
        if is_running {
            self.fleet.signal(i, Signal::SIGSTOP)?;
        }
        let copied = replace_folder(&self.fleet.folder(i), &self.folder_copy_path(i));
        if is_running {
            self.fleet.signal(i, Signal::SIGCONT)?;
        }
        copied
    }

    /// Restores manager `i`'s folder from its copy.
    pub(super) fn restore_folder(&self, i: usize) -> Result<(), RunError> {
        self.must_be_down(i, "put_back")?;
        replace_folder(&self.folder_copy_path(i), &self.fleet.folder(i))
    }

    fn folder_copy_path(&self, i: usize) -> std::path::PathBuf {
        self.program.dir.join(format!("n{i}.copy"))
    }
}

/// Replaces the folder `to` by a recursive copy of `from`.
fn replace_folder(from: &Path, to: &Path) -> Result<(), RunError> {
    match std::fs::remove_dir_all(to) {
        Err(e) if e.kind() != std::io::ErrorKind::NotFound => return Err(RunError::io_at(to)(e)),
        _ => {}
    }
    let mut pending = vec![(from.to_owned(), to.to_owned())];
    let mut files = 0;
    let mut bytes = 0;
    while let Some((from, to)) = pending.pop() {
        std::fs::create_dir_all(&to).map_err(RunError::io_at(&to))?;
        for entry in std::fs::read_dir(&from).map_err(RunError::io_at(&from))? {
            let entry = entry.map_err(RunError::io_at(&from))?;
            let source = entry.path();
            let destination = to.join(entry.file_name());
            let meta = entry.metadata().map_err(RunError::io_at(&source))?;
            files += 1;
            if meta.is_dir() {
                pending.push((source, destination));
            } else {
                bytes += meta.len();
                if files > MAX_COPIED_FILES || bytes > MAX_COPIED_BYTES {
                    return Err(RunError::FolderTooLarge {
                        path: from,
                        max_files: MAX_COPIED_FILES,
                        max_bytes: MAX_COPIED_BYTES,
                    });
                }
                std::fs::copy(&source, &destination).map_err(RunError::io_at(&source))?;
            }
        }
    }
    Ok(())
}
