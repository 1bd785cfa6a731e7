//! Arrival times of the bytes that a client sent.
//!
//! A request's time-out counts from the arrival of its last byte. Pipelined requests are read long before they are handled,
//! and further ones may arrive meanwhile, so the time of the last read is not enough.

use sprucelink_time::{TimeDelta, Timestamp};
use std::collections::VecDeque;

/// Reads within this time of another are merged with it, under the time of the first.
const MERGE_SPAN: TimeDelta = TimeDelta::from_millis(10);
/// Maximum number of reads that are kept. Beyond it later reads are merged with the last one, and their requests count as
/// older than they are.
const MAX_READS: usize = 64;

/// One read: the stream position of its end, and its time.
#[derive(Clone, Copy, Debug)]
struct Read {
    end: u64,
    at: Timestamp,
}

/// Arrival times of the buffered bytes.
#[derive(Debug)]
pub(super) struct Arrivals {
    reads: VecDeque<Read>,
    received: u64,
    consumed: u64,
    /// The arrival of the last byte that was consumed.
    of_consumed: Timestamp,
}

impl Arrivals {
    /// A connection that was opened now.
    pub(super) fn new(now: Timestamp) -> Arrivals {
        Arrivals { reads: VecDeque::new(), received: 0, consumed: 0, of_consumed: now }
    }

    /// Bytes were read and kept.
    pub(super) fn record_received(&mut self, count: usize, now: Timestamp) {
        if count == 0 {
            return;
        }
        self.received += count as u64;
        let is_full = self.reads.len() >= MAX_READS;
        match self.reads.back_mut() {
            Some(last) if is_full || now - last.at <= MERGE_SPAN => last.end = self.received,
            _ => self.reads.push_back(Read { end: self.received, at: now }),
        }
    }

    /// Bytes were consumed, in the order in which they were received.
    pub(super) fn record_consumed(&mut self, count: usize) {
        self.consumed += count as u64;
        while self.reads.front().is_some_and(|read| read.end < self.consumed) {
            self.reads.pop_front();
        }
        if let Some(read) = self.reads.front() {
            self.of_consumed = read.at;
        }
    }

    /// When the last byte that was consumed arrived.
    pub(super) fn of_consumed(&self) -> Timestamp {
        self.of_consumed
    }
}

#[cfg(test)]
mod tests;
