//! A gateway under test: feeds events, keeps what was asked for.
#![allow(dead_code)]

use sprucelink_policy::Policy;
use sprucelink_policy::*;

pub struct Bench {
    pub brain: Policy,
    pub now: Timestamp,
    /// How long clients wait, seconds.
    pub patience: f64,
    next: u64,
}

pub fn class(effect: Effect) -> ClassSettings {
    ClassSettings {
        worth: 1.0,
        late_worth: 0.0,
        aim: TimeDelta::from_secs_f64(1.0),
        aim_stretch: 2.0,
        deadline: TimeDelta::from_secs_f64(5.0),
        effect,
        group: DedupGroup::Cell,
        repeat_window: TimeDelta::from_secs_f64(2.0),
        in_turn: false,
        threads: 1.0,
        load: false,
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
        fall_multiple: 2.0,
        fall_span: TimeDelta::from_secs_f64(1.0),
        start_share: 0.3,
        cold_for: TimeDelta::from_secs_f64(10.0),
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
        let mut bench = Bench { brain: Policy::new(settings, seed, now), now, patience: 5.0, next: 0 };
        bench.list(ListKind::Remembered, (0..engines).map(entry).collect());
        bench
    }
    pub fn give(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.brain.handle(self.now, event, &mut out);
        out
    }
    pub fn list(&mut self, kind: ListKind, entries: Vec<EngineEntry>) -> Vec<Action> {
        self.give(Event::List { kind, entries })
    }
    pub fn arrive(&mut self, class: usize, cost: f64, key: Option<&str>) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let id = RequestId(self.next);
        let event = Event::Arrived(Arrival {
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
        let complete = outcome == Outcome::Delivered;
        let (latency, report) = (TimeDelta::from_secs_f64(0.1), Report::default());
        self.give(Event::Ended { id, attempt, outcome, latency, complete, bill: None, report })
    }
    /// A served answer whose report tells of so many queries in hand.
    pub fn served(&mut self, id: RequestId, in_hand: f64) -> Vec<Action> {
        let report = Report { in_hand: Some(in_hand), ..Report::default() };
        let (latency, attempt, outcome) = (TimeDelta::from_secs_f64(0.1), 0, Outcome::Delivered);
        self.give(Event::Ended { id, attempt, outcome, latency, complete: true, bill: None, report })
    }
    /// A few light queries come and are served, without news of load.
    pub fn warm_up(&mut self) {
        for _ in 0..8 {
            let (id, _) = self.arrive(0, 0.05, None);
            self.end(id, 0, Outcome::Delivered);
        }
    }
    /// A probe's answer that tells of so many queries in hand.
    pub fn probe_told(&mut self, engine: EngineId, in_hand: f64) -> Vec<Action> {
        let report = Report { in_hand: Some(in_hand), ..Report::default() };
        self.give(Event::Probed { engine, outcome: Outcome::Delivered, report })
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
        Action::Send { id, engine, .. } => Some((*id, *engine)),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

pub fn refused(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { id: i, .. } if *i == id))
}

pub fn failed(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { id: i, .. } if *i == id))
}
