//! Simulation of a policy with clients and engines, and a recorder that writes to memory.
#![allow(dead_code)]

use sprucelink_capture::reader::{parse, CaptureContents};
use sprucelink_capture::recorder::{Recorder, RecorderCounters, SegmentStore};
use sprucelink_capture::ring::RingFile;
use sprucelink_capture::settings::Settings as RecorderSettings;
use sprucelink_policy::{
    Action, Arrival, ClassId, ClassSettings, DedupGroup, Effect, EndpointUpdate, EngineEntry, EngineId,
    EngineState, Event, LoadReport, Outcome, Policy, QueryCost, ReportVia, RequestId, RetryBudgetSettings,
    Settings, TenantSettings, TimeDelta, Timestamp,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};

/// A store in memory that can be made to fail.
#[derive(Clone, Default)]
pub struct MemoryStore(pub Arc<Mutex<Files>>);

#[derive(Default)]
pub struct Files {
    /// Contents of the files, by name.
    pub files: BTreeMap<String, Vec<u8>>,
    /// Name of the file that was created last.
    pub open: String,
    /// Free space; unlimited if absent. An append that does not fit writes half of its bytes before the
    /// error, as on a full disk.
    pub free_bytes: Option<usize>,
    /// Whether the creation of files fails.
    pub is_unwritable: bool,
    /// Lock that each append waits for; a test holds it to stall the writer.
    pub append_lock: Arc<Mutex<()>>,
}

impl MemoryStore {
    pub fn bytes(&self) -> Vec<u8> {
        let files = self.0.lock().expect("unpoisoned");
        files.files.values().flatten().copied().collect()
    }
    pub fn contents(&self) -> CaptureContents {
        parse(&self.bytes(), Path::new("memory")).expect("a readable capture")
    }
}

impl SegmentStore for MemoryStore {
    fn list(&mut self) -> io::Result<Vec<RingFile>> {
        let files = self.0.lock().expect("unpoisoned");
        // The time in a file's name counts as the time of its last write.
        let time_in_name = |name: &str| {
            Timestamp::from_micros(name.split('-').next().and_then(|time| time.parse().ok()).unwrap_or(0))
        };
        let file = |(name, bytes): (&String, &Vec<u8>)| RingFile {
            name: name.clone(),
            bytes: bytes.len() as u64,
            modified_at: time_in_name(name),
        };
        Ok(files.files.iter().map(file).collect())
    }
    fn create(&mut self, name: &str) -> io::Result<()> {
        let mut files = self.0.lock().expect("unpoisoned");
        if files.is_unwritable {
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        files.open = name.to_owned();
        files.files.insert(name.to_owned(), Vec::new());
        Ok(())
    }
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let append_lock = Arc::clone(&self.0.lock().expect("unpoisoned").append_lock);
        drop(append_lock.lock().expect("unpoisoned"));
        let mut files = self.0.lock().expect("unpoisoned");
        let fits = files.free_bytes.is_none_or(|free| bytes.len() <= free);
        let written = if fits { bytes.len() } else { bytes.len() / 2 };
        files.free_bytes = files.free_bytes.map(|free| free.saturating_sub(bytes.len()));
        let open = files.open.clone();
        files.files.entry(open).or_default().extend_from_slice(&bytes[..written]);
        if fits {
            Ok(())
        } else {
            Err(io::ErrorKind::StorageFull.into())
        }
    }
    fn truncate(&mut self, length: u64) -> io::Result<()> {
        let mut files = self.0.lock().expect("unpoisoned");
        let open = files.open.clone();
        files.files.entry(open).or_default().truncate(length as usize);
        Ok(())
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.0.lock().expect("unpoisoned").files.remove(name);
        Ok(())
    }
}

/// Random numbers of the simulation: a linear congruential generator.
pub struct Rng(pub u64);

