//! The driver of a process: it writes the process's own state file and scans the state files of other
//! processes.

use crate::codec::{decode, encode};
use crate::error::{InvalidState, StateFileError, WriteError};
use crate::file_name::StateFileName;
use crate::folder::StateFolder;
use crate::format::{HEADER_BYTES, MAX_FILE_BYTES};
use crate::peer_state::{PeerState, PeerTable, MAX_PEER_FILES};
use crate::phase::{PhaseMachine, PhaseStatus};
use crate::state::{ClockReference, Instance, Phase, Process, StateFile, StateSnapshot};
use crate::{TimeDelta, Timestamp};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::io;

/// Interval of scans of other processes' files. A cordon that another process has accepted takes effect in
/// this process within the drain's grace period of 500 ms, with headroom for a late scan.
pub const SCAN_INTERVAL: TimeDelta = TimeDelta::from_millis(100);
/// Interval of scans while another process is alive. A CancelRequest that the other process received takes
/// effect within the 100 ms that the platform allows between a client's departure and the last attempt.
pub const SCAN_INTERVAL_WITH_PEERS: TimeDelta = TimeDelta::from_millis(20);
/// Minimum time between two writes of the process's own file because of CancelRequests and request ids, which
/// clients can send at any rate.
pub const MIN_WRITE_INTERVAL: TimeDelta = TimeDelta::from_millis(20);
/// Interval of writes of the process's own file, which is also written at once after each cordon and each
/// change of the phase.
pub const WRITE_INTERVAL: TimeDelta = TimeDelta::from_millis(250);

/// The header of a file. It contains the checksum, so that two versions of a file have different headers.
type Header = [u8; HEADER_BYTES];

/// The result of reading a file at the last scan.
#[derive(Clone, Copy, Debug)]
struct ScannedFile {
    header: Header,
    is_valid: bool,
}

/// The last attempt to write the process's own file, and what that file announced: the phase, and the
/// processes with which the budgets are shared.
#[derive(Clone, Debug)]
struct WriteAttempt {
    attempted_at: Timestamp,
    phase: Phase,
    sharing_peers: Vec<Process>,
}

/// Result of a scan of the folder.
#[derive(Debug, Default)]
pub struct FolderScan {
    /// Files that are new or have changed. All of them must be merged before the process's own file is
    /// written next.
    pub files: Vec<StateFile>,
    /// Name of each file that is new or has changed and cannot be used, with the reason.
    pub rejected: Vec<(String, StateFileError)>,
    /// Errors of the folder; for files that could not be read, the earlier contents stay valid.
    pub folder_errors: Vec<io::Error>,
    /// Number of files of this instance beyond [`MAX_PEER_FILES`], which were not read.
    pub ignored: usize,
}

/// Result of a write of the process's own file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteReport {
    /// Length of the file in bytes.
    pub bytes: usize,
    /// Number of engine id hashes that did not fit.
    pub ids_left_out: usize,
    /// Number of request ids that did not fit.
    pub request_ids_left_out: usize,
    /// Number of files of dead processes that were removed after the write.
    pub removed_files: usize,
}

/// One process's part of the hot restart. The caller makes these calls in order, after each
/// [`StateFileDriver::scan_interval`] and at SIGTERM: [`StateFileDriver::scan`], after which it merges all files read, [`StateFileDriver::step`],
/// and [`StateFileDriver::write`] if [`StateFileDriver::is_write_due`]. After a cordon whose operator waits
/// for the result it calls [`StateFileDriver::write`] at once.
#[derive(Debug)]
pub struct StateFileDriver<F> {
    folder: F,
    instance: Instance,
    process: Process,
    build: String,
    clock_reference: Option<ClockReference>,
    file_name: String,
    peers: PeerTable,
    phase_machine: PhaseMachine,
    status: PhaseStatus,
    scanned: BTreeMap<String, ScannedFile>,
    last_attempt: Option<WriteAttempt>,
    /// Whether this process has written, or tried to write, a file that announces that it serves.
    has_announced_serving: bool,
    sequence: u64,
}

impl<F: StateFolder> StateFileDriver<F> {
    /// Creates the driver of a process that starts now and scans the folder; the caller must merge the files
    /// found. Times in other processes' files are not converted; see [`StateFileDriver::open_with_clock`].
    pub fn open(
        folder: F,
        instance: Instance,
        build: &str,
        pid: u32,
        now: Timestamp,
    ) -> (StateFileDriver<F>, FolderScan) {
        StateFileDriver::open_with_clock(folder, instance, build, pid, now, None)
    }

