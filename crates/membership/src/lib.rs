//! Fleet membership: each manager maintains a view of which managers are alive, suspected or dead, and of the
//! small payload that each manager publishes.
//!
//! The protocol is SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process
//! Group Membership Protocol", DSN 2002) with suspicion, incarnation numbers and piggybacked updates, and the
//! three refinements of Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More
//! Accurate Failure Detection", DSN-W 2018): local health (an overloaded member probes more slowly), dogpile
//! (a suspicion that other members confirm expires sooner), and the buddy system (a suspect is notified
//! first).
//!
//! - [`SwimNode`]: the protocol as a state machine without I/O. Time is an argument, randomness comes from a
//!   seed, and messages to send are taken from an outbox.
//! - [`Message`], [`encode`], [`decode`]: the messages and their encoding as datagrams; decoding checks all
//!   bounds.
//! - [`GossipPayload`], [`PayloadTable`]: the payloads that members publish, merged by version.
//! - [`spare_retries`], [`budget_divisor`]: how members share retry budgets and divide other budgets.
//! - [`MembershipConfig`]: the settings.
//!
//! Only [`query_members`] performs I/O: a program outside the fleet reads a member's view with it.

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
