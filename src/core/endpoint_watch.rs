//! When the control feed is called, when a call is given up, and what is asked for anew: the deciding half of its
//! follower ([`super::endpoint_client`] is the acting one). It reads no clock and draws no numbers of its own.
//!
//! A call goes through [`Phase`]s, each with a bound on how long it may last with nothing heard.

use sprucelink_policy::{TimeDelta, Timestamp};
use sprucelink_startup::lists::{Ended, ListCalls};

/// First and longest rest between two calls. What the feed holds counts as told whether it is
/// connected or not, and a drain must be heeded within 500 ms: no rest may come near that.
pub const REST: [TimeDelta; 2] = [TimeDelta::from_micros(20_000), TimeDelta::from_micros(250_000)];
/// A comment comes each second: a feed silent for this long is dead.
pub const SILENCE: TimeDelta = TimeDelta::from_micros(2_500_000);
/// Of an answer that keeps coming, a whole event or comment has to come at least so often: bytes alone may trickle for
/// ever. Longer than [`SILENCE`], for a long list on a busy machine comes in parts.
pub const WHOLE: TimeDelta = TimeDelta::from_micros(4_000_000);
/// For the head of an answer, where the call before was answered: the feed answers at once. After one that was not
/// answered it is [`SILENCE`], so that a slow feed is reached all the same.
pub const ANSWER: TimeDelta = TimeDelta::from_micros(1_500_000);
/// For a connection to the feed.
pub const DIAL: TimeDelta = TimeDelta::from_micros(500_000);
/// An event that cannot be read is asked for anew so many times before it is passed over: what spoilt it
/// on the way may not come again, and what it told would be lost.
pub const ANEW: u32 = 3;

/// How far the follower is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The next call begins then, after a rest of so long.
    Resting(Timestamp, TimeDelta),
    /// A connection is being made since then.
    Dialling(Timestamp),
    /// The call is made, and nothing was answered since then.
    Asking(Timestamp),
    /// It was answered.
    Reading {
        /// When the last byte came.
        heard: Timestamp,
        /// When the last event or comment was whole.
        whole: Timestamp,
    },
}

/// The rest after a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rest {
    /// How long it lasts.
    pub span: TimeDelta,
    /// The service said that it would not serve now: the rest is the schedule's for that.
    pub refused: bool,
}

/// The follower's state. With the cold start's schedule, first calls wait for their turn in it, and rests are its own.
#[derive(Clone, Debug)]
pub struct EndpointWatch {
    phase: Phase,
    calls: Option<ListCalls>,
    rest: TimeDelta,
    refused: bool,
    /// The numbered event that could not be read last, and how often that was.
    unread: (u64, u32),
    /// How often an event without a number could not be read, with no other taken between.
    nameless: u32,
}

impl EndpointWatch {
    /// A follower that starts now.
    pub fn new(calls: Option<ListCalls>, now: Timestamp) -> EndpointWatch {
        let first = calls.as_ref().and_then(ListCalls::due).unwrap_or(now);
        let phase = Phase::Resting(first, first - now);
        EndpointWatch { phase, calls, rest: REST[0], refused: false, unread: (0, 0), nameless: 0 }
    }

    /// How much longer the follower bears it if nothing happens: then it has to call, if it rests, or else to give
    /// its call up. Zero where that is overdue, and never longer than the phase's bound, should the clock be set back.
    pub fn patience(&self, now: Timestamp) -> TimeDelta {
        let (until, most) = match self.phase {
            Phase::Resting(until, rest) => (until, rest),
            Phase::Dialling(since) => (since + DIAL, DIAL),
            Phase::Asking(since) if self.rest == REST[0] => (since + ANSWER, ANSWER),
            Phase::Asking(since) => (since + SILENCE, SILENCE),
            Phase::Reading { heard, whole } => ((heard + SILENCE).min(whole + WHOLE), SILENCE),
        };
        (until - now).min(most).max(TimeDelta::ZERO)
    }

    /// Why the call is given up when its patience has run out.
    pub fn impatience(&self) -> &'static str {
        match self.phase {
            Phase::Resting(..) | Phase::Dialling(_) => "no connection in time",
            Phase::Asking(_) | Phase::Reading { .. } => "silent",
        }
    }

    /// A call begins.
    pub fn begins(&mut self, now: Timestamp) {
        if let Some(calls) = &mut self.calls {
            calls.start(now);
        }
        (self.phase, self.refused) = (Phase::Dialling(now), false);
    }

    /// The connection is up and the call is made.
    pub fn connected(&mut self, now: Timestamp) {
        self.phase = Phase::Asking(now);
    }

    /// The head of an answer came, with this status.
    ///
    /// # Errors
    /// Where the call is over by it: only 200 brings events. 429 (too many requests) and 503 (unavailable) say
    /// that the service would not serve now (RFC 6585, 4; RFC 9110, 15.6.4).
    pub fn answered(&mut self, status: u16, now: Timestamp) -> Result<(), String> {
        self.refused = matches!(status, 429 | 503);
        if status != 200 {
            return Err(format!("field status is not 200: {status}"));
        }
        self.phase = Phase::Reading { heard: now, whole: now };
        Ok(())
    }

    /// Something of an answer came; `complete` if an event or a comment is whole by it.
    pub fn heard(&mut self, complete: bool, now: Timestamp) {
        if let Phase::Reading { heard, whole } = &mut self.phase {
            *heard = now;
            if complete {
                *whole = now;
            }
        }
    }

    /// An event could not be read: whether the call is given up to ask for it anew, or it is passed over. Those
    /// without a number count as one, apart from the others: two bad events in one answer must not start each other's
    /// count anew.
    pub fn unreadable(&mut self, event: Option<u64>) -> bool {
        let count = match event {
            Some(n) => {
                if self.unread.0 != n {
                    self.unread = (n, 0);
                }
                &mut self.unread.1
            }
            None => &mut self.nameless,
        };
        *count += 1;
        *count <= ANEW
    }

    /// A new event was taken.
    pub fn progressed(&mut self) {
        self.nameless = 0;
    }

    /// The call is over, however it was. The rests grow with calls that were not answered, and start anew with one
    /// that was, whether it brought an event or not: a feed may end its answers as it likes.
    pub fn ended(&mut self, now: Timestamp) -> Rest {
        let answered = matches!(self.phase, Phase::Reading { .. });
        self.rest = if answered { REST[0] } else { (self.rest + self.rest).min(REST[1]) };
        let mut rest = Rest { span: self.rest, refused: false };
        if let Some(calls) = &mut self.calls {
            let how = match (self.refused, answered) {
                (true, _) => Ended::Refused,
                (false, true) => Ended::Answered,
                (false, false) => Ended::Failed,
            };
            rest = Rest { span: calls.ended(now, how) - now, refused: self.refused };
        }
        self.phase = Phase::Resting(now + rest.span, rest.span);
        rest
    }

    /// The feed has moved: it is called at once, whatever was under way, and the old one tells nothing more.
    pub fn moved(&mut self, now: Timestamp) {
        if !matches!(self.phase, Phase::Resting(..)) {
            if let Some(calls) = &mut self.calls {
                calls.ended(now, Ended::Answered);
            }
        }
        (self.phase, self.rest) = (Phase::Resting(now, TimeDelta::ZERO), REST[0]);
    }
}

#[cfg(test)]
#[path = "endpoint_watch_tests.rs"]
mod tests;
