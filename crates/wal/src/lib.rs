//! The council's store: a checked append-only log that a member writes before any word of it goes out.
//!
//! One folder holds one *generation* file at a time. Each [`Write`] is one record in it: a header with a magic word,
//! length, sequence number, the checksum of the record before and its own (CRC-32), then the write in protobuf. A
//! record is synced before the next is begun, so a crash can tear the last record and no other. A write with a
//! snapshot begins a new generation: written aside, synced, renamed into place, the old one removed. The rename
//! is the one switch; there is no list of files that could be at odds with the folder.
//!
//! What [`Ledger::open`] promises: the writes come back in order, up to the last good record. A torn tail is cut and
//! told ([`Restored::cut`]); whether a cut write had been acknowledged only the member's peers can know, which is why every
//! write has a sequence number for them to remember. Damage with a good record behind it is no torn tail: it is an error
//! ([`LedgerError::Damaged`]) and the member stays out.
//!
//! All file work goes through [`Disk`]: [`folder::Folder`] on a real folder, [`faults::FaultDisk`] in memory with seeded
//! faults for simulators. Bounds are in [`limits`].

pub mod disk;
pub mod faults;
pub mod folder;
pub mod ledger;
pub mod limits;
mod record;
mod scan;

pub use disk::{Disk, DiskError};
pub use ledger::{Ledger, LedgerError, Restored};
pub use record::{Base, Entry, Write};
pub use scan::Cut;
