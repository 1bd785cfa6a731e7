//! The part of another process's file that still applies, given the file's age.

use crate::state::{Process, StateFile, WarmupLoad, BUCKET_SPAN};
use crate::{TimeDelta, Timestamp};
use sprucelink_cordon::CordonRecord;

#[cfg(test)]
mod tests;

/// Maximum time by which a file can be ahead of the reader's clock without that clock having been set back.
/// Smaller differences result from the order in which the clock is read and the file is written.
pub const CLOCK_SLACK: TimeDelta = TimeDelta::from_secs(1);

/// Durations of the windows of the retry budget and of the engines' slow-start budgets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowSpans {
    /// Window over which the retry budget counts retries and admitted requests.
    pub retry_budget: TimeDelta,
    /// Window over which the engines' slow-start budget counts work.
    pub slow_start: TimeDelta,
}

/// Age of a file relative to the windows of the budgets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileAge {
    /// The file was written within the longest window of the budgets.
    Fresh,
    /// The file is older than the longest window: only its cordons and engine ids still apply.
    Stale,
    /// The file is from the future, because the clock was set back after the file was written: its counters
    /// count as most recent.
    Future,
}

/// Work that another process sent to a warming engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentWarmupWork {
    /// Id of the engine.
    pub engine: String,
    /// Latest time at which the work can have been sent.
    pub sent_at: Timestamp,
    /// Work in milliseconds of one thread.
    pub work_ms: u32,
}

/// The part of a file that still applies. Counters cover all of the process's last seconds and are not
/// increments: for each process only the last file counts, and a reader replaces the values from the
/// process's previous file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsableState {
    /// Process that wrote the file.
    pub process: Process,
    /// Age of the file.
    pub age: FileAge,
    /// All cordon records, for [`sprucelink_cordon::CordonState::merge_records`]. They apply at any age,
    /// because a cordon lasts until it is uncordoned; the merge handles expired leases.
    pub cordons: Vec<CordonRecord>,
    /// All hashes of engine ids, for [`sprucelink_cordon::CordonState::merge_known_ids`].
    pub known_ids: Vec<u64>,
    /// Retries within the retry budget's window: latest possible time and count.
    pub retries: Vec<(Timestamp, u32)>,
    /// Requests admitted within the retry budget's window: earliest possible time and count. Empty for a file
    /// from the future: these requests enlarge the budget, and their times are unknown.
    pub admitted: Vec<(Timestamp, u32)>,
    /// Work sent to warming engines within the slow-start window.
    pub warmup: Vec<SentWarmupWork>,
}

/// Returns the part of a file that still applies at `now`. If the exact time of a count is unknown, the
/// conservative bound is used: the latest possible time for counts that consume a budget, and the earliest
/// for counts that enlarge it.
pub fn usable_state(now: Timestamp, spans: WindowSpans, file: StateFile) -> UsableState {
    let clock_lead = (file.written_at - now).max(TimeDelta::ZERO);
    let age = file_age(now, spans, file.written_at, clock_lead);
    let latest_time = |start: Timestamp| (start - clock_lead + BUCKET_SPAN).min(now);
    let is_within = |at: Timestamp, span: TimeDelta| at > now - span;
    let snapshot = file.snapshot;
    let mut retries = Vec::new();
    let mut admitted = Vec::new();
    for bucket in &snapshot.retry_budget {
        let retried_at = latest_time(bucket.start);
        if bucket.retries > 0 && is_within(retried_at, spans.retry_budget) {
            retries.push((retried_at, bucket.retries));
        }
        let is_past = age != FileAge::Future && bucket.start <= now;
        if is_past && bucket.admitted > 0 && is_within(bucket.start, spans.retry_budget) {
            admitted.push((bucket.start, bucket.admitted));
        }
    }
    UsableState {
        process: file.process,
        age,
        cordons: snapshot.cordons,
        known_ids: snapshot.known_ids,
        retries,
        admitted,
        warmup: usable_warmup(&snapshot.warmup, |start| {
            Some(latest_time(start)).filter(|sent_at| is_within(*sent_at, spans.slow_start))
        }),
    }
}

fn file_age(now: Timestamp, spans: WindowSpans, written_at: Timestamp, clock_lead: TimeDelta) -> FileAge {
    let longest_span = spans.retry_budget.max(spans.slow_start);
    if clock_lead > CLOCK_SLACK {
        FileAge::Future
    } else if now - written_at > longest_span {
        FileAge::Stale
    } else {
        FileAge::Fresh
    }
}

/// The sends within the slow-start window. `usable_time` converts the start of a bucket to the time of its
/// sends, or to `None` if they are outside the window.
fn usable_warmup(
    loads: &[WarmupLoad],
    usable_time: impl Fn(Timestamp) -> Option<Timestamp>,
) -> Vec<SentWarmupWork> {
    let mut sends = Vec::new();
    for load in loads {
        for bucket in load.buckets.iter().filter(|bucket| bucket.work_ms > 0) {
            if let Some(sent_at) = usable_time(bucket.start) {
                sends.push(SentWarmupWork { engine: load.engine.clone(), sent_at, work_ms: bucket.work_ms });
            }
        }
    }
    sends
}