impl Rng {
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

pub fn settings() -> Settings {
    let class = |value: f64, threads: f64, effect: Effect| ClassSettings {
        value,
        late_value_fraction: 0.3,
        latency_objective: TimeDelta::from_secs_f64(1.2),
        objective_per_work: 2.0,
        deadline: TimeDelta::from_secs_f64(6.0),
        effect,
        group: DedupGroup::All,
        repeat_window: TimeDelta::from_secs_f64(15.0),
        ordered_by_key: false,
        threads,
        loads_tables: effect == Effect::Keyed,
        kinds: None,
        zones: None,
    };
    Settings {
        classes: vec![
            class(1.0, 1.0, Effect::Safe),
            class(8.0, 3.0, Effect::Safe),
            class(5.0, 2.0, Effect::Keyed),
        ],
        tenants: vec![TenantSettings { quota_per_s: 60.0 }, TenantSettings { quota_per_s: 20.0 }],
        over_quota_value_factor: 0.05,
        gateways: 3,
        report_via: ReportVia::Answers,
        reports_load: true,
        kind_cores: vec![12.0],
        kind_memory_mb: vec![24_000.0],
        grants: true,
        priorities: true,
        progress_interval: TimeDelta::from_secs_f64(1.0),
        reports_cost: true,
        cancel: true,
        retry_after: true,
        max_retry_after: TimeDelta::from_secs_f64(2.0),
        max_attempts: 6,
        drain_grace: TimeDelta::from_secs_f64(0.5),
        slow_start_multiple: 2.5,
        slow_start_window: TimeDelta::from_secs_f64(2.0),
        initial_capacity_fraction: 0.3,
        slow_start_duration: TimeDelta::from_secs_f64(15.0),
        retry_budget: Some(RetryBudgetSettings {
            window: TimeDelta::from_secs_f64(5.0),
            free_retries: 3.0,
            retries_per_request: 0.1,
        }),
        ..Settings::default()
    }
}

/// The scheduled end of an attempt. Ends are ordered by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptEnd {
    due: Timestamp,
    /// Order of ends that are due at the same time.
    sequence: u64,
    id: u64,
    attempt: u32,
    latency_us: i64,
    is_cancelled: bool,
}

/// Time from a cancellation to the end of the attempt, in microseconds.
const CANCELLATION_US: i64 = 10_000;

/// A policy with engines that answer after a random time. Some answers are errors, and single engines can be
/// slowed down.
pub struct Simulation {
    pub policy: Policy,
    pub recorder: Option<Recorder>,
    pub now: Timestamp,
    /// Number of engines.
    pub engines: u32,
    pub rng: Rng,
    /// Factor on the latency of slow engines, by engine number.
    pub latency_factors: BTreeMap<u32, f64>,
    /// Requests per second.
    pub rate: u64,
    last_request: u64,
    /// Number of attempts of each request.
    attempts: BTreeMap<u64, u32>,
    attempt_ends: BinaryHeap<Reverse<AttemptEnd>>,
    last_sequence: u64,
    /// Number of events that the policy was given.
    pub events: usize,
}

pub const START: Timestamp = Timestamp::from_micros(1_700_000_000_000_000);

