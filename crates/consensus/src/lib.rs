//! Consensus among 3 to 7 managers on an ordered log of opaque proposals.
//!
//! [`Node`] is one member's state machine: ticks and messages drive it, the time is an argument, randomness
//! comes from a seed, and it does no input or output. [`Node::ready`] hands out the batch to write to disk,
//! the messages that may be sent at once or only after that write, and the committed entries. The protocol is
//! Raft (Ongaro, Ousterhout: "In Search of an Understandable Consensus Algorithm", USENIX ATC 2014) by the
//! `raft` crate, with pre-vote and check-quorum, one membership change at a time through learners, and no
//! lease reads: safety does not depend on clocks.
//!
//! # Disks that lose acknowledged writes
//!
//! Raft is safe only if everything that a member acknowledged is still on its disk after a restart. Two
//! mechanisms protect the group from disks that lose acknowledged writes:
//!
//! - **Acknowledgement check.** Every message contains the state that its sender has acknowledged
//!   ([`AckState`]): the number of its last synced batch, its term, vote and last entry. Members record the
//!   highest state received from each peer, write it to disk with their own batches, and send it to a peer
//!   that restarts. A member whose disk holds less is quarantined permanently: it neither votes nor
//!   acknowledges, and has to come back under a new incarnation.
//! - **Floors and crash vectors.** The responding members may not have received the acknowledgements that
//!   were lost. So a restarted member takes part in the protocol only when a majority of the other members
//!   have sent it their terms and last entries. It then votes in no term up to the highest of these terms,
//!   votes for no candidate whose log is behind the furthest of these entries, and does not campaign before
//!   its own log has reached that entry ([`rejoin`]). Every message contains the newest boot of each member
//!   that its sender knows of; a leader that learns of a member's newer boot discards what that member
//!   acknowledged before it, and a candidate steps down. This is the recovery of Viewstamped Replication
//!   Revisited (Liskov, Cowling, 2012) as corrected with crash vectors by Michael, Ports, Sharma and Szekeres
//!   ("Recovering Shared Objects Without Stable Storage", DISC 2017).
//!
//! The remaining risk: normally only responses of established members count. When too many members have
//! restarted at once for a majority of established ones, responses of rejoining members count too (at once
//! when such a majority can't be reached any more, otherwise after [`Timing::rejoin_patience`]). Then one
//! disk that lost writes is still compensated for, whatever it lost. The loss of one entry by two disks is
//! not compensated for, unless the acknowledgements that a third member observed show the loss.
//!
//! Bounds are in [`limits`]; `docs/design/consensus.md` compares the design options.

mod alarm;
mod config;
mod convert;
pub mod frame;
mod ids;
pub mod limits;
mod log_storage;
mod membership;
mod message_check;
mod node;
mod peer_table;
mod pending_proposals;
mod proposal_dedup;
mod ready;
mod recovered_state;
pub mod rejoin;
mod role;
#[cfg(feature = "sim")]
pub mod sim;
mod snapshot;
mod state_digests;
#[cfg(feature = "store")]
pub mod store;
#[allow(missing_docs, reason = "generated: the documentation is in proto/consensus.proto")]
pub mod wire {
    //! The messages of `proto/consensus.proto`.
    include!(concat!(env!("OUT_DIR"), "/sprucelink.consensus.v1.rs"));
}

pub use alarm::{Alarm, QuarantineReason};
pub use config::{Config, ConfigError, Timing};
pub use frame::{Decoder, Frame, FrameError};
pub use ids::{LogPosition, MemberId, ProposalId};
pub use membership::{ConfChange, ConfChangeKind, ConfChangeViolation, Membership, VersionedMembership};
pub use node::{
    ConfChangeError, LeadershipError, MemberProgress, Node, ProposeError, SnapshotError, StartError,
};
pub use pending_proposals::{ProposalOutcome, UnknownReason};
pub use proposal_dedup::{Dedup, DedupDecodeError, ProposalDedup, SEQUENCE_WINDOW};
pub use ready::{Batch, CommittedEntry, Ready};
pub use recovered_state::RecoveredState;
pub use role::{Role, RoleChange};
pub use snapshot::Snapshot;
pub use sprucelink_time::{TimeDelta, Timestamp};
pub use wire::AckState;
