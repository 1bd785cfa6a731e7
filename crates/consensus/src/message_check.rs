//! What a message of the agreement must satisfy before the `raft` crate sees it. The crate takes its peers at their word
//! and panics where their words can't be true; here such a word is dropped, or taken for the proof that it is.

use crate::limits::MAX_COUNT;
use crate::log_storage::LogStorage;
use crate::rejoin::RejoinFloors;
use raft::eraftpb::{EntryType, Message, MessageType};
use raft::RaftLog;

/// What to do with a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MessageCheck {
    Accept,
    /// Not well formed, or against a floor.
    Drop,
    /// A leader counts on an entry that this member does not have, and must have acknowledged: its log is shorter
    /// than its word.
    EntryLost,
    /// A leader holds another entry than this member at a committed index.
    Diverged(u64),
}

/// Checks a message against the own log and floors.
pub(crate) fn check(
    log: &RaftLog<LogStorage>,
    term: u64,
    floors: &RejoinFloors,
    message: &Message,
) -> MessageCheck {
    let last = log.last_index();
    match message.get_msg_type() {
        // A request of a lower term is only told the term, and a preliminary one binds nobody to its term.
        MessageType::MsgRequestVote | MessageType::MsgRequestPreVote if message.term >= term => {
            let vote = message.get_msg_type() == MessageType::MsgRequestVote && message.term <= floors.vote;
            if vote || (message.log_term, message.index) < floors.log() {
                MessageCheck::Drop
            } else {
                MessageCheck::Accept
            }
        }
        MessageType::MsgHeartbeat if message.term >= term && message.commit > last => MessageCheck::EntryLost,
        MessageType::MsgAppend if message.term >= term => append(log, message),
        MessageType::MsgAppendResponse if !message.reject && message.index > last => MessageCheck::Drop,
        MessageType::MsgSnapshot if message.get_snapshot().get_metadata().index > MAX_COUNT => {
            MessageCheck::Drop
        }
        _ => MessageCheck::Accept,
    }
}

fn append(log: &RaftLog<LogStorage>, message: &Message) -> MessageCheck {
    let mut before = (message.index, message.log_term);
    for entry in &message.entries {
        let follows = entry.index == before.0 + 1 && entry.term >= before.1 && entry.term <= message.term;
        if !follows || entry.get_entry_type() == EntryType::EntryConfChangeV2 {
            return MessageCheck::Drop;
        }
        before = (entry.index, entry.term);
    }
    let committed = log.committed;
    if message.index < committed {
        return MessageCheck::Accept;
    }
    // From here on the entry before is at or behind the committed one, so its term can't be lower.
    let (_, committed_term) = log.commit_info();
    if message.log_term < committed_term || (message.index == committed && message.log_term != committed_term)
    {
        return MessageCheck::Diverged(committed);
    }
    MessageCheck::Accept
}
