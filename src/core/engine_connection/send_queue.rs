//! The bytes that have still to be sent on a connection, and which attempts they carry. Offsets count the bytes of the
//! stream since the connection was made.

use crate::core::buffer_pool::Buffer;
use crate::proto::resp;
use std::collections::{BTreeMap, VecDeque};

/// Bytes that a command takes at most besides its parts, and that each part takes besides its content.
const FRAMING_BYTES: usize = 16;

/// A command that sends an attempt and was not sent completely.
#[derive(Clone, Copy, Debug)]
pub(in crate::core) struct UnsentCommand {
    /// The request.
    pub(in crate::core) id: u64,
    /// The attempt's number.
    pub(in crate::core) attempt: u32,
    /// Where it begins in the stream.
    pub(in crate::core) start: u64,
    /// Where it ends in the stream.
    pub(in crate::core) end: u64,
}

/// A buffer that was taken off the queue to be sent.
#[derive(Debug)]
pub(in crate::core) struct QueuedBuffer {
    bytes: Buffer,
    /// Where its first byte stands in the stream.
    start: u64,
}

impl QueuedBuffer {
    /// Where it ends in the stream.
    pub(in crate::core) fn end(&self) -> u64 {
        self.start + self.bytes.len() as u64
    }

    /// Its bytes from an offset in the stream, up to `limit` if there is one.
    pub(in crate::core) fn slice(&self, from: u64, limit: Option<u64>) -> &[u8] {
        let to = limit.map_or(self.end(), |limit| limit.min(self.end()));
        &self.bytes[(from - self.start) as usize..(to - self.start) as usize]
    }
}

/// The send queue of a connection.
#[derive(Debug, Default)]
pub(super) struct SendQueue {
    buffers: VecDeque<Buffer>,
    /// Bytes queued so far.
    queued: u64,
    /// Bytes sent so far, or skipped.
    written: u64,
    /// Bytes taken off the queue so far.
    taken: u64,
    /// Withdrawn parts of the stream: where each begins and ends.
    withdrawn: BTreeMap<u64, u64>,
    /// Commands that send attempts and were not sent completely, in the stream's order.
    unsent: VecDeque<UnsentCommand>,
}

impl SendQueue {
    /// Queues a command, in the last buffer if it has room and else in the one of `buffer`; false if there is none.
    pub(super) fn push_command(&mut self, parts: &[&[u8]], buffer: impl FnOnce() -> Option<Buffer>) -> bool {
        let size = FRAMING_BYTES + parts.iter().map(|part| part.len() + FRAMING_BYTES).sum::<usize>();
        if !self.buffers.back().is_some_and(|last| last.has_room(size)) {
            let Some(buffer) = buffer().filter(|buffer| buffer.has_room(size)) else { return false };
            self.buffers.push_back(buffer);
        }
        if let Some(buffer) = self.buffers.back_mut() {
            let len_before = buffer.len();
            resp::write_command(buffer, parts);
            self.queued += (buffer.len() - len_before) as u64;
        }
        true
    }

    /// Notes that the command queued last sends an attempt.
    pub(super) fn push_attempt(&mut self, command: UnsentCommand) {
        self.unsent.push_back(command);
    }

    /// Bytes queued so far.
    pub(super) fn queued(&self) -> u64 {
        self.queued
    }

    /// Bytes sent so far, or skipped.
    pub(super) fn written(&self) -> u64 {
        self.written
    }

    /// The requests whose commands were not sent completely.
    pub(super) fn unsent_ids(&self) -> Vec<u64> {
        self.unsent.iter().map(|command| command.id).collect()
    }

    /// The first attempt whose command begins in this part of the stream.
    pub(super) fn next_attempt(&self, from: u64, to: u64) -> Option<UnsentCommand> {
        self.unsent.iter().find(|command| command.start >= from && command.start < to).copied()
    }

    /// Takes the next buffer off the queue.
    pub(super) fn pop_buffer(&mut self) -> Option<QueuedBuffer> {
        let bytes = self.buffers.pop_front()?;
        let buffer = QueuedBuffer { bytes, start: self.taken };
        self.taken = buffer.end();
        Some(buffer)
    }

    /// Withdraws a command of which no byte was sent.
    pub(super) fn withdraw(&mut self, start: u64, end: u64) {
        self.withdrawn.insert(start, end);
        self.unsent.retain(|command| command.end != end);
    }

    /// Skips withdrawn bytes at the head of the stream; where the next withdrawn part begins, if there is one.
    pub(super) fn skip_withdrawn(&mut self) -> Option<u64> {
        while let Some(part) = self.withdrawn.first_entry().filter(|part| *part.key() <= self.written) {
            self.written = self.written.max(part.remove());
        }
        self.withdrawn.first_key_value().map(|(start, _)| *start)
    }

    /// Counts bytes that were written; the attempts that were sent completely by them.
    pub(super) fn record_written(&mut self, bytes: usize) -> u64 {
        self.written += bytes as u64;
        let mut sent = 0;
        while self.unsent.front().is_some_and(|command| command.end <= self.written) {
            self.unsent.pop_front();
            sent += 1;
        }
        sent
    }

    /// Drops all that has still to be sent.
    pub(super) fn clear(&mut self) {
        self.buffers.clear();
        self.unsent.clear();
    }
}
