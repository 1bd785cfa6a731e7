//! The decision module: takes each event, and looks at everything that is open at every tick.

use crate::*; // Vocabulary: `crates/policy/src/events.rs`, `actions.rs`, `settings.rs`; records: `state.rs`.

/// Between two looks at all that is open, microseconds: short against every deadline.
pub(crate) const TICK: TimeDelta = TimeDelta::from_micros(20_000);
/// Interval between two settings of the tolls (design page: 1 s).
pub(crate) const INTERVAL: TimeDelta = TimeDelta::from_micros(1_000_000);
/// Engine priorities, 0 to 3 (design page).
pub(crate) const LEVELS: usize = 4;
/// Own load is averaged over as long as this gateway's cores take for so much work, thread-seconds.
const CALM: f64 = 10.0;

impl Policy {
    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Timestamp, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if !std::mem::replace(&mut self.armed, true) {
            out.push(Action::Timer { delay: TICK, token: 0 });
        }
        let is_tick = matches!(event, Event::Timer { .. });
        match event {
            Event::Arrived(a) => return self.on_arrival(a, out),
            Event::Started { id } => return self.on_started(id),
            Event::Noted { id, attempt, note } => return self.on_note(id, attempt, note, out),
            Event::GivenUp { id } => return self.finish(id, out),
            Event::Heard { .. } => return,
            Event::Zones(weights) => return self.set.zone_weights = weights,
            Event::Fleet { gateways, spare } => return self.on_fleet(gateways, spare),
            // These may free room for what waits.
            Event::List { kind, entries } => self.on_list(kind, entries),
            ended @ Event::Ended { .. } => self.on_ended(ended, out),
            Event::Timer { .. } => self.on_tick(out),
            Event::Probed { engine, outcome, report } => self.on_probed(engine.0 as usize, outcome, report),
        }
        self.dispatch(None, out);
        if is_tick {
            out.push(Action::Timer { delay: TICK, token: 0 });
        }
    }

    fn on_fleet(&mut self, gateways: u32, spare: f64) {
        self.set.gateways = gateways.max(1);
        self.set.spare = spare;
    }

    fn on_started(&mut self, id: RequestId) {
        self.requests.entry(id).and_modify(|r| r.answered = true);
    }

    fn on_list(&mut self, kind: ListKind, entries: Vec<EngineEntry>) {
        if kind == ListKind::Failed {
            return self.ask_again = Some(self.now + INTERVAL);
        }
        if kind != ListKind::Changes {
            self.engines.iter_mut().for_each(|e| e.listed = false);
        }
        for entry in entries {
            let i = entry.engine.0 as usize;
            self.engines.resize_with(self.engines.len().max(i + 1), Engine::default);
            let e = &mut self.engines[i];
            if std::mem::replace(&mut e.gone, entry.state == EngineState::Gone) {
                // Back under its number, or another in its place: nothing is known of it but what is out.
                *e = Engine { threads: e.threads, flying: e.flying, gone: e.gone, ..Engine::default() };
            }
            if entry.since > e.started {
                self.zones.entry(entry.zone).or_default().word(self.now);
                // A fresh start: what was known of the old process is void.
                (e.slow, e.slow_samples, e.failures, e.bad) = (0.0, 0, 0, Default::default());
                (e.down_until, e.distrusted, e.silent) = (self.now, false, false);
                e.warm.clear();
                (e.lot, e.next_lot) = (self.rng.next_unit(), self.now + self.set.fall_span);
            }
            e.listed = entry.state == EngineState::Ready;
            (e.zone, e.kind, e.cell) = (entry.zone, entry.kind, entry.cell);
            e.cores = self.set.kind_cores.get(entry.kind as usize).copied().unwrap_or(1.0).max(1.0);
            e.started = entry.since.max(e.started);
        }
        self.cores = self.engines.iter().filter(|e| e.listed).map(|e| e.cores).sum();
    }

    fn on_tick(&mut self, out: &mut Vec<Action>) {
        if self.ask_again.is_some_and(|t| self.now >= t) {
            self.ask_again = None;
            out.push(Action::Watch);
        }
        while self.now >= self.next_tolls {
            self.next_tolls = self.next_tolls + INTERVAL;
            self.keys.retain(|_, l| !l.turns.is_empty() || self.now < l.rests_until);
            self.reprice();
        }
        for e in &mut self.engines {
            e.smooth_threads.update(e.threads, STEP);
            if self.now >= e.next_lot {
                (e.lot, e.next_lot) = (self.rng.next_unit(), self.now + self.set.fall_span);
            }
        }
        let mut above = [0.0; LEVELS];
        for r in self.requests.values().filter(|r| r.out.is_some()) {
            above[..=r.level].iter_mut().for_each(|t| *t += self.set.classes[r.class].threads);
        }
        let weight = (TICK.as_secs_f64() * self.core_share() / CALM).min(1.0);
        self.above.iter_mut().zip(above).for_each(|(old, new)| old.update(new, weight));
        self.judge_engines(out);
        self.review(out);
        self.held = [0.0; LEVELS];
        for r in self.line.values().filter_map(|id| self.requests.get(id)) {
            self.held[r.level] += r.cost * self.classes[r.class].bias.value();
        }
    }
}
