//! A gateway under test: feeds events, keeps what was asked for.
#![allow(dead_code)]

use sprucelink_policy::Policy;
use sprucelink_policy::*;

pub struct Bench {
    pub policy: Policy,
    pub now: Timestamp,
    /// How long clients wait, seconds.
    pub patience: f64,
    next: u64,
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

pub fn many_gateways_with_probes() -> Settings {
    let heavy = ClassSettings { threads: 4.0, ..class(Effect::Safe) };
    let (report_via, reports_load) = (ReportVia::Answers, true);
    let set = settings(vec![class(Effect::Safe), heavy]);
    Settings { gateways: 200, probes: true, reports_load, report_via, probe_price: 0.01, ..set }
}

pub fn entry(n: u32) -> EngineEntry {
    let (engine, state) = (EngineId(n), EngineState::Ready);
    EngineEntry { engine, zone: 0, kind: 0, cell: n, state, since: None }
}

impl Bench {
    pub fn new(settings: Settings, engines: u32) -> Bench {
        Bench::seeded(settings, 11, engines)
    }
    pub fn seeded(settings: Settings, seed: u64, engines: u32) -> Bench {
        let now = Timestamp::from_secs_f64(100.0);
        let mut bench = Bench { policy: Policy::new(settings, seed, now), now, patience: 5.0, next: 0 };
        bench.list(EndpointUpdate::Remembered, (0..engines).map(entry).collect());
        bench
    }
    pub fn give(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.policy.handle(self.now, event, &mut out);
        out
    }
    pub fn list(&mut self, kind: EndpointUpdate, entries: Vec<EngineEntry>) -> Vec<Action> {
        self.give(Event::EndpointsChanged { kind, entries })
    }
    pub fn arrive(&mut self, class: usize, cost: f64, key: Option<&str>) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let id = RequestId(self.next);
        let event = Event::RequestArrived(Arrival {
            id,
            class: ClassId(class),
            tenant: 0,
            tables: 1,
            time_left: TimeDelta::from_secs_f64(self.patience),
            cost: Some(cost),
            memory_mb: Some(100.0),
            key: key.map(str::to_owned),
        });
        (id, self.give(event))
    }
    pub fn end(&mut self, id: RequestId, attempt: u32, outcome: Outcome) -> Vec<Action> {
        let complete = outcome == Outcome::Succeeded;
        let (latency, report) = (TimeDelta::from_secs_f64(0.1), LoadReport::default());
        self.give(Event::AttemptEnded { id, attempt, outcome, latency, complete, query_cost: None, report })
    }
    /// A served answer whose report tells of so many queries in hand.
    pub fn served(&mut self, id: RequestId, queries_in_flight: f64) -> Vec<Action> {
        let report = LoadReport { queries_in_flight: Some(queries_in_flight), ..LoadReport::default() };
        let (latency, attempt, outcome) = (TimeDelta::from_secs_f64(0.1), 0, Outcome::Succeeded);
        self.give(Event::AttemptEnded {
            id,
            attempt,
            outcome,
            latency,
            complete: true,
            query_cost: None,
            report,
        })
    }
    /// A few light queries come and are served, without news of load.
    pub fn warm_up(&mut self) {
        for _ in 0..8 {
            let (id, _) = self.arrive(0, 0.05, None);
            self.end(id, 0, Outcome::Succeeded);
        }
    }
    /// A probe's answer that tells of so many queries in hand.
    pub fn probe_told(&mut self, engine: EngineId, queries_in_flight: f64) -> Vec<Action> {
        let report = LoadReport { queries_in_flight: Some(queries_in_flight), ..LoadReport::default() };
        self.give(Event::ProbeCompleted { engine, outcome: Outcome::Succeeded, report })
    }
    /// Lets time pass in steps of the module's own timer.
    pub fn pass(&mut self, secs: f64) -> Vec<Action> {
        let until = self.now + TimeDelta::from_secs_f64(secs);
        let mut out = Vec::new();
        while self.now < until {
            self.now = self.now + TimeDelta::from_micros(20_000);
            out.extend(self.give(Event::Timer { token: 0 }));
        }
        out
    }
}

pub fn sent(actions: &[Action]) -> Vec<(RequestId, EngineId)> {
    let pick = |a: &Action| match a {
        Action::ForwardAttempt { id, engine, .. } => Some((*id, *engine)),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

pub fn refused(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { id: i, .. } if *i == id))
}

pub fn failed(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { id: i, .. } if *i == id))
}
