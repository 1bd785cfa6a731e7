//! Conversion between the wire messages and those of the `raft` crate. Only the kinds that members send each
//! other have a number on the wire. Received bytes are never decoded by the `raft` crate's own protobuf code.

use crate::ids::MemberId;
use crate::limits::MAX_COUNT;
use crate::membership::{ConfChange, ConfChangeKind, Membership};
use crate::snapshot::Snapshot;
use crate::wire;
use prost::Message as _;
use raft::eraftpb::{self, ConfChangeType, EntryType, MessageType};

/// Kinds of messages in the order of their numbers on the wire, from 1.
const MESSAGE_KINDS: [MessageType; 10] = [
    MessageType::MsgAppend,
    MessageType::MsgAppendResponse,
    MessageType::MsgRequestVote,
    MessageType::MsgRequestVoteResponse,
    MessageType::MsgSnapshot,
    MessageType::MsgHeartbeat,
    MessageType::MsgHeartbeatResponse,
    MessageType::MsgTimeoutNow,
    MessageType::MsgRequestPreVote,
    MessageType::MsgRequestPreVoteResponse,
];

/// Converts an entry. An entry with a membership change contains the change in its context, in the wire form.
/// The `raft` crate puts its own form into the data when the entry is proposed; that form is not read
/// anywhere else.
pub(crate) fn entry_to_wire(entry: &eraftpb::Entry) -> wire::Entry {
    let is_conf_change = entry.get_entry_type() != EntryType::EntryNormal;
    let data = if is_conf_change { entry.get_context() } else { entry.get_data() };
    wire::Entry { index: entry.index, term: entry.term, kind: is_conf_change.into(), data: data.to_vec() }
}

pub(crate) fn entry_from_wire(entry: wire::Entry) -> eraftpb::Entry {
    let mut raft_entry = eraftpb::Entry { index: entry.index, term: entry.term, ..eraftpb::Entry::default() };
    if entry.kind == 0 {
        raft_entry.data = entry.data.into();
    } else {
        raft_entry.set_entry_type(EntryType::EntryConfChange);
        raft_entry.context = entry.data.into();
    }
    raft_entry
}

pub(crate) fn conf_change_to_raft(change: ConfChange) -> eraftpb::ConfChange {
    let mut raft_change =
        eraftpb::ConfChange { node_id: change.member.raw(), ..eraftpb::ConfChange::default() };
    raft_change.set_change_type(match change.kind {
        ConfChangeKind::AddLearner => ConfChangeType::AddLearnerNode,
        ConfChangeKind::Promote => ConfChangeType::AddNode,
        ConfChangeKind::Remove => ConfChangeType::RemoveNode,
    });
    raft_change
}

/// The membership change in an entry; `None` when it contains none or it is malformed.
pub(crate) fn decode_conf_change(entry: &eraftpb::Entry) -> Option<ConfChange> {
    if entry.get_entry_type() == EntryType::EntryNormal {
        return None;
    }
    let change = wire::ConfChange::decode(entry.get_context()).ok()?;
    ConfChange::from_wire(&change)
}

pub(crate) fn conf_state(membership: &Membership) -> eraftpb::ConfState {
    let raw = |members: &[MemberId]| members.iter().map(|member| member.raw()).collect::<Vec<u64>>();
    let mut conf_state = eraftpb::ConfState::default();
    conf_state.set_voters(raw(&membership.voters));
    conf_state.set_learners(raw(&membership.learners));
    conf_state
}

impl Snapshot {
    pub(crate) fn to_wire(&self) -> wire::Snapshot {
        wire::Snapshot {
            index: self.index,
            term: self.term,
            membership: Some(self.membership.to_wire()),
            incarnations: self.membership.incarnations_raw(),
            data: self.data.clone(),
        }
    }

