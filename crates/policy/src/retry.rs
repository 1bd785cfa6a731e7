//! Retries: what an attempt's end teaches, and whether a further attempt is allowed.

use crate::*; // Vocabulary: `crates/policy/src/events.rs`, `actions.rs`, `settings.rs`; records: `state.rs`.

/// So many errors end a request: what two engines cannot do is most likely its own fault.
const MOST_ERRORS: u32 = 2;
/// Weight of one answer in told work over estimate, and the most one may say: estimates err by class.
const BIAS_STEP: f64 = 0.02;
const BIAS_MOST: f64 = 4.0;
/// Weight of one answer in the pace, and the most one may say: bad plans are not the class's pace.
const PACE_STEP: f64 = 0.05;
const PACE_MOST: f64 = 20.0;
/// Latency against the estimate at first: as in a busy hour, until outcomes tell.
pub(crate) const FIRST_PACE: f64 = 2.0;
/// Steps of the learned ratio up and down: it rests where a quarter of the answers are quicker.
const RATIO_UP: f64 = 1.01;
const RATIO_DOWN: f64 = 0.97;

impl Policy {
    pub(crate) fn on_ended(&mut self, ended: Event, out: &mut Vec<Action>) {
        let Event::Ended { id, attempt, outcome, latency, complete, bill, report } = ended else { return };
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.out.take_if(|a| a.number == attempt) else { return };
        let (class, level, cost, memory, at) = (r.class, r.level, r.cost, r.memory, a.engine);
        let i = at.0 as usize;
        let c = &self.set.classes[class];
        let (threads, load) = (c.threads, c.load);
        if !outcome.never_ran() {
            r.may_have_run.get_or_insert((a.sent, at));
        }
        let zone = self.zones.entry(self.engines[i].zone).or_default();
        match outcome {
            Outcome::Delivered | Outcome::Error | Outcome::Shed => zone.word(self.now),
            Outcome::DialFailed => zone.missed(&a, MUTE),
            _ => {}
        }
        r.errors += u32::from(outcome == Outcome::Error);
        r.answered |= complete;
        let (key, answered, in_all) = (r.key.clone(), r.answered, (self.now - r.arrived).as_secs_f64());
        let e = &mut self.engines[i];
        e.threads -= threads;
        self.own -= threads;
        e.flying -= 1;
        self.thread_time += threads * latency.as_secs_f64();
        self.query_time += latency.as_secs_f64();
        if matches!(outcome, Outcome::Expired | Outcome::Dropped | Outcome::Revoked) {
            if let Some(line) = key.and_then(|k| self.keys.get_mut(&k)) {
                line.rests_until = self.now + self.set.order_settle;
            }
        }
        let (fault, weight) = match outcome {
            Outcome::Delivered => (0.0, AMENDS_STEP),
            Outcome::Revoked | Outcome::Unused | Outcome::Expired => (0.0, 0.0),
            _ => (1.0, FAULT_STEP),
        };
        e.bad.update(fault, weight);
        self.on_report(i, report);
        match outcome {
            Outcome::Delivered => {
                let book = &mut self.classes[class];
                if let Some(b) = bill.filter(|_| cost > 0.0) {
                    book.bias.update((b.work / cost).min(BIAS_MOST), BIAS_STEP);
                    let need = memory.map(|m| b.memory_mb / m);
                    need.filter(|n| *n > 0.0).into_iter().for_each(|n| learn_need(book, n.ln()));
                }
                // The lower quarter of the ratios: what a query takes when little stands in its way.
                let seen = latency.as_secs_f64() * threads / cost.max(1e-6);
                book.pace.update(seen.min(PACE_MOST), PACE_STEP);
                book.ratio *= if seen > book.ratio { RATIO_UP } else { RATIO_DOWN };
                book.grant = (book.grant - GRANT_DECAY).max(GRANT_LEAST);
                let wait = (in_all - self.own_time(class, cost)).max(0.0);
                self.learn_wait(class, level, wait);
                let e = &mut self.engines[i];
                (e.last_word, e.failures, e.silent) = (self.now, 0, false);
                if !load {
                    learn_slowness(e, latency.as_secs_f64() / a.expected);
                }
            }
            Outcome::Expired => self.learn_wait(class, level, in_all),
            Outcome::DialFailed => self.went_down(i),
            // Guards against engines at their limit of sessions, whoever filled them: it is news of load.
            Outcome::Shed => {
                self.brimful(i);
                self.engines[i].down_until = self.now + FULL_REST;
            }
            _ => {}
        }
        match self.requests.get(&id) {
            _ if answered || outcome == Outcome::Delivered => self.finish(id, out),
            // Guards the ration of further attempts against requests that every engine fails.
            Some(r) if r.errors < MOST_ERRORS && self.may_repeat(r) => _ = self.line.insert(place(r), id),
            _ => self.answer(id, out),
        }
    }

    /// Effects and attempts: whether a further attempt is allowed at all.
    pub(crate) fn may_repeat(&self, r: &Request) -> bool {
        let c = &self.set.classes[r.class];
        let effect = match (c.effect, r.may_have_run) {
            (Effect::Unsafe, Some(_)) => false,
            (Effect::Unsafe, None) => r.out.is_none(),
            (Effect::Keyed, Some((at, _))) => self.now < at + c.repeat_window,
            _ => true,
        };
        effect && r.attempts < self.set.max_attempts && self.now + ANSWER_MARGIN < r.deadline
    }

    pub(crate) fn within_attempt_budget(&self) -> bool {
        let Some(b) = self.set.attempt_budget else { return true };
        // The extra ones are counted a little longer than asked, so that no edge matters.
        let from = self.now - b.span;
        let (taken, extra) = (self.taken.count_after(from), self.extra.count_after(from - TICK));
        (extra + 1) as f64 <= b.free + b.share * taken as f64 + self.set.spare
    }
}
