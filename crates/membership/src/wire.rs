//! The layout of datagrams: one message each, in at most [`MAX_DATAGRAM_BYTES`] bytes, with a checksum, because UDP's own
//! is weak and optional.
//!
//! All numbers are big-endian: `SL`, version (1 byte), kind (1), the sender's name, generation and address, the fields of
//! the kind, the number of updates (1) and the updates, and the CRC-32 of all that. Texts have their length before them
//! (1). Only the own version is read: members of two versions are two fleets.

/// Longest datagram, in bytes: it fits into one Ethernet frame with its headers, so that none is fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// The first bytes of every datagram.
pub(crate) const MAGIC: [u8; 2] = *b"SL";
/// Version of the format.
pub(crate) const VERSION: u8 = 1;
/// Offset of the version in a datagram, in bytes.
pub(crate) const VERSION_OFFSET: usize = 2;
/// Offset of the message's kind in a datagram, in bytes.
pub(crate) const KIND_OFFSET: usize = 3;
/// Bytes of the checksum at the end.
pub(crate) const CRC_BYTES: usize = 4;
/// Maximum number of updates of a message: their number is one byte.
pub(crate) const MAX_UPDATES: usize = 255;

/// [`crate::MessageKind::Ping`].
pub(crate) const KIND_PING: u8 = 0;
/// [`crate::MessageKind::Ack`].
pub(crate) const KIND_ACK: u8 = 1;
/// [`crate::MessageKind::PingRequest`].
pub(crate) const KIND_PING_REQUEST: u8 = 2;
/// [`crate::MessageKind::Nack`].
pub(crate) const KIND_NACK: u8 = 3;
/// [`crate::MessageKind::Gossip`].
pub(crate) const KIND_GOSSIP: u8 = 4;
/// [`crate::MessageKind::Digest`].
pub(crate) const KIND_DIGEST: u8 = 5;
/// [`crate::MessageKind::Query`].
pub(crate) const KIND_QUERY: u8 = 6;
/// [`crate::MessageKind::View`].
pub(crate) const KIND_VIEW: u8 = 7;

/// An update of a member that is [`crate::MemberState::Alive`].
pub(crate) const UPDATE_ALIVE: u8 = 0;
/// An update of a member that is [`crate::MemberState::Suspect`].
pub(crate) const UPDATE_SUSPECT: u8 = 1;
/// An update of a member that is [`crate::MemberState::Dead`].
pub(crate) const UPDATE_DEAD: u8 = 2;
/// An update of a member that has [`crate::MemberState::Left`].
pub(crate) const UPDATE_LEFT: u8 = 3;
/// An update of a member's payload.
pub(crate) const UPDATE_PAYLOAD: u8 = 4;
