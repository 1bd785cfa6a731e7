//! The state machine of the endpoint watch: when the control feed is polled, when a poll is given up, and which events are
//! asked for again. The `endpoint_client` module drives it. It reads no clock and draws no random numbers.
//!
//! A poll passes through phases, each with a bound on how long it may last with nothing received.

use sprucelink_policy::{TimeDelta, Timestamp};
use sprucelink_startup::endpoint_poller::{EndpointPoller, PollOutcome};

/// First backoff between two polls. The feed's events count as delivered whether it is connected or not, and a drain must
/// be obeyed within 500 ms: no backoff may come near that.
pub const MIN_BACKOFF: TimeDelta = TimeDelta::from_micros(20_000);
/// Longest backoff between two polls.
pub const MAX_BACKOFF: TimeDelta = TimeDelta::from_micros(250_000);
/// A comment comes each second: a feed that is silent for this long is dead.
pub const IDLE_TIMEOUT: TimeDelta = TimeDelta::from_micros(2_500_000);
/// In a response that keeps coming, an event or comment must be complete at least this often: bytes alone may trickle for
/// ever. Longer than [`IDLE_TIMEOUT`], for a long list on a busy machine comes in parts.
pub const EVENT_TIMEOUT: TimeDelta = TimeDelta::from_micros(4_000_000);
/// For the head of a response, where the poll before was answered: the feed answers at once. After one that was not
/// answered it is [`IDLE_TIMEOUT`], so that a slow feed is reached all the same.
pub const RESPONSE_TIMEOUT: TimeDelta = TimeDelta::from_micros(1_500_000);
/// For a connection to the feed.
pub const DIAL_TIMEOUT: TimeDelta = TimeDelta::from_micros(500_000);
/// How often an unreadable event is asked for again before it is skipped: what damaged it on the way may not come again,
/// and its content would be lost.
pub const MAX_EVENT_RETRIES: u32 = 3;

/// HTTP status of a response that brings events.
const STATUS_OK: u16 = 200;
/// HTTP status "too many requests" (RFC 6585, 4).
const STATUS_TOO_MANY_REQUESTS: u16 = 429;
/// HTTP status "service unavailable" (RFC 9110, 15.6.4).
const STATUS_UNAVAILABLE: u16 = 503;

/// How far the poll is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Between two polls.
    BackingOff {
        /// When the next poll begins.
        until: Timestamp,
        /// The length of this backoff.
        delay: TimeDelta,
    },
    /// A connection is being made.
    Dialing {
        /// Since then.
        since: Timestamp,
    },
    /// The request was sent, and no response has come.
    AwaitingResponse {
        /// Since then.
        since: Timestamp,
    },
    /// The response is being read.
    Reading {
        /// When the last byte came.
        last_byte_at: Timestamp,
        /// When the last event or comment was complete.
        last_event_at: Timestamp,
    },
}

/// The pause after a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// How long it lasts.
    pub delay: TimeDelta,
    /// The service rejected the poll: the delay is the start-up schedule's for that.
    pub was_rejected: bool,
}

/// The state of the endpoint watch. With a start-up schedule, first polls wait for their turn in it, and backoffs are its
/// own.
#[derive(Clone, Debug)]
pub struct EndpointWatch {
    phase: Phase,
    schedule: Option<EndpointPoller>,
    backoff: TimeDelta,
    was_rejected: bool,
    /// The number of the event that could not be read last.
    unreadable_event: u64,
    /// How often it could not be read.
    unreadable_count: u32,
    /// How often an event without a number could not be read since the last one that was applied.
    unnumbered_unreadable_count: u32,
}

impl EndpointWatch {
    /// A watch that starts now.
    pub fn new(schedule: Option<EndpointPoller>, now: Timestamp) -> EndpointWatch {
        let until = schedule.as_ref().and_then(EndpointPoller::next_poll_at).unwrap_or(now);
        EndpointWatch {
            phase: Phase::BackingOff { until, delay: until - now },
            schedule,
            backoff: MIN_BACKOFF,
            was_rejected: false,
            unreadable_event: 0,
            unreadable_count: 0,
            unnumbered_unreadable_count: 0,
        }
    }

