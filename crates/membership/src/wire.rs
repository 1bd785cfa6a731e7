//! The layout of datagrams: one message each, in at most [`MAX_DATAGRAM_BYTES`] bytes, with a checksum,
//! because UDP's own checksum is weak and optional.
//!
//! All numbers are big-endian: `SL`, version (1 byte), kind (1), the sender's name, generation and address,
//! the fields of the kind, the number of updates (1) and the updates, and the CRC-32 of all preceding bytes.
//! Strings are prefixed with their length (1). Datagrams of any other version are rejected: members of two
//! versions form two separate fleets.

/// Maximum length of a datagram, in bytes: with its headers it fits into one Ethernet frame, so that no
/// datagram is fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// The first bytes of every datagram.
pub(crate) const MAGIC: [u8; 2] = *b"SL";
/// Version of the format.
pub(crate) const VERSION: u8 = 1;
/// Offset of the version in a datagram, in bytes.
pub(crate) const VERSION_OFFSET: usize = 2;
/// Offset of the message's kind in a datagram, in bytes.
pub(crate) const KIND_OFFSET: usize = 3;
/// Length of the checksum at the end of a datagram, in bytes.
pub(crate) const CRC_BYTES: usize = 4;
/// Maximum number of updates in a message: the count field is one byte.
pub(crate) const MAX_UPDATES: usize = 255;

/// Code of [`crate::MessageKind::Ping`].
pub(crate) const KIND_PING: u8 = 0;
/// Code of [`crate::MessageKind::Ack`].
pub(crate) const KIND_ACK: u8 = 1;
/// Code of [`crate::MessageKind::PingRequest`].
pub(crate) const KIND_PING_REQUEST: u8 = 2;
/// Code of [`crate::MessageKind::Nack`].
pub(crate) const KIND_NACK: u8 = 3;
/// Code of [`crate::MessageKind::Gossip`].
pub(crate) const KIND_GOSSIP: u8 = 4;
/// Code of [`crate::MessageKind::Digest`].
pub(crate) const KIND_DIGEST: u8 = 5;
/// Code of [`crate::MessageKind::Query`].
pub(crate) const KIND_QUERY: u8 = 6;
/// Code of [`crate::MessageKind::View`].
pub(crate) const KIND_VIEW: u8 = 7;

/// Code of an update that a member is [`crate::MemberState::Alive`].
pub(crate) const UPDATE_ALIVE: u8 = 0;
/// Code of an update that a member is [`crate::MemberState::Suspect`].
pub(crate) const UPDATE_SUSPECT: u8 = 1;
/// Code of an update that a member is [`crate::MemberState::Dead`].
pub(crate) const UPDATE_DEAD: u8 = 2;
/// Code of an update that a member has [`crate::MemberState::Left`].
pub(crate) const UPDATE_LEFT: u8 = 3;
/// Code of an update of a member's payload.
pub(crate) const UPDATE_PAYLOAD: u8 = 4;
