//! Histories without violations, generated from a list of choices, so that a failing history shrinks to few
//! choices.

use sprucelink_history_checker::config::{CheckConfig, DisruptionBudget, MemberKind};
use sprucelink_history_checker::cursor::Cursor;
use sprucelink_history_checker::event::{
    Event, ExitCause, FleetMember, HistoryEntry, EXIT_STATUS_NEXT_VERSION,
};

const MANAGER_COUNT: usize = 4;
const ENGINE_COUNT: usize = 3;
/// Number of subscribers: the first three read all records, the others use a filter.
const SUBSCRIBER_COUNT: usize = 5;
/// Time between two steps of a generated history, in microseconds.
const TICK_US: u64 = 50_000;

/// At most one manager and one engine may be unavailable when a planned outage begins.
pub fn check_config() -> CheckConfig {
    let budget = |member_kind| DisruptionBudget { member_kind, zone: None, pool: None, max_unavailable: 1 };
    CheckConfig {
        budgets: vec![budget(MemberKind::Managers), budget(MemberKind::Engines)],
        notice_ms: 0,
        halt_ms: 200,
        max_command_gap_ms: 120,
        ..CheckConfig::default()
    }
}

struct Subscriber {
    /// Index of the manager to which the subscriber is connected.
    manager: usize,
    cursor: Option<Cursor>,
    filter: &'static str,
}

struct Fleet {
    history: Vec<HistoryEntry>,
    now_us: u64,
    /// Committed records: position and name.
    log: Vec<(Cursor, &'static str)>,
    subscribers: Vec<Subscriber>,
    /// Index of the manager in a planned outage.
    restarting_manager: Option<usize>,
    /// Index of the manager that crashed.
    crashed_manager: Option<usize>,
    /// Index of the engine that receives no commands.
    drained_engine: Option<usize>,
    /// Counter from which the next serving manager is chosen in round-robin order.
    round_robin_counter: usize,
}

impl Fleet {
    fn record(&mut self, event: Event) {
        self.history.push(HistoryEntry { at_us: self.now_us, event });
    }

    fn is_unavailable(&self, manager: usize) -> bool {
        self.restarting_manager == Some(manager) || self.crashed_manager == Some(manager)
    }

    /// The next manager that serves, in round-robin order.
    fn next_serving_manager(&mut self) -> usize {
        self.round_robin_counter += 1;
        let mut candidates =
            (0..MANAGER_COUNT).map(|offset| (self.round_robin_counter + offset) % MANAGER_COUNT);
        candidates.find(|manager| !self.is_unavailable(*manager)).expect("a manager serves")
    }

    fn connect(&mut self, index: usize) {
        let (cursor, filter) = (self.subscribers[index].cursor, self.subscribers[index].filter);
        let manager = self.next_serving_manager();
        self.subscribers[index].manager = manager;
        self.record(Event::SubscriberConnected {
            subscriber: format!("s{index}"),
            manager: format!("n{manager}"),
            cursor,
            version: "1".into(),
            filter: filter.into(),
        });
    }

    fn reconnect(&mut self, index: usize) {
        let manager = format!("n{}", self.subscribers[index].manager);
        self.record(Event::SubscriberDisconnected {
            subscriber: format!("s{index}"),
            manager,
            why: "ended".into(),
        });
        self.connect(index);
    }

    /// Ends a manager's process; its subscribers reconnect to other managers.
    fn exit(&mut self, manager: usize, cause: ExitCause, next: Option<&str>) {
        let (status, signal) =
            if cause == ExitCause::Own { (Some(EXIT_STATUS_NEXT_VERSION), None) } else { (None, Some(9)) };
        let next = next.map(str::to_owned);
        self.record(Event::Exited { process: format!("n{manager}"), status, signal, cause, next });
        (0..SUBSCRIBER_COUNT)
            .filter(|index| self.subscribers[*index].manager == manager)
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|index| self.reconnect(index));
    }

    fn become_ready(&mut self, manager: usize) {
        self.record(Event::Ready { process: format!("n{manager}") });
    }

