//! Checks of Raft messages before they are passed to the `raft` crate. That crate trusts its peers and panics
//! on an impossible message. Such a message is dropped here, or treated as evidence of lost or diverged
//! entries.

use crate::ids::LogPosition;
use crate::limits::MAX_COUNT;
use crate::log_storage::LogStorage;
use crate::rejoin::RejoinFloors;
use raft::eraftpb::{EntryType, Message, MessageType};
use raft::RaftLog;

/// Result of checking a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MessageCheck {
    /// The message is passed to the `raft` crate.
    Accept,
    /// The message is malformed or below a floor, and is dropped.
    Drop,
    /// The leader relies on an entry that this member must have acknowledged and does not have: this member's
    /// log has lost the entry.
    EntryLost,
    /// The leader has a different entry than this member at this committed index.
    Diverged(u64),
}

/// Checks a message against this member's log, term and floors.
pub(crate) fn check(
    log: &RaftLog<LogStorage>,
    term: u64,
    floors: &RejoinFloors,
    message: &Message,
) -> MessageCheck {
    let last_index = log.last_index();
    match message.get_msg_type() {
        // A request of a lower term is only answered with the current term. A pre-vote doesn't bind its
        // sender or receiver to its term, so no vote floor applies to it.
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
    let is_below_vote_floor = is_vote && message.term <= floors.last_term_without_vote;
    let is_below_log_floor =
        LogPosition::new(message.log_term, message.index) < floors.furthest_log_position();
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
    // The entry before the new ones is the last committed entry or a later one, so its term can't be lower.
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
