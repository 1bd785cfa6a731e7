//! A module that is told a made-up day, and its recorder, into memory.
#![allow(dead_code)]

use sprucelink_capture::reader::{parse, CaptureContents};
use sprucelink_capture::recorder::{Recorder, RecorderCounters, SegmentStore};
use sprucelink_capture::ring::RingFile;
use sprucelink_capture::settings::Settings as RecorderSettings;
use sprucelink_policy::Policy;
use sprucelink_policy::*;
use std::collections::{BTreeMap, BinaryHeap};
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};

/// Files in memory, whose calls fail on demand.
#[derive(Clone, Default)]
pub struct Memory(pub Arc<Mutex<Files>>);

#[derive(Default)]
pub struct Files {
    pub files: BTreeMap<String, Vec<u8>>,
    pub open: String,
    /// Bytes that still fit; half of what does not is written before the error, as a full disk does.
    pub room: Option<usize>,
    /// Nothing can be begun.
    pub unwritable: bool,
    /// The writer waits here, holding the lock of its own.
    pub stalled: Arc<Mutex<()>>,
}

impl Memory {
    pub fn bytes(&self) -> Vec<u8> {
        let files = self.0.lock().expect("unpoisoned");
        files.files.values().flatten().copied().collect()
    }
    pub fn contents(&self) -> CaptureContents {
        parse(&self.bytes(), Path::new("memory")).expect("a capture")
    }
}

impl SegmentStore for Memory {
    fn list(&mut self) -> io::Result<Vec<RingFile>> {
        let files = self.0.lock().expect("unpoisoned");
        // Every file as old as its name says.
        let at = |name: &str| {
            Timestamp::from_micros(name.split('-').next().and_then(|t| t.parse().ok()).unwrap_or(0))
        };
        let file = |(name, bytes): (&String, &Vec<u8>)| RingFile {
            name: name.clone(),
            bytes: bytes.len() as u64,
            modified_at: at(name),
        };
        Ok(files.files.iter().map(file).collect())
    }
    fn create(&mut self, name: &str) -> io::Result<()> {
        let mut files = self.0.lock().expect("unpoisoned");
        if files.unwritable {
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        files.open = name.to_owned();
        files.files.insert(name.to_owned(), Vec::new());
        Ok(())
    }
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let stalled = Arc::clone(&self.0.lock().expect("unpoisoned").stalled);
        drop(stalled.lock().expect("unpoisoned"));
        let mut files = self.0.lock().expect("unpoisoned");
        let fits = files.room.is_none_or(|room| bytes.len() <= room);
        let written = if fits { bytes.len() } else { bytes.len() / 2 };
        files.room = files.room.map(|room| room.saturating_sub(bytes.len()));
        let open = files.open.clone();
        files.files.entry(open).or_default().extend_from_slice(&bytes[..written]);
        if fits {
            Ok(())
        } else {
            Err(io::ErrorKind::StorageFull.into())
        }
    }
    fn truncate(&mut self, len: u64) -> io::Result<()> {
        let mut files = self.0.lock().expect("unpoisoned");
        let open = files.open.clone();
        files.files.entry(open).or_default().truncate(len as usize);
        Ok(())
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.0.lock().expect("unpoisoned").files.remove(name);
        Ok(())
    }
}

/// Dice of the made-up day.
pub struct Dice(pub u64);

