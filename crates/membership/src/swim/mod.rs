//! SWIM with Lifeguard: [`SwimNode`] owns the modules' state machines and passes messages and time to them.
//!
//! | module | state |
//! | --- | --- |
//! | `local_member` | this member: its incarnation, and whether it has left or was superseded |
//! | `local_health` | Lifeguard's local health score |
//! | `member_table`, `suspicion` | the other members, their states and suspicions |
//! | `prober` | the current probe, the probe order, and probes on behalf of other members |
//! | `gossip_queue` | updates that are still to be disseminated |
//! | `anti_entropy` | the schedule and peers of view comparisons, and the rate limit on sent views |
//!
//! Deviations from the papers:
//!
//! - A member is identified by *name and generation* (start time): a new process under an old name replaces
//!   the old process regardless of its incarnation, and updates about an earlier generation are ignored.
//! - Anti-entropy: views are compared by digest with one other member at a time
//!   ([`crate::MessageKind::Digest`]), alternately with a live member and with a seed or dead member, so that
//!   partitioned views merge. A death reported in an exchanged view counts as a suspicion, as in memberlist's
//!   push-pull: the accused member can refute it.
//! - Final probes: before a suspicion expires, each member that holds it sends it to the suspect itself.
//!   Updates are sent a bounded number of times, so with datagram loss some members would miss a refutation.
//!   The answer to an accusation carries the refutation, and outdated updates are answered with the newer
//!   one.
//! - A member that was stopped (SIGSTOP, or its machine was suspended) sees time jump: it draws no conclusion
//!   from missing answers in that time, extends every suspicion by it, and compares views at once.

mod anti_entropy;
mod duration;
mod event;
mod gossip_queue;
mod local_health;
mod local_member;
mod member_table;
mod node;
mod prober;
mod suspicion;

pub use event::{MembershipCounters, MembershipEvent, MembershipEventKind};
pub use local_member::LocalMember;
pub use member_table::MAX_MEMBERS;
pub use node::{OutgoingMessage, SwimNode};