    /// Decodes a snapshot; `None` when a part is missing or out of bounds.
    pub(crate) fn from_wire(snapshot: wire::Snapshot) -> Option<Self> {
        let membership = Membership::from_wire(snapshot.membership.as_ref()?, &snapshot.incarnations)?;
        let is_position_valid =
            snapshot.index > 0 && snapshot.index <= MAX_COUNT && snapshot.term <= MAX_COUNT;
        if !is_position_valid || membership.voters.is_empty() {
            return None;
        }
        Some(Snapshot { index: snapshot.index, term: snapshot.term, membership, data: snapshot.data })
    }

    /// Converts to a snapshot of the `raft` crate, which gets the complete snapshot as opaque data, and the
    /// index, term and membership that it reads.
    pub(crate) fn to_raft(&self) -> eraftpb::Snapshot {
        let data = self.to_wire().encode_to_vec().into();
        let mut raft_snapshot = eraftpb::Snapshot { data, ..eraftpb::Snapshot::default() };
        let metadata = raft_snapshot.mut_metadata();
        metadata.index = self.index;
        metadata.term = self.term;
        metadata.set_conf_state(conf_state(&self.membership));
        raft_snapshot
    }

    /// Restores a snapshot that [`Snapshot::to_raft`] converted; `None` when the raft library's snapshot is
    /// empty or was not made by that function.
    pub(crate) fn from_raft(snapshot: &eraftpb::Snapshot) -> Option<Self> {
        if snapshot.get_metadata().index == 0 {
            return None;
        }
        wire::Snapshot::decode(snapshot.get_data()).ok().and_then(Snapshot::from_wire)
    }
}

/// Converts a message of the raft library; `None` for a kind that members don't send each other.
pub(crate) fn message_to_wire(message: &eraftpb::Message) -> Option<wire::RaftMessage> {
    let kind = MESSAGE_KINDS.iter().position(|&kind| kind == message.get_msg_type())?;
    let snapshot = if message.get_msg_type() == MessageType::MsgSnapshot {
        Some(wire::Snapshot::decode(message.get_snapshot().get_data()).ok()?)
    } else {
        None
    };
    Some(wire::RaftMessage {
        kind: kind as u32 + 1,
        term: message.term,
        log_term: message.log_term,
        index: message.index,
        commit: message.commit,
        commit_term: message.commit_term,
        reject: message.reject,
        reject_hint: message.reject_hint,
        context: message.get_context().to_vec(),
        entries: message.entries.iter().map(entry_to_wire).collect(),
        snapshot,
    })
}

/// Converts a received message; `None` for an unknown kind, a number beyond [`MAX_COUNT`], or an invalid
/// snapshot.
pub(crate) fn message_from_wire(
    from: MemberId,
    to: MemberId,
    message: wire::RaftMessage,
) -> Option<eraftpb::Message> {
    if !has_valid_numbers(&message) {
        return None;
    }
    let kind = *MESSAGE_KINDS.get((message.kind as usize).checked_sub(1)?)?;
    let mut raft_message = eraftpb::Message {
        from: from.raw(),
        to: to.raw(),
        term: message.term,
        log_term: message.log_term,
        index: message.index,
        commit: message.commit,
        commit_term: message.commit_term,
        reject: message.reject,
        reject_hint: message.reject_hint,
        context: message.context.into(),
        ..eraftpb::Message::default()
    };
    raft_message.set_msg_type(kind);
    if kind == MessageType::MsgSnapshot {
        raft_message.set_snapshot(Snapshot::from_wire(message.snapshot?)?.to_raft());
    }
    let entries: Vec<eraftpb::Entry> = message.entries.into_iter().map(entry_from_wire).collect();
    raft_message.set_entries(entries.into());
    Some(raft_message)
}

fn has_valid_numbers(message: &wire::RaftMessage) -> bool {
    let numbers = [
        message.term,
        message.log_term,
        message.index,
        message.commit,
        message.commit_term,
        message.reject_hint,
    ];
    message.term > 0 && numbers.iter().all(|&number| number <= MAX_COUNT)
}