    /// Like [`StateFileDriver::open`], but converts the times in other processes' files to this process's
    /// `clock_reference`, so that they are correct even if the wall clock was stepped between the starts of
    /// the processes.
    pub fn open_with_clock(
        folder: F,
        instance: Instance,
        build: &str,
        pid: u32,
        now: Timestamp,
        clock_reference: Option<ClockReference>,
    ) -> (StateFileDriver<F>, FolderScan) {
        let process = Process { generation: 1, started_at: now, pid };
        let mut phase_machine = PhaseMachine::new(process, now);
        let mut driver = StateFileDriver {
            folder,
            process,
            build: build.to_owned(),
            clock_reference,
            file_name: StateFileName::new(&instance, &process).to_string(),
            instance,
            peers: PeerTable::default(),
            status: phase_machine.step(now, &[], false, false),
            phase_machine,
            scanned: BTreeMap::new(),
            last_attempt: None,
            has_announced_serving: false,
            sequence: 0,
        };
        let scan = driver.scan(now);
        driver.process.generation = driver.peers.max_generation().saturating_add(1);
        driver.phase_machine = PhaseMachine::new(driver.process, now);
        (driver, scan)
    }

    /// Generation, start time and pid of this process.
    pub fn process(&self) -> Process {
        self.process
    }

    /// Phase and permissions of this process at the last step.
    pub fn status(&self) -> &PhaseStatus {
        &self.status
    }

    /// Other live processes of this instance, as of the last scan.
    pub fn live_peers(&self, now: Timestamp) -> Vec<PeerState> {
        self.peers.live_peers(now)
    }

    /// Whether a health check is to be answered positively: the process serves, and its file announces this
    /// or could not be written. A positive answer leads to SIGTERM for the old process, which must then be
    /// able to read that its successor serves.
    pub fn is_healthy(&self) -> bool {
        self.status.has_served && self.has_announced_serving
    }

    /// Time until the next scan.
    pub fn scan_interval(&self, now: Timestamp) -> TimeDelta {
        if self.peers.live_peers(now).is_empty() {
            SCAN_INTERVAL
        } else {
            SCAN_INTERVAL_WITH_PEERS
        }
    }

    /// Whether the process's own file may be written because of new CancelRequests or request ids: another process
    /// is alive to read it, and the last write is long enough ago.
    pub fn may_write_early(&self, now: Timestamp) -> bool {
        let is_early =
            |last: &WriteAttempt| now >= last.attempted_at && now - last.attempted_at < MIN_WRITE_INTERVAL;
        !self.peers.live_peers(now).is_empty() && !self.last_attempt.as_ref().is_some_and(is_early)
    }

    /// Reads the files of other processes that are new or have changed.
    pub fn scan(&mut self, now: Timestamp) -> FolderScan {
        let mut scan = FolderScan::default();
        let names = match self.folder.list() {
            Ok(names) => names,
            Err(error) => {
                scan.folder_errors.push(error);
                return scan;
            }
        };
        let mut peer_files = self.peer_files(names);
        scan.ignored = peer_files.len().saturating_sub(MAX_PEER_FILES);
        peer_files.truncate(MAX_PEER_FILES);
        let mut present = BTreeSet::new();
        for (parts, name) in peer_files {
            if parts.is_temporary {
                self.peers.record_temporary_file(now, &name);
            } else if let Err(error) = self.scan_file(now, parts, &name, &mut scan) {
                if error.kind() == io::ErrorKind::NotFound {
                    // Another process removed the file after the listing.
                    continue;
                }
                scan.folder_errors.push(error);
            }
            present.insert(name);
        }
        self.peers.retain_listed(&present);
        self.scanned.retain(|name, _| present.contains(name));
        scan
    }

    /// Files of this instance's other processes: complete files before temporary ones, and the newest process
    /// first.
    fn peer_files(&self, names: Vec<String>) -> Vec<(StateFileName, String)> {
        let instance_hash = StateFileName::new(&self.instance, &self.process).instance_hash;
        let own_temporary = StateFileName::temporary(&self.file_name);
        let mut files = Vec::new();
        for name in names {
            if name == self.file_name || name == own_temporary {
                continue;
            }
            if let Some(parts) = StateFileName::parse(&name) {
                if parts.instance_hash == instance_hash {
                    files.push((parts, name));
                }
            }
        }
        files.sort_unstable_by_key(|(parts, _)| (parts.is_temporary, Reverse((parts.started_at, parts.pid))));
        files
    }

