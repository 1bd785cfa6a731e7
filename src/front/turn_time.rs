//! Reports connections that hold the serving thread for long: all of them share one thread, which does
//! nothing else meanwhile.
//!
//! Input: a connection's task. Output: a counter and a log line for each poll that took too long.

use sprucelink_metrics::{Counter, Metrics};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
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

    fn record(&self, turn: Duration) {
        if turn > MAX_TURN {
            self.0.increment(1);
            warn!(held_ms = turn.as_millis() as u64, "a client's connection held the serving thread");
        }
    }
}

/// The task of a connection, each poll of which is timed.
pub(super) struct TimedTask<F> {
    task: Pin<Box<F>>,
    timer: Rc<TurnTimer>,
}

impl<F: Future> TimedTask<F> {
    /// Creates a task that runs `task`.
    pub(super) fn new(task: F, timer: Rc<TurnTimer>) -> TimedTask<F> {
        TimedTask { task: Box::pin(task), timer }
    }
}

impl<F: Future> Future for TimedTask<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<F::Output> {
        let started = Instant::now();
        let poll = self.task.as_mut().poll(context);
        self.timer.record(started.elapsed());
        poll
    }
}
