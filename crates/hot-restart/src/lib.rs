//! Hot restart: the state that a process of a workload manager passes to its successor.
//!
//! During a hot restart a second process, the *new* one, starts beside the running *old* one. Both share the
//! listening socket and a folder (`$TMPDIR`), and for every rule and limit they count as one workload
//! manager. Each process maintains its own state file in that folder, replaces it atomically, and reads the
//! files of the other processes. From these files both processes derive which of them accepts connections,
//! what fraction of the manager's budgets each may spend, and which engines are cordoned.
//!
//! The state machines perform no I/O and read no clock:
//!
//! - [`StateFile`], [`encode`], [`decode`]: the contents of a file, their encoding, and the reasons for
//!   rejecting a file ([`StateFileError`]).
//! - [`usable_state`](mod@usable_state): the part of another process's file that still applies, given the
//!   file's age.
//! - [`WindowCounters`]: retries, admitted requests and work sent to warming engines, in buckets of 250 ms.
//! - [`CancelOutbox`], [`CancelInbox`]: CancelRequests that reached the process which does not serve their
//!   session.
//! - [`PeerTable`]: which files belong to live processes, and which may be removed.
//! - [`PhaseMachine`]: the phases of a process and the permissions that follow from them ([`PhaseStatus`]).
//!
//! I/O is limited to a [`StateFolder`], on disk ([`DiskFolder`]) or with injected faults for tests
//! ([`FaultyFolder`]), and the [`StateFileDriver`], which reads and writes when the state machines require
//! it.
//!
//! All timestamps are Unix times. docs/design/hot-restart.md describes the rules,
//! docs/operators/hot-restart.md the log lines and the operator's response to them.

mod cancel_requests;
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

pub use cancel_requests::{
    CancelInbox, CancelOutbox, ForwardedCancel, CANCEL_RETENTION, MAX_CANCEL_REQUESTS,
};
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
    ClockReference, FeedChange, Instance, Phase, Process, RetryBudgetBucket, StateFile, StateSnapshot,
    WarmupBucket, WarmupLoad,
};
pub use state::{BUCKET_SPAN, MAX_BUCKETS, MAX_NAME_BYTES, MAX_SHARING_PEERS, MAX_WARMING_ENGINES};
pub use state_file_driver::{
    FolderScan, StateFileDriver, WriteReport, SCAN_INTERVAL, SCAN_INTERVAL_WITH_PEERS,
};
pub use state_file_driver::{MIN_WRITE_INTERVAL, WRITE_INTERVAL};
pub use usable_state::{usable_state, FileAge, SentWarmupWork, UsableState, WindowSpans, CLOCK_SLACK};
pub use window_counters::WindowCounters;
