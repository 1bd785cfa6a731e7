//! Between the wire's messages and the `raft` crate's. Only the kinds that members send each other have a number; what
//! comes from outside is never read by the crate's own protobuf code.

use crate::ids::MemberId;
use crate::limits::MAX_COUNT;
use crate::membership::{ConfChange, ConfChangeKind, Membership};
use crate::ready::Snapshot;
use crate::wire;
use prost::Message as _;
use raft::eraftpb::{self, ConfChangeType, EntryType, MessageType};

/// Kinds on the wire, in the order of their numbers from 1.
const KINDS: [MessageType; 10] = [
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

/// An entry with a change of members carries it in the context, in the wire's form; the crate's own form beside it is
/// made where the entry is proposed, and read nowhere else.
pub(crate) fn entry_to_wire(entry: &eraftpb::Entry) -> wire::Entry {
    let change = entry.get_entry_type() != EntryType::EntryNormal;
    let data = if change { entry.get_context() } else { entry.get_data() };
    wire::Entry { index: entry.index, term: entry.term, kind: change.into(), data: data.to_vec() }
}

pub(crate) fn entry_from_wire(entry: wire::Entry) -> eraftpb::Entry {
    let mut out = eraftpb::Entry::default();
    (out.index, out.term) = (entry.index, entry.term);
    if entry.kind == 0 {
        out.data = entry.data.into();
    } else {
        out.set_entry_type(EntryType::EntryConfChange);
        out.context = entry.data.into();
    }
    out
}

pub(crate) fn conf_change(change: ConfChange) -> eraftpb::ConfChange {
    let mut out = eraftpb::ConfChange::default();
    out.set_change_type(match change.kind {
        ConfChangeKind::AddLearner => ConfChangeType::AddLearnerNode,
        ConfChangeKind::Promote => ConfChangeType::AddNode,
        ConfChangeKind::Remove => ConfChangeType::RemoveNode,
    });
    out.node_id = change.member.raw();
    out
}

/// The change in an entry, if it is one and is well formed.
pub(crate) fn change_in(entry: &eraftpb::Entry) -> Option<ConfChange> {
    if entry.get_entry_type() == EntryType::EntryNormal {
        return None;
    }
    wire::ConfChange::decode(entry.get_context()).ok().as_ref().and_then(ConfChange::from_wire)
}

pub(crate) fn conf_state(members: &Membership) -> eraftpb::ConfState {
    let raw = |list: &[MemberId]| list.iter().map(|member| member.raw()).collect::<Vec<u64>>();
    let mut out = eraftpb::ConfState::default();
    out.set_voters(raw(&members.voters));
    out.set_learners(raw(&members.learners));
    out
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

    /// `None` when a part is missing or out of its bounds.
    pub(crate) fn from_wire(snapshot: wire::Snapshot) -> Option<Self> {
        let members = Membership::from_wire(snapshot.membership.as_ref()?, &snapshot.incarnations)?;
        let sound = snapshot.index > 0 && snapshot.index <= MAX_COUNT && snapshot.term <= MAX_COUNT;
        let sound = sound && !members.voters.is_empty();
        sound.then_some(Snapshot {
            index: snapshot.index,
            term: snapshot.term,
            membership: members,
            data: snapshot.data,
        })
    }

    /// For the `raft` crate the whole snapshot is opaque data, beside the three things that it looks at.
    pub(crate) fn to_raft(&self) -> eraftpb::Snapshot {
        let mut out =
            eraftpb::Snapshot { data: self.to_wire().encode_to_vec().into(), ..eraftpb::Snapshot::default() };
        let meta = out.mut_metadata();
        (meta.index, meta.term) = (self.index, self.term);
        meta.set_conf_state(conf_state(&self.membership));
        out
    }

    pub(crate) fn from_raft(snapshot: &eraftpb::Snapshot) -> Option<Self> {
        wire::Snapshot::decode(snapshot.get_data()).ok().and_then(Snapshot::from_wire)
    }
}

/// `None` for a kind that members don't send each other.
pub(crate) fn message_to_wire(message: &eraftpb::Message) -> Option<wire::RaftMessage> {
    let kind = KINDS.iter().position(|&kind| kind == message.get_msg_type())?;
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

/// `None` for an unknown kind, a figure beyond [`MAX_COUNT`], or a snapshot that is not sound.
pub(crate) fn message_from_wire(from: u64, to: u64, message: wire::RaftMessage) -> Option<eraftpb::Message> {
    let figures = [message.term, message.log_term, message.index, message.commit, message.commit_term];
    if message.term == 0
        || message.reject_hint > MAX_COUNT
        || figures.iter().any(|&figure| figure > MAX_COUNT)
    {
        return None;
    }
    let mut out = eraftpb::Message::default();
    out.set_msg_type(*KINDS.get((message.kind as usize).checked_sub(1)?)?);
    (out.from, out.to) = (from, to);
    (out.term, out.log_term, out.index) = (message.term, message.log_term, message.index);
    (out.commit, out.commit_term) = (message.commit, message.commit_term);
    (out.reject, out.reject_hint) = (message.reject, message.reject_hint);
    out.context = message.context.into();
    if out.get_msg_type() == MessageType::MsgSnapshot {
        out.set_snapshot(Snapshot::from_wire(message.snapshot?)?.to_raft());
    }
    let entries: Vec<eraftpb::Entry> = message.entries.into_iter().map(entry_from_wire).collect();
    out.set_entries(entries.into());
    Some(out)
}
