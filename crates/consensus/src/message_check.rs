//! What a Raft message must satisfy before the `raft` crate sees it. The crate trusts its peers and panics where a message
//! can't be true; here such a message is dropped, or treated as evidence of lost or diverged entries.

use crate::ids::LogPosition;
use crate::limits::MAX_COUNT;
use crate::log_storage::LogStorage;
use crate::rejoin::RejoinFloors;
use raft::eraftpb::{EntryType, Message, MessageType};
use raft::RaftLog;

/// What to do with a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MessageCheck {
    /// Pass it to the `raft` crate.
    Accept,
    /// It is malformed, or below a floor.
    Drop,
    /// A leader counts on an entry that this member does not have and must have acknowledged: the log has lost it.
    EntryLost,
    /// A leader holds another entry than this member at a committed index.
    Diverged(u64),
}

/// Checks a message against the own log, term and floors.
pub(crate) fn check(
    log: &RaftLog<LogStorage>,
    term: u64,
    floors: &RejoinFloors,
    message: &Message,
) -> MessageCheck {
    let last_index = log.last_index();
    match message.get_msg_type() {
        // A request of a lower term is only answered with the term, and a pre-vote binds nobody to its term.
        MessageType::MsgRequestVote | MessageType::MsgRequestPreVote if message.term >= term => {
            check_vote_request(floors, message)
        }
        MessageType::MsgHeartbeat if message.term >= term && message.commit > last_index => {
            MessageCheck::EntryLost
        }
        MessageType::MsgAppend if message.term >= term => check_append(log, message),
        MessageType::MsgAppendResponse if !message.reject && message.index > last_index => MessageCheck::Drop,
        MessageType::MsgSnapshot if message.get_snapshot().get_metadata().index > MAX_COUNT => {
            MessageCheck::Drop
        }
        _ => MessageCheck::Accept,
    }
}

fn check_vote_request(floors: &RejoinFloors, message: &Message) -> MessageCheck {
    let is_vote = message.get_msg_type() == MessageType::MsgRequestVote;
    let is_below_vote_floor = is_vote && message.term <= floors.vote_term;
    let is_below_log_floor = LogPosition::new(message.log_term, message.index) < floors.log();
    if is_below_vote_floor || is_below_log_floor {
        MessageCheck::Drop
    } else {
        MessageCheck::Accept
    }
}

fn check_append(log: &RaftLog<LogStorage>, message: &Message) -> MessageCheck {
    if !are_entries_contiguous(message) {
        return MessageCheck::Drop;
    }
    let committed = log.committed;
    if message.index < committed {
        return MessageCheck::Accept;
    }
    // The entry before the new ones is the committed one or behind it, so its term can't be lower.
    let (_, committed_term) = log.commit_info();
    let is_other_committed_entry = message.index == committed && message.log_term != committed_term;
    if message.log_term < committed_term || is_other_committed_entry {
        return MessageCheck::Diverged(committed);
    }
    MessageCheck::Accept
}

fn are_entries_contiguous(message: &Message) -> bool {
    let mut previous = LogPosition::new(message.log_term, message.index);
    for entry in &message.entries {
        let follows = entry.index == previous.index + 1
            && entry.term >= previous.term
            && entry.term <= message.term
            && entry.get_entry_type() != EntryType::EntryConfChangeV2;
        if !follows {
            return false;
        }
        previous = LogPosition::new(entry.term, entry.index);
    }
    true
}
