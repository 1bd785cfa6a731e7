//! A manager's process: its folder and files, its start and its exit, and their entries in the history.

use super::{ProcessState, Rig, RunError};
use crate::procs::{ProcessExit, Tail};
use crate::scenario::{GROUPS, ZONES};
use crate::template::Values;
use sprucelink_failpoints::fault_file::{self, DiskFaults, FaultFile};
use sprucelink_history_checker::event::{Event, ExitCause};
use std::path::Path;

/// The file in a process's folder that names the version its supervisor is to start next.
pub const NEXT_VERSION_FILE: &str = "next-version";
/// Longest name of a version, in bytes.
const MAX_VERSION_BYTES: usize = 64;
/// Files of a folder that is copied.
const MAX_COPIED_FILES: usize = 1_000;
/// Bytes of a folder that is copied, all files together.
const MAX_COPIED_BYTES: u64 = 256 << 20;

/// What the rig keeps of one manager beside its process.
pub(super) struct Proc {
    /// The version it is started as.
    pub(super) version: String,
    /// Whether it runs, by the history.
    pub(super) alive: bool,
    /// How often the supervisor brought it back.
    pub(super) brought_back: usize,
    /// Its log as it grows, where something is looked for there.
    pub(super) tail: Option<Tail>,
    /// Ports whose address its log has not told yet, by their place among the scenario's.
    pub(super) unbound: Vec<usize>,
    /// Faults of the disk under its store, from its next start on.
    pub(super) disk: DiskFaults,
}

impl Proc {
    pub(super) fn new(version: &str) -> Proc {
        let version = version.to_owned();
        let disk = DiskFaults::default();
        Proc { version, alive: false, brought_back: 0, tail: None, unbound: Vec::new(), disk }
    }
}