    /// Commits a record and sends it to all subscribers whose filter it passes.
    fn commit(&mut self, begins_epoch: bool) {
        let last = self.log.last().map_or(Cursor::new(1, 0), |(cursor, _)| *cursor);
        let cursor = if begins_epoch {
            Cursor::new(last.epoch + 1, 1)
        } else {
            Cursor::new(last.epoch, last.index + 1)
        };
        let name = ["permit", "note"][self.log.len() % 2];
        self.log.push((cursor, name));
        for index in 0..SUBSCRIBER_COUNT {
            let subscriber = &mut self.subscribers[index];
            if !subscriber.filter.is_empty() && subscriber.filter != name {
                continue;
            }
            let prev = subscriber.cursor.replace(cursor).unwrap_or_default();
            let manager = subscriber.manager;
            self.record(Event::Record {
                subscriber: format!("s{index}"),
                manager: format!("n{manager}"),
                cursor,
                prev: Some(prev),
                name: name.into(),
                digest: format!("d{cursor}"),
                data: String::new(),
                op: Some(format!("op{cursor}")),
                unreadable: None,
            });
        }
        self.record(Event::Acknowledged { op: format!("op{cursor}"), cursor: Some(cursor) });
    }

    /// Advances time by one tick, in which each engine that is not drained receives a command.
    fn tick(&mut self) {
        self.now_us += TICK_US;
        let drained_engine = self.drained_engine;
        for engine in (0..ENGINE_COUNT).filter(|engine| drained_engine != Some(*engine)) {
            self.record(Event::Command {
                engine: format!("e{engine}"),
                connection: 1,
                word: "do".into(),
                manager: None,
            });
        }
    }

    /// Performs the action that `choice` selects; restarts start version `next`.
    fn step(&mut self, choice: u16, next: &str) {
        self.tick();
        let selection = usize::from(choice / 10);
        match choice % 10 {
            0..=3 => self.commit(false),
            4 => self.commit(selection.is_multiple_of(4) && !self.log.is_empty()),
            5 | 6 => self.reconnect(selection % SUBSCRIBER_COUNT),
            7 => match self.restarting_manager.take() {
                Some(manager) => self.become_ready(manager),
                None if self.crashed_manager.is_none() => {
                    self.restarting_manager = Some(selection % MANAGER_COUNT);
                    self.exit(selection % MANAGER_COUNT, ExitCause::Own, Some(next));
                }
                None => {}
            },
            8 => match self.crashed_manager.take() {
                Some(manager) => self.become_ready(manager),
                None if self.restarting_manager != Some(selection % MANAGER_COUNT) => {
                    self.crashed_manager = Some(selection % MANAGER_COUNT);
                    self.exit(selection % MANAGER_COUNT, ExitCause::Nemesis, None);
                }
                None => {}
            },
            // An engine is drained for four ticks and then receives commands again. No engine is drained
            // after the halt.
            _ if next != "v2" => {}
            _ => {
                self.drained_engine = Some(selection % ENGINE_COUNT);
                (0..4).for_each(|_| self.tick());
                self.drained_engine = None;
                self.tick();
            }
        }
    }
}

/// A history without violations: a release, a halt, and a rollback.
pub fn valid_history(choices: &[u16]) -> Vec<HistoryEntry> {
    let filters = ["", "", "", "permit", "note"];
    let subscribers =
        (0..SUBSCRIBER_COUNT).map(|index| Subscriber { manager: 0, cursor: None, filter: filters[index] });
    let mut fleet = Fleet {
        history: Vec::new(),
        now_us: 0,
        log: Vec::new(),
        subscribers: subscribers.collect(),
        restarting_manager: None,
        crashed_manager: None,
        drained_engine: None,
        round_robin_counter: 0,
    };
    let members = |prefix: &str, count: usize| {
        (0..count)
            .map(|index| FleetMember { name: format!("{prefix}{index}"), ..FleetMember::default() })
            .collect::<Vec<_>>()
    };
    let (managers, engines) = (members("n", MANAGER_COUNT), members("e", ENGINE_COUNT));
    fleet.record(Event::RunStarted { scenario: "valid".into(), seed: 1, managers, engines });
    (0..MANAGER_COUNT).for_each(|manager| fleet.become_ready(manager));
    (0..SUBSCRIBER_COUNT).for_each(|index| fleet.connect(index));
    fleet.record(Event::SchemaActivated { publisher: "fleet".into(), reads: vec!["1".into(), "2".into()] });
    fleet.commit(false);
    let half = choices.len() / 2;
    choices[..half].iter().for_each(|choice| fleet.step(*choice, "v2"));
    fleet.record(Event::Halted { id: "h1".into(), version: Some("v2".into()) });
    (0..5).for_each(|_| fleet.tick());
    choices[half..].iter().for_each(|choice| fleet.step(*choice, "v1"));
    (0..60).for_each(|_| fleet.tick());
    fleet.commit(false);
    fleet.history
}
