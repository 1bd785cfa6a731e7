//! Good histories, made from a list of choices so that what fails shrinks to few of them.
use sprucelink_history_checker::config::{CheckConfig, DisruptionBudget, MemberKind};
use sprucelink_history_checker::cursor::Cursor;
use sprucelink_history_checker::event::{
    Event, ExitCause, FleetMember, HistoryEntry, EXIT_STATUS_NEXT_VERSION,
};

const MANAGERS: usize = 4;
const ENGINES: usize = 3;
/// Subscribers: the first three read all, the others by a filter.
const SUBSCRIBERS: usize = 5;
const TICK_US: u64 = 50_000;

/// One manager and one engine out at a time when a permit is given.
pub fn terms() -> CheckConfig {
    let budget = |member_kind| DisruptionBudget { member_kind, zone: None, pool: None, max_unavailable: 1 };
    CheckConfig {
        budgets: vec![budget(MemberKind::Managers), budget(MemberKind::Engines)],
        notice_ms: 0,
        halt_ms: 200,
        quiet_ms: 120,
        ..CheckConfig::default()
    }
}

struct Reader {
    at: usize,
    cursor: Option<Cursor>,
    filter: &'static str,
}

struct World {
    all: Vec<HistoryEntry>,
    now: u64,
    journal: Vec<(Cursor, &'static str)>,
    readers: Vec<Reader>,
    planned: Option<usize>,
    crashed: Option<usize>,
    quiet: Option<usize>,
    turn: usize,
}

impl World {
    fn note(&mut self, event: Event) {
        self.all.push(HistoryEntry { at_us: self.now, event });
    }

    fn out(&self, m: usize) -> bool {
        self.planned == Some(m) || self.crashed == Some(m)
    }

    /// The next manager that serves.
    fn serving(&mut self) -> usize {
        self.turn += 1;
        (0..MANAGERS).map(|k| (self.turn + k) % MANAGERS).find(|m| !self.out(*m)).expect("one serves")
    }

    fn join(&mut self, s: usize) {
        let (cursor, filter) = (self.readers[s].cursor, self.readers[s].filter);
        let m = self.serving();
        self.readers[s].at = m;
        self.note(Event::SubscriberConnected {
            subscriber: format!("s{s}"),
            manager: format!("n{m}"),
            cursor,
            version: "1".into(),
            filter: filter.into(),
        });
    }

    fn hop(&mut self, s: usize) {
        let manager = format!("n{}", self.readers[s].at);
        self.note(Event::SubscriberDisconnected {
            subscriber: format!("s{s}"),
            manager,
            why: "ended".into(),
        });
        self.join(s);
    }

    fn exits(&mut self, m: usize, cause: ExitCause, next: Option<&str>) {
        let (status, signal) =
            if cause == ExitCause::Own { (Some(EXIT_STATUS_NEXT_VERSION), None) } else { (None, Some(9)) };
        let next = next.map(str::to_owned);
        self.note(Event::Exited { process: format!("n{m}"), status, signal, cause, next });
        (0..SUBSCRIBERS)
            .filter(|s| self.readers[*s].at == m)
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|s| self.hop(s));
    }

    fn up(&mut self, m: usize) {
        self.note(Event::Ready { process: format!("n{m}") });
    }

    fn commit(&mut self, new_epoch: bool) {
        let last = self.journal.last().map_or(Cursor::new(1, 0), |r| r.0);
        let cursor = match new_epoch {
            true => Cursor::new(last.epoch + 1, 1),
            false => Cursor::new(last.epoch, last.index + 1),
        };
        let name = ["permit", "note"][self.journal.len() % 2];
        self.journal.push((cursor, name));
        for s in 0..SUBSCRIBERS {
            let r = &self.readers[s];
            if !r.filter.is_empty() && r.filter != name {
                continue;
            }
            let (prev, at) = (r.cursor.unwrap_or_default(), r.at);
            self.readers[s].cursor = Some(cursor);
            self.note(Event::Record {
                subscriber: format!("s{s}"),
                manager: format!("n{at}"),
                cursor,
                prev: Some(prev),
                name: name.into(),
                digest: format!("d{cursor}"),
                data: String::new(),
                op: Some(format!("op{cursor}")),
                unreadable: None,
            });
        }
        self.note(Event::Acknowledged { op: format!("op{cursor}"), cursor: Some(cursor) });
    }

    fn tick(&mut self) {
        self.now += TICK_US;
        let quiet = self.quiet;
        for e in (0..ENGINES).filter(|e| quiet != Some(*e)) {
            self.note(Event::Command {
                engine: format!("e{e}"),
                connection: 1,
                word: "do".into(),
                manager: None,
            });
        }
    }

    fn step(&mut self, choice: u16, next: &str) {
        self.tick();
        let pick = usize::from(choice / 10);
        match choice % 10 {
            0..=3 => self.commit(false),
            4 => self.commit(pick.is_multiple_of(4) && !self.journal.is_empty()),
            5 | 6 => self.hop(pick % SUBSCRIBERS),
            7 => match self.planned.take() {
                Some(m) => self.up(m),
                None if self.crashed.is_none() => {
                    self.planned = Some(pick % MANAGERS);
                    self.exits(pick % MANAGERS, ExitCause::Own, Some(next));
                }
                None => {}
            },
            8 => match self.crashed.take() {
                Some(m) => self.up(m),
                None if self.planned != Some(pick % MANAGERS) => {
                    self.crashed = Some(pick % MANAGERS);
                    self.exits(pick % MANAGERS, ExitCause::Nemesis, None);
                }
                None => {}
            },
            // An engine is drained and comes back: out for four ticks. After the halt none is.
            _ if next != "v2" => {}
            _ => {
                self.quiet = Some(pick % ENGINES);
                (0..4).for_each(|_| self.tick());
                self.quiet = None;
                self.tick();
            }
        }
    }
}

/// A run that keeps every rule: the release, a halt, the way back.
pub fn good(choices: &[u16]) -> Vec<HistoryEntry> {
    let readers =
        (0..SUBSCRIBERS).map(|s| Reader { at: 0, cursor: None, filter: ["", "", "", "permit", "note"][s] });
    let mut w = World {
        all: Vec::new(),
        now: 0,
        journal: Vec::new(),
        readers: readers.collect(),
        planned: None,
        crashed: None,
        quiet: None,
        turn: 0,
    };
    let named = |letter: &str, n: usize| {
        (0..n)
            .map(|i| FleetMember { name: format!("{letter}{i}"), ..FleetMember::default() })
            .collect::<Vec<_>>()
    };
    let (managers, engines) = (named("n", MANAGERS), named("e", ENGINES));
    w.note(Event::RunStarted { scenario: "good".into(), seed: 1, managers, engines });
    (0..MANAGERS).for_each(|m| w.up(m));
    (0..SUBSCRIBERS).for_each(|s| w.join(s));
    w.note(Event::SchemaActivated { publisher: "fleet".into(), reads: vec!["1".into(), "2".into()] });
    w.commit(false);
    let half = choices.len() / 2;
    choices[..half].iter().for_each(|c| w.step(*c, "v2"));
    w.note(Event::Halted { id: "h1".into(), version: Some("v2".into()) });
    (0..5).for_each(|_| w.tick());
    choices[half..].iter().for_each(|c| w.step(*c, "v1"));
    (0..60).for_each(|_| w.tick());
    w.commit(false);
    w.all
}