impl Rig<'_> {
    /// Starts manager `i`; a running one is killed first.
    pub(super) fn start_manager(&mut self, i: usize, emptied: bool) -> Result<(), RunError> {
        self.kill(i);
        self.process_states[i] = ProcessState::Starting;
        let folder = self.fleet.folder(i);
        if emptied {
            match std::fs::remove_dir_all(&folder) {
                Err(e) if e.kind() != std::io::ErrorKind::NotFound => {
                    return Err(RunError::io("a folder")(e))
                }
                _ => {}
            }
        }
        std::fs::create_dir_all(&folder).map_err(RunError::io("a folder"))?;
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
        self.real[i] = None;
        if let Some(m) = self.fleet.managers.get_mut(i) {
            m.args = args;
            self.fleet.restart(i, &config).map_err(RunError::io("restart"))?;
        } else {
            self.fleet.start(&format!("n{i}"), &config, &args).map_err(RunError::io("start"))?;
        }
        let looked_for = !self.scenario.ports.is_empty() || !self.scenario.failpoint_faults.is_empty();
        let tail = self.fleet.log_file(i).filter(|_| looked_for).map(Tail::open).transpose();
        let p = &mut self.procs[i];
        p.tail = tail.map_err(RunError::io("a log"))?;
        p.unbound = (0..self.scenario.ports.len()).collect();
        p.alive = true;
        let process = format!("n{i}");
        let version = p.version.clone();
        self.history.note(Event::Started {
            process,
            version,
            clock_offset_ms: self.scenario.clock_of(i),
            emptied,
        });
        Ok(())
    }

    /// Kills manager `i`, if it runs; clients send nothing more to it.
    pub(super) fn kill(&mut self, i: usize) {
        self.mark_unavailable(i);
        self.fleet.kill(i);
        self.note_exit(i, ProcessExit { status: None, signal: Some(9) }, ExitCause::Nemesis, None);
        self.process_states[i] = ProcessState::Down;
    }

    /// Records the exit of a process, once.
    pub(super) fn note_exit(&mut self, i: usize, how: ProcessExit, cause: ExitCause, next: Option<String>) {
        if std::mem::take(&mut self.procs[i].alive) {
            let process = format!("n{i}");
            let ProcessExit { status, signal } = how;
            self.history.note(Event::Exited { process, status, signal, cause, next });
        }
    }

    /// The version that a process has named for its next start.
    pub(super) fn next_version(&self, i: usize) -> Result<String, RunError> {
        let path = self.fleet.folder(i).join(NEXT_VERSION_FILE);
        let text = std::fs::read_to_string(&path).map_err(RunError::io_at(&path))?;
        let name = text.trim();
        let sign = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
        let good = !name.is_empty() && name.len() <= MAX_VERSION_BYTES && name.chars().all(sign);
        match good {
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
            ("clock_offset_ms", self.scenario.clock_of(i).to_string()),
        ];
        let party = &self.parties[self.scenario.party_of(i)];
        let seen =
            |name: &str| self.peers.seen(name, party).into_iter().map(|(n, a)| (n, a.to_string())).collect();
        let peers = self.scenario.ports.iter().map(|p| (p.name.clone(), seen(&p.name))).collect();
        Values { variables: variables.into(), peers }
    }

    /// Writes the process's faults, failpoints and disk faults, into its folder; without faults there is no such file.
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

    /// A file of manager `i`'s folder loses its last bytes.
    pub(super) fn tear(&self, i: usize, file: &str, bytes: u64) -> Result<(), RunError> {
        self.must_be_down(i, "tear")?;
        let path = self.fleet.folder(i).join(file);
        let torn = std::fs::OpenOptions::new().write(true).open(&path).and_then(|f| {
            let len = f.metadata()?.len();
            f.set_len(len.saturating_sub(bytes))
        });
        torn.map_err(RunError::io(&format!("tear {}", path.display())))
    }

    /// Copies manager `i`'s folder; a process that runs is stopped meanwhile, so that the copy is of one moment.
    pub(super) fn keep_copy(&self, i: usize) -> Result<(), RunError> {
        use nix::sys::signal::Signal;
        let runs = self.procs[i].alive && self.process_states[i] != ProcessState::Paused;
        if runs {
            self.fleet.signal(i, Signal::SIGSTOP)?;
        }
        let copied = replace(&self.fleet.folder(i), &self.copy_of(i));
        if runs {
            self.fleet.signal(i, Signal::SIGCONT)?;
        }
        copied
    }

    /// Manager `i`'s folder is as it was when it was copied.
    pub(super) fn put_back(&self, i: usize) -> Result<(), RunError> {
        self.must_be_down(i, "put_back")?;
        replace(&self.copy_of(i), &self.fleet.folder(i))
    }

    fn copy_of(&self, i: usize) -> std::path::PathBuf {
        self.program.dir.join(format!("n{i}.copy"))
    }
}

/// A folder's files, its folders' too, in place of another folder.
fn replace(from: &Path, to: &Path) -> Result<(), RunError> {
    match std::fs::remove_dir_all(to) {
        Err(e) if e.kind() != std::io::ErrorKind::NotFound => return Err(RunError::io_at(to)(e)),
        _ => {}
    }
    let mut open = vec![(from.to_owned(), to.to_owned())];
    let mut files = 0;
    let mut bytes = 0;
    while let Some((from, to)) = open.pop() {
        std::fs::create_dir_all(&to).map_err(RunError::io_at(&to))?;
        for entry in std::fs::read_dir(&from).map_err(RunError::io_at(&from))? {
            let entry = entry.map_err(RunError::io_at(&from))?;
            let here = entry.path();
            let there = to.join(entry.file_name());
            let meta = entry.metadata().map_err(RunError::io_at(&here))?;
            files += 1;
            if meta.is_dir() {
                open.push((here, there));
            } else {
                bytes += meta.len();
                if files > MAX_COPIED_FILES || bytes > MAX_COPIED_BYTES {
                    return Err(RunError::FolderTooLarge {
                        path: from,
                        max_files: MAX_COPIED_FILES,
                        max_bytes: MAX_COPIED_BYTES,
                    });
                }
                std::fs::copy(&here, &there).map_err(RunError::io_at(&here))?;
            }
        }
    }
    Ok(())
}
