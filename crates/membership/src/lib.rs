//! A view of the fleet that its managers keep themselves: which are alive, suspected or dead, and a small payload of what
//! each of them publishes.
//!
//! The protocol is SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group
//! Membership Protocol", DSN 2002) with suspicion, incarnation numbers and piggybacked updates, and the three
//! refinements of Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More Accurate Failure
//! Detection", DSN-W 2018): local health (an overloaded member probes more slowly), dogpile (a suspicion that others
//! confirm expires sooner), and the buddy system (a suspect is notified first).
//!
//! - [`SwimNode`]: the protocol as a state machine without I/O. Time is an argument, randomness comes from a seed, and
//!   messages to send are taken from an outbox.
//! - [`Message`], [`encode`], [`decode`]: the datagrams, read within bounds.
//! - [`GossipPayload`], [`PayloadTable`]: what members publish, merged by version.
//! - [`spare_retries`], [`budget_divisor`]: how budgets are shared among the members.
//! - [`MembershipConfig`]: the settings.
//!
//! Nothing here performs I/O except [`query_members`], by which a program outside the fleet reads a member's view.

mod config;
mod decoder;
mod encoder;
mod gossip_payload;
mod message;
mod query_client;
mod retry_budget_pool;
mod swim;
mod wire;

pub use config::{MembershipConfig, ProtocolConfig, SharingConfig, MAX_NAME_BYTES, MAX_SEEDS};
pub use decoder::{decode, DecodeError};
pub use encoder::{encode, encoded_size, EncodedDatagram};
pub use gossip_payload::MAX_ENGINES;
pub use gossip_payload::{engine_hash, GossipPayload, PayloadTable, VersionedPayload, WarmupWork};
pub use message::{Member, MemberState, Message, MessageKind, Sender, Update};
pub use query_client::query_members;
pub use retry_budget_pool::{budget_divisor, spare_retries, RetryBudget};
pub use sprucelink_time::{TimeDelta, Timestamp};
pub use swim::{
    LocalMember, MembershipCounters, MembershipEvent, MembershipEventKind, OutgoingMessage, SwimNode,
    MAX_MEMBERS,
};
pub use wire::MAX_DATAGRAM_BYTES;
