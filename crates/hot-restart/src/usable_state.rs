//! What of another process's file still applies, by its age.

use crate::state::{Process, StateFile, WarmupLoad, BUCKET_SPAN};
use crate::{TimeDelta, Timestamp};
use sprucelink_cordon::CordonRecord;

#[cfg(test)]
mod tests;

/// A file from further ahead of the reader's clock than this was written before that clock was set back. Smaller
/// differences come from the order in which a clock is read and a file written.
pub const CLOCK_SLACK: TimeDelta = TimeDelta::from_secs(1);

/// Lengths of the windows that the rules count over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowSpans {
    /// Of the retry budget.
    pub retry_budget: TimeDelta,
    /// Of the slow-start budget of engines.
    pub slow_start: TimeDelta,
}

/// How old a file is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileAge {
    /// Within a window of the rules.
    Fresh,
    /// Older: cordons and engine ids alone still apply.
    Stale,
    /// From the future: the clock was set back since, so its counters are taken to be as recent as they can be.
    Future,
}

/// Work sent to a warming engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WarmupSend {
    /// The engine's id.
    pub engine: String,
    /// Latest time at which the work can have been sent.
    pub sent_at: Timestamp,
    /// Work in milliseconds of one thread.
    pub work_ms: u32,
}

/// What still applies of a file. Counters cover all of the process's last seconds and are no increments: of one process
/// only the last file counts, and a reader replaces what it had of the one before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsableState {
    /// The process that wrote it.
    pub process: Process,
    /// How old it is.
    pub age: FileAge,
    /// For [`sprucelink_cordon::CordonState::merge_records`]: all records, however old, for a cordon lasts until it is
    /// uncordoned; leases that have expired are recognized there.
    pub cordons: Vec<CordonRecord>,
    /// For [`sprucelink_cordon::CordonState::merge_known_ids`]: all of them.
    pub known_ids: Vec<u64>,
    /// Retries within the retry budget's window: when, at the latest, and how many.
    pub retries: Vec<(Timestamp, u32)>,
    /// Requests admitted within it: when, at the earliest, and how many. None of a file from the future: they enlarge
    /// the budget, and nothing is known of when they arrived.
    pub admitted: Vec<(Timestamp, u32)>,
    /// Work sent to warming engines within their window.
    pub warmup: Vec<WarmupSend>,
}

/// What still applies of a file at `now`. Where the exact time is unknown the conservative bound is taken: what consumes
/// a budget as late as it can have been, what enlarges one as early.
pub fn usable_state(now: Timestamp, spans: WindowSpans, file: StateFile) -> UsableState {
    let clock_lead = (file.written_at - now).max(TimeDelta::ZERO);
    let age = file_age(now, spans, file.written_at, clock_lead);
    let latest = |start: Timestamp| (start - clock_lead + BUCKET_SPAN).min(now);
    let is_within = |at: Timestamp, span: TimeDelta| at > now - span;
    let snapshot = file.snapshot;
    let mut retries = Vec::new();
    let mut admitted = Vec::new();
    for bucket in &snapshot.retry_budget {
        let retried_at = latest(bucket.start);
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
            Some(latest(start)).filter(|at| is_within(*at, spans.slow_start))
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

/// The sends within the window. `usable_time` converts the start of a bucket to the time of its sends, or to `None` if
/// they are outside the window.
fn usable_warmup(
    loads: &[WarmupLoad],
    usable_time: impl Fn(Timestamp) -> Option<Timestamp>,
) -> Vec<WarmupSend> {
    let mut sends = Vec::new();
    for load in loads {
        for bucket in load.buckets.iter().filter(|bucket| bucket.work_ms > 0) {
            if let Some(sent_at) = usable_time(bucket.start) {
                sends.push(WarmupSend { engine: load.engine.clone(), sent_at, work_ms: bucket.work_ms });
            }
        }
    }
    sends
}
