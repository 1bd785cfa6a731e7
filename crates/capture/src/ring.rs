//! Decides for the recorder when a segment ends, which records are dropped and which files are removed. This
//! module does no input or output, and callers pass the time.

use sprucelink_policy::{TimeDelta, Timestamp};

/// Limits of a recorder.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RingLimits {
    /// Maximum size of all files together, in bytes.
    pub ring_bytes: u64,
    /// Age of its last write at which a file is removed, except the newest file.
    pub ring_age: TimeDelta,
    /// Size of the records, in bytes before compression, at which a segment ends.
    pub segment_bytes: u64,
    /// Age at which a segment ends.
    pub segment_age: TimeDelta,
    /// Maximum rate of records, in bytes per second before compression. A burst may use several seconds of
    /// the rate at once.
    pub bytes_per_second: f64,
}

/// Capacity of the write rate's token bucket, in seconds of the rate: captures are mostly read to explain
/// bursts of requests, so the records of a burst should not be dropped.
const BURST_S: f64 = 4.0;
/// Minimum time between a loss and the next segment, since each segment costs a checkpoint.
pub const RETRY_INTERVAL: TimeDelta = TimeDelta::from_secs(1);

/// Decision about a batch of records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchDecision {
    /// Write the batch to the open segment.
    Write,
    /// Drop the batch: no segment is open, or the write rate is exceeded.
    Drop,
}

/// A segment that is being written.
#[derive(Clone, Copy, Debug)]
struct OpenSegment {
    begun_at: Timestamp,
    /// Size of the records written so far, before compression.
    bytes: u64,
}

/// The state machine of a recorder's ring of files.
#[derive(Debug)]
pub struct Ring {
    limits: RingLimits,
    /// `None` before the first segment and after a loss.
    open: Option<OpenSegment>,
    /// Tokens in the bucket of the write rate, in bytes.
    tokens: f64,
    refilled_at: Timestamp,
    /// Earliest time at which the next segment may begin after a loss.
    retry_at: Timestamp,
    /// Number of events lost since the last segment began.
    lost_events: u64,
}

impl Ring {
    /// A ring without an open segment.
    pub fn new(limits: RingLimits, now: Timestamp) -> Ring {
        let tokens = limits.bytes_per_second * BURST_S;
        Ring { limits, open: None, tokens, refilled_at: now, retry_at: now, lost_events: 0 }
    }

    /// Whether a new segment is to begin now, in place of the open one if there is one.
    pub fn is_segment_due(&self, now: Timestamp) -> bool {
        let Some(open) = self.open else {
            // A clock that was set back must not delay the next segment for longer than the retry interval.
            return now >= self.retry_at || self.retry_at - now > RETRY_INTERVAL;
        };
        let age = now - open.begun_at;
        let is_full = open.bytes >= self.limits.segment_bytes;
        let is_clock_set_back = age < TimeDelta::ZERO;
        is_full || age >= self.limits.segment_age || is_clock_set_back
    }

    /// Records the start of a segment. Returns the number of events lost since the previous segment began.
    pub fn segment_begun(&mut self, now: Timestamp) -> u64 {
        self.open = Some(OpenSegment { begun_at: now, bytes: 0 });
        std::mem::take(&mut self.lost_events)
    }

    /// Decides whether a batch of `bytes` bytes and `events` records is written. A dropped batch ends the
    /// segment.
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

    /// Records the loss of events, for example because the queue was full or a file could not be written, and
    /// ends the segment.
    pub fn records_lost(&mut self, now: Timestamp, events: u64) {
        self.open = None;
        self.lost_events += events;
        self.retry_at = now + RETRY_INTERVAL;
    }

    /// Number of events lost since the last segment began.
    pub fn lost_events(&self) -> u64 {
        self.lost_events
    }
}

/// A file of the ring.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RingFile {
    /// File name in the ring's folder. Names sort in the order in which the segments began.
    pub name: String,
    /// Size in bytes.
    pub bytes: u64,
    /// Time of the last write.
    pub modified_at: Timestamp,
}

/// Number of files to remove, oldest first, so that `needed_bytes` more bytes fit and no file is too old. The
/// newest file is never removed, since the segment that is about to begin has hardly any records yet.
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
