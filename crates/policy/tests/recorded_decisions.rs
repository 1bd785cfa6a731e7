//! Decisions and stored states over random events, compared with those that an earlier version recorded.
//!
//! `golden/decisions.txt` has a digest for each seed; `golden/checkpoint.msgpack` is a state that an earlier
//! version stored. `WRITE_GOLDEN=1` rewrites both, for an intended change.
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
/// The seed whose state is kept as the golden checkpoint, and the step after which the state is taken.
const CHECKPOINT: (u64, u32) = (8, 333);

/// A linear congruential generator, independent of the random numbers of the module.
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

/// A 64-bit FNV-1a hash.
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

    /// Adds an action by a fixed name and its figures, so that renaming a variant does not change the digest.
    fn add_action(&mut self, action: &Action) {
        let micros = |duration: &Option<TimeDelta>| duration.map_or(-1, TimeDelta::as_micros);
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

fn random_settings(random: &mut Random) -> Settings {
    let retry_budget = RetryBudgetSettings { window: secs(2.0), free_retries: 3.0, retries_per_request: 0.1 };
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
        retry_budget: random.one_in(2).then_some(retry_budget),
        zone: random.one_in(2).then_some(0),
        cross_zone_price: 0.02,
        handshake_price: 0.01,
        idle_timeout: secs(1.0),
        ..settings(classes(random))
    }
}

/// A decision module with engines and clients that behave at random.
struct Simulation {
    random: Random,
    policy: Policy,
    now: Timestamp,
    engines: Vec<EngineEntry>,
    /// Attempts in flight: number, engine and send time.
    in_flight: BTreeMap<RequestId, (u32, EngineId, Timestamp)>,
    /// Number of the next attempt of each request.
    next_attempt: BTreeMap<RequestId, u32>,
    /// Number of requests submitted so far; the last one has this id.
    requests: u64,
    /// The engine that fails more often and answers later than the others.
    impaired_engine: Option<EngineId>,
    digest: Digest,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut random = Random(seed);
        let settings = random_settings(&mut random);
        let now = Timestamp::from_secs_f64(100.0);
        let mut policy = Policy::new(settings, seed, now);
        policy.set_explaining(seed.is_multiple_of(2));
        let engines = (0..ENGINES).map(|n| EngineEntry { kind: n % 2, zone: n / 3, cell: n / 2, ..entry(n) });
        Simulation {
            random,
            policy,
            now,
            engines: engines.collect(),
            in_flight: BTreeMap::new(),
            next_attempt: BTreeMap::new(),
            requests: 0,
            impaired_engine: None,
            digest: Digest(0xcbf2_9ce4_8422_2325),
        }
    }

    fn handle(&mut self, event: Event) {
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

    fn load_report(&mut self) -> LoadReport {
        let is_load_unknown = self.random.one_in(4);
        let is_load_in_cores = self.random.one_in(3);
        let load = self.random.unit();
        LoadReport {
            queries_in_flight: (!is_load_unknown && !is_load_in_cores).then_some((load * 12.0).floor()),
            queries_waiting_for_memory: self.random.one_in(5).then_some(2.0),
            busy_core_fraction: (!is_load_unknown && is_load_in_cores).then_some(load),
            ..LoadReport::default()
        }
    }

    fn submit_request(&mut self) {
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
        self.handle(Event::RequestArrived(arrival));
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
        self.handle(event);
    }

    fn outcome(&mut self, engine: EngineId) -> Outcome {
        let failures = [
            Outcome::EngineError,
            Outcome::TimedOut,
            Outcome::ConnectionLost,
            Outcome::Cancelled,
            Outcome::ConnectFailed,
            Outcome::NeverSent,
            Outcome::RejectedByEngine,
        ];
        let is_failure = self.random.one_in(if self.impaired_engine == Some(engine) { 2 } else { 7 });
        if is_failure {
            failures[self.random.below(failures.len() as u64) as usize]
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
            self.handle(Event::ProgressReported { id, attempt, note });
        }
        // The impaired engine answers late.
        let is_impaired = self.impaired_engine == Some(engine);
        if !self.random.one_in(if is_impaired { 40 } else { 9 }) || !self.in_flight.contains_key(&id) {
            return;
        }
        let outcome = self.outcome(engine);
        self.in_flight.remove(&id);
        let reported_cost = QueryCost { work: self.random.unit(), memory_mb: self.random.unit() * 150.0 };
        let query_cost = (outcome == Outcome::Succeeded && self.random.one_in(2)).then_some(reported_cost);
        let report = self.load_report();
        let latency = self.now - sent_at;
        let complete = outcome == Outcome::Succeeded;
        self.handle(Event::AttemptEnded { id, attempt, outcome, latency, complete, query_cost, report });
    }

    fn step(&mut self, step: u32) {
        if step == 2 {
            let entries = self.engines.clone();
            self.handle(Event::EndpointsChanged { kind: EndpointUpdate::Complete, entries });
        }
        if step < STEPS * 3 / 4 {
            for _ in 0..self.random.below(4) {
                self.submit_request();
            }
        }
        if self.random.one_in(15) {
            self.change_endpoints();
        }
        if self.random.one_in(60) {
            self.impaired_engine = Some(EngineId(self.random.below(u64::from(ENGINES)) as u32));
        }
        for id in self.in_flight.keys().copied().collect::<Vec<_>>() {
            self.continue_attempt(id);
        }
        if self.random.one_in(4) && step > 2 {
            let engine = EngineId(self.random.below(u64::from(ENGINES)) as u32);
            let outcome = [Outcome::Succeeded, Outcome::TimedOut][self.random.below(2) as usize];
            let report = self.load_report();
            self.handle(Event::ProbeCompleted { engine, outcome, report });
        }
        if self.random.one_in(20) {
            let id = RequestId(1 + self.random.below(self.requests.max(1)));
            let response_starts = self.random.one_in(2);
            self.handle(if response_starts {
                Event::ResponseStarted { id }
            } else {
                Event::RequestAbandoned { id }
            });
        }
        if self.random.one_in(120) {
            let gateways = 1 + self.random.below(30) as u32;
            let spare_retries = self.random.unit() * 3.0;
            self.handle(Event::FleetChanged { gateways, spare_retries });
            let weights = (0..3).map(|_| self.random.unit()).collect();
            self.handle(Event::ZoneWeightsChanged(weights));
        }
        self.now = self.now + TimeDelta::from_millis(20);
        self.handle(Event::Timer { token: 0 });
    }
}

