//! The seven rules over arbitrary legal event sequences and settings, with fixed seeds. Engines are not
//! modelled: outcomes, lists, notes and clients' leaving come at random.
mod common;
use common::*;
use sprucelink_policy::*;
use std::collections::BTreeMap;

struct Dice(u64);

impl Dice {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }
    fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }
}

#[derive(Default)]
struct Seen {
    class: usize,
    key: Option<String>,
    order: u64,
    due: Timestamp,
    attempts: u32,
    out: Option<(u32, EngineId)>,
    sent_at: Timestamp,
    /// The first attempt that may have run: when it was sent, and where.
    first: Option<(Timestamp, EngineId)>,
    finals: u32,
    done_at: Option<Timestamp>,
}

struct World {
    set: Settings,
    list: Vec<EngineEntry>,
    seen: BTreeMap<RequestId, Seen>,
    rests: BTreeMap<String, Timestamp>,
    taken: Vec<Timestamp>,
    extra: Vec<Timestamp>,
    cold: Vec<(Timestamp, EngineId, f64)>,
    sends: usize,
    /// Sends of keyed requests of which an attempt may have run.
    repeats: usize,
}

const COSTS: [f64; 3] = [0.2, 0.8, 0.5];

impl World {
    fn check(&mut self, now: Timestamp, actions: &[Action]) {
        for action in actions {
            match action {
                Action::ForwardAttempt { id, engine, .. } => self.check_send(now, *id, *engine),
                Action::Reject { id, .. } | Action::Fail { id, .. } => {
                    let r = self.seen.get_mut(id).expect("a known request");
                    r.finals += 1;
                    assert_eq!(r.finals, 1, "one final answer");
                    r.done_at = Some(now);
                    let c = &self.set.classes[r.class];
                    let all = c.effect == Effect::Keyed && c.group == DedupGroup::All;
                    if c.effect != Effect::Safe && !all && matches!(action, Action::Reject { .. }) {
                        assert!(r.out.is_none() && r.first.is_none(), "a refusal promises that nothing ran");
                    }
                }
                _ => {}
            }
        }
    }

    fn check_send(&mut self, now: Timestamp, id: RequestId, engine: EngineId) {
        self.sends += 1;
        let r = &self.seen[&id];
        let c = &self.set.classes[r.class];
        assert_eq!(r.finals, 0, "nothing goes out once answered");
        assert!(now < r.due, "nor past the deadline");
        assert!(r.out.is_none(), "one attempt at a time");
        if let Some((at, old)) = r.first {
            match c.effect {
                Effect::Safe => {}
                Effect::Keyed => {
                    assert!(now < at + c.repeat_window, "repeats are known only so long");
                    let at = |e: EngineId| self.list.iter().find(|l| l.engine == e).expect("a listed engine");
                    let same = match c.group {
                        DedupGroup::All => true,
                        DedupGroup::Zone => at(old).zone == at(engine).zone,
                        DedupGroup::Cell => at(old).cell == at(engine).cell,
                    };
                    assert!(same, "and only there");
                    self.repeats += 1;
                }
                Effect::Unsafe => panic!("no effect twice"),
            }
        }
        assert!(r.attempts < self.set.max_attempts);
        let e = self.list.iter().find(|e| e.engine == engine).expect("a listed engine");
        assert_eq!(e.state, EngineState::Ready, "drains are kept");
        assert!(c.kinds.as_ref().is_none_or(|k| k.contains(&e.kind)), "placement is kept");
        if let Some(key) = r.key.as_ref().filter(|_| c.ordered_by_key) {
            let open = |o: &Seen| o.finals == 0 || o.out.is_some();
            let mut others = self.seen.values().filter(|o| o.key.as_ref() == Some(key) && o.order < r.order);
            assert!(!others.any(open), "order is kept");
            assert!(self.rests.get(key).is_none_or(|t| now >= *t), "the key rests");
        }
        if r.attempts > 0 {
            self.extra.push(now);
            if let Some(b) = self.set.retry_budget {
                let within = |v: &[Timestamp]| v.iter().filter(|t| now - **t < b.window).count() as f64;
                let allowed = b.free_retries + b.retries_per_request * within(&self.taken);
                assert!(within(&self.extra) <= allowed, "further attempts keep to their budget");
            }
        }
        if let Some(since) = e.since.filter(|s| now - *s < self.set.slow_start_duration) {
            let (span, full) = (self.set.slow_start_window, self.set.kind_cores[e.kind as usize] * 0.85);
            self.cold.push((now, engine, COSTS[r.class]));
            let recent = self.cold.iter().filter(|c| c.1 == engine && now - c.0 < span);
            let grown = (now - since).as_secs_f64() / self.set.slow_start_duration.as_secs_f64()
                * (1.0 - self.set.initial_capacity_fraction);
            let able = (self.set.initial_capacity_fraction + grown) * full * span.as_secs_f64();
            let pushed: f64 = recent.map(|c| c.2).sum();
            // One of many gateways keeps to its part of it, or to one query where that is less.
            let part = self.set.slow_start_multiple * able / f64::from(self.set.gateways);
            assert!(pushed <= part.max(COSTS[r.class]), "a cold engine is not pushed over");
        }
        let r = self.seen.get_mut(&id).expect("a known request");
        (r.out, r.sent_at) = (Some((r.attempts, engine)), now);
        r.attempts += 1;
    }
}

