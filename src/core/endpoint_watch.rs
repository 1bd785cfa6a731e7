//! The state machine of the endpoint watch: when the control feed is polled, when a poll times out, and which
//! events are requested again. The `endpoint_client` module drives the state machine, which reads no clock
//! and draws no random numbers.
//!
//! Input: the progress of a poll, with the current time from the caller. Output: the time left until the next
//! step, and whether an unreadable event is requested again. State: the phase of the poll with its timeout,
//! the backoff, and the counts of unreadable events.

use sprucelink_policy::{TimeDelta, Timestamp};
use sprucelink_startup::endpoint_poller::{EndpointPoller, PollOutcome};

/// Shortest backoff between two polls. The events of the feed count as delivered even while no poll is open,
/// and a drain must be obeyed within 500 ms, so backoffs have to stay well below 500 ms.
pub const MIN_BACKOFF: TimeDelta = TimeDelta::from_millis(20);
/// Longest backoff between two polls without a start-up schedule, also bounded by the 500 ms for a drain.
pub const MAX_BACKOFF: TimeDelta = TimeDelta::from_millis(250);
/// Time without a byte after which a response times out. The feed sends one comment per second.
pub const IDLE_TIMEOUT: TimeDelta = TimeDelta::from_millis(2_500);
/// Time without a complete event or comment after which a response times out; otherwise a feed that sends
/// single bytes could keep the response open indefinitely. Longer than [`IDLE_TIMEOUT`], because a long list
/// may arrive in several parts.
pub const EVENT_TIMEOUT: TimeDelta = TimeDelta::from_secs(4);
/// Time to wait for the head of a response, if the previous poll was answered. After an unanswered poll the
/// timeout is [`IDLE_TIMEOUT`], so that a slow feed can still answer.
pub const RESPONSE_TIMEOUT: TimeDelta = TimeDelta::from_millis(1_500);
/// Time after which a dial of the feed's address fails.
pub const DIAL_TIMEOUT: TimeDelta = TimeDelta::from_millis(500);
/// Number of times that an unreadable event is requested again before it is skipped. If the event was damaged
/// in transit, a further copy may be intact.
pub const MAX_EVENT_RETRIES: u32 = 3;

/// HTTP status of a response with events (RFC 9110, 15.3.1).
const STATUS_OK: u16 = 200;
/// HTTP status "too many requests" (RFC 6585, 4).
const STATUS_TOO_MANY_REQUESTS: u16 = 429;
/// HTTP status "service unavailable" (RFC 9110, 15.6.4).
const STATUS_UNAVAILABLE: u16 = 503;

/// The phase of the watch: between two polls, or a step of a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Between two polls.
    BackingOff {
        /// Time at which the next poll begins.
        until: Timestamp,
        /// Length of the backoff.
        delay: TimeDelta,
    },
    /// A connection is being made.
    Dialing {
        /// Time at which the dial began.
        since: Timestamp,
    },
    /// The request was sent; no response has arrived.
    AwaitingResponse {
        /// Time at which the request was sent.
        since: Timestamp,
    },
    /// The response is being read.
    Reading {
        /// Time at which the last byte arrived.
        last_byte_at: Timestamp,
        /// Time at which the last event or comment was complete.
        last_event_at: Timestamp,
    },
}

/// The backoff after a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Length of the backoff.
    pub delay: TimeDelta,
    /// Whether the feed rejected the poll and the start-up schedule set the delay for that.
    pub was_rejected: bool,
}

/// The state machine of the endpoint watch. A start-up schedule, if there is one, sets the time of the first
/// poll and the backoffs.
#[derive(Clone, Debug)]
pub struct EndpointWatch {
    phase: Phase,
    schedule: Option<EndpointPoller>,
    /// Backoff after the last poll without a schedule; [`MIN_BACKOFF`] also if the last poll was answered.
    backoff: TimeDelta,
    /// Whether the feed rejected the current or last poll.
    was_rejected: bool,
    /// Number of the last unreadable event that had one; 0 if there was none.
    unreadable_event: u64,
    /// Number of copies of that event that were unreadable.
    unreadable_count: u32,
    /// Number of unreadable events without a number since the last event that was applied.
    unnumbered_unreadable_count: u32,
}

impl EndpointWatch {
    /// Creates a watch that starts at `now`. Without a schedule, the first poll begins at once.
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

    /// The time until the phase ends if nothing happens: then the backoff is over, or the poll times out.
    /// Never negative, and never longer than the timeout of the phase, even if the clock is set back.
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

    /// The reason to log if the current phase times out.
    pub fn timeout_reason(&self) -> &'static str {
        match self.phase {
            Phase::BackingOff { .. } | Phase::Dialing { .. } => "no connection in time",
            Phase::AwaitingResponse { .. } | Phase::Reading { .. } => "silent",
        }
    }

    /// Records that a poll begins.
    pub fn on_poll_started(&mut self, now: Timestamp) {
        if let Some(schedule) = &mut self.schedule {
            schedule.try_start(now);
        }
        self.phase = Phase::Dialing { since: now };
        self.was_rejected = false;
    }

    /// Records that the connection is open and the request is being sent.
    pub fn on_connected(&mut self, now: Timestamp) {
        self.phase = Phase::AwaitingResponse { since: now };
    }

    /// Records that the head of a response with HTTP status `status` arrived. Statuses 429 and 503 count as a
    /// rejection of the poll.
    ///
    /// # Errors
    /// If the status is not 200, the only status with events: the poll is over.
    pub fn on_response(&mut self, status: u16, now: Timestamp) -> Result<(), UnexpectedStatus> {
        self.was_rejected = matches!(status, STATUS_TOO_MANY_REQUESTS | STATUS_UNAVAILABLE);
        if status != STATUS_OK {
            return Err(UnexpectedStatus(status));
        }
        self.phase = Phase::Reading { last_byte_at: now, last_event_at: now };
        Ok(())
    }

    /// Records that bytes of a response arrived. `completes_event`: whether an event or a comment became
    /// complete.
    pub fn on_bytes(&mut self, completes_event: bool, now: Timestamp) {
        if let Phase::Reading { last_byte_at, last_event_at } = &mut self.phase {
            *last_byte_at = now;
            if completes_event {
                *last_event_at = now;
            }
        }
    }

    /// Records that an event was unreadable. Returns whether the poll ends and the event is requested again;
    /// otherwise the event must be skipped. Events without a number share a separate counter: two unreadable
    /// events in one response must not reset each other's count.
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

    /// Records that a new event was applied, which resets the count of unreadable events without a number.
    pub fn on_event_applied(&mut self) {
        self.unnumbered_unreadable_count = 0;
    }

    /// Records that the poll has ended; returns the backoff before the next poll. Backoffs double with each
    /// unanswered poll and are reset by an answered poll, even without an event: the feed may end a response
    /// at any time.
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

    /// Records that the address of the feed has changed: the new address is polled at once, and a poll of the
    /// old address is dropped.
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

/// The status of a response without events: any HTTP status except 200.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("field status is not 200: {0}")]
pub struct UnexpectedStatus(pub u16);

#[cfg(test)]
mod tests;
