//! Decisions and stored states over random events, held to those that an earlier version recorded.
//!
//! `golden/decisions.txt` has a digest for each seed; `golden/checkpoint.msgpack` is a state that an earlier version
//! stored. `WRITE_GOLDEN=1` writes both anew, for a change that is meant.
mod common;

use common::{class, entry, settings};
use sprucelink_policy::{
    Action, Arrival, ClassId, ClassSettings, DedupGroup, Effect, EndpointUpdate, EngineEntry, EngineId,
    EngineState, Event, LoadReport, MemoryShort, Outcome, Policy, ProgressNote, QueryCost, ReportVia,
    RequestId, RetryBudgetSettings, Settings, TenantSettings, TimeDelta, Timestamp,
};
use std::collections::BTreeMap;
use std::path::PathBuf;

const SEEDS: u64 = 32;
const STEPS: u32 = 700;
const ENGINES: u32 = 9;
const CLASSES: u64 = 4;
/// The seed whose state is kept as the golden checkpoint, and the step after which.
const CHECKPOINT: (u64, u32) = (8, 333);

/// A linear congruential generator, independent of the module's own.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }

    fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }

    fn unit(&mut self) -> f64 {
        self.below(1_000) as f64 / 1_000.0
    }
}

/// FNV-1a.
struct Digest(u64);

impl Digest {
    fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn add_state(&mut self, policy: &Policy) {
        self.add(&rmp_serde::to_vec_named(policy).expect("the state is stored"));
    }

    /// The action by its kind and figures, so that renaming a variant changes nothing.
    fn add_action(&mut self, action: &Action) {
        let micros = |span: &Option<TimeDelta>| span.map_or(-1, TimeDelta::as_micros);
        match action {
            Action::ForwardAttempt { id, timeout, engine } => {
                self.add(format!("send {} {} {}", id.0, engine.0, micros(timeout)).as_bytes());
            }
            Action::SetExecutionTerms { id, grant_mb, level } => {
                let grant = grant_mb.map(f64::to_bits);
                self.add(format!("terms {} {grant:?} {}", id.0, level.0).as_bytes());
            }
            Action::Cancel { id, attempt } => self.add(format!("cancel {} {attempt}", id.0).as_bytes()),
            Action::Reject { id, retry_after } => {
                self.add(format!("reject {} {}", id.0, micros(retry_after)).as_bytes());
            }
            Action::Fail { id, retry_after } => {
                self.add(format!("fail {} {}", id.0, micros(retry_after)).as_bytes());
            }
            Action::StartTimer { delay, token } => {
                self.add(format!("timer {} {token}", delay.as_micros()).as_bytes());
            }
            Action::Probe { engine } => self.add(format!("probe {}", engine.0).as_bytes()),
            Action::BroadcastToPeers { message } => self.add(message),
            Action::WatchEndpoints => self.add(b"watch"),
            Action::Log(text) => self.add(text.as_bytes()),
            Action::Explain(reason) => {
                self.add(&rmp_serde::to_vec_named(reason.as_ref()).expect("a reason is stored"));
            }
        }
    }
}

fn secs(secs: f64) -> TimeDelta {
    TimeDelta::from_secs_f64(secs)
}

fn classes(random: &mut Random) -> Vec<ClassSettings> {
    let effect = [Effect::Safe, Effect::Keyed, Effect::Unsafe][random.below(3) as usize];
    let group = [DedupGroup::All, DedupGroup::Zone, DedupGroup::Cell][random.below(3) as usize];
    vec![
        ClassSettings { late_value_fraction: 0.3, ..class(Effect::Safe) },
        ClassSettings { kinds: Some(vec![1]), threads: 3.0, late_value_fraction: 0.4, ..class(Effect::Safe) },
        ClassSettings { ordered_by_key: random.one_in(2), group, threads: 2.0, ..class(effect) },
        ClassSettings {
            loads_tables: true,
            threads: 4.0,
            value: 5.0,
            zones: Some(vec![0, 1]),
            ..class(Effect::Keyed)
        },
    ]
}

fn unusual_settings(random: &mut Random) -> Settings {
    let budget = RetryBudgetSettings { window: secs(2.0), free_retries: 3.0, retries_per_request: 0.1 };
    Settings {
        tenants: vec![TenantSettings { quota_per_s: 8.0 }, TenantSettings { quota_per_s: 30.0 }],
        over_quota_value_factor: 0.2,
        gateways: [1, 2, 20, 250][random.below(4) as usize],
        must_poll_endpoints: random.one_in(2),
        report_via: ReportVia::Answers,
        reports_load: random.one_in(2),
        grants: random.one_in(2),
        memory_short: [MemoryShort::Waits, MemoryShort::Shrinks, MemoryShort::Pages]
            [random.below(3) as usize],
        priorities: random.one_in(2),
        progress_interval: secs(0.5 * random.below(2) as f64),
        cancel: random.one_in(2),
        probes: random.one_in(2),
        probe_price: 0.01,
        max_retry_after: secs(random.below(3) as f64),
        max_attempts: [1, 3, 6][random.below(3) as usize],
        restart_ramp: random.one_in(2).then_some((0.25, 4.0).into()),
        key_settle_time: secs(0.3 * random.below(3) as f64),
        retry_budget: random.one_in(2).then_some(budget),
        zone: random.one_in(2).then_some(0),
        cross_zone_price: 0.02,
        handshake_price: 0.01,
        idle_timeout: secs(1.0),
        ..settings(classes(random))
    }
}

