//! The council's named bounds. What happens at each stands beside it.

/// Fewest voters: below it one failure stops the journal. A removal that would go below is refused.
pub const MIN_VOTERS: usize = 3;

/// Most voters: more only slow down the majority. A promotion above is refused.
pub const MAX_VOTERS: usize = 7;

/// Most learners: each costs the leader ten heartbeats a second. Another is refused.
pub const MAX_LEARNERS: usize = 512;

/// Most nodes whose highest incarnation is remembered. A new node above is refused.
pub const MAX_NODES: usize = 4096;

/// Most members of which something is remembered beside the log, removed ones that still speak among them. Another is
/// not remembered, and gets no answer.
pub const MAX_PEERS: usize = 1024;

/// Most members outside its list that a member in probation asks because they spoke to it. Further ones are not asked.
pub const MAX_STRANGERS: usize = 16;

/// Longest proposal, bytes: a journal record is small; what is larger belongs elsewhere with its digest in the
/// journal. Refused with `TooLarge`.
pub const MAX_PROPOSAL_BYTES: usize = 64 << 10;

/// Most proposals that one member has in hand, its own, undecided. Refused with `TooMany`.
pub const MAX_PROPOSALS_IN_HAND: usize = 256;

/// Most bytes of entries appended by a leader and not yet committed. Refused with `TooMany`.
pub const MAX_UNCOMMITTED_BYTES: u64 = 4 << 20;

/// Most bytes of entries in one message; a larger stretch goes in several.
pub const MAX_APPEND_BYTES: u64 = 512 << 10;

/// Most entries in one message that is read; a message with more is dropped. Above what [`MAX_APPEND_BYTES`] gives
/// with empty entries (16 bytes counted for each).
pub const MAX_APPEND_ENTRIES: usize = 64 << 10;

/// Most messages with entries on their way to one member; then it is sent no more until it answers.
pub const MAX_INFLIGHT_MESSAGES: usize = 64;

/// Most bytes of committed entries handed out at a time; the rest comes with the next `ready`.
pub const MAX_COMMITTED_BYTES: u64 = 1 << 20;

/// Most entries kept in memory and on disk. A leader at it refuses proposals with `TooMany`, a follower takes no more
/// entries, until whoever applies has taken a snapshot.
pub const MAX_LOG_ENTRIES: u64 = 32 << 10;

/// Most bytes of entries kept in memory and on disk; at it as at [`MAX_LOG_ENTRIES`].
pub const MAX_LOG_BYTES: u64 = 16 << 20;

/// Bytes of entries since the last snapshot that make a new one due, whatever their number.
pub const SNAPSHOT_EVERY_BYTES: u64 = 4 << 20;

/// Entries kept in memory behind a snapshot, so that a member that lags a little needs no snapshot.
pub const KEEP_ENTRIES: u64 = 1024;

/// Largest snapshot, bytes. A larger one is refused with `TooLarge`, and the log then fills up to its bound.
pub const MAX_SNAPSHOT_BYTES: usize = 4 << 20;

/// Longest frame, bytes: a snapshot with its envelope. A longer one ends the connection.
pub const MAX_FRAME_BYTES: usize = MAX_SNAPSHOT_BYTES + (512 << 10);

/// Longest context in a vote request, bytes; the one in use is `CampaignTransfer`.
pub const MAX_CONTEXT_BYTES: usize = 32;

/// Most batches handed out and not yet on disk. At it `ready` gives nothing, so a member whose disk hangs falls
/// silent and another leads.
pub const MAX_BATCHES_IN_FLIGHT: usize = 64;

/// Batches on their way to disk from which on a follower takes no more entries: the leader sends them again.
pub const BUSY_BATCHES: usize = 16;

/// Most frames waiting for the next `ready`. At it further ones are dropped, as a network would.
pub const MAX_FRAMES_WAITING: usize = 4096;

/// Most ticks made up for at once. After a longer gap the rest is let go: the time was the process's own, and what
/// others said meanwhile still waits to be read.
pub const MAX_TICKS_AT_ONCE: i64 = 3;

/// Highest term and index taken from a message: beyond it somebody has lost its mind, and sums could overflow.
pub const MAX_COUNT: u64 = 1 << 48;

/// How many committed entries a learner may lack and still be made a voter: with more the majority would wait for it.
pub const PROMOTE_LAG: u64 = 64;

/// Most alarms and outcomes waiting for the next `ready`; at it further alarms are dropped (outcomes are bounded by the
/// proposals in hand).
pub const MAX_ALARMS: usize = 256;

/// State digests remembered for comparison with the peers'.
pub const DIGESTS_KEPT: usize = 64;

/// Most origins whose proposals are told apart ([`crate::ProposalDedup`]). At it a new origin is refused.
pub const MAX_ORIGINS: usize = 4096;
