//! The write-ahead log of a consensus member: an append-only, checksummed log that is synced before the
//! member sends any message that depends on it.
//!
//! # On-disk format
//!
//! A directory holds one *segment* file, `gen-` and sixteen hexadecimal digits: the sequence number of the
//! segment's first batch. A segment is a sequence of *records*. Each record is a header followed by one
//! [`WriteBatch`]; the header has a magic number, its length, its sequence number, the checksum of the record
//! before it and its own checksum (CRC-32). The byte layout is described in `record.rs`, the payload in
//! `proto/wal.proto`.
//!
//! A record is synced before the next one is written, so a crash can tear the last record and no other. A
//! batch with a snapshot starts a new segment: it is written to the temporary file `aside`, synced, renamed
//! into place, and the old segment is removed. Only the rename makes the new segment the current one; there
//! is no manifest that could disagree with the directory.
//!
//! # Recovery
//!
//! [`Wal::open`] returns all batches up to the last intact record. A torn tail is truncated and reported
//! ([`Recovered::torn_tail`]). Only the member's peers know whether the truncated batch had been
//! acknowledged; for this they record the sequence number of the last batch that the member acknowledged. A
//! damaged record followed by an intact one is not a torn tail: [`Wal::open`] fails with
//! [`WalError::Corrupt`], and the member does not take part.
//!
//! All file operations go through [`Disk`]: [`DirectoryDisk`] is a real directory, [`FaultDisk`] an in-memory
//! disk with seeded faults for simulators and tests. Bounds are in [`limits`].

mod directory_disk;
mod disk;
mod error;
mod fault_disk;
pub mod limits;
mod record;
mod recovery;
mod segment;
mod wal;

pub use directory_disk::DirectoryDisk;
pub use disk::{Disk, DiskError};
pub use error::WalError;
pub use fault_disk::{FaultDisk, Faults};
pub use record::{Entry, Snapshot, WriteBatch};
pub use recovery::{Corruption, TornTail};
pub use wal::{Recovered, Wal};