    /// How much longer the phase may last if nothing happens: then a backoff is over, or the poll is to be given up. Zero
    /// where that is overdue, and never longer than the phase's bound, should the clock be set back.
    pub fn time_left(&self, now: Timestamp) -> TimeDelta {
        let (until, bound) = match self.phase {
            Phase::BackingOff { until, delay } => (until, delay),
            Phase::Dialing { since } => (since + DIAL_TIMEOUT, DIAL_TIMEOUT),
            Phase::AwaitingResponse { since } if self.backoff == MIN_BACKOFF => {
                (since + RESPONSE_TIMEOUT, RESPONSE_TIMEOUT)
            }
            Phase::AwaitingResponse { since } => (since + IDLE_TIMEOUT, IDLE_TIMEOUT),
            Phase::Reading { last_byte_at, last_event_at } => {
                ((last_byte_at + IDLE_TIMEOUT).min(last_event_at + EVENT_TIMEOUT), IDLE_TIMEOUT)
            }
        };
        (until - now).min(bound).max(TimeDelta::ZERO)
    }

    /// Why the poll is given up when its time is over.
    pub fn timeout_reason(&self) -> &'static str {
        match self.phase {
            Phase::BackingOff { .. } | Phase::Dialing { .. } => "no connection in time",
            Phase::AwaitingResponse { .. } | Phase::Reading { .. } => "silent",
        }
    }

    /// A poll begins.
    pub fn on_poll_started(&mut self, now: Timestamp) {
        if let Some(schedule) = &mut self.schedule {
            schedule.try_start(now);
        }
        self.phase = Phase::Dialing { since: now };
        self.was_rejected = false;
    }

    /// The connection is up and the request is sent.
    pub fn on_connected(&mut self, now: Timestamp) {
        self.phase = Phase::AwaitingResponse { since: now };
    }

    /// The head of a response came, with this status.
    ///
    /// # Errors
    /// Where the poll is over by it: only 200 brings events. 429 and 503 reject the poll for now.
    pub fn on_response(&mut self, status: u16, now: Timestamp) -> Result<(), UnexpectedStatus> {
        self.was_rejected = matches!(status, STATUS_TOO_MANY_REQUESTS | STATUS_UNAVAILABLE);
        if status != STATUS_OK {
            return Err(UnexpectedStatus(status));
        }
        self.phase = Phase::Reading { last_byte_at: now, last_event_at: now };
        Ok(())
    }

    /// Bytes of a response came; `completes_event` if an event or a comment is complete by them.
    pub fn on_bytes(&mut self, completes_event: bool, now: Timestamp) {
        if let Phase::Reading { last_byte_at, last_event_at } = &mut self.phase {
            *last_byte_at = now;
            if completes_event {
                *last_event_at = now;
            }
        }
    }

    /// An event could not be read: whether the poll is given up to ask for it again, else it is skipped. Events without a
    /// number count as one, apart from the others: two bad events in one response must not reset each other's count.
    pub fn should_retry_event(&mut self, event: Option<u64>) -> bool {
        let count = match event {
            Some(number) => {
                if self.unreadable_event != number {
                    self.unreadable_event = number;
                    self.unreadable_count = 0;
                }
                &mut self.unreadable_count
            }
            None => &mut self.unnumbered_unreadable_count,
        };
        *count += 1;
        *count <= MAX_EVENT_RETRIES
    }

    /// A new event was applied.
    pub fn on_event_applied(&mut self) {
        self.unnumbered_unreadable_count = 0;
    }

    /// The poll is over, for whatever reason. Backoffs grow with polls that were not answered, and start anew with one that
    /// was, whether it brought an event or not: a feed may end its responses as it likes.
    pub fn on_poll_ended(&mut self, now: Timestamp) -> Backoff {
        let was_answered = matches!(self.phase, Phase::Reading { .. });
        self.backoff =
            if was_answered { MIN_BACKOFF } else { (self.backoff + self.backoff).min(MAX_BACKOFF) };
        let mut backoff = Backoff { delay: self.backoff, was_rejected: false };
        if let Some(schedule) = &mut self.schedule {
            let outcome = match (self.was_rejected, was_answered) {
                (true, _) => PollOutcome::Rejected,
                (false, true) => PollOutcome::Answered,
                (false, false) => PollOutcome::Failed,
            };
            let delay = schedule.complete(now, outcome) - now;
            backoff = Backoff { delay, was_rejected: self.was_rejected };
        }
        self.phase = Phase::BackingOff { until: now + backoff.delay, delay: backoff.delay };
        backoff
    }

    /// The feed's address has changed: it is polled at once, and a poll under way is dropped.
    pub fn on_address_changed(&mut self, now: Timestamp) {
        if !matches!(self.phase, Phase::BackingOff { .. }) {
            if let Some(schedule) = &mut self.schedule {
                schedule.complete(now, PollOutcome::Answered);
            }
        }
        self.phase = Phase::BackingOff { until: now, delay: TimeDelta::ZERO };
        self.backoff = MIN_BACKOFF;
    }
}

/// A response that brings no events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("field status is not 200: {0}")]
pub struct UnexpectedStatus(pub u16);

#[cfg(test)]
mod tests;