/// The outside of a module: engines and clients that behave at random.
struct World {
    random: Random,
    policy: Policy,
    now: Timestamp,
    engines: Vec<EngineEntry>,
    in_flight: BTreeMap<RequestId, (u32, EngineId, Timestamp)>,
    next_attempt: BTreeMap<RequestId, u32>,
    requests: u64,
    sick: Option<EngineId>,
    digest: Digest,
}

impl World {
    fn new(seed: u64) -> World {
        let mut random = Random(seed);
        let set = unusual_settings(&mut random);
        let now = Timestamp::from_secs_f64(100.0);
        let mut policy = Policy::new(set, seed, now);
        policy.set_explaining(seed.is_multiple_of(2));
        let engines = (0..ENGINES).map(|n| EngineEntry { kind: n % 2, zone: n / 3, cell: n / 2, ..entry(n) });
        World {
            random,
            policy,
            now,
            engines: engines.collect(),
            in_flight: BTreeMap::new(),
            next_attempt: BTreeMap::new(),
            requests: 0,
            sick: None,
            digest: Digest(0xcbf2_9ce4_8422_2325),
        }
    }

    fn give(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        for action in &actions {
            self.digest.add_action(action);
            if let Action::ForwardAttempt { id, engine, .. } = action {
                let number = self.next_attempt.entry(*id).or_default();
                self.in_flight.insert(*id, (*number, *engine, self.now));
                *number += 1;
            }
        }
    }

    fn report(&mut self) -> LoadReport {
        let unknown = self.random.one_in(4);
        let by_cores = self.random.one_in(3);
        let load = self.random.unit();
        LoadReport {
            queries_in_flight: (!unknown && !by_cores).then_some((load * 12.0).floor()),
            queries_waiting_for_memory: self.random.one_in(5).then_some(2.0),
            busy_core_fraction: (!unknown && by_cores).then_some(load),
            ..LoadReport::default()
        }
    }

    fn arrive(&mut self) {
        self.requests += 1;
        let class = self.random.below(CLASSES);
        let cost = [0.03, 0.2, 0.9, 2.5][self.random.below(4) as usize];
        let arrival = Arrival {
            id: RequestId(self.requests),
            class: ClassId(class as usize),
            tenant: self.random.below(3) as usize,
            tables: self.random.below(5),
            time_left: secs(0.5 + self.random.unit() * 5.0),
            cost: (!self.random.one_in(6)).then_some(cost),
            memory_mb: (!self.random.one_in(6)).then_some(100.0 * cost),
            key: (class >= 2).then(|| format!("t/{}", self.random.below(4))),
        };
        self.give(Event::RequestArrived(arrival));
    }

    fn change_endpoints(&mut self) {
        let engine = &mut self.engines[self.random.below(u64::from(ENGINES)) as usize];
        engine.state = [EngineState::Ready, EngineState::Ready, EngineState::Draining, EngineState::Gone]
            [self.random.below(4) as usize];
        if engine.state == EngineState::Ready && self.random.one_in(2) {
            engine.since = Some(self.now);
        }
        let changed = vec![*engine];
        let event = match self.random.below(8) {
            0 => Event::EndpointsChanged { kind: EndpointUpdate::Failed, entries: Vec::new() },
            1 => Event::EndpointsChanged { kind: EndpointUpdate::Complete, entries: self.engines.clone() },
            _ => Event::EndpointsChanged { kind: EndpointUpdate::Changes, entries: changed },
        };
        self.give(event);
    }

    fn outcome(&mut self, engine: EngineId) -> Outcome {
        let bad = [
            Outcome::EngineError,
            Outcome::TimedOut,
            Outcome::ConnectionLost,
            Outcome::Cancelled,
            Outcome::ConnectFailed,
            Outcome::NeverSent,
            Outcome::RejectedByEngine,
        ];
        let is_bad = self.random.one_in(if self.sick == Some(engine) { 2 } else { 7 });
        if is_bad {
            bad[self.random.below(bad.len() as u64) as usize]
        } else {
            Outcome::Succeeded
        }
    }

    fn continue_attempt(&mut self, id: RequestId) {
        let Some((attempt, engine, sent_at)) = self.in_flight.get(&id).copied() else { return };
        if self.random.one_in(9) {
            let note = match self.random.below(4) {
                0 => ProgressNote::Spills(self.random.unit() * 100.0),
                1 => ProgressNote::WaitsForMemory,
                _ => ProgressNote::Progress(self.random.unit()),
            };
            self.give(Event::ProgressReported { id, attempt, note });
        }
        // A sick engine answers late.
        let is_sick = self.sick == Some(engine);
        if !self.random.one_in(if is_sick { 40 } else { 9 }) || !self.in_flight.contains_key(&id) {
            return;
        }
        let outcome = self.outcome(engine);
        self.in_flight.remove(&id);
        let used = QueryCost { work: self.random.unit(), memory_mb: self.random.unit() * 150.0 };
        let query_cost = (outcome == Outcome::Succeeded && self.random.one_in(2)).then_some(used);
        let report = self.report();
        let latency = self.now - sent_at;
        let complete = outcome == Outcome::Succeeded;
        self.give(Event::AttemptEnded { id, attempt, outcome, latency, complete, query_cost, report });
    }

