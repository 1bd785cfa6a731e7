//! What goes from one process of a workload manager to its successor during an upgrade.
//!
//! During an upgrade a second process, the *newcomer*, starts beside the running one, the *elder*; both share the
//! listening socket and a folder (`$TMPDIR`), and for every rule and limit they count as one workload manager. Each
//! process keeps one file of its own in that folder, replaces it whole, and reads the others'. From these files both
//! follow who accepts connections, what share of the manager's budgets each may spend, and which engines are out.
//!
//! The deciding half does no input or output and reads no clock:
//!
//! - [`Handover`], [`encode`], [`decode`]: the content, its bytes, and why bytes are refused ([`Refusal`]).
//! - [`adopt`]: what of a file that was read is still of use, by its age.
//! - [`Tally`]: further attempts, requests taken and sends to cold engines, in buckets of 250 ms.
//! - [`Book`]: which of the files read belong to living processes, and which may be removed.
//! - [`Upgrade`]: the phases of a process and what follows from them ([`Stand`]).
//!
//! The acting half is thin: a [`Folder`], the real one ([`DiskFolder`]), one with faults for tests
//! ([`FaultyFolder`]), and the [`Keeper`], which reads and writes when the deciding half says so.
//!
//! Times are Unix microseconds. docs/design/hot-restart.md holds the rules in one place, docs/operators/hot-restart.md what
//! to log and what to do.

mod adopt;
mod book;
mod codec;
mod content;
mod faulty;
mod folder;
mod keeper;
mod message;
mod names;
mod phases;
mod tally;

pub use adopt::{adopt, Adopted, Age, ColdSend, Spans, CLOCK_SLACK};
pub use book::{Book, Other, DAMAGED_KEPT, DEAD_AFTER, DEAD_KEPT, FILES_MOST, REMOVALS_MOST};
pub use codec::{decode, encode, Encoded, Refusal, FILE_MOST, FORMAT, OLDEST};
pub use content::{ColdBucket, ColdSends, Content, Handover, Instance, Phase, Process, RationBucket};
pub use content::{BUCKET, BUCKETS_MOST, COLD_MOST, NAME_MOST, ROOM_MOST};
pub use faulty::{Fault, FaultyFolder};
pub use folder::{DiskFolder, Folder};
pub use keeper::{Keeper, Looked, WriteFailed, Written, LOOK, REFRESH};
pub use names::{FileName, LISTED_MOST};
pub use phases::{Stand, Upgrade, IDLE_FOR, IDLE_WAIT, ROOM_WAIT, STILL_COMING};
pub use sprucelink_time::{TimeDelta, Timestamp};
pub use tally::Tally;
