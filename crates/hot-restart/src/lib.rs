//! Hot restart: the state that passes from one process of a workload manager to its successor.
//!
//! During a hot restart a second process, the *new* one, starts beside the running, *old* one. Both share the listening
//! socket and a folder (`$TMPDIR`), and for every rule and limit they count as one workload manager. Each process keeps
//! one state file of its own in that folder, replaces it atomically, and reads the others'. From these files both derive
//! who accepts connections, what fraction of the manager's budgets each may spend, and which engines are cordoned.
//!
//! The state machines perform no I/O and read no clock:
//!
//! - [`StateFile`], [`encode`], [`decode`]: the contents of a file, its bytes, and why bytes are rejected
//!   ([`StateFileError`]).
//! - [`usable_state`](mod@usable_state): what of another process's file still applies, by its age.
//! - [`WindowCounters`]: retries, admitted requests and work sent to warming engines, in buckets of 250 ms.
//! - [`PeerTable`]: which of the files read belong to live processes, and which may be removed.
//! - [`PhaseMachine`]: the phases of a process and what follows from them ([`PhaseStatus`]).
//!
//! The driver is thin: a [`StateFolder`], on disk ([`DiskFolder`]) or with injected faults for tests ([`FaultyFolder`]),
//! and the [`StateFileDriver`], which reads and writes when the state machines say so.
//!
//! Instants are Unix times. docs/design/hot-restart.md holds the rules, docs/operators/hot-restart.md the log lines and
//! what to do about them.

mod codec;
mod error;
mod faulty_folder;
mod file_name;
mod folder;
mod format;
mod message;
mod peer_state;
mod phase;
mod state;
mod state_file_driver;
mod usable_state;
mod window_counters;

pub use codec::{decode, encode, EncodedFile};
pub use error::{InvalidState, StateFileError, WriteError};
pub use faulty_folder::{FaultyFolder, FolderFault};
pub use file_name::{StateFileName, MAX_LISTED_ENTRIES};
pub use folder::{DiskFolder, StateFolder};
pub use format::{FORMAT_VERSION, MAX_FILE_BYTES, MIN_FORMAT_VERSION};
pub use peer_state::{PeerState, PeerTable, DAMAGED_FILE_RETENTION, DEAD_FILE_RETENTION, PEER_TIMEOUT};
pub use peer_state::{MAX_PEER_FILES, MAX_REMOVALS_PER_WRITE};
pub use phase::{PhaseMachine, PhaseStatus, ACCEPT_GRACE, ACK_TIMEOUT, IDLE_GRACE, MIN_IDLE_TIME};
pub use sprucelink_time::{TimeDelta, Timestamp};
pub use state::{
    ClockReference, Instance, Phase, Process, RetryBudgetBucket, StateFile, StateSnapshot, WarmupBucket,
    WarmupLoad,
};
pub use state::{BUCKET_SPAN, MAX_BUCKETS, MAX_NAME_BYTES, MAX_SHARING_PEERS, MAX_WARMING_ENGINES};
pub use state_file_driver::{FolderScan, StateFileDriver, WriteReport, SCAN_INTERVAL, WRITE_INTERVAL};
pub use usable_state::{usable_state, FileAge, UsableState, WarmupSend, WindowSpans, CLOCK_SLACK};
pub use window_counters::WindowCounters;
