//! The messages of the protocol.

use crate::gossip_payload::GossipPayload;
use std::net::SocketAddr;

/// The state of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// It did not answer a probe, and may refute the suspicion.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It announced that it leaves.
    Left,
}

impl MemberState {
    /// Whether the member counts as part of the fleet.
    pub fn is_live(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// A member as updates describe it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name: the same after a restart.
    pub name: String,
    /// The generation of its process: when it started, in Unix milliseconds.
    pub generation: u64,
    /// The number of its refutations within that generation (SWIM 4.2).
    pub incarnation: u32,
    /// Its state.
    pub state: MemberState,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

/// An update that messages carry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// The state of a member.
    Member {
        /// The member.
        member: Member,
        /// Who reported it first: suspicions are counted by reporter.
        reported_by: String,
    },
    /// A member's payload.
    Payload {
        /// The member's name.
        member: String,
        /// The generation of its process.
        generation: u64,
        /// The payload.
        payload: GossipPayload,
    },
}

/// What a message is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A probe of the member named, answered by `Ack` with its sequence number.
    Ping {
        /// The sequence number.
        sequence: u32,
        /// The member probed.
        target: String,
    },
    /// The answer to a probe.
    Ack {
        /// The probe's sequence number.
        sequence: u32,
    },
    /// SWIM's ping-req: probe this member on the sender's behalf. Answered by `Ack` or `Nack` with this sequence number.
    PingRequest {
        /// The sequence number.
        sequence: u32,
        /// The member to probe.
        target: String,
        /// Its address.
        address: SocketAddr,
    },
    /// Lifeguard's nack: the target did not answer the helper either; the helper is well.
    Nack {
        /// The ping request's sequence number.
        sequence: u32,
    },
    /// Updates only.
    Gossip,
    /// The digest and size of the sender's view. A receiver whose view differs sends its own.
    Digest {
        /// The digest ([`crate::SwimNode::digest`]).
        digest: u64,
        /// The number of live members.
        member_count: u32,
        /// Whether the sender has sent its view already: the receiver then does not answer with a digest.
        is_reply: bool,
    },
    /// A program outside the fleet asks for a page of the view; the datagram must be padded to
    /// [`crate::MAX_DATAGRAM_BYTES`], so that an answer is never larger than its query.
    Query {
        /// The position of the first member wanted.
        offset: u32,
    },
    /// A page of the view; the members are the updates.
    View {
        /// The position of its first member.
        offset: u32,
        /// The number of members in the complete view.
        total: u32,
    },
}

/// The sender of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sender {
    /// Its name.
    pub name: String,
    /// The generation of its process.
    pub generation: u64,
    /// Its advertised address.
    pub address: SocketAddr,
}

/// A message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Who sends it.
    pub sender: Sender,
    /// What it is for.
    pub kind: MessageKind,
    /// Updates that it carries.
    pub updates: Vec<Update>,
}
