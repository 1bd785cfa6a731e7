//! The rules over arbitrary legal sequences of events and settings, with fixed seeds. Engines are not modelled: outcomes,
//! endpoint lists, progress notes and clients that leave come at random.
mod common;
use common::*;
use sprucelink_policy::*;
use std::collections::BTreeMap;

struct Random(u64);

impl Random {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }
    fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }
}

#[derive(Default)]
struct RequestRecord {
    class: usize,
    key: Option<String>,
    order: u64,
    deadline: Timestamp,
    attempts: u32,
    in_flight: Option<(u32, EngineId)>,
    sent_at: Timestamp,
    /// The first attempt that may have run: when it was sent, and where.
    first: Option<(Timestamp, EngineId)>,
    final_responses: u32,
    responded_at: Option<Timestamp>,
}

struct RuleChecker {
    set: Settings,
    list: Vec<EngineEntry>,
    requests: BTreeMap<RequestId, RequestRecord>,
    key_blocks: BTreeMap<String, Timestamp>,
    request_times: Vec<Timestamp>,
    retry_times: Vec<Timestamp>,
    starting_sends: Vec<(Timestamp, EngineId, f64)>,
    sends: usize,
    /// Retries of keyed requests of which an attempt may have run.
    keyed_retries: usize,
}

const COSTS: [f64; 3] = [0.2, 0.8, 0.5];

impl RuleChecker {
    fn check(&mut self, now: Timestamp, actions: &[Action]) {
        for action in actions {
            match action {
                Action::ForwardAttempt { id, engine, .. } => self.check_send(now, *id, *engine),
                Action::Reject { id, .. } | Action::Fail { id, .. } => {
                    let r = self.requests.get_mut(id).expect("a known request");
                    r.final_responses += 1;
                    assert_eq!(r.final_responses, 1, "one final response");
                    r.responded_at = Some(now);
                    let c = &self.set.classes[r.class];
                    let all = c.effect == Effect::Keyed && c.group == DedupGroup::All;
                    if c.effect != Effect::Safe && !all && matches!(action, Action::Reject { .. }) {
                        assert!(
                            r.in_flight.is_none() && r.first.is_none(),
                            "a rejection promises that nothing ran"
                        );
                    }
                }
                _ => {}
            }
        }
    }

    fn check_send(&mut self, now: Timestamp, id: RequestId, engine: EngineId) {
        self.sends += 1;
        let request = &self.requests[&id];
        let class = &self.set.classes[request.class];
        assert_eq!(request.final_responses, 0, "nothing is forwarded after the final response");
        assert!(now < request.deadline, "nor past the deadline");
        assert!(request.in_flight.is_none(), "one attempt at a time");
        assert!(request.attempts < self.set.max_attempts);
        let entry = self.entry(engine);
        assert_eq!(entry.state, EngineState::Ready, "draining engines get nothing");
        assert!(class.kinds.as_ref().is_none_or(|kinds| kinds.contains(&entry.kind)), "placement holds");
        self.check_retry(now, id, engine);
        self.check_key_order(now, id);
        self.check_retry_budget(now, id);
        self.check_slow_start(now, id, engine);
        let request = self.requests.get_mut(&id).expect("a known request");
        request.in_flight = Some((request.attempts, engine));
        request.sent_at = now;
        request.attempts += 1;
    }

    fn entry(&self, engine: EngineId) -> EngineEntry {
        *self.list.iter().find(|entry| entry.engine == engine).expect("a listed engine")
    }

    /// A request that may have run is retried only as its effect allows.
    fn check_retry(&mut self, now: Timestamp, id: RequestId, engine: EngineId) {
        let request = &self.requests[&id];
        let class = &self.set.classes[request.class];
        let Some((first_sent_at, first)) = request.first else { return };
        match class.effect {
            Effect::Safe => {}
            Effect::Keyed => {
                assert!(
                    now < first_sent_at + class.repeat_window,
                    "retries are deduplicated only within the window"
                );
                let is_in_group = match class.group {
                    DedupGroup::All => true,
                    DedupGroup::Zone => self.entry(first).zone == self.entry(engine).zone,
                    DedupGroup::Cell => self.entry(first).cell == self.entry(engine).cell,
                };
                assert!(is_in_group, "and only within the group");
                self.keyed_retries += 1;
            }
            Effect::Unsafe => panic!("no effect twice"),
        }
    }

