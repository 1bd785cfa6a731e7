//! Dispatch: `send` is the only way out to an engine, `answer` the only final answer that no engine gave.

use crate::*; // Vocabulary: `crates/policy/src/events.rs`, `actions.rs`, `settings.rs`; records: `state.rs`.

/// Held queries tried at one look; the rest of the line waits for the next.
const LOOK_AHEAD: usize = 200;
/// Shorter latencies than this are not expected of any attempt, in seconds.
const EXPECTED_FLOOR: f64 = 0.05;
/// Groups of tables taken to be warm on an engine, of those sent last; engines tell no number.
const WARM_GROUPS: usize = 4;

impl Policy {
    /// Sends what waits as engines have room, top level first. A newcomer is tried alone: it frees no room.
    pub(crate) fn dispatch(&mut self, newcomer: Option<RequestId>, out: &mut Vec<Action>) {
        let place = newcomer.and_then(|id| Some((place(self.requests.get(&id)?), id)));
        let all = || self.line.iter().take(LOOK_AHEAD).map(|(k, v)| (*k, *v)).collect();
        let waiting: Vec<((usize, u64), RequestId)> = place.map_or_else(all, |p| vec![p]);
        for (place, id) in waiting {
            let dice = self.rng.next_unit();
            let Some(r) = self.requests.get(&id) else { continue };
            if !self.my_turn(id, r) || !(r.attempts == 0 || self.within_attempt_budget()) {
                continue;
            }
            self.draw_few(id, out);
            let Some(r) = self.requests.get(&id).filter(|r| self.now >= r.probes_due) else { continue };
            self.why_drawn(id, dice, out);
            if self.pick(r, true, dice).is_some_and(|e| self.send(id, e, out)) {
                self.line.remove(&place);
            }
        }
    }

    /// Order: a request with a key goes out only in its turn, and not while the key rests.
    fn my_turn(&self, id: RequestId, r: &Request) -> bool {
        let Some(line) = r.key.as_ref().and_then(|k| self.keys.get(k)) else { return true };
        line.turns.front() == Some(&id) && self.now >= line.rests_until
    }

    /// The only way out to an engine. False where a rule forbids it.
    fn send(&mut self, id: RequestId, engine: EngineId, out: &mut Vec<Action>) -> bool {
        let (i, Some(r)) = (engine.0 as usize, self.requests.get(&id)) else { return false };
        let (free, within) =
            (!r.answered && r.out.is_none(), r.attempts == 0 || self.within_attempt_budget());
        if !(free && within && self.may_repeat(r) && self.my_turn(id, r) && self.gate_engine(r, i)) {
            return false;
        }
        let c = &self.set.classes[r.class];
        let expected = (self.now_time(r.class, r.cost)).max(EXPECTED_FLOOR);
        let terms = self.terms(id, r);
        let (threads, charge, tables) = (c.threads, self.charge(r.class), r.tables);
        let e = &mut self.engines[i];
        self.own += threads;
        if e.flying == 0 {
            e.last_word = self.now;
        }
        e.last_sent = Some(self.now);
        e.threads += threads;
        e.flying += 1;
        e.charges.record(self.now, charge, self.set.fall_span);
        e.warm.touch(tables, WARM_GROUPS);
        e.next_trickle = self.now + TRICKLE;
        self.zones.entry(e.zone).or_default().next_trickle = self.now + TRICKLE;
        let Some(r) = self.requests.get_mut(&id) else { return false };
        if r.attempts > 0 {
            self.extra.record(self.now, self.set.attempt_budget.map_or(TimeDelta::ZERO, |b| b.span + TICK));
        }
        let number = r.attempts;
        r.attempts += 1;
        r.last = Some(engine);
        r.out = Some(Attempt::new(engine, number, self.now, expected, OVERDUE));
        if self.set.priorities || self.set.grants {
            out.push(terms);
        }
        out.push(Action::Send { id, timeout: None, engine });
        true
    }

    /// The only final answer: refused where a repeat surely does no harm, else failed.
    pub(crate) fn answer(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.requests.get(&id).is_none_or(|r| r.answered) {
            return;
        }
        self.why_answered(id, out);
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.answered = true;
        let c = &self.set.classes[r.class];
        let touched = r.out.is_some() || r.may_have_run.is_some();
        let harmless = match c.effect {
            Effect::Safe => true,
            Effect::Keyed => !touched || c.group == DedupGroup::All,
            Effect::Unsafe => !touched,
        };
        let wait = TimeDelta::from_secs_f64(self.classes[r.class].levels[r.level].wait.max(self.jam()));
        let most = self.set.max_retry_after;
        let retry_after = Some(if most > TimeDelta::ZERO { wait.min(most) } else { wait });
        let (refuse, fail) = (Action::Refuse { id, retry_after }, Action::Fail { id, retry_after });
        out.push(if harmless { refuse } else { fail });
        self.finish(id, out);
    }

    /// Forgets a finished request, but for an attempt that is still out.
    pub(crate) fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.answered = true;
        self.line.remove(&place(r));
        if r.out.is_some() {
            self.cancel(id, out);
            return;
        }
        if let Some(line) = r.key.as_ref().and_then(|k| self.keys.get_mut(k)) {
            line.turns.retain(|t| *t != id);
        }
        self.requests.remove(&id);
    }
}

/// A request's place in the line: higher levels first, then in turn.
pub(crate) fn place(r: &Request) -> (usize, u64) {
    (LEVELS - r.level, r.seq)
}
