//! What an attempt must still be fit for just before its first byte leaves. The module chose it some time ago: since then
//! its connection came up late, its peer was slow, or this process had no turn. Every rule on what is sent is looked at
//! here once more, on the state of this moment; a no takes the attempt back, and as it never left, it costs its
//! request's class nothing.
//!
//! This is no second decision: what the module would have refused at this moment does not leave, and nothing else.

use sprucelink_policy::{AttemptBudget, Effect, Settings, TimeDelta, Timestamp};
use std::collections::VecDeque;

/// Time is counted in slots of so much, and in so many at most; longer spans have wider slots.
const SLOT: TimeDelta = TimeDelta::from_micros(20_000);
const MOST_SLOTS: i64 = 1_024;

/// Why an attempt may not leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendRejection {
    /// Its request has its final answer, or its client has gone.
    Over,
    /// Its client's time is over, or this process ends before.
    Late,
    /// Its engine drains, is gone, or was taken out.
    Engine,
    /// Its class may not be repeated, or not any more.
    Repeat,
    /// The ration of further attempts is spent.
    Ration,
}

/// An attempt that is about to leave, as things stand at this moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct OutgoingAttempt {
    /// Its request has no final answer, and its client is present.
    pub(super) open: bool,
    /// When its client stops waiting.
    pub(super) deadline: Timestamp,
    /// Its class, by number.
    pub(super) class: usize,
    /// Attempts were chosen before it.
    pub(super) further: bool,
    /// When the first attempt that may have run was sent.
    pub(super) may_have_run: Option<Timestamp>,
    /// The list held has its engine ready, and nobody has taken it out.
    pub(super) engine_ready: bool,
}

/// Events in the last span, by slot.
#[derive(Debug, Default)]
struct Slots {
    span: TimeDelta,
    counts: VecDeque<(i64, u32)>,
}

impl Slots {
    fn width(&self) -> i64 {
        SLOT.as_micros().max(self.span.as_micros() / MOST_SLOTS)
    }

    fn add(&mut self, now: Timestamp) {
        let slot = now.as_micros().div_euclid(self.width());
        let old = slot - self.span.as_micros() / self.width() - 1;
        while self.counts.front().is_some_and(|c| c.0 < old) {
            self.counts.pop_front();
        }
        match self.counts.back_mut().filter(|c| c.0 >= slot) {
            Some(last) => last.1 = last.1.saturating_add(1),
            None => self.counts.push_back((slot, 1)),
        }
    }

    /// Events of the span before `now`: of the slot that its begin cuts, all or none.
    fn sum(&self, now: Timestamp, with_cut: bool) -> u64 {
        let first = (now - self.span).as_micros().div_euclid(self.width()) + i64::from(!with_cut);
        self.counts.iter().filter(|c| c.0 >= first).map(|c| u64::from(c.1)).sum()
    }
}

/// The rules on what is sent, and what they count.
#[derive(Debug)]
pub(super) struct SendGuard {
    classes: Vec<(Effect, TimeDelta)>,
    budget: Option<AttemptBudget>,
    taken: Slots,
    further: Slots,
    /// This process gives its last answers then.
    ends_by: Option<Timestamp>,
}

impl SendGuard {
    pub(super) fn new(set: &Settings) -> SendGuard {
        let span = set.attempt_budget.as_ref().map_or(TimeDelta::ZERO, |b| b.span);
        let slots = || Slots { span, counts: VecDeque::new() };
        SendGuard {
            classes: set.classes.iter().map(|c| (c.effect, c.repeat_window)).collect(),
            budget: set.attempt_budget,
            taken: slots(),
            further: slots(),
            ends_by: None,
        }
    }

    /// From now on this process ends: its last answers go out by then.
    pub(super) fn ends_by(&mut self, by: Timestamp) {
        self.ends_by = Some(by);
    }

    /// When a request that comes now has to be answered at the latest, if its client waits until `deadline`.
    pub(super) fn answer_by(&self, deadline: Timestamp) -> Timestamp {
        self.ends_by.map_or(deadline, |by| by.min(deadline))
    }

    /// Whether the last answers have gone out: what is still read is turned away.
    pub(super) fn closed(&self, now: Timestamp) -> bool {
        self.ends_by.is_some_and(|by| now >= by)
    }

    /// A request was taken.
    pub(super) fn took(&mut self, now: Timestamp) {
        if self.budget.is_some() {
            self.taken.add(now);
        }
    }

    /// An attempt's first byte leaves.
    pub(super) fn left(&mut self, now: Timestamp, further: bool) {
        if further && self.budget.is_some() {
            self.further.add(now);
        }
    }

    /// Whether an attempt may leave; `spare` are further attempts that others leave to this manager.
    ///
    /// # Errors
    /// The first rule that it would break.
    pub(super) fn check(&self, now: Timestamp, spare: f64, a: &OutgoingAttempt) -> Result<(), SendRejection> {
        if !a.open {
            return Err(SendRejection::Over);
        }
        if now >= self.answer_by(a.deadline) {
            return Err(SendRejection::Late);
        }
        if !a.engine_ready {
            return Err(SendRejection::Engine);
        }
        let repeats = match (self.classes.get(a.class), a.may_have_run) {
            (Some((Effect::Unsafe, _)), Some(_)) => false,
            (Some((Effect::Keyed, window)), Some(sent)) => now < sent + *window,
            _ => true,
        };
        if !repeats {
            return Err(SendRejection::Repeat);
        }
        let within = |b: &AttemptBudget| {
            let allowed = b.free + b.share * self.taken.sum(now, false) as f64 + spare;
            (self.further.sum(now, true) + 1) as f64 <= allowed
        };
        if a.further && !self.budget.as_ref().is_none_or(within) {
            return Err(SendRejection::Ration);
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "send_guard_tests.rs"]
mod tests;
