//! Checks the rules over random legal sequences of events and settings, with fixed seeds. Engines are not
//! modelled: outcomes, endpoint lists, progress notes and disconnecting clients are random.
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
    /// Position in the order of arrival.
    arrival_number: u64,
    deadline: Timestamp,
    attempts: u32,
    in_flight: Option<(u32, EngineId)>,
    sent_at: Timestamp,
    /// Send time and engine of the first attempt that may have run.
    first_may_have_run: Option<(Timestamp, EngineId)>,
    final_responses: u32,
    responded_at: Option<Timestamp>,
}

struct RuleChecker {
    settings: Settings,
    endpoints: Vec<EngineEntry>,
    requests: BTreeMap<RequestId, RequestRecord>,
    /// Time until which each key is blocked.
    key_blocks: BTreeMap<String, Timestamp>,
    request_times: Vec<Timestamp>,
    retry_times: Vec<Timestamp>,
    /// Attempts sent to engines in slow start: time, engine and cost in thread-seconds.
    starting_sends: Vec<(Timestamp, EngineId, f64)>,
    sends: usize,
    /// Retries of keyed requests with an attempt that may have run.
    keyed_retries: usize,
}

/// Cost of the requests of each class, thread-seconds.
const COSTS: [f64; 3] = [0.2, 0.8, 0.5];