    fn step(&mut self, step: u32) {
        if step == 2 {
            let entries = self.engines.clone();
            self.give(Event::EndpointsChanged { kind: EndpointUpdate::Complete, entries });
        }
        if step < STEPS * 3 / 4 {
            for _ in 0..self.random.below(4) {
                self.arrive();
            }
        }
        if self.random.one_in(15) {
            self.change_endpoints();
        }
        if self.random.one_in(60) {
            self.sick = Some(EngineId(self.random.below(u64::from(ENGINES)) as u32));
        }
        for id in self.in_flight.keys().copied().collect::<Vec<_>>() {
            self.continue_attempt(id);
        }
        if self.random.one_in(4) && step > 2 {
            let engine = EngineId(self.random.below(u64::from(ENGINES)) as u32);
            let outcome = [Outcome::Succeeded, Outcome::TimedOut][self.random.below(2) as usize];
            let report = self.report();
            self.give(Event::ProbeCompleted { engine, outcome, report });
        }
        if self.random.one_in(20) {
            let id = RequestId(1 + self.random.below(self.requests.max(1)));
            let is_started = self.random.one_in(2);
            self.give(if is_started {
                Event::ResponseStarted { id }
            } else {
                Event::RequestAbandoned { id }
            });
        }
        if self.random.one_in(120) {
            let gateways = 1 + self.random.below(30) as u32;
            let spare_retries = self.random.unit() * 3.0;
            self.give(Event::FleetChanged { gateways, spare_retries });
            let weights = (0..3).map(|_| self.random.unit()).collect();
            self.give(Event::ZoneWeightsChanged(weights));
        }
        self.now = self.now + TimeDelta::from_millis(20);
        self.give(Event::Timer { token: 0 });
    }
}

fn golden(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn is_writing() -> bool {
    std::env::var_os("WRITE_GOLDEN").is_some()
}

#[test]
fn decisions_and_stored_states_are_those_recorded_before() {
    let mut text = String::new();
    for seed in 1..=SEEDS {
        let mut world = World::new(seed);
        for step in 0..STEPS {
            world.step(step);
            if step % 10 == 0 {
                world.digest.add_state(&world.policy);
            }
            if step % 50 == 0 {
                let views = rmp_serde::to_vec_named(&(world.policy.engine_views(), world.policy.overview()));
                world.digest.add(&views.expect("views are stored"));
            }
            if (seed, step) == CHECKPOINT && is_writing() {
                let state = rmp_serde::to_vec_named(&world.policy).expect("the state is stored");
                std::fs::write(golden("checkpoint.msgpack"), state).expect("written");
            }
        }
        let attempts: u32 = world.next_attempt.values().sum();
        text.push_str(&format!(
            "{seed}: {} requests, {attempts} attempts, {:016x}\n",
            world.requests, world.digest.0
        ));
    }
    if is_writing() {
        std::fs::write(golden("decisions.txt"), &text).expect("written");
    }
    let before = std::fs::read_to_string(golden("decisions.txt")).expect("the recorded digests");
    assert_eq!(text, before);
}

/// Captures of earlier versions are read, and those of this one by earlier versions: names and order of the stored
/// fields are the same.
#[test]
fn stored_state_is_written_byte_for_byte_as_it_was_read() {
    let before = std::fs::read(golden("checkpoint.msgpack")).expect("the recorded state");
    let policy: Policy = rmp_serde::from_slice(&before).expect("a state of an earlier version");
    assert!(policy.open_requests().len() > 5, "the state is not a trivial one");
    assert_eq!(rmp_serde::to_vec_named(&policy).expect("the state is stored"), before);
}

/// A replay goes on from a checkpoint as the recorded module did.
#[test]
fn module_read_from_its_stored_state_decides_as_before() {
    let mut world = World::new(8);
    for step in 0..CHECKPOINT.1 {
        world.step(step);
    }
    let state = rmp_serde::to_vec_named(&world.policy).expect("the state is stored");
    let mut copy: Policy = rmp_serde::from_slice(&state).expect("its own state");
    copy.set_explaining(true);
    let start = world.now;
    for step in 1..200 {
        let now = start + TimeDelta::from_millis(20 * step);
        let mut actions = Vec::new();
        let mut actions_of_copy = Vec::new();
        world.policy.handle(now, Event::Timer { token: 0 }, &mut actions);
        copy.handle(now, Event::Timer { token: 0 }, &mut actions_of_copy);
        assert_eq!(actions, actions_of_copy, "step {step}");
    }
}
