//! Who may call, for how long, and who goes when all seats are taken. It does no I/O and reads no clock: time is an
//! argument, counted from any one point.
//!
//! Every newcomer gets a seat. When all are taken, one goes for it: first a caller that has had its answer, for longest;
//! then the one that has been silent for longest without a whole call; last the one that has been taking its answer for
//! longest. Guards against callers that connect and say nothing, or half a call, and stay: however many they are, they
//! displace one another, and a good caller, whose call is whole at once, is answered.

use crate::limits::{Limits, ACCEPTS_PER_SECOND};
use std::collections::BTreeMap;
use std::time::Duration;

/// A caller, numbered in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerId(u64);

/// How far a caller is. In the order in which callers go for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It has its answer, and only its side is still open.
    Leaving,
    /// Its call is not whole.
    Calling,
    /// Its call is whole, and its answer is being written.
    Answering,
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    stage: Stage,
    /// When it was last heard in its call, or its stage began.
    since: Duration,
    /// When its stage has to be over.
    due: Duration,
}

/// A newcomer's place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// Its number.
    pub id: CallerId,
    /// Who has to go for it.
    pub displaced: Option<CallerId>,
}

/// All callers.
#[derive(Debug)]
pub struct Admission {
    limits: Limits,
    callers: BTreeMap<CallerId, Caller>,
    next: u64,
    /// Accepts at any time, and in the long run.
    paces: [Pace; 2],
}

/// A bucket of accepts as one instant: the generic cell rate algorithm's theoretical arrival time (ITU-T I.371).
#[derive(Clone, Copy, Debug)]
struct Pace {
    gap: Duration,
    tolerance: Duration,
    tat: Duration,
}

impl Pace {
    fn new(per_second: u32, burst: u32) -> Pace {
        let gap = Duration::from_secs(1) / per_second.max(1);
        Pace { gap, tolerance: gap.saturating_mul(burst.saturating_sub(1)), tat: Duration::ZERO }
    }

    fn next(&self) -> Duration {
        self.tat.saturating_sub(self.tolerance)
    }

    fn take(&mut self, now: Duration) {
        self.tat = self.tat.max(now) + self.gap;
    }
}

impl Admission {
    /// Nobody calls yet.
    pub fn new(limits: Limits) -> Admission {
        let half = u32::try_from(limits.callers / 2).unwrap_or(u32::MAX);
        let paces =
            [Pace::new(ACCEPTS_PER_SECOND, half), Pace::new(limits.accepts_per_second, limits.accept_burst)];
        Admission { limits, callers: BTreeMap::new(), next: 0, paces }
    }

    /// Callers now; never more than [`Limits::callers`] (or 1, where that is 0).
    pub fn callers(&self) -> usize {
        self.callers.len()
    }

    /// When the next newcomer may be accepted: now, or later while they come faster than [`ACCEPTS_PER_SECOND`] after a
    /// burst of half the seats, or than [`Limits::accepts_per_second`] after [`Limits::accept_burst`].
    pub fn accept_at(&self, now: Duration) -> Duration {
        self.paces.iter().fold(now, |at, pace| at.max(pace.next()))
    }

    /// A newcomer was accepted.
    pub fn admit(&mut self, now: Duration) -> Admitted {
        self.paces.iter_mut().for_each(|pace| pace.take(now));
        let full = self.callers.len() >= self.limits.callers.max(1);
        let displaced = if full { self.displace() } else { None };
        let id = CallerId(self.next);
        self.next += 1;
        let due = now + self.limits.call_due;
        self.callers.insert(id, Caller { stage: Stage::Calling, since: now, due });
        Admitted { id, displaced }
    }

    /// The kernel has no descriptor for a newcomer: who has to go, if anybody is here. The caller's seat is free at once.
    pub fn displace(&mut self) -> Option<CallerId> {
        let least = |(id, caller): &(&CallerId, &Caller)| (caller.stage, caller.since, **id);
        let id = self.callers.iter().min_by_key(least).map(|(id, _)| *id)?;
        self.callers.remove(&id);
        Some(id)
    }

    /// Part of a call came. It makes the caller the last to go among those whose calls are not whole, and gives it no
    /// more time.
    pub fn heard(&mut self, now: Duration, id: CallerId) {
        if let Some(caller) = self.callers.get_mut(&id).filter(|c| c.stage == Stage::Calling) {
            caller.since = now;
        }
    }

    /// A call is whole, or known to be bad: its answer is on its way.
    pub fn answering(&mut self, now: Duration, id: CallerId) {
        self.advance(now, id, Stage::Calling, Stage::Answering, self.limits.answer_due);
    }

    /// The answer is with the kernel.
    pub fn answered(&mut self, now: Duration, id: CallerId) {
        self.advance(now, id, Stage::Answering, Stage::Leaving, self.limits.linger);
    }

    fn advance(&mut self, now: Duration, id: CallerId, from: Stage, to: Stage, time: Duration) {
        if let Some(caller) = self.callers.get_mut(&id).filter(|c| c.stage == from) {
            *caller = Caller { stage: to, since: now, due: now + time };
        }
    }

    /// When the stage that a caller is in has to be over; `None` once it has gone.
    pub fn due(&self, id: CallerId) -> Option<Duration> {
        self.callers.get(&id).map(|c| c.due)
    }

    /// The stage in which a caller's time has run out, if it has.
    pub fn overdue(&self, now: Duration, id: CallerId) -> Option<Stage> {
        self.callers.get(&id).filter(|c| now >= c.due).map(|c| c.stage)
    }

    /// A caller has gone. One that was displaced has gone already.
    pub fn left(&mut self, id: CallerId) {
        self.callers.remove(&id);
    }
}