fn golden_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn must_write_golden_files() -> bool {
    std::env::var_os("WRITE_GOLDEN").is_some()
}

#[test]
fn decisions_and_stored_states_equal_the_recorded_ones() {
    let mut digests = String::new();
    for seed in 1..=SEEDS {
        let mut simulation = Simulation::new(seed);
        for step in 0..STEPS {
            simulation.step(step);
            if step % 10 == 0 {
                simulation.digest.add_state(&simulation.policy);
            }
            if step % 50 == 0 {
                let views = rmp_serde::to_vec_named(&(
                    simulation.policy.engine_views(),
                    simulation.policy.overview(),
                ));
                simulation.digest.add(&views.expect("views are stored"));
            }
            if (seed, step) == CHECKPOINT && must_write_golden_files() {
                let state = rmp_serde::to_vec_named(&simulation.policy).expect("the state is stored");
                std::fs::write(golden_path("checkpoint.msgpack"), state).expect("golden file is written");
            }
        }
        let attempts: u32 = simulation.next_attempt.values().sum();
        digests.push_str(&format!(
            "{seed}: {} requests, {attempts} attempts, {:016x}\n",
            simulation.requests, simulation.digest.0
        ));
    }
    if must_write_golden_files() {
        std::fs::write(golden_path("decisions.txt"), &digests).expect("golden file is written");
    }
    let recorded = std::fs::read_to_string(golden_path("decisions.txt")).expect("the recorded digests");
    assert_eq!(digests, recorded);
}

/// This version reads captures of earlier versions, and earlier versions read those of this one, because the
/// names and the order of the stored fields are the same.
#[test]
fn recorded_state_is_written_back_byte_for_byte() {
    let recorded = std::fs::read(golden_path("checkpoint.msgpack")).expect("the recorded state");
    let policy: Policy = rmp_serde::from_slice(&recorded).expect("a state of an earlier version");
    assert!(policy.open_requests().len() > 5, "the state has open requests");
    assert_eq!(rmp_serde::to_vec_named(&policy).expect("the state is stored"), recorded);
}

/// A replay from a checkpoint makes the same decisions as the recorded module.
#[test]
fn module_restored_from_its_stored_state_decides_like_the_original() {
    let mut simulation = Simulation::new(8);
    for step in 0..CHECKPOINT.1 {
        simulation.step(step);
    }
    let state = rmp_serde::to_vec_named(&simulation.policy).expect("the state is stored");
    let mut restored: Policy = rmp_serde::from_slice(&state).expect("the state is read back");
    restored.set_explaining(true);
    let start = simulation.now;
    for step in 1..200 {
        let now = start + TimeDelta::from_millis(20 * step);
        let mut actions = Vec::new();
        let mut restored_actions = Vec::new();
        simulation.policy.handle(now, Event::Timer { token: 0 }, &mut actions);
        restored.handle(now, Event::Timer { token: 0 }, &mut restored_actions);
        assert_eq!(actions, restored_actions, "step {step}");
    }
}