    fn check_key_order(&self, now: Timestamp, id: RequestId) {
        let request = &self.requests[&id];
        let is_ordered = self.set.classes[request.class].ordered_by_key;
        let Some(key) = request.key.as_ref().filter(|_| is_ordered) else { return };
        let is_open = |other: &RequestRecord| other.final_responses == 0 || other.in_flight.is_some();
        let others = self.requests.values().filter(|other| other.key.as_ref() == Some(key));
        let mut earlier = others.filter(|other| other.order < request.order);
        assert!(!earlier.any(is_open), "the order of a key holds");
        assert!(self.key_blocks.get(key).is_none_or(|until| now >= *until), "the key is blocked");
    }

    fn check_retry_budget(&mut self, now: Timestamp, id: RequestId) {
        if self.requests[&id].attempts == 0 {
            return;
        }
        self.retry_times.push(now);
        if let Some(budget) = self.set.retry_budget {
            let within =
                |times: &[Timestamp]| times.iter().filter(|time| now - **time < budget.window).count() as f64;
            let allowed = budget.free_retries + budget.retries_per_request * within(&self.request_times);
            assert!(within(&self.retry_times) <= allowed, "retries keep to their budget");
        }
    }

    fn check_slow_start(&mut self, now: Timestamp, id: RequestId, engine: EngineId) {
        let entry = self.entry(engine);
        let Some(since) = entry.since.filter(|since| now - *since < self.set.slow_start_duration) else {
            return;
        };
        let cost = COSTS[self.requests[&id].class];
        let window = self.set.slow_start_window;
        let full_capacity = self.set.kind_cores[entry.kind as usize] * 0.85;
        self.starting_sends.push((now, engine, cost));
        let recent = self.starting_sends.iter().filter(|send| send.1 == engine && now - send.0 < window);
        let sent_work: f64 = recent.map(|send| send.2).sum();
        let grown = (now - since).as_secs_f64() / self.set.slow_start_duration.as_secs_f64()
            * (1.0 - self.set.initial_capacity_fraction);
        let capacity = (self.set.initial_capacity_fraction + grown) * full_capacity * window.as_secs_f64();
        // One of many managers keeps to its part of it, or to one query where that is less.
        let part = self.set.slow_start_multiple * capacity / f64::from(self.set.gateways);
        assert!(sent_work <= part.max(cost), "a starting engine is not overloaded");
    }
}