fn play(seed: u64) -> usize {
    let mut dice = Dice(seed);
    let effect = [Effect::Unsafe, Effect::Keyed][dice.below(2) as usize];
    let group = [DedupGroup::All, DedupGroup::Cell][dice.below(2) as usize];
    let ordered_by_key =
        ClassSettings { ordered_by_key: dice.one_in(2), group, threads: 2.0, ..class(effect) };
    let bound =
        ClassSettings { kinds: Some(vec![1]), threads: 2.0, late_value_fraction: 0.4, ..class(Effect::Safe) };
    let mut set = settings(vec![class(Effect::Safe), bound, ordered_by_key]);
    set.key_settle_time = TimeDelta::from_secs_f64(0.3 * dice.below(3) as f64);
    set.cancel = dice.one_in(2);
    set.gateways = [1, 1, 2, 250][dice.below(4) as usize];
    set.max_attempts = [3, 4, 6][dice.below(3) as usize];
    (set.probes, set.reports_load, set.grants) = (dice.one_in(2), dice.one_in(2), dice.one_in(2));
    // Gateways have unlike shares of the traffic.
    let most = [2, 4, 9][dice.below(3) as usize];
    set.progress_interval = TimeDelta::from_secs_f64(0.5);
    if dice.one_in(2) {
        set.retry_budget = Some(RetryBudgetSettings {
            window: TimeDelta::from_secs_f64(2.0),
            free_retries: 2.0,
            retries_per_request: 0.1,
        });
    }
    let mut b = Bench::new(set.clone(), 0);
    b.pass(1.5);
    let (seen, rests, taken, extra, cold) = Default::default();
    let mut w = World { set, list: Vec::new(), seen, rests, taken, extra, cold, sends: 0, repeats: 0 };
    for n in 0..6 {
        w.list.push(EngineEntry { kind: n % 2, ..entry(n) });
    }
    let out = b.list(EndpointUpdate::Complete, w.list.clone());
    w.check(b.now, &out);
    for step in 0..700 {
        if step < 400 {
            for _ in 0..dice.below(most) {
                let class = dice.below(3) as usize;
                let key = (class == 2).then(|| format!("t/{}", dice.below(4)));
                w.taken.push(b.now);
                // The request is known to the checks before the module may act on it.
                let id = RequestId(w.seen.len() as u64 + 1);
                let due = b.now + TimeDelta::from_secs_f64(5.0);
                let order = id.0;
                w.seen.insert(id, Seen { class, key: key.clone(), order, due, ..Seen::default() });
                let (given, out) = b.arrive(class, COSTS[class], key.as_deref());
                assert_eq!(given, id);
                w.check(b.now, &out);
            }
        }
        if dice.one_in(12) {
            let i = dice.below(6) as usize;
            let e = &mut w.list[i];
            e.state = [EngineState::Ready, EngineState::Draining, EngineState::Gone][dice.below(3) as usize];
            if e.state == EngineState::Ready && dice.one_in(2) {
                e.since = Some(b.now);
            }
            let change = vec![*e];
            let out = b.list(EndpointUpdate::Changes, change);
            w.check(b.now, &out);
        }
        let open: Vec<RequestId> = w.seen.iter().filter(|s| s.1.out.is_some()).map(|s| *s.0).collect();
        for id in open {
            let Some((attempt, _)) = w.seen[&id].out else { continue };
            let overdue = b.now >= w.seen[&id].due;
            if !overdue && dice.one_in(8) {
                let note = ProgressNote::Progress(dice.below(100) as f64 / 100.0);
                let out = b.give(Event::ProgressReported { id, attempt, note });
                w.check(b.now, &out);
            }
            if !overdue && !dice.one_in(10) {
                continue;
            }
            let outcome = match dice.below(14) {
                _ if overdue => Outcome::TimedOut,
                0..=5 => Outcome::Succeeded,
                6 => Outcome::EngineError,
                7 => Outcome::TimedOut,
                8 => Outcome::ConnectionLost,
                9 => Outcome::Cancelled,
                10 => Outcome::ConnectFailed,
                11 => Outcome::NeverSent,
                _ => Outcome::RejectedByEngine,
            };
            let now = b.now;
            let r = w.seen.get_mut(&id).expect("a known request");
            if let Some((_, engine)) = r.out.take().filter(|_| !outcome.never_ran()) {
                r.first.get_or_insert((r.sent_at, engine));
            }
            if outcome == Outcome::Succeeded && r.finals == 0 {
                r.finals = 1;
                r.done_at = Some(now);
            }
            if matches!(outcome, Outcome::TimedOut | Outcome::ConnectionLost | Outcome::Cancelled) {
                if let Some(key) = r.key.clone() {
                    w.rests.insert(key, now + w.set.key_settle_time);
                }
            }
            let out = b.end(id, attempt, outcome);
            w.check(now, &out);
        }
        let waiting: Vec<RequestId> = w.seen.iter().filter(|s| s.1.finals == 0).map(|s| *s.0).collect();
        if let Some(id) = waiting.first().filter(|_| dice.one_in(15)) {
            let r = w.seen.get_mut(id).expect("a known request");
            (r.finals, r.done_at) = (1, Some(b.now));
            let out = b.give(Event::RequestAbandoned { id: *id });
            w.check(b.now, &out);
        }
        if dice.one_in(3) {
            let outcome = [Outcome::Succeeded, Outcome::TimedOut][dice.below(2) as usize];
            let report =
                LoadReport { queries_in_flight: Some(dice.below(40) as f64), ..LoadReport::default() };
            let out =
                b.give(Event::ProbeCompleted { engine: EngineId(dice.below(6) as u32), outcome, report });
            w.check(b.now, &out);
        }
        b.now = b.now + TimeDelta::from_micros(20_000);
        let out = b.give(Event::Timer { token: 0 });
        w.check(b.now, &out);
    }
    for (id, r) in &w.seen {
        assert_eq!(r.finals, 1, "{id:?} is answered");
        assert!(r.done_at.is_some_and(|t| t < r.due), "{id:?} is answered in time");
    }
    w.sends
}

