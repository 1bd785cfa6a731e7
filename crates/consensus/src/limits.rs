//! Bounds of the consensus crate, and what happens at each.

/// Smallest number of voters: below it one failure stops the log. A removal that would go below is rejected.
pub const MIN_VOTERS: usize = 3;

/// Largest number of voters: more only slow down the majority. A promotion beyond it is rejected.
pub const MAX_VOTERS: usize = 7;

/// Largest number of learners: each costs the leader ten heartbeats a second. Another one is rejected.
pub const MAX_LEARNERS: usize = 512;

/// Largest number of nodes whose highest incarnation is remembered. A new node beyond it is rejected.
pub const MAX_NODES: usize = 4096;

/// Largest number of peers of which something is remembered beside the log, including removed members that still send.
/// Another one is not remembered and gets no response.
pub const MAX_PEERS: usize = 1024;

/// Largest number of members outside of the known membership that a rejoining member sends requests to
/// because they sent it something. Further ones get none.
pub const MAX_UNLISTED_PEERS: usize = 16;

/// Longest proposal, bytes: a log record is small; larger data belongs elsewhere, with its digest in the log. A longer
/// proposal is rejected with `TooLarge`.
pub const MAX_PROPOSAL_BYTES: usize = 64 << 10;

/// Largest number of one member's own proposals whose outcome is open. Further ones are rejected with `TooManyPending`.
pub const MAX_PENDING_PROPOSALS: usize = 256;

/// Largest size of entries that a leader has appended and not yet committed, bytes. Further proposals are rejected with
/// `TooManyPending`.
pub const MAX_UNCOMMITTED_BYTES: u64 = 4 << 20;

/// Largest size of the entries in one message, bytes; more entries go in several messages.
pub const MAX_APPEND_BYTES: u64 = 512 << 10;

/// Largest number of entries in a message that is read; a message with more is dropped. It is above what
/// [`MAX_APPEND_BYTES`] allows with empty entries (16 bytes are counted for each).
pub const MAX_APPEND_ENTRIES: usize = 64 << 10;

/// Largest number of unanswered append messages to one member; at it the leader waits for a response.
pub const MAX_INFLIGHT_MESSAGES: usize = 64;

/// Largest size of committed entries handed out at a time, bytes; the rest follows with the next `ready`.
pub const MAX_COMMITTED_BYTES: u64 = 1 << 20;

/// Largest number of entries retained in memory and on disk. At it a leader rejects proposals with `TooManyPending` and a
/// follower accepts no entries, until a snapshot is taken.
pub const MAX_LOG_ENTRIES: u64 = 32 << 10;

/// Largest size of the entries retained in memory and on disk, bytes. The same happens as at [`MAX_LOG_ENTRIES`].
pub const MAX_LOG_BYTES: u64 = 16 << 20;

/// Size of the entries since the last snapshot at which a new one is due, whatever their number, bytes.
pub const SNAPSHOT_EVERY_BYTES: u64 = 4 << 20;

/// Number of entries retained in memory before a snapshot, so that a member that is slightly behind needs no snapshot.
pub const RETAINED_ENTRIES: u64 = 1024;

/// Largest snapshot, bytes. A larger one is rejected with `TooLarge`, and the log then fills up to its bound.
pub const MAX_SNAPSHOT_BYTES: usize = 4 << 20;

/// Longest frame, bytes: a snapshot with its envelope. A longer one ends the connection.
pub const MAX_FRAME_BYTES: usize = MAX_SNAPSHOT_BYTES + (512 << 10);

/// Longest context of a vote request, bytes; the only one in use is `CampaignTransfer`.
pub const MAX_CONTEXT_BYTES: usize = 32;

/// Largest number of batches handed out and not yet on disk. At it `ready` returns nothing, so a member whose disk hangs
/// becomes silent and another one leads.
pub const MAX_BATCHES_IN_FLIGHT: usize = 64;

/// Number of batches in flight from which on a follower accepts no entries: the leader sends them again.
pub const BUSY_BATCHES_IN_FLIGHT: usize = 16;

/// Largest number of messages queued for the next `ready`. At it further ones are dropped, as a network would.
pub const MAX_QUEUED_MESSAGES: usize = 4096;

/// Largest number of missed ticks that are run at once. After a longer gap the rest is skipped: the process itself was
/// stopped, and what others sent meanwhile is still to be read.
pub const MAX_TICKS_AT_ONCE: i64 = 3;

/// Highest term, index and boot number accepted from a message: beyond it sums could overflow.
pub const MAX_COUNT: u64 = 1 << 48;

/// Number of committed entries that a learner may lack and still be promoted: with more the majority would wait for it.
pub const MAX_PROMOTION_LAG: u64 = 64;

/// Largest number of alarms queued for the next `ready`; at it further ones are dropped.
pub const MAX_ALARMS: usize = 256;

/// Number of state digests remembered for comparison with the peers'.
pub const RETAINED_DIGESTS: usize = 64;

/// Largest number of origins in a [`crate::ProposalDedup`]. At it a new origin is rejected.
pub const MAX_ORIGINS: usize = 4096;
