//! The store's named bounds.

/// Longest payload of one record, bytes: a snapshot of the council's largest size (4 MiB), the entries behind it
/// and the state, with room. A longer write is refused, and a longer length read from disk counts as damage.
pub const MAX_RECORD_BYTES: usize = 32 << 20;

/// Longest generation file, bytes. At it every write without a snapshot is refused with
/// [`crate::LedgerError::Full`]; the council takes snapshots long before.
pub const MAX_GENERATION_BYTES: u64 = 64 << 20;

/// Most files looked at in the folder. More means that the folder is not the ledger's own; open refuses.
pub const MAX_FILES: usize = 64;
