//! Bounds of the consensus crate, and the behaviour at each bound.

/// Smallest number of voters: below it one failure stops the log. A removal that would leave fewer is
/// rejected.
pub const MIN_VOTERS: usize = 3;

/// Largest number of voters: more voters only slow down the majority. A promotion beyond it is rejected.
pub const MAX_VOTERS: usize = 7;

/// Largest number of learners: each costs the leader ten heartbeats per second. A further learner is
/// rejected.
pub const MAX_LEARNERS: usize = 512;

/// Largest number of nodes whose highest incarnation is recorded. A new node beyond it is rejected.
pub const MAX_NODES: usize = 4096;

/// Largest number of peers in the peer table, including removed members that still send. A further peer is
/// not recorded and gets no response.
pub const MAX_PEERS: usize = 1024;

/// Largest number of members outside the known membership to which a rejoining member sends requests because
/// it received a frame from them. Further ones get no request.
pub const MAX_UNLISTED_PEERS: usize = 16;

/// Longest proposal, bytes. Log records are small; larger data should be stored elsewhere, with its digest in
/// the log. A longer proposal is rejected with `TooLarge`.
pub const MAX_PROPOSAL_BYTES: usize = 64 << 10;

/// Largest number of one member's own proposals whose outcome is pending. Further ones are rejected with
/// `TooManyPending`.
pub const MAX_PENDING_PROPOSALS: usize = 256;

/// Largest size of entries that a leader has appended and not yet committed, bytes. Further proposals are
/// rejected with `TooManyPending`.
pub const MAX_UNCOMMITTED_BYTES: u64 = 4 << 20;

/// Largest size of the entries in one message, bytes; more entries go in several messages.
pub const MAX_APPEND_BYTES: u64 = 512 << 10;

/// Largest number of entries in a received message; a message with more is rejected. It is above the number
/// of empty entries that [`MAX_APPEND_BYTES`] allows (16 bytes are counted for each).
pub const MAX_APPEND_ENTRIES: usize = 64 << 10;

/// Largest number of unanswered append messages to one member. At this number the leader waits for a
/// response.
pub const MAX_INFLIGHT_APPENDS_PER_MEMBER: usize = 64;

/// Largest size of committed entries handed out at a time, bytes; the rest follows with the next `ready`.
pub const MAX_COMMITTED_BYTES: u64 = 1 << 20;

/// Largest number of entries retained in memory and on disk. At this number a leader rejects proposals with
/// `TooManyPending` and a follower accepts no entries, until a snapshot is taken.
pub const MAX_LOG_ENTRIES: u64 = 32 << 10;

/// Largest size of the entries retained in memory and on disk, bytes. At this size proposals and entries are
/// rejected as at [`MAX_LOG_ENTRIES`].
pub const MAX_LOG_BYTES: u64 = 16 << 20;

/// Size of the entries since the last snapshot at which a new one is due regardless of their number, bytes.
pub const SNAPSHOT_EVERY_BYTES: u64 = 4 << 20;

/// Number of entries before a snapshot that are retained in memory, so that a member that is slightly behind
/// needs no snapshot.
pub const RETAINED_ENTRIES: u64 = 1024;

/// Largest snapshot, bytes. A larger one is rejected with `TooLarge`, and the log then fills up to its bound.
pub const MAX_SNAPSHOT_BYTES: usize = 4 << 20;

/// Longest frame, bytes: a snapshot with its envelope. A longer frame ends the connection.
pub const MAX_FRAME_BYTES: usize = MAX_SNAPSHOT_BYTES + (512 << 10);

/// Longest context of a vote request, bytes; the only context in use is `CampaignTransfer`.
pub const MAX_CONTEXT_BYTES: usize = 32;

/// Largest number of batches handed out and not yet on disk. At this number `ready` returns nothing, so a
/// member whose disk hangs becomes silent and another member is elected.
pub const MAX_BATCHES_IN_FLIGHT: usize = 64;

/// Number of batches in flight at which a follower stops accepting entries; the leader sends them again.
pub const BUSY_BATCHES_IN_FLIGHT: usize = 16;

/// Largest number of messages queued for the next `ready`. At this number further ones are dropped, as they
/// may be in a network.
pub const MAX_QUEUED_MESSAGES: usize = 4096;

/// Largest number of missed ticks that are run at once. After a longer gap the rest are skipped: the process
/// itself was paused, and must first read the messages that other members sent in the meantime.
pub const MAX_TICKS_AT_ONCE: i64 = 3;

/// Highest term, index and boot number accepted from a message: with larger numbers, sums could overflow.
pub const MAX_COUNT: u64 = 1 << 48;

/// Largest number of committed entries that a learner may lack when it is promoted. If it lacked more,
/// commits that need its acknowledgement would wait for it.
pub const MAX_PROMOTION_LAG: u64 = 64;

/// Largest number of alarms queued for the next `ready`; further ones are dropped.
pub const MAX_ALARMS: usize = 256;

/// Number of state digests retained for comparison with those of the peers.
pub const RETAINED_DIGESTS: usize = 64;

/// Largest number of origins in a [`crate::ProposalDedup`]. At this number a proposal of a new origin is
/// rejected.
pub const MAX_ORIGINS: usize = 4096;
