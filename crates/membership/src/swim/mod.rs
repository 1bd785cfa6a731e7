//! SWIM with Lifeguard, one concern a file.
//!
//! Deviations from the papers, and why:
//!
//! - A member is its *name and generation* (start time): a new process under an old name replaces the old one whatever
//!   incarnation that had, and updates on an earlier generation are ignored.
//! - Views are compared by a digest with one other member at a time ([`crate::MessageKind::Digest`]), and with the seeds
//!   and the dead in turn, so that partitioned views merge (anti-entropy). What such a comparison says of dead members
//!   counts as a suspicion, as in memberlist's push-pull: the accused gets to refute it.
//! - A suspicion that is about to expire is sent to the suspect itself first (*final probes*), by each member that holds
//!   it: updates are sent a bounded number of times, and where datagrams get lost some member misses a refutation. The
//!   answer to an accusation carries the refutation, and outdated updates are answered with the newer one held.
//! - A member that was stopped (SIGSTOP, a machine that slept) sees time jump: it concludes nothing from the silence in
//!   between, extends every suspicion by that time, and compares views at once.

mod anti_entropy;
mod dissemination;
mod event;
mod gossip_queue;
mod local_health;
mod member_table;
mod node;
mod probing;
mod refutation;
mod suspicion;

pub use event::{MembershipCounters, MembershipEvent, MembershipEventKind};
pub use member_table::MAX_MEMBERS;
pub use node::{LocalMember, OutgoingMessage, SwimNode};
