//! A council of 3 to 7 managers that agrees on an ordered journal of opaque records.
//!
//! [`Node`] is one member's deciding half: it is driven by ticks and messages, takes time as an argument and its
//! randomness from a seed, and does no input or output. [`Node::ready`] hands out what is to be put on disk, what is
//! to be sent now and what only afterwards, and which records are committed. The agreement itself is Raft (Ongaro,
//! Ousterhout: "In Search of an Understandable Consensus Algorithm", USENIX ATC 2014) by the `raft` crate, with pre-vote and
//! check-quorum, one change of members at a time through learners, and no reads by lease: nothing here rests on clocks.
//!
//! # Disks that forget
//!
//! Raft holds only if what a member acknowledged is still on its disk after a restart. Two things guard against
//! disks that lose acknowledged writes:
//!
//! - **Witness check.** Every message says what its sender has acknowledged ([`AckState`]): the number of its last synced
//!   write, its term, vote and last entry. Members remember the highest they saw of each other, keep it on disk with
//!   their own writes, and tell it to a member that starts. One whose disk holds less is quarantined for good:
//!   it neither votes nor acknowledges, and must come back under a new incarnation.
//! - **Floors and crash vectors.** What was lost need not have been seen by those that answer. So a member that has
//!   started takes part only when a majority of the others told it their terms and last entries. It then votes in no
//!   term up to the highest told, for no candidate whose log is behind the furthest told, and does not campaign before its own
//!   log is as far ([`vouch`]). Every message carries the newest start of each member that its sender knows of;
//!   a leader that learns of a member's newer start forgets what that member acknowledged before it, and a
//!   candidate gives up. This is the recovery of Viewstamped Replication Revisited (Liskov, Cowling, 2012) as mended with crash
//!   vectors by Michael, Ports, Sharma and Szekeres ("Recovering Shared Objects Without Stable Storage", DISC 2017).
//!
//! What remains possible: answers count as a rule only from members that are themselves established. When so many have
//! restarted at once that no such majority can be had, answers from members in probation count too (at once when
//! all that can answer are in probation, else after [`Timing::patience`]). Then one disk that forgot is still made up for, whatever it
//! forgot; two that forgot the same record are not, unless a witness on a third disk gives them away.
//!
//! Bounds are in [`limits`]; `docs/design/consensus.md` weighs the options.

mod commands;
mod convert;
pub mod frame;
mod ids;
pub mod limits;
mod log_storage;
mod membership;
mod message_check;
mod node;
mod peer_liveness;
mod peer_table;
mod pending_proposals;
mod proposal_dedup;
mod ready;
pub mod rejoin;
mod settings;
#[cfg(feature = "sim")]
pub mod sim;
mod state_digests;
#[cfg(feature = "store")]
pub mod store;
#[allow(missing_docs)]
pub mod wire {
    //! The messages of `proto/consensus.proto`.
    include!(concat!(env!("OUT_DIR"), "/sprucelink.consensus.v1.rs"));
}

pub use commands::{MemberError, ProposeError, SnapshotError};
pub use frame::{Decoder, Frame, FrameError};
pub use ids::{MemberId, ProposalId};
pub use membership::{ConfChange, ConfChangeKind, Membership};
pub use node::{Node, QuarantineReason, StartError};
pub use pending_proposals::{ProposalOutcome, UnknownReason};
pub use proposal_dedup::{Dedup, DedupDecodeError, ProposalDedup};
pub use ready::{Alarm, Batch, CommittedEntry, Ready, Role, RoleChange, Snapshot};
pub use settings::{Config, ConfigError, RecoveredState, Timing};
pub use sprucelink_time::{TimeDelta, Timestamp};
pub use wire::AckState;