impl Simulation {
    pub fn new(engines: u32, seed: u64) -> Simulation {
        let mut simulation = Simulation {
            policy: Policy::new(settings(), seed, START),
            recorder: None,
            now: START,
            engines,
            rng: Rng(seed),
            latency_factors: BTreeMap::new(),
            rate: 110,
            last_request: 0,
            attempts: BTreeMap::new(),
            attempt_ends: BinaryHeap::new(),
            last_sequence: 0,
            events: 0,
        };
        simulation.send_endpoint_list();
        simulation
    }
    pub fn recorded(engines: u32, seed: u64, settings: &RecorderSettings, store: MemoryStore) -> Simulation {
        let mut simulation = Simulation::new(engines, seed);
        simulation.recorder =
            Some(Recorder::with_store(settings, Box::new(store), seed, START).expect("a writer thread"));
        simulation.send_endpoint_list();
        simulation
    }
    pub fn counters(&self) -> RecorderCounters {
        self.recorder.as_ref().expect("a recorder").counters()
    }
    /// Gives the policy an event, records it, and schedules the end of new and cancelled attempts.
    pub fn handle_event(&mut self, event: Event) -> Vec<Action> {
        let ids: Vec<String> = (0..self.engines).map(|number| format!("s-{number}")).collect();
        if let Some(recorder) = &mut self.recorder {
            recorder.record_event(self.now, &self.policy, &event, || {
                ids.iter().zip(0..).map(|(id, number)| (id.as_str(), number)).collect()
            });
        }
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        if let Some(recorder) = &mut self.recorder {
            recorder.record_answer(&actions);
        }
        self.events += 1;
        for action in &actions {
            match action {
                Action::ForwardAttempt { id, engine, .. } => {
                    let next_attempt = self.attempts.entry(id.0).or_default();
                    let attempt = *next_attempt;
                    *next_attempt += 1;
                    let base_us = 80_000.0 + self.rng.below(400_000) as f64;
                    let factor = self.latency_factors.get(&engine.0).copied().unwrap_or(1.0);
                    self.schedule_end(id.0, attempt, (base_us * factor) as i64, false);
                }
                Action::Cancel { id, attempt } => {
                    self.schedule_end(id.0, *attempt, CANCELLATION_US, true);
                }
                _ => {}
            }
        }
        actions
    }
    fn schedule_end(&mut self, id: u64, attempt: u32, latency_us: i64, is_cancelled: bool) {
        self.last_sequence += 1;
        self.attempt_ends.push(Reverse(AttemptEnd {
            due: self.now + TimeDelta::from_micros(latency_us),
            sequence: self.last_sequence,
            id,
            attempt,
            latency_us,
            is_cancelled,
        }));
    }
    pub fn send_endpoint_list(&mut self) {
        let entry = |number| EngineEntry {
            engine: EngineId(number),
            zone: 0,
            kind: 0,
            cell: number,
            state: EngineState::Ready,
            since: None,
        };
        let entries = (0..self.engines).map(entry).collect();
        self.handle_event(Event::EndpointsChanged { kind: EndpointUpdate::Complete, entries });
    }
    pub fn send_request(&mut self) -> (RequestId, Vec<Action>) {
        self.last_request += 1;
        let id = RequestId(self.last_request);
        let class = [0, 0, 0, 0, 0, 0, 0, 0, 1, 2][self.rng.below(10) as usize];
        let cost = [0.25, 4.0, 4.0][class] * (0.5 + self.rng.below(100) as f64 / 100.0);
        let event = Event::RequestArrived(Arrival {
            id,
            class: ClassId(class),
            tenant: self.rng.below(2) as usize,
            tables: self.rng.below(12),
            time_left: TimeDelta::from_secs_f64(6.0),
            cost: Some(cost),
            memory_mb: Some(200.0),
            key: None,
        });
        (id, self.handle_event(event))
    }
    fn end_due_attempts(&mut self) {
        while let Some(Reverse(end)) = self.attempt_ends.peek().copied() {
            if end.due > self.now {
                break;
            }
            self.attempt_ends.pop();
            let outcome = match self.rng.below(40) {
                _ if end.is_cancelled => Outcome::Cancelled,
                0 => Outcome::EngineError,
                1 => Outcome::ConnectionLost,
                2 => Outcome::RejectedByEngine,
                _ => Outcome::Succeeded,
            };
            let succeeded = outcome == Outcome::Succeeded;
            let report = LoadReport {
                queries_in_flight: Some(self.rng.below(20) as f64),
                queries_waiting_for_memory: Some(0.0),
                granted_memory_fraction: Some(0.3),
                ..LoadReport::default()
            };
            let query_cost = succeeded.then_some(QueryCost { work: 0.3, memory_mb: 180.0 });
            self.handle_event(Event::AttemptEnded {
                id: RequestId(end.id),
                attempt: end.attempt,
                outcome,
                latency: TimeDelta::from_micros(end.latency_us),
                complete: succeeded,
                query_cost,
                report,
            });
        }
    }
    /// Advances time in steps of 20 ms, while requests arrive at the rate and attempts end.
    pub fn advance(&mut self, duration_s: f64) {
        let until = self.now + TimeDelta::from_secs_f64(duration_s);
        while self.now < until {
            self.now = self.now + TimeDelta::from_micros(20_000);
            self.end_due_attempts();
            for _ in 0..(self.rate / 50 + u64::from(self.rng.below(50) < self.rate % 50)) {
                self.send_request();
            }
            self.handle_event(Event::Timer { token: 0 });
        }
    }
}

pub fn recorder_settings() -> RecorderSettings {
    RecorderSettings { segment_s: 2, ..RecorderSettings::in_dir("unused") }
}