impl Dice {
    pub fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
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

/// What comes: when, in turn, of which request, attempt and engine, and how long it took.
type Coming = (Timestamp, u64, u64, u32, u32, i64);

/// A module and the world it is told of: engines that answer after a while, some slow, some failing.
pub struct Day {
    pub brain: Policy,
    pub recorder: Option<Recorder>,
    pub now: Timestamp,
    pub engines: u32,
    pub dice: Dice,
    /// Times slower, by engine.
    pub slow: BTreeMap<u32, f64>,
    /// Requests a second.
    pub rate: u64,
    next: u64,
    attempts: BTreeMap<u64, u32>,
    due: BinaryHeap<std::cmp::Reverse<Coming>>,
    turn: u64,
    pub told: usize,
}

pub const START: Timestamp = Timestamp::from_micros(1_700_000_000_000_000);

impl Day {
    pub fn new(engines: u32, seed: u64) -> Day {
        let brain = Policy::new(settings(), seed, START);
        let (recorder, slow, attempts, due) = Default::default();
        let dice = Dice(seed);
        let mut day = Day {
            brain,
            recorder,
            now: START,
            engines,
            dice,
            slow,
            rate: 110,
            next: 0,
            attempts,
            due,
            turn: 0,
            told: 0,
        };
        day.list();
        day
    }
    pub fn recorded(engines: u32, seed: u64, set: &RecorderSettings, store: Memory) -> Day {
        let mut day = Day::new(engines, seed);
        day.recorder = Some(Recorder::with_store(set, Box::new(store), seed, START).expect("a thread"));
        day.list();
        day
    }
    pub fn counters(&self) -> RecorderCounters {
        self.recorder.as_ref().expect("recorded").counters()
    }
    pub fn give(&mut self, event: Event) -> Vec<Action> {
        let ids: Vec<String> = (0..self.engines).map(|n| format!("s-{n}")).collect();
        if let Some(r) = &mut self.recorder {
            r.record_event(self.now, &self.brain, &event, || {
                ids.iter().zip(0..).map(|(id, n)| (id.as_str(), n)).collect()
            });
        }
        let mut out = Vec::new();
        self.brain.handle(self.now, event, &mut out);
        if let Some(r) = &mut self.recorder {
            r.record_answer(&out);
        }
        self.told += 1;
        for action in &out {
            match action {
                Action::ForwardAttempt { id, engine, .. } => {
                    let n = self.attempts.entry(id.0).or_default();
                    let took = 80_000.0 + self.dice.below(400_000) as f64;
                    let took = (took * self.slow.get(&engine.0).copied().unwrap_or(1.0)) as i64;
                    self.turn += 1;
                    let due = (self.now + TimeDelta::from_micros(took), self.turn, id.0, *n, engine.0, took);
                    self.due.push(std::cmp::Reverse(due));
                    *n += 1;
                }
                Action::Cancel { id, attempt } => {
                    self.turn += 1;
                    let due = (
                        self.now + TimeDelta::from_micros(10_000),
                        self.turn,
                        id.0,
                        *attempt,
                        u32::MAX,
                        10_000,
                    );
                    self.due.push(std::cmp::Reverse(due));
                }
                _ => {}
            }
        }
        out
    }
    pub fn list(&mut self) {
        let entry = |n| EngineEntry {
            engine: EngineId(n),
            zone: 0,
            kind: 0,
            cell: n,
            state: EngineState::Ready,
            since: None,
        };
        let entries = (0..self.engines).map(entry).collect();
        self.give(Event::EndpointsChanged { kind: EndpointUpdate::Complete, entries });
    }
    pub fn arrive(&mut self) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let id = RequestId(self.next);
        let class = [0, 0, 0, 0, 0, 0, 0, 0, 1, 2][self.dice.below(10) as usize];
        let cost = [0.25, 4.0, 4.0][class] * (0.5 + self.dice.below(100) as f64 / 100.0);
        let event = Event::RequestArrived(Arrival {
            id,
            class: ClassId(class),
            tenant: self.dice.below(2) as usize,
            tables: self.dice.below(12),
            time_left: TimeDelta::from_secs_f64(6.0),
            cost: Some(cost),
            memory_mb: Some(200.0),
            key: None,
        });
        (id, self.give(event))
    }
    fn land(&mut self) {
        while let Some(std::cmp::Reverse((at, _, id, attempt, engine, took))) = self.due.peek().copied() {
            if at > self.now {
                break;
            }
            self.due.pop();
            let outcome = match self.dice.below(40) {
                _ if engine == u32::MAX => Outcome::Cancelled,
                0 => Outcome::EngineError,
                1 => Outcome::ConnectionLost,
                2 => Outcome::RejectedByEngine,
                _ => Outcome::Succeeded,
            };
            let served = outcome == Outcome::Succeeded;
            let report = LoadReport {
                queries_in_flight: Some(self.dice.below(20) as f64),
                queries_waiting_for_memory: Some(0.0),
                granted_memory_fraction: Some(0.3),
                ..LoadReport::default()
            };
            let query_cost = served.then_some(QueryCost { work: 0.3, memory_mb: 180.0 });
            let (id, latency) = (RequestId(id), TimeDelta::from_micros(took));
            self.give(Event::AttemptEnded {
                id,
                attempt,
                outcome,
                latency,
                complete: served,
                query_cost,
                report,
            });
        }
    }
    /// Lets time pass, in the module's own steps, with requests coming.
    pub fn pass(&mut self, secs: f64) {
        let until = self.now + TimeDelta::from_secs_f64(secs);
        while self.now < until {
            self.now = self.now + TimeDelta::from_micros(20_000);
            self.land();
            for _ in 0..(self.rate / 50 + u64::from(self.dice.below(50) < self.rate % 50)) {
                self.arrive();
            }
            self.give(Event::Timer { token: 0 });
        }
    }
}

pub fn recorder_settings() -> RecorderSettings {
    RecorderSettings { segment_s: 2, ..RecorderSettings::in_dir("unused") }
}