#[test]
fn the_seven_rules_hold_over_arbitrary_events() {
    let sends: usize = (1..=24).map(play).sum();
    assert!(sends > 1_500, "{sends} sends seen");
}

/// Few requests of one class, most of whose attempts end badly, on three cells of two engines in two zones: sends and
/// repeats of what may have run.
fn badly(seed: u64, effect: Effect, group: DedupGroup, window: f64) -> (usize, usize) {
    let mut dice = Dice(seed);
    let repeat_window = TimeDelta::from_secs_f64(window);
    let set = settings(vec![ClassSettings { group, repeat_window, ..class(effect) }]);
    let mut b = Bench::new(set.clone(), 0);
    b.pass(1.5);
    let list: Vec<EngineEntry> =
        (0..6).map(|n| EngineEntry { cell: n / 2, zone: n / 4, ..entry(n) }).collect();
    let (seen, rests, taken, extra, cold) = Default::default();
    let mut w = World { set, list, seen, rests, taken, extra, cold, sends: 0, repeats: 0 };
    let out = b.list(EndpointUpdate::Complete, w.list.clone());
    w.check(b.now, &out);
    for step in 0..600 {
        if step < 300 && dice.one_in(4) {
            w.taken.push(b.now);
            let id = RequestId(w.seen.len() as u64 + 1);
            let due = b.now + TimeDelta::from_secs_f64(5.0);
            w.seen.insert(id, Seen { order: id.0, due, ..Seen::default() });
            let out = b.arrive(0, 0.05, None).1;
            w.check(b.now, &out);
        }
        let open: Vec<RequestId> = w.seen.iter().filter(|s| s.1.out.is_some()).map(|s| *s.0).collect();
        for id in open {
            let Some((attempt, engine)) = w.seen[&id].out.filter(|_| dice.one_in(8)) else { continue };
            let bad = [
                Outcome::ConnectionLost,
                Outcome::TimedOut,
                Outcome::EngineError,
                Outcome::Cancelled,
                Outcome::RejectedByEngine,
            ];
            let outcome = if dice.one_in(2) { Outcome::Succeeded } else { bad[dice.below(5) as usize] };
            let now = b.now;
            let r = w.seen.get_mut(&id).expect("a known request");
            r.out = None;
            if !outcome.never_ran() {
                r.first.get_or_insert((r.sent_at, engine));
            }
            if outcome == Outcome::Succeeded && r.finals == 0 {
                (r.finals, r.done_at) = (1, Some(now));
            }
            let out = b.end(id, attempt, outcome);
            w.check(now, &out);
        }
        b.now = b.now + TimeDelta::from_micros(20_000);
        let out = b.give(Event::Timer { token: 0 });
        w.check(b.now, &out);
    }
    assert!(w.seen.values().all(|r| r.finals == 1), "all are answered");
    (w.sends, w.repeats)
}

/// Unsafe ones never go out again once they may have run; keyed ones only within their group and window, be the window
/// shorter than the deadline or longer.
#[test]
fn what_may_have_run_goes_out_again_only_as_its_class_allows() {
    for window in [0.3, 2.0, 8.0] {
        let (sends, repeats) = (1..=8)
            .map(|seed| badly(seed, Effect::Unsafe, DedupGroup::Zone, window))
            .fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
        assert!(sends > 100 && repeats == 0, "{sends} sends, {repeats} repeats");
        for group in [DedupGroup::All, DedupGroup::Zone, DedupGroup::Cell] {
            let repeats: usize = (1..=8).map(|seed| badly(seed, Effect::Keyed, group, window).1).sum();
            assert!(repeats > 10, "{group:?}, window of {window} s: {repeats} repeats seen");
        }
    }
}
