//! Reports connections that hold the serving thread for long: all of them share one thread, which does
//! nothing else meanwhile.
//!
//! Input: a connection's task. Output: a counter and a log line for each poll that took too long.

use sprucelink_metrics::{Counter, Metrics};
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::time::{Duration, Instant};
use tracing::warn;

/// Longest time for which one poll of a connection should hold the serving thread: the margin by which
/// responses precede their deadlines.
const MAX_TURN: Duration = Duration::from_millis(50);
/// Name of the counter of longer polls, rendered as `edge.NAME`.
const COUNTER_NAME: &str = "sessions.long_turns";

/// Counts the polls that held the serving thread for longer than [`MAX_TURN`].
pub(super) struct TurnTimer(Counter);

impl TurnTimer {
    /// Creates the counter in `metrics`.
    pub(super) fn new(metrics: &Metrics) -> TurnTimer {
        TurnTimer(metrics.counter(COUNTER_NAME).unwrap_or_else(|_| Counter::noop()))
    }

    /// Runs a connection's task, and reports each of its polls that took too long.
    pub(super) async fn run<F: Future>(&self, task: F) -> F::Output {
        let mut task = pin!(task);
        poll_fn(|context| {
            let started = Instant::now();
            let poll = task.as_mut().poll(context);
            self.record(started.elapsed());
            poll
        })
        .await
    }

    fn record(&self, turn: Duration) {
        if turn > MAX_TURN {
            self.0.increment(1);
            warn!(held_ms = turn.as_millis() as u64, "a client's connection held the serving thread");
        }
    }
}
