//! Arrival times of the bytes that a client sent.
//!
//! A request's time-out counts from the arrival of its last byte. Pipelined requests are read long before
//! they are handled, and further ones may arrive meanwhile, so the time of the last read is not enough.

use sprucelink_time::{TimeDelta, Timestamp};
use std::collections::VecDeque;

/// A read within this time after another is merged with it, and counts as having arrived at the time of the
/// first.
const MERGE_SPAN: TimeDelta = TimeDelta::from_millis(10);
/// Maximum number of reads that are stored. Beyond it later reads are merged with the last one, and their
/// requests count as older than they are.
const MAX_READS: usize = 64;

/// One read: the position of its end in the stream, and its time.
#[derive(Clone, Copy, Debug)]
struct Read {
    end: u64,
    time: Timestamp,
}

/// Arrival times of the buffered bytes.
#[derive(Debug)]
pub(super) struct Arrivals {
    reads: VecDeque<Read>,
    /// Number of bytes received so far.
    received: u64,
    /// Number of bytes consumed so far.
    consumed: u64,
    /// Position of the first byte of the message that was consumed last.
    message_start: u64,
    /// Time at which the last consumed byte arrived.
    last_consumed_arrival: Timestamp,
}

impl Arrivals {
    /// Creates the state of a connection that is opened at `now`.
    pub(super) fn new(now: Timestamp) -> Arrivals {
        Arrivals {
            reads: VecDeque::new(),
            received: 0,
            consumed: 0,
            message_start: 0,
            last_consumed_arrival: now,
        }
    }

    /// Records that `count` bytes were read and buffered.
    pub(super) fn record_received(&mut self, count: usize, now: Timestamp) {
        if count == 0 {
            return;
        }
        self.received += count as u64;
        let is_full = self.reads.len() >= MAX_READS;
        match self.reads.back_mut() {
            Some(last) if is_full || now - last.time <= MERGE_SPAN => last.end = self.received,
            _ => self.reads.push_back(Read { end: self.received, time: now }),
        }
    }

    /// Records that a message of `count` bytes was consumed, in the order in which they were received.
    pub(super) fn record_consumed(&mut self, count: usize) {
        self.message_start = self.consumed;
        self.consumed += count as u64;
        while self.reads.front().is_some_and(|read| read.end < self.consumed) {
            self.reads.pop_front();
        }
        if let Some(read) = self.reads.front() {
            self.last_consumed_arrival = read.time;
        }
    }

    /// Time at which the last consumed byte arrived; the connection's opening if there is none.
    pub(super) fn last_consumed_arrival(&self) -> Timestamp {
        self.last_consumed_arrival
    }

    /// Number of bytes received so far.
    pub(super) fn received(&self) -> u64 {
        self.received
    }

    /// Number of bytes consumed so far.
    pub(super) fn consumed(&self) -> u64 {
        self.consumed
    }

    /// Position of the first byte of the message that was consumed last.
    pub(super) fn message_start(&self) -> u64 {
        self.message_start
    }

    /// Position up to which the bytes arrived by `time`, not before the start of the message that was consumed
    /// last.
    pub(super) fn received_by(&self, time: Timestamp) -> u64 {
        let last_read = self.reads.iter().rev().find(|read| read.time <= time);
        match last_read {
            Some(read) => read.end,
            None if self.last_consumed_arrival <= time => self.consumed,
            None => self.message_start,
        }
    }
}

#[cfg(test)]
mod tests;
