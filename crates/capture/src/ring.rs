//! Decides for the recorder when a segment ends, which records are dropped and which files are removed. It does no
//! input or output and reads no clock.

use sprucelink_policy::{TimeDelta, Timestamp};

/// The bounds of a recorder.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RingLimits {
    /// Size of all files together, in bytes.
    pub ring_bytes: u64,
    /// A file whose last write is older than this is removed, the newest excepted.
    pub ring_age: TimeDelta,
    /// A segment ends once this many bytes of records were written to it, counted before compression.
    pub segment_bytes: u64,
    /// A segment ends once it is this old.
    pub segment_age: TimeDelta,
    /// Bytes of records a second, before compression. A burst may use several seconds of it at once.
    pub bytes_per_second: f64,
}

/// Capacity of the write rate's token bucket, in seconds of the rate: bursts of requests are what captures are read for.
const BURST_S: f64 = 4.0;
/// Time between a loss and the next segment: each segment costs a checkpoint.
pub const RETRY_INTERVAL: TimeDelta = TimeDelta::from_secs(1);

/// What is to be done with a batch of records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchDecision {
    /// Write it to the open segment.
    Write,
    /// Drop it: no segment is open.
    Drop,
}

/// A segment that is being written.
#[derive(Clone, Copy, Debug)]
struct OpenSegment {
    since: Timestamp,
    bytes: u64,
}

/// The state machine of a recorder's ring of files.
#[derive(Debug)]
pub struct Ring {
    limits: RingLimits,
    /// `None` before the first segment and after a loss.
    open: Option<OpenSegment>,
    /// The token bucket of the write rate, in bytes.
    tokens: f64,
    refilled_at: Timestamp,
    /// No segment begins before this.
    not_before: Timestamp,
    /// Events lost since the last segment began.
    lost_events: u64,
}

impl Ring {
    /// A ring without an open segment.
    pub fn new(limits: RingLimits, now: Timestamp) -> Ring {
        let tokens = limits.bytes_per_second * BURST_S;
        Ring { limits, open: None, tokens, refilled_at: now, not_before: now, lost_events: 0 }
    }

    /// Whether a new segment is to begin now, in place of the open one if there is one.
    pub fn is_segment_due(&self, now: Timestamp) -> bool {
        let Some(open) = self.open else {
            // A clock that was set back must not delay the next segment for longer than the pause.
            return now >= self.not_before || self.not_before - now > RETRY_INTERVAL;
        };
        let age = now - open.since;
        let is_full = open.bytes >= self.limits.segment_bytes;
        let is_clock_set_back = age < TimeDelta::ZERO;
        is_full || age >= self.limits.segment_age || is_clock_set_back
    }

    /// Notes that a segment began, and returns the number of events that were lost before it.
    pub fn segment_begun(&mut self, now: Timestamp) -> u64 {
        self.open = Some(OpenSegment { since: now, bytes: 0 });
        std::mem::take(&mut self.lost_events)
    }

    /// Decides on a batch of records. Dropping it ends the segment.
    pub fn admit(&mut self, now: Timestamp, bytes: u64, events: u64) -> BatchDecision {
        self.refill(now);
        let Some(open) = &mut self.open else {
            self.lost_events += events;
            return BatchDecision::Drop;
        };
        if self.tokens < bytes as f64 {
            self.records_lost(now, events);
            return BatchDecision::Drop;
        }
        self.tokens -= bytes as f64;
        open.bytes += bytes;
        BatchDecision::Write
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed_s = (now - self.refilled_at).as_secs_f64().max(0.0);
        let capacity = self.limits.bytes_per_second * BURST_S;
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed_s * self.limits.bytes_per_second).min(capacity);
    }

    /// Notes that events were lost, for lack of room or because a file could not be written. The segment ends.
    pub fn records_lost(&mut self, now: Timestamp, events: u64) {
        self.open = None;
        self.lost_events += events;
        self.not_before = now + RETRY_INTERVAL;
    }

    /// Events lost since the last segment began.
    pub fn lost_events(&self) -> u64 {
        self.lost_events
    }
}

/// A file of the ring.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RingFile {
    /// Its name in the ring's folder; names sort by the time at which their segments began.
    pub name: String,
    /// Its size in bytes.
    pub bytes: u64,
    /// When it was last written to.
    pub modified_at: Timestamp,
}

/// How many files, oldest first, are to be removed so that `needed_bytes` more fit and no file is too old. The newest
/// file always stays: the segment that begins after it holds little yet.
pub fn count_expired(limits: &RingLimits, files: &[RingFile], needed_bytes: u64, now: Timestamp) -> usize {
    let mut total_bytes = files.iter().map(|file| file.bytes).sum::<u64>() + needed_bytes;
    let mut expired = 0;
    while expired + 1 < files.len() {
        let file = &files[expired];
        if total_bytes <= limits.ring_bytes && now - file.modified_at <= limits.ring_age {
            break;
        }
        total_bytes -= file.bytes;
        expired += 1;
    }
    expired
}

#[cfg(test)]
mod tests;
