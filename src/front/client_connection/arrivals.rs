//! When the bytes that a client sent have arrived.
//!
//! A request's time counts from its own last byte. Requests that stand behind an open one are read long before they are
//! handled, and others may come behind them meanwhile.

use sprucelink_time::{TimeDelta, Timestamp};
use std::collections::VecDeque;

/// Reads closer together than this count as one, with the time of the first.
const MERGE_SPAN: TimeDelta = TimeDelta::from_millis(10);
/// Reads that are remembered; beyond them the last one takes in what follows, which makes its requests older than they are.
const MAX_READS: usize = 64;

/// A read: where it ends in the stream, and when it was.
#[derive(Clone, Copy, Debug)]
struct Read {
    end: u64,
    at: Timestamp,
}

/// The arrival of each byte that is held.
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
