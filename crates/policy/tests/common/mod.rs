//! Test fixture: a manager that passes events to its decision module and returns the actions.
#![allow(dead_code)]

use sprucelink_policy::Policy;
use sprucelink_policy::*;

pub struct TestManager {
    pub policy: Policy,
    pub now: Timestamp,
    /// Seconds that clients wait for an answer.
    pub client_patience_secs: f64,
    next_id: u64,
}

pub fn class(effect: Effect) -> ClassSettings {
    ClassSettings {
        value: 1.0,
        late_value_fraction: 0.0,
        latency_objective: TimeDelta::from_secs_f64(1.0),
        objective_per_work: 2.0,
        deadline: TimeDelta::from_secs_f64(5.0),
        effect,
        group: DedupGroup::Cell,
        repeat_window: TimeDelta::from_secs_f64(2.0),
        ordered_by_key: false,
        threads: 1.0,
        loads_tables: false,
        kinds: None,
        zones: None,
    }
}

pub fn settings(classes: Vec<ClassSettings>) -> Settings {
    Settings {
        classes,
        kind_cores: vec![8.0, 8.0],
        priorities: true,
        cancel: true,
        max_attempts: 4,
        slow_start_multiple: 2.0,
        slow_start_window: TimeDelta::from_secs_f64(1.0),
        initial_capacity_fraction: 0.3,
        slow_start_duration: TimeDelta::from_secs_f64(10.0),
        ..Settings::default()
    }
}

pub fn many_managers_with_probes() -> Settings {
    let heavy = ClassSettings { threads: 4.0, ..class(Effect::Safe) };
    let (report_via, reports_load) = (ReportVia::Answers, true);
    let base = settings(vec![class(Effect::Safe), heavy]);
    Settings { gateways: 200, probes: true, reports_load, report_via, probe_price: 0.01, ..base }
}

/// An endpoint list entry of a ready engine in zone 0, in a cell of its own.
pub fn entry(number: u32) -> EngineEntry {
    let (engine, state) = (EngineId(number), EngineState::Ready);
    EngineEntry { engine, zone: 0, kind: 0, cell: number, state, since: None }
}

impl TestManager {
    pub fn new(settings: Settings, engines: u32) -> TestManager {
        TestManager::seeded(settings, 11, engines)
    }
    pub fn seeded(settings: Settings, seed: u64, engines: u32) -> TestManager {
        let now = Timestamp::from_secs_f64(100.0);
        let mut manager = TestManager {
            policy: Policy::new(settings, seed, now),
            now,
            client_patience_secs: 5.0,
            next_id: 0,
        };
        manager.change_endpoints(EndpointUpdate::Remembered, (0..engines).map(entry).collect());
        manager
    }
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.policy.handle(self.now, event, &mut out);
        out
    }
    pub fn change_endpoints(&mut self, kind: EndpointUpdate, entries: Vec<EngineEntry>) -> Vec<Action> {
        self.handle(Event::EndpointsChanged { kind, entries })
    }
    pub fn submit(&mut self, class: usize, cost: f64, key: Option<&str>) -> (RequestId, Vec<Action>) {
        self.next_id += 1;
        let id = RequestId(self.next_id);
        let event = Event::RequestArrived(Arrival {
            id,
            class: ClassId(class),
            tenant: 0,
            tables: 1,
            time_left: TimeDelta::from_secs_f64(self.client_patience_secs),
            cost: Some(cost),
            memory_mb: Some(100.0),
            key: key.map(str::to_owned),
        });
        (id, self.handle(event))
    }
    pub fn end_attempt(&mut self, id: RequestId, attempt: u32, outcome: Outcome) -> Vec<Action> {
        let complete = outcome == Outcome::Succeeded;
        let (latency, report) = (TimeDelta::from_secs_f64(0.1), LoadReport::default());
        self.handle(Event::AttemptEnded { id, attempt, outcome, latency, complete, query_cost: None, report })
    }
    /// The first attempt of a request succeeds; its load report has this many queries in flight.
    pub fn succeed(&mut self, id: RequestId, queries_in_flight: f64) -> Vec<Action> {
        let report = LoadReport { queries_in_flight: Some(queries_in_flight), ..LoadReport::default() };
        let (latency, attempt, outcome) = (TimeDelta::from_secs_f64(0.1), 0, Outcome::Succeeded);
        self.handle(Event::AttemptEnded {
            id,
            attempt,
            outcome,
            latency,
            complete: true,
            query_cost: None,
            report,
        })
    }
    /// Eight light queries arrive and succeed, without load reports.
    pub fn warm_up(&mut self) {
        for _ in 0..8 {
            let (id, _) = self.submit(0, 0.05, None);
            self.end_attempt(id, 0, Outcome::Succeeded);
        }
    }
    /// A probe is answered with a load report of this many queries in flight.
    pub fn complete_probe(&mut self, engine: EngineId, queries_in_flight: f64) -> Vec<Action> {
        let report = LoadReport { queries_in_flight: Some(queries_in_flight), ..LoadReport::default() };
        self.handle(Event::ProbeCompleted { engine, outcome: Outcome::Succeeded, report })
    }
    /// Advances the clock in steps of the module's timer; returns all actions.
    pub fn advance(&mut self, secs: f64) -> Vec<Action> {
        let until = self.now + TimeDelta::from_secs_f64(secs);
        let mut out = Vec::new();
        while self.now < until {
            self.now = self.now + TimeDelta::from_micros(20_000);
            out.extend(self.handle(Event::Timer { token: 0 }));
        }
        out
    }
}

/// The request and engine of each attempt that was forwarded.
pub fn forwarded(actions: &[Action]) -> Vec<(RequestId, EngineId)> {
    let forwarded_attempt = |action: &Action| match action {
        Action::ForwardAttempt { id, engine, .. } => Some((*id, *engine)),
        _ => None,
    };
    actions.iter().filter_map(forwarded_attempt).collect()
}

pub fn is_rejected(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { id: rejected, .. } if *rejected == id))
}

pub fn is_failed(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { id: failed, .. } if *failed == id))
}