#[expect(clippy::too_many_lines, reason = "one scenario, step after step")]
fn play(seed: u64) -> usize {
    let mut random = Random(seed);
    let effect = [Effect::Unsafe, Effect::Keyed][random.below(2) as usize];
    let group = [DedupGroup::All, DedupGroup::Cell][random.below(2) as usize];
    let ordered_by_key =
        ClassSettings { ordered_by_key: random.one_in(2), group, threads: 2.0, ..class(effect) };
    let placed =
        ClassSettings { kinds: Some(vec![1]), threads: 2.0, late_value_fraction: 0.4, ..class(Effect::Safe) };
    let mut set = settings(vec![class(Effect::Safe), placed, ordered_by_key]);
    set.key_settle_time = TimeDelta::from_secs_f64(0.3 * random.below(3) as f64);
    set.cancel = random.one_in(2);
    set.gateways = [1, 1, 2, 250][random.below(4) as usize];
    set.max_attempts = [3, 4, 6][random.below(3) as usize];
    (set.probes, set.reports_load, set.grants) = (random.one_in(2), random.one_in(2), random.one_in(2));
    // Managers get different fractions of the traffic.
    let most = [2, 4, 9][random.below(3) as usize];
    set.progress_interval = TimeDelta::from_secs_f64(0.5);
    if random.one_in(2) {
        set.retry_budget = Some(RetryBudgetSettings {
            window: TimeDelta::from_secs_f64(2.0),
            free_retries: 2.0,
            retries_per_request: 0.1,
        });
    }
    let mut manager = TestManager::new(set.clone(), 0);
    manager.advance(1.5);
    let (requests, key_blocks, request_times, retry_times, starting_sends) = Default::default();
    let mut checker = RuleChecker {
        set,
        list: Vec::new(),
        requests,
        key_blocks,
        request_times,
        retry_times,
        starting_sends,
        sends: 0,
        keyed_retries: 0,
    };
    for n in 0..6 {
        checker.list.push(EngineEntry { kind: n % 2, ..entry(n) });
    }
    let out = manager.change_endpoints(EndpointUpdate::Complete, checker.list.clone());
    checker.check(manager.now, &out);
    for step in 0..700 {
        if step < 400 {
            for _ in 0..random.below(most) {
                let class = random.below(3) as usize;
                let key = (class == 2).then(|| format!("t/{}", random.below(4)));
                checker.request_times.push(manager.now);
                // The request is known to the checks before the module may act on it.
                let id = RequestId(checker.requests.len() as u64 + 1);
                let deadline = manager.now + TimeDelta::from_secs_f64(5.0);
                let order = id.0;
                checker.requests.insert(
                    id,
                    RequestRecord { class, key: key.clone(), order, deadline, ..RequestRecord::default() },
                );
                let (given, out) = manager.submit(class, COSTS[class], key.as_deref());
                assert_eq!(given, id);
                checker.check(manager.now, &out);
            }
        }
        if random.one_in(12) {
            let i = random.below(6) as usize;
            let e = &mut checker.list[i];
            e.state =
                [EngineState::Ready, EngineState::Draining, EngineState::Gone][random.below(3) as usize];
            if e.state == EngineState::Ready && random.one_in(2) {
                e.since = Some(manager.now);
            }
            let change = vec![*e];
            let out = manager.change_endpoints(EndpointUpdate::Changes, change);
            checker.check(manager.now, &out);
        }
        let open: Vec<RequestId> =
            checker.requests.iter().filter(|s| s.1.in_flight.is_some()).map(|s| *s.0).collect();
        for id in open {
            let Some((attempt, _)) = checker.requests[&id].in_flight else { continue };
            let overdue = manager.now >= checker.requests[&id].deadline;
            if !overdue && random.one_in(8) {
                let note = ProgressNote::Progress(random.below(100) as f64 / 100.0);
                let out = manager.handle(Event::ProgressReported { id, attempt, note });
                checker.check(manager.now, &out);
            }
            if !overdue && !random.one_in(10) {
                continue;
            }
            let outcome = match random.below(14) {
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
            let now = manager.now;
            let r = checker.requests.get_mut(&id).expect("a known request");
            if let Some((_, engine)) = r.in_flight.take().filter(|_| !outcome.never_ran()) {
                r.first.get_or_insert((r.sent_at, engine));
            }
            if outcome == Outcome::Succeeded && r.final_responses == 0 {
                r.final_responses = 1;
                r.responded_at = Some(now);
            }
            if matches!(outcome, Outcome::TimedOut | Outcome::ConnectionLost | Outcome::Cancelled) {
                if let Some(key) = r.key.clone() {
                    checker.key_blocks.insert(key, now + checker.set.key_settle_time);
                }
            }
            let out = manager.end_attempt(id, attempt, outcome);
            checker.check(now, &out);
        }
        let waiting: Vec<RequestId> =
            checker.requests.iter().filter(|s| s.1.final_responses == 0).map(|s| *s.0).collect();
        if let Some(id) = waiting.first().filter(|_| random.one_in(15)) {
            let r = checker.requests.get_mut(id).expect("a known request");
            (r.final_responses, r.responded_at) = (1, Some(manager.now));
            let out = manager.handle(Event::RequestAbandoned { id: *id });
            checker.check(manager.now, &out);
        }
        if random.one_in(3) {
            let outcome = [Outcome::Succeeded, Outcome::TimedOut][random.below(2) as usize];
            let report =
                LoadReport { queries_in_flight: Some(random.below(40) as f64), ..LoadReport::default() };
            let out = manager.handle(Event::ProbeCompleted {
                engine: EngineId(random.below(6) as u32),
                outcome,
                report,
            });
            checker.check(manager.now, &out);
        }
        manager.now = manager.now + TimeDelta::from_micros(20_000);
        let out = manager.handle(Event::Timer { token: 0 });
        checker.check(manager.now, &out);
    }
    for (id, r) in &checker.requests {
        assert_eq!(r.final_responses, 1, "{id:?} is answered");
        assert!(r.responded_at.is_some_and(|t| t < r.deadline), "{id:?} is answered in time");
    }
    checker.sends
}

#[test]
fn rules_hold_over_arbitrary_events() {
    let sends: usize = (1..=24).map(play).sum();
    assert!(sends > 1_500, "{sends} attempts");
}

/// Few requests of one class, half of whose attempts fail, on three cells of two engines in two zones: attempts, and
/// retries of requests that may have run.
#[expect(clippy::too_many_lines, reason = "one scenario, step after step")]
fn play_with_failures(seed: u64, effect: Effect, group: DedupGroup, window: f64) -> (usize, usize) {
    let mut random = Random(seed);
    let repeat_window = TimeDelta::from_secs_f64(window);
    let set = settings(vec![ClassSettings { group, repeat_window, ..class(effect) }]);
    let mut manager = TestManager::new(set.clone(), 0);
    manager.advance(1.5);
    let list: Vec<EngineEntry> =
        (0..6).map(|n| EngineEntry { cell: n / 2, zone: n / 4, ..entry(n) }).collect();
    let (requests, key_blocks, request_times, retry_times, starting_sends) = Default::default();
    let mut checker = RuleChecker {
        set,
        list,
        requests,
        key_blocks,
        request_times,
        retry_times,
        starting_sends,
        sends: 0,
        keyed_retries: 0,
    };
    let out = manager.change_endpoints(EndpointUpdate::Complete, checker.list.clone());
    checker.check(manager.now, &out);
    for step in 0..600 {
        if step < 300 && random.one_in(4) {
            checker.request_times.push(manager.now);
            let id = RequestId(checker.requests.len() as u64 + 1);
            let deadline = manager.now + TimeDelta::from_secs_f64(5.0);
            checker.requests.insert(id, RequestRecord { order: id.0, deadline, ..RequestRecord::default() });
            let out = manager.submit(0, 0.05, None).1;
            checker.check(manager.now, &out);
        }
        let open: Vec<RequestId> =
            checker.requests.iter().filter(|s| s.1.in_flight.is_some()).map(|s| *s.0).collect();
        for id in open {
            let Some((attempt, engine)) = checker.requests[&id].in_flight.filter(|_| random.one_in(8)) else {
                continue;
            };
            let bad = [
                Outcome::ConnectionLost,
                Outcome::TimedOut,
                Outcome::EngineError,
                Outcome::Cancelled,
                Outcome::RejectedByEngine,
            ];
            let outcome = if random.one_in(2) { Outcome::Succeeded } else { bad[random.below(5) as usize] };
            let now = manager.now;
            let r = checker.requests.get_mut(&id).expect("a known request");
            r.in_flight = None;
            if !outcome.never_ran() {
                r.first.get_or_insert((r.sent_at, engine));
            }
            if outcome == Outcome::Succeeded && r.final_responses == 0 {
                (r.final_responses, r.responded_at) = (1, Some(now));
            }
            let out = manager.end_attempt(id, attempt, outcome);
            checker.check(now, &out);
        }
        manager.now = manager.now + TimeDelta::from_micros(20_000);
        let out = manager.handle(Event::Timer { token: 0 });
        checker.check(manager.now, &out);
    }
    assert!(checker.requests.values().all(|r| r.final_responses == 1), "all are answered");
    (checker.sends, checker.keyed_retries)
}

/// Unsafe requests are never retried once they may have run; keyed ones only within their group and window, whether the
/// window is shorter than the deadline or longer.
#[test]
fn request_that_may_have_run_is_retried_only_as_its_class_allows() {
    for window in [0.3, 2.0, 8.0] {
        let (sends, keyed_retries) = (1..=8)
            .map(|seed| play_with_failures(seed, Effect::Unsafe, DedupGroup::Zone, window))
            .fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
        assert!(sends > 100 && keyed_retries == 0, "{sends} attempts, {keyed_retries} retries");
        for group in [DedupGroup::All, DedupGroup::Zone, DedupGroup::Cell] {
            let keyed_retries: usize =
                (1..=8).map(|seed| play_with_failures(seed, Effect::Keyed, group, window).1).sum();
            assert!(keyed_retries > 10, "{group:?}, window of {window} s: {keyed_retries} retries");
        }
    }
}