impl RuleChecker {
    fn check(&mut self, now: Timestamp, actions: &[Action]) {
        for action in actions {
            match action {
                Action::ForwardAttempt { id, engine, .. } => self.check_send(now, *id, *engine),
                Action::Reject { id, .. } | Action::Fail { id, .. } => {
                    let request = self.requests.get_mut(id).expect("a known request");
                    request.final_responses += 1;
                    assert_eq!(request.final_responses, 1, "one final response");
                    request.responded_at = Some(now);
                    let class = &self.settings.classes[request.class];
                    let is_deduplicated = class.effect == Effect::Keyed && class.group == DedupGroup::All;
                    let is_rejection = matches!(action, Action::Reject { .. });
                    if class.effect != Effect::Safe && !is_deduplicated && is_rejection {
                        assert!(
                            request.in_flight.is_none() && request.first_may_have_run.is_none(),
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
        let class = &self.settings.classes[request.class];
        assert_eq!(request.final_responses, 0, "nothing is forwarded after the final response");
        assert!(now < request.deadline, "nothing is forwarded after the deadline");
        assert!(request.in_flight.is_none(), "one attempt at a time");
        assert!(request.attempts < self.settings.max_attempts);
        let entry = self.entry(engine);
        assert_eq!(entry.state, EngineState::Ready, "only ready engines are sent requests");
        assert!(
            class.kinds.as_ref().is_none_or(|kinds| kinds.contains(&entry.kind)),
            "the class runs on its machine kinds only"
        );
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
        *self.endpoints.iter().find(|entry| entry.engine == engine).expect("a listed engine")
    }

    /// A request that may have run is retried only as its effect allows.
    fn check_retry(&mut self, now: Timestamp, id: RequestId, engine: EngineId) {
        let request = &self.requests[&id];
        let class = &self.settings.classes[request.class];
        let Some((first_sent_at, first_engine)) = request.first_may_have_run else { return };
        match class.effect {
            Effect::Safe => {}
            Effect::Keyed => {
                assert!(
                    now < first_sent_at + class.repeat_window,
                    "retries are deduplicated only within the window"
                );
                let is_in_group = match class.group {
                    DedupGroup::All => true,
                    DedupGroup::Zone => self.entry(first_engine).zone == self.entry(engine).zone,
                    DedupGroup::Cell => self.entry(first_engine).cell == self.entry(engine).cell,
                };
                assert!(is_in_group, "retries are deduplicated only within the group");
                self.keyed_retries += 1;
            }
            Effect::Unsafe => panic!("an unsafe request is retried although it may have run"),
        }
    }

    fn check_key_order(&self, now: Timestamp, id: RequestId) {
        let request = &self.requests[&id];
        let is_ordered = self.settings.classes[request.class].ordered_by_key;
        let Some(key) = request.key.as_ref().filter(|_| is_ordered) else { return };
        let is_open = |other: &RequestRecord| other.final_responses == 0 || other.in_flight.is_some();
        let others = self.requests.values().filter(|other| other.key.as_ref() == Some(key));
        let mut earlier = others.filter(|other| other.arrival_number < request.arrival_number);
        assert!(!earlier.any(is_open), "requests with the same key run in order of arrival");
        assert!(
            self.key_blocks.get(key).is_none_or(|until| now >= *until),
            "nothing is forwarded while the key is blocked"
        );
    }

    fn check_retry_budget(&mut self, now: Timestamp, id: RequestId) {
        if self.requests[&id].attempts == 0 {
            return;
        }
        self.retry_times.push(now);
        if let Some(budget) = self.settings.retry_budget {
            let count_in_window =
                |times: &[Timestamp]| times.iter().filter(|time| now - **time < budget.window).count() as f64;
            let max_retries =
                budget.free_retries + budget.retries_per_request * count_in_window(&self.request_times);
            assert!(count_in_window(&self.retry_times) <= max_retries, "retries stay within their budget");
        }
    }

    fn check_slow_start(&mut self, now: Timestamp, id: RequestId, engine: EngineId) {
        let entry = self.entry(engine);
        let Some(started_at) = entry.since.filter(|time| now - *time < self.settings.slow_start_duration)
        else {
            return;
        };
        let cost = COSTS[self.requests[&id].class];
        let window = self.settings.slow_start_window;
        let full_capacity = self.settings.kind_cores[entry.kind as usize] * 0.85;
        self.starting_sends.push((now, engine, cost));
        let recent = self.starting_sends.iter().filter(|send| send.1 == engine && now - send.0 < window);
        let sent_work: f64 = recent.map(|send| send.2).sum();
        let capacity_gain = (now - started_at).as_secs_f64()
            / self.settings.slow_start_duration.as_secs_f64()
            * (1.0 - self.settings.initial_capacity_fraction);
        let capacity =
            (self.settings.initial_capacity_fraction + capacity_gain) * full_capacity * window.as_secs_f64();
        // One of many managers stays within its part of the budget, or sends one query if its part is smaller
        // than that query.
        let budget_part = self.settings.slow_start_multiple * capacity / f64::from(self.settings.gateways);
        assert!(sent_work <= budget_part.max(cost), "a starting engine is not overloaded");
    }
}

/// Runs random events with random settings. Returns the number of attempts sent.
#[expect(clippy::too_many_lines, reason = "one scenario, step after step")]
fn run_random_events(seed: u64) -> usize {
    let mut random = Random(seed);
    let effect = [Effect::Unsafe, Effect::Keyed][random.below(2) as usize];
    let group = [DedupGroup::All, DedupGroup::Cell][random.below(2) as usize];
    let ordered_by_key =
        ClassSettings { ordered_by_key: random.one_in(2), group, threads: 2.0, ..class(effect) };
    let restricted_class =
        ClassSettings { kinds: Some(vec![1]), threads: 2.0, late_value_fraction: 0.4, ..class(Effect::Safe) };
    let mut settings = settings(vec![class(Effect::Safe), restricted_class, ordered_by_key]);
    settings.key_settle_time = TimeDelta::from_secs_f64(0.3 * random.below(3) as f64);
    settings.cancel = random.one_in(2);
    settings.gateways = [1, 1, 2, 250][random.below(4) as usize];
    settings.max_attempts = [3, 4, 6][random.below(3) as usize];
    (settings.probes, settings.reports_load, settings.grants) =
        (random.one_in(2), random.one_in(2), random.one_in(2));
    // The request rate differs between managers.
    let max_arrivals = [2, 4, 9][random.below(3) as usize];
    settings.progress_interval = TimeDelta::from_secs_f64(0.5);
    if random.one_in(2) {
        settings.retry_budget = Some(RetryBudgetSettings {
            window: TimeDelta::from_secs_f64(2.0),
            free_retries: 2.0,
            retries_per_request: 0.1,
        });
    }
    let mut manager = TestManager::new(settings.clone(), 0);
    manager.advance(1.5);
    let (requests, key_blocks, request_times, retry_times, starting_sends) = Default::default();
    let mut checker = RuleChecker {
        settings,
        endpoints: Vec::new(),
        requests,
        key_blocks,
        request_times,
        retry_times,
        starting_sends,
        sends: 0,
        keyed_retries: 0,
    };
    for engine in 0..6 {
        checker.endpoints.push(EngineEntry { kind: engine % 2, ..entry(engine) });
    }
    let out = manager.change_endpoints(EndpointUpdate::Complete, checker.endpoints.clone());
    checker.check(manager.now, &out);
    for step in 0..700 {
        if step < 400 {
            for _ in 0..random.below(max_arrivals) {
                let class = random.below(3) as usize;
                let key = (class == 2).then(|| format!("t/{}", random.below(4)));
                checker.request_times.push(manager.now);
                // The checker records the request before the module may act on it.
                let id = RequestId(checker.requests.len() as u64 + 1);
                let deadline = manager.now + TimeDelta::from_secs_f64(5.0);
                let arrival_number = id.0;
                checker.requests.insert(
                    id,
                    RequestRecord {
                        class,
                        key: key.clone(),
                        arrival_number,
                        deadline,
                        ..RequestRecord::default()
                    },
                );
                let (submitted_id, out) = manager.submit(class, COSTS[class], key.as_deref());
                assert_eq!(submitted_id, id);
                checker.check(manager.now, &out);
            }
        }
        if random.one_in(12) {
            let index = random.below(6) as usize;
            let engine = &mut checker.endpoints[index];
            engine.state =
                [EngineState::Ready, EngineState::Draining, EngineState::Gone][random.below(3) as usize];
            if engine.state == EngineState::Ready && random.one_in(2) {
                engine.since = Some(manager.now);
            }
            let change = vec![*engine];
            let out = manager.change_endpoints(EndpointUpdate::Changes, change);
            checker.check(manager.now, &out);
        }
        let in_flight: Vec<RequestId> = checker
            .requests
            .iter()
            .filter(|entry| entry.1.in_flight.is_some())
            .map(|entry| *entry.0)
            .collect();
        for id in in_flight {
            let Some((attempt, _)) = checker.requests[&id].in_flight else { continue };
            let is_past_deadline = manager.now >= checker.requests[&id].deadline;
            if !is_past_deadline && random.one_in(8) {
                let note = ProgressNote::Progress(random.below(100) as f64 / 100.0);
                let out = manager.handle(Event::ProgressReported { id, attempt, note });
                checker.check(manager.now, &out);
            }
            if !is_past_deadline && !random.one_in(10) {
                continue;
            }
            let outcome = match random.below(14) {
                _ if is_past_deadline => Outcome::TimedOut,
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
            let request = checker.requests.get_mut(&id).expect("a known request");
            if let Some((_, engine)) = request.in_flight.take().filter(|_| !outcome.never_ran()) {
                request.first_may_have_run.get_or_insert((request.sent_at, engine));
            }
            if outcome == Outcome::Succeeded && request.final_responses == 0 {
                request.final_responses = 1;
                request.responded_at = Some(now);
            }
            if matches!(outcome, Outcome::TimedOut | Outcome::ConnectionLost | Outcome::Cancelled) {
                if let Some(key) = request.key.clone() {
                    checker.key_blocks.insert(key, now + checker.settings.key_settle_time);
                }
            }
            let out = manager.end_attempt(id, attempt, outcome);
            checker.check(now, &out);
        }
        let unanswered: Vec<RequestId> = checker
            .requests
            .iter()
            .filter(|entry| entry.1.final_responses == 0)
            .map(|entry| *entry.0)
            .collect();
        if let Some(id) = unanswered.first().filter(|_| random.one_in(15)) {
            let request = checker.requests.get_mut(id).expect("a known request");
            (request.final_responses, request.responded_at) = (1, Some(manager.now));
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
    for (id, request) in &checker.requests {
        assert_eq!(request.final_responses, 1, "{id:?} has one final response");
        let is_in_time = request.responded_at.is_some_and(|time| time < request.deadline);
        assert!(is_in_time, "{id:?} has its response before its deadline");
    }
    checker.sends
}

#[test]
fn rules_hold_over_random_events() {
    let sends: usize = (1..=24).map(run_random_events).sum();
    assert!(sends > 1_500, "{sends} attempts");
}

/// Runs few requests of one class, half of whose attempts fail, on three cells of two engines in two zones.
/// Returns the numbers of attempts and of retries of keyed requests that may have run.
#[expect(clippy::too_many_lines, reason = "one scenario, step after step")]
fn run_with_failures(seed: u64, effect: Effect, group: DedupGroup, window_secs: f64) -> (usize, usize) {
    let mut random = Random(seed);
    let repeat_window = TimeDelta::from_secs_f64(window_secs);
    let settings = settings(vec![ClassSettings { group, repeat_window, ..class(effect) }]);
    let mut manager = TestManager::new(settings.clone(), 0);
    manager.advance(1.5);
    let endpoints: Vec<EngineEntry> =
        (0..6).map(|n| EngineEntry { cell: n / 2, zone: n / 4, ..entry(n) }).collect();
    let (requests, key_blocks, request_times, retry_times, starting_sends) = Default::default();
    let mut checker = RuleChecker {
        settings,
        endpoints,
        requests,
        key_blocks,
        request_times,
        retry_times,
        starting_sends,
        sends: 0,
        keyed_retries: 0,
    };
    let out = manager.change_endpoints(EndpointUpdate::Complete, checker.endpoints.clone());
    checker.check(manager.now, &out);
    for step in 0..600 {
        if step < 300 && random.one_in(4) {
            checker.request_times.push(manager.now);
            let id = RequestId(checker.requests.len() as u64 + 1);
            let deadline = manager.now + TimeDelta::from_secs_f64(5.0);
            checker
                .requests
                .insert(id, RequestRecord { arrival_number: id.0, deadline, ..RequestRecord::default() });
            let out = manager.submit(0, 0.05, None).1;
            checker.check(manager.now, &out);
        }
        let in_flight: Vec<RequestId> = checker
            .requests
            .iter()
            .filter(|entry| entry.1.in_flight.is_some())
            .map(|entry| *entry.0)
            .collect();
        for id in in_flight {
            let Some((attempt, engine)) = checker.requests[&id].in_flight.filter(|_| random.one_in(8)) else {
                continue;
            };
            let failures = [
                Outcome::ConnectionLost,
                Outcome::TimedOut,
                Outcome::EngineError,
                Outcome::Cancelled,
                Outcome::RejectedByEngine,
            ];
            let outcome =
                if random.one_in(2) { Outcome::Succeeded } else { failures[random.below(5) as usize] };
            let now = manager.now;
            let request = checker.requests.get_mut(&id).expect("a known request");
            request.in_flight = None;
            if !outcome.never_ran() {
                request.first_may_have_run.get_or_insert((request.sent_at, engine));
            }
            if outcome == Outcome::Succeeded && request.final_responses == 0 {
                (request.final_responses, request.responded_at) = (1, Some(now));
            }
            let out = manager.end_attempt(id, attempt, outcome);
            checker.check(now, &out);
        }
        manager.now = manager.now + TimeDelta::from_micros(20_000);
        let out = manager.handle(Event::Timer { token: 0 });
        checker.check(manager.now, &out);
    }
    assert!(
        checker.requests.values().all(|request| request.final_responses == 1),
        "each request has one final response"
    );
    (checker.sends, checker.keyed_retries)
}

/// Unsafe requests are never retried once they may have run, keyed requests only within their deduplication
/// group and window, whether the window is shorter than the deadline or longer.
#[test]
fn request_that_may_have_run_is_retried_only_as_its_class_allows() {
    for window_secs in [0.3, 2.0, 8.0] {
        let (sends, keyed_retries) = (1..=8)
            .map(|seed| run_with_failures(seed, Effect::Unsafe, DedupGroup::Zone, window_secs))
            .fold((0, 0), |sum, counts| (sum.0 + counts.0, sum.1 + counts.1));
        assert!(sends > 100 && keyed_retries == 0, "{sends} attempts, {keyed_retries} retries");
        for group in [DedupGroup::All, DedupGroup::Zone, DedupGroup::Cell] {
            let keyed_retries: usize =
                (1..=8).map(|seed| run_with_failures(seed, Effect::Keyed, group, window_secs).1).sum();
            assert!(keyed_retries > 10, "{group:?}, window of {window_secs} s: {keyed_retries} retries");
        }
    }
}
