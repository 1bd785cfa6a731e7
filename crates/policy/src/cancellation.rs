//! Cancellation: attempts that are stuck, and requests whose answer is due or has lost its worth.

use crate::*; // Vocabulary: `crates/policy/src/events.rs`, `actions.rs`, `settings.rs`; records: `state.rs`.

/// Shares of the wanted time after which a running query is raised to levels 1 and 2; 3 is never forced.
const URGENT: [f64; 2] = [0.35, 0.6];
/// An attempt unheard of for this many times its expected latency is lost.
const LOST: f64 = 5.0;
/// An attempt is redone when what is left would take this many times a fresh one.
const REDO_GAIN: f64 = 3.0;

impl Policy {
    pub(crate) fn on_note(&mut self, id: RequestId, attempt: u32, note: Note, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.out.as_mut().filter(|a| a.number == attempt && !a.cancelled) else { return };
        a.heard = self.now;
        let e = &mut self.engines[a.engine.0 as usize];
        e.last_word = self.now;
        self.zones.entry(e.zone).or_default().word(self.now);
        let (age, expected) = ((self.now - a.sent).as_secs_f64(), a.expected);
        let (class, r) = (r.class, &*r);
        match (note, r.memory) {
            (Note::Spills(missing), Some(need)) => {
                self.classes[class].grant += SPILL_STEP * (missing / need.max(1.0)).min(1.0);
            }
            (Note::Progress(done), _) => {
                // A bad plan or a slow engine: a fresh attempt would be far quicker than what is left.
                let left = age * (1.0 - done) / done.max(0.01);
                let r = &self.requests[&id];
                let fresh = expected.max(self.now_time(class, r.cost));
                let pays =
                    left > REDO_GAIN * fresh && (self.now - r.arrived).as_secs_f64() + left > self.aim(r);
                if pays && self.may_repeat(r) && self.within_attempt_budget() {
                    self.cancel(id, out);
                }
            }
            _ => {}
        }
    }

    pub(crate) fn cancel(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.why_cancelled(id, out);
        let out_now = self.requests.get_mut(&id).and_then(|r| r.out.as_mut());
        if let Some(a) = out_now.filter(|a| self.set.cancel && !a.cancelled) {
            a.cancelled = true;
            out.push(Action::Cancel { id, attempt: a.number });
        }
    }

    /// Answers due, held queries whose worth is gone, attempts stuck.
    pub(crate) fn review(&mut self, out: &mut Vec<Action>) {
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        let (free, sees) = (self.own < self.core_share(), self.sees());
        for id in ids {
            let Some(r) = self.requests.get(&id).filter(|r| !r.answered) else { continue };
            // Guards against holding what may not go out any more: nothing is left to wait for.
            if self.now + ANSWER_MARGIN >= r.deadline || r.out.is_none() && !self.may_repeat(r) {
                self.answer(id, out);
            } else if let Some(a) = &r.out {
                let age = (self.now - a.sent).as_secs_f64();
                let doubted = self.engines[a.engine.0 as usize].distrusted && age > OVERDUE * a.expected;
                let stuck = doubted || (self.now - a.heard).as_secs_f64() > LOST * a.expected;
                let gone = (self.now - r.arrived).as_secs_f64() / self.aim(r);
                let need = URGENT.iter().filter(|part| gone * sees > **part && gone < 1.0).count();
                if stuck && self.may_repeat(r) && self.within_attempt_budget() {
                    self.cancel(id, out);
                } else if need > r.level && self.set.priorities {
                    // So that it does not starve on its engine; the less of the load is seen, the later.
                    self.requests.entry(id).and_modify(|r| r.level = need);
                    out.extend(self.requests.get(&id).map(|r| self.terms(id, r)));
                }
            } else {
                let left = (self.now - r.arrived).as_secs_f64() + self.now_time(r.class, r.cost);
                let late = left * PRUDENCE > self.aim(r);
                let toll = if late { self.cheapest(r.class, r.cost).2 } else { 0.0 };
                // The free-core pass holds for what waits for its turn, too: late is better than never.
                if !(free && self.step_worth(r, left) > 0.0 || !free && self.worth_at(r, left) >= toll) {
                    self.answer(id, out);
                }
            }
        }
    }
}
