//! The messages of the protocol.

use crate::gossip_payload::GossipPayload;
use std::net::SocketAddr;

/// State of a member in the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member did not answer a probe, and may refute the suspicion.
    Suspect,
    /// The member did not refute the suspicion before it expired.
    Dead,
    /// The member announced that it is leaving.
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
    /// Name of the member; a restart does not change it.
    pub name: String,
    /// Generation of the member's process: its start time in Unix milliseconds.
    pub generation: u64,
    /// Incarnation number (SWIM 4.2): the member raises it with each refutation, and each generation starts
    /// at 0.
    pub incarnation: u32,
    /// State that the update reports.
    pub state: MemberState,
    /// Address at which other members reach it.
    pub address: SocketAddr,
    /// Zone of the member; empty if it has none.
    pub zone: String,
    /// Region of the member; empty if it has none.
    pub region: String,
}

/// An update piggybacked on a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// The state of a member.
    Member {
        /// The member and its reported state.
        member: Member,
        /// Name of the member that reported this state first: a suspicion counts each reporter once.
        reported_by: String,
    },
    /// A member's payload.
    Payload {
        /// Name of the member that published the payload.
        member: String,
        /// Generation of the publishing process.
        generation: u64,
        /// The published payload.
        payload: GossipPayload,
    },
}

/// Kind of a message, with the fields of that kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A probe, answered by an `Ack` with the same sequence number.
    Ping {
        /// Sequence number, chosen by the sender.
        sequence: u32,
        /// Name of the probed member; a different member at the address does not answer.
        target: String,
    },
    /// The answer to a probe.
    Ack {
        /// Sequence number of the probe.
        sequence: u32,
    },
    /// SWIM's ping-req: a request to probe a member on the sender's behalf, answered by an `Ack` or `Nack`
    /// with the same sequence number.
    PingRequest {
        /// Sequence number, chosen by the sender.
        sequence: u32,
        /// Name of the member to probe.
        target: String,
        /// Address of the member to probe.
        address: SocketAddr,
    },
    /// Lifeguard's nack: the target did not answer the helper either. It shows that the helper itself is
    /// reachable.
    Nack {
        /// Sequence number of the ping request.
        sequence: u32,
    },
    /// A message that only carries updates.
    Gossip,
    /// Digest and size of the sender's view. A receiver whose view differs sends its complete view.
    Digest {
        /// Digest of the live members ([`crate::SwimNode::digest`]).
        digest: u64,
        /// Number of live members, the sender included.
        member_count: u32,
        /// Whether the sender has already sent its view: the receiver then does not answer with a digest.
        is_reply: bool,
    },
    /// Request of a program outside the fleet for a page of the view. The datagram must be padded to
    /// [`crate::MAX_DATAGRAM_BYTES`], so that an answer is never larger than its query.
    Query {
        /// Position in the view of the first requested member.
        offset: u32,
    },
    /// A page of the view; its members are in the message's updates.
    View {
        /// Position in the view of the page's first member.
        offset: u32,
        /// Number of members in the complete view.
        total: u32,
    },
}

/// Sender of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sender {
    /// Name of the sending member.
    pub name: String,
    /// Generation of the sending process.
    pub generation: u64,
    /// Advertised address of the sender, to which answers are sent.
    pub address: SocketAddr,
}

/// A message of the protocol; each is one datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Member that sent the message.
    pub sender: Sender,
    /// Kind of the message, with its fields.
    pub kind: MessageKind,
    /// Updates piggybacked on the message.
    pub updates: Vec<Update>,
}
