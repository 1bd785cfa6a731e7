//! SWIM with Lifeguard: [`SwimNode`] owns the parts and routes messages and time between them.
//!
//! | part | what it keeps |
//! | --- | --- |
//! | `local_member` | this member: its incarnation, and whether it has left or was superseded |
//! | `local_health` | Lifeguard's local health score |
//! | `member_table`, `suspicion` | the other members, their states and the suspicions of them |
//! | `prober` | the probe under way, the order of probes, and probes on others' behalf |
//! | `gossip_queue` | updates that are still to be disseminated |
//! | `anti_entropy` | when and with whom views are compared, and how many views may be sent |
//!
//! Deviations from the papers, and why:
//!
//! - A member is its *name and generation* (start time): a new process under an old name replaces the old one whatever
//!   incarnation that had, and updates on an earlier generation are ignored.
//! - Views are compared by a digest with one other member at a time ([`crate::MessageKind::Digest`]), and with the seeds
//!   and the dead in turn, so that partitioned views merge (anti-entropy). What such a comparison reports of dead members
//!   counts as a suspicion, as in memberlist's push-pull: the accused gets to refute it.
//! - A suspicion that is about to expire is sent to the suspect itself first (*final probes*), by each member that has
//!   it: updates are sent a bounded number of times, and where datagrams get lost some member misses a refutation. The
//!   answer to an accusation carries the refutation, and outdated updates are answered with the newer one.
//! - A member that was stopped (SIGSTOP, a machine that slept) sees time jump: it concludes nothing from the silence in
//!   between, extends every suspicion by that time, and compares views at once.

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