    fn scan_file(
        &mut self,
        now: Timestamp,
        parts: StateFileName,
        name: &str,
        scan: &mut FolderScan,
    ) -> io::Result<()> {
        let bytes = self.folder.read(name, MAX_FILE_BYTES)?;
        let header = header_of(&bytes);
        let unchanged = self.scanned.get(name).copied().filter(|scanned| scanned.header == header);
        if unchanged.is_some_and(|scanned| scanned.is_valid) {
            // Decoding a file with many ids is slow, so an unchanged file is not decoded again.
            return Ok(());
        }
        let decoded = self.decode_file(&bytes, parts);
        self.scanned.insert(name.to_owned(), ScannedFile { header, is_valid: decoded.is_ok() });
        if decoded.is_err() && unchanged.is_some() {
            // An unchanged invalid file is only reported once, not at every scan.
            return Ok(());
        }
        self.peers.record_read(now, name, &decoded);
        match decoded {
            Ok(file) => scan.files.push(file),
            Err(error) => scan.rejected.push((name.to_owned(), error)),
        }
        Ok(())
    }

    fn decode_file(&self, bytes: &[u8], parts: StateFileName) -> Result<StateFile, StateFileError> {
        let mut file = decode(bytes, &self.instance)?;
        if file.process.pid != parts.pid || file.process.started_at != parts.started_at {
            // A copy under another name would count as a second live process.
            return Err(StateFileError::Invalid(InvalidState::OtherProcess));
        }
        file.convert_to_clock(self.clock_reference.as_ref());
        Ok(file)
    }

    /// Updates the phase from the scanned files, whether SIGTERM was received, and whether this process can
    /// serve.
    pub fn step(&mut self, now: Timestamp, is_sigterm_received: bool, can_serve: bool) -> &PhaseStatus {
        let peers = self.live_peers(now);
        self.status = self.phase_machine.step(now, &peers, is_sigterm_received, can_serve);
        &self.status
    }

    /// Whether the process's own file is to be written: its interval has passed, or the file does not yet
    /// announce a change that another process waits for. A failed write is retried after the interval.
    pub fn is_write_due(&self, now: Timestamp) -> bool {
        let Some(last) = &self.last_attempt else { return true };
        let is_announced = last.phase == self.status.phase && last.sharing_peers == self.status.sharing_peers;
        !is_announced || now - last.attempted_at >= WRITE_INTERVAL || now < last.attempted_at
    }

    /// Writes the process's own file, and then removes the files of dead processes. After `Ok` other
    /// processes can read all cordons of the snapshot, so that an operator's call that waits for this can be
    /// answered. After an error a new cordon is in force in this process only; the caller reports that, or
    /// reverts the cordon.
    ///
    /// # Errors
    /// The contents do not fit, or the folder returned an error; the previous file is unchanged.
    pub fn write(&mut self, now: Timestamp, snapshot: StateSnapshot) -> Result<WriteReport, WriteError> {
        let status = &self.status;
        self.last_attempt = Some(WriteAttempt {
            attempted_at: now,
            phase: status.phase,
            sharing_peers: status.sharing_peers.clone(),
        });
        self.has_announced_serving |= status.has_served;
        self.sequence += 1;
        let encoded = encode(&self.own_file(now, snapshot)).map_err(WriteError::Encode)?;
        self.folder.replace(&self.file_name, &encoded.bytes).map_err(WriteError::Folder)?;
        self.peers.record_own_write();
        let removable = self.peers.removable_files(now);
        let removed_files = removable.iter().filter(|name| self.folder.remove(name).is_ok()).count();
        Ok(WriteReport {
            bytes: encoded.bytes.len(),
            ids_left_out: encoded.ids_left_out,
            request_ids_left_out: encoded.request_ids_left_out,
            removed_files,
        })
    }

    fn own_file(&self, now: Timestamp, snapshot: StateSnapshot) -> StateFile {
        StateFile {
            instance: self.instance.clone(),
            process: self.process,
            build: self.build.clone(),
            clock_reference: self.clock_reference.clone(),
            written_at: now,
            sequence: self.sequence,
            phase: self.status.phase,
            phase_since: self.status.since,
            sharing_peers: self.status.sharing_peers.clone(),
            snapshot,
        }
    }

    /// Writes the last file of a process that ends, in phase [`Phase::Terminated`]. It remains for the next
    /// process, which removes it after merging it.
    ///
    /// # Errors
    /// The same errors as [`StateFileDriver::write`] returns.
    pub fn write_last(&mut self, now: Timestamp, snapshot: StateSnapshot) -> Result<WriteReport, WriteError> {
        self.phase_machine.terminate(now);
        self.status.phase = Phase::Terminated;
        self.status.since = now;
        self.status.accepts_connections = false;
        self.write(now, snapshot)
    }
}

/// The header of a file; a shorter file is padded with zeros.
fn header_of(bytes: &[u8]) -> Header {
    let mut header = Header::default();
    for (target, source) in header.iter_mut().zip(bytes) {
        *target = *source;
    }
    header
}
