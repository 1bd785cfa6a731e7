//! The send queue of a connection.
//!
//! Input: commands, and the parts of the stream that are withdrawn. Output: buffers to write. State: the
//! buffers that are not yet taken for writing, the commands that send attempts and are not sent completely,
//! and the withdrawn parts. Offsets count the bytes of the stream since the connection was made.

use crate::core::buffer_pool::Buffer;
use crate::proto::resp;
use std::collections::{BTreeMap, VecDeque};

/// Upper bound of the framing of a command, and of the framing of each of its parts, in bytes.
const FRAMING_BYTES: usize = 16;

/// A command that sends an attempt and was not sent completely.
#[derive(Clone, Copy, Debug)]
pub(in crate::core) struct UnsentCommand {
    /// Id of the request.
    pub(in crate::core) id: u64,
    /// Number of the attempt among its request's attempts, from 0.
    pub(in crate::core) attempt: u32,
    /// Offset of the command's first byte in the stream.
    pub(in crate::core) start: u64,
    /// Offset after the command's last byte in the stream.
    pub(in crate::core) end: u64,
}

/// A buffer that was taken off the queue to be sent.
#[derive(Debug)]
pub(in crate::core) struct QueuedBuffer {
    bytes: Buffer,
    /// Offset of the buffer's first byte in the stream.
    start: u64,
}

impl QueuedBuffer {
    /// Offset after the buffer's last byte in the stream.
    pub(in crate::core) fn end(&self) -> u64 {
        self.start + self.bytes.len() as u64
    }

    /// The buffer's bytes from offset `from` of the stream, up to offset `limit` if there is one.
    pub(in crate::core) fn slice(&self, from: u64, limit: Option<u64>) -> &[u8] {
        let to = limit.map_or(self.end(), |limit| limit.min(self.end()));
        &self.bytes[(from - self.start) as usize..(to - self.start) as usize]
    }
}

/// The bytes that a connection has to send, and which of them belong to attempts.
#[derive(Debug, Default)]
pub(super) struct SendQueue {
    buffers: VecDeque<Buffer>,
    /// Offset at which the last queued command ends.
    queued_end: u64,
    /// Offset up to which the stream was sent or skipped.
    written_end: u64,
    /// Offset up to which buffers were taken off the queue.
    taken: u64,
    /// Withdrawn parts of the stream: end offsets by start offset.
    withdrawn: BTreeMap<u64, u64>,
    /// Commands that send attempts and were not sent completely, in the stream's order.
    unsent: VecDeque<UnsentCommand>,
}

impl SendQueue {
    /// Queues a command, in the last buffer if that buffer has capacity and otherwise in a buffer that
    /// `take_buffer` returns for the command's length; returns false if neither has capacity.
    pub(super) fn push_command(
        &mut self,
        parts: &[&[u8]],
        take_buffer: impl FnOnce(usize) -> Option<Buffer>,
    ) -> bool {
        let size = FRAMING_BYTES + parts.iter().map(|part| part.len() + FRAMING_BYTES).sum::<usize>();
        if !self.buffers.back().is_some_and(|last| last.has_capacity(size)) {
            let Some(buffer) = take_buffer(size).filter(|buffer| buffer.has_capacity(size)) else {
                return false;
            };
            self.buffers.push_back(buffer);
        }
        if let Some(buffer) = self.buffers.back_mut() {
            let len_before = buffer.len();
            resp::write_command(buffer, parts);
            self.queued_end += (buffer.len() - len_before) as u64;
        }
        true
    }

    /// Records that the command queued last sends an attempt.
    pub(super) fn push_attempt(&mut self, command: UnsentCommand) {
        self.unsent.push_back(command);
    }

    /// Offset at which the last queued command ends.
    pub(super) fn queued_end(&self) -> u64 {
        self.queued_end
    }

    /// Offset up to which the stream was sent or skipped.
    pub(super) fn written_end(&self) -> u64 {
        self.written_end
    }

    /// The ids of the requests whose commands are neither sent completely nor withdrawn.
    pub(super) fn unsent_ids(&self) -> Vec<u64> {
        self.unsent.iter().map(|command| command.id).collect()
    }

    /// The first unsent attempt whose command begins at offset `from` or later and before offset `to`.
    pub(super) fn next_attempt(&self, from: u64, to: u64) -> Option<UnsentCommand> {
        self.unsent.iter().find(|command| command.start >= from && command.start < to).copied()
    }

    /// Takes the oldest buffer off the queue; `None` if the queue is empty.
    pub(super) fn pop_buffer(&mut self) -> Option<QueuedBuffer> {
        let bytes = self.buffers.pop_front()?;
        let buffer = QueuedBuffer { bytes, start: self.taken };
        self.taken = buffer.end();
        Some(buffer)
    }

    /// Withdraws the command between two offsets, of which no byte was sent.
    pub(super) fn withdraw(&mut self, start: u64, end: u64) {
        self.withdrawn.insert(start, end);
        self.unsent.retain(|command| command.end != end);
    }

    /// Skips withdrawn bytes at the head of the stream; returns the offset at which the next withdrawn part
    /// begins, or `None` if nothing else is withdrawn.
    pub(super) fn skip_withdrawn(&mut self) -> Option<u64> {
        while let Some(part) = self.withdrawn.first_entry().filter(|part| *part.key() <= self.written_end) {
            self.written_end = self.written_end.max(part.remove());
        }
        self.withdrawn.first_key_value().map(|(start, _)| *start)
    }

    /// Records that the next `bytes` bytes of the stream were sent; returns the number of attempts whose
    /// commands are now sent completely.
    pub(super) fn record_written(&mut self, bytes: usize) -> u64 {
        self.written_end += bytes as u64;
        let mut sent = 0;
        while self.unsent.front().is_some_and(|command| command.end <= self.written_end) {
            self.unsent.pop_front();
            sent += 1;
        }
        sent
    }

    /// Drops all commands that are not yet sent.
    pub(super) fn clear(&mut self) {
        self.buffers.clear();
        self.unsent.clear();
    }
}
