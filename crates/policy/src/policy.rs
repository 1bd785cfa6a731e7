//! The decision module: takes each event, and looks at everything that is open at every tick.

use crate::*; // Vocabulary: `crates/policy/src/events.rs`, `actions.rs`, `settings.rs`; records: `state.rs`.

/// Time between two looks at all that is open: short against every deadline.
pub(crate) const TICK: TimeDelta = TimeDelta::from_micros(20_000);
/// Time between two settings of the prices, and until a failed list is asked for again (design page).
pub(crate) const PRICING_INTERVAL: TimeDelta = TimeDelta::from_micros(1_000_000);
/// Priority levels of the engines, 0 to 3 (design page).
pub(crate) const LEVELS: usize = 4;
/// Own load is averaged over as long as this gateway's cores take for so many thread-seconds (ours).
const LOAD_AVERAGE_WORK: f64 = 10.0;

impl Policy {
    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Timestamp, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if !std::mem::replace(&mut self.timer_armed, true) {
            out.push(Action::StartTimer { delay: TICK, token: 0 });
        }
        let is_tick = matches!(event, Event::Timer { .. });
        match event {
            Event::RequestArrived(arrival) => return self.on_arrival(arrival, out),
            Event::ResponseStarted { id } => return self.on_started(id),
            Event::ProgressReported { id, attempt, note } => return self.on_note(id, attempt, note, out),
            Event::RequestAbandoned { id } => return self.finish(id, out),
            Event::PeerMessageReceived { .. } => return,
            Event::ZoneWeightsChanged(weights) => return self.settings.zone_weights = weights,
            Event::FleetChanged { gateways, spare_retries } => return self.on_fleet(gateways, spare_retries),
            Event::EndpointsChanged { kind, entries } => self.on_list(kind, entries),
            ended @ Event::AttemptEnded { .. } => self.on_ended(ended, out),
            Event::Timer { .. } => self.on_tick(out),
            Event::ProbeCompleted { engine, outcome, report } => {
                self.on_probed(engine.0 as usize, outcome, report)
            }
        }
        self.dispatch(None, out);
        if is_tick {
            out.push(Action::StartTimer { delay: TICK, token: 0 });
        }
    }

    fn on_fleet(&mut self, gateways: u32, spare_retries: f64) {
        self.settings.gateways = gateways.max(1);
        self.settings.spare_retries = spare_retries;
    }

    fn on_started(&mut self, id: RequestId) {
        self.requests.entry(id).and_modify(|request| request.answered = true);
    }

    fn on_list(&mut self, kind: EndpointUpdate, entries: Vec<EngineEntry>) {
        if kind == EndpointUpdate::Failed {
            return self.next_watch = Some(self.now + PRICING_INTERVAL);
        }
        if kind != EndpointUpdate::Changes {
            self.engines.iter_mut().for_each(|engine| engine.listed = false);
        }
        entries.into_iter().for_each(|entry| self.on_entry(entry));
        self.cores = self.engines.iter().filter(|engine| engine.listed).map(|engine| engine.cores).sum();
    }

    fn on_entry(&mut self, entry: EngineEntry) {
        let i = entry.engine.0 as usize;
        self.engines.resize_with(self.engines.len().max(i + 1), Engine::default);
        let engine = &mut self.engines[i];
        if std::mem::replace(&mut engine.withdrawn, entry.state == EngineState::Gone) {
            // Another engine may come under its number: only what is in flight is still true. It may be the
            // same one, after a list that came late: what it was sent in the slow-start window still counts.
            let Engine { threads, in_flight, withdrawn, .. } = *engine;
            let recent_charges = std::mem::take(&mut engine.recent_charges);
            *engine = Engine { threads, in_flight, withdrawn, recent_charges, ..Engine::default() };
        }
        if entry.since > engine.started_at {
            // A new process: what was learned of the old one is void.
            self.zones.entry(entry.zone).or_default().record_response(self.now);
            (engine.log_slowness, engine.slowness_samples) = (0.0, 0);
            (engine.connect_failures, engine.failure_rate) = (0, MovingAverage::default());
            (engine.ejected, engine.unresponsive) = (false, false);
            engine.backoff_until = self.now;
            engine.recent_tables.clear();
            engine.next_lottery = self.now + self.settings.slow_start_window;
            engine.lottery = self.random.next_unit();
        }
        engine.listed = entry.state == EngineState::Ready;
        (engine.zone, engine.kind, engine.cell) = (entry.zone, entry.kind, entry.cell);
        engine.cores = self.settings.kind_cores.get(entry.kind as usize).copied().unwrap_or(1.0).max(1.0);
        engine.started_at = entry.since.max(engine.started_at);
    }

    fn on_tick(&mut self, out: &mut Vec<Action>) {
        if self.next_watch.is_some_and(|time| self.now >= time) {
            self.next_watch = None;
            out.push(Action::WatchEndpoints);
        }
        while self.now >= self.next_pricing {
            self.next_pricing = self.next_pricing + PRICING_INTERVAL;
            self.keys.retain(|_, queue| !queue.waiting.is_empty() || self.now < queue.blocked_until);
            self.update_prices();
        }
        for engine in &mut self.engines {
            engine.average_threads.update(engine.threads, AVERAGE_WEIGHT);
            if self.now >= engine.next_lottery {
                engine.lottery = self.random.next_unit();
                engine.next_lottery = self.now + self.settings.slow_start_window;
            }
        }
        let mut above = [0.0; LEVELS];
        for request in self.requests.values().filter(|r| r.in_flight.is_some()) {
            above[..=request.level].iter_mut().for_each(|sum| *sum += self.class(request.class).threads);
        }
        let weight = (TICK.as_secs_f64() * self.core_share() / LOAD_AVERAGE_WORK).min(1.0);
        self.threads_above.iter_mut().zip(above).for_each(|(average, sum)| average.update(sum, weight));
        self.update_ejections(out);
        self.review_requests(out);
        self.queued_work = [0.0; LEVELS];
        for request in self.queue.values().filter_map(|id| self.requests.get(id)) {
            self.queued_work[request.level] += request.cost * self.classes[request.class].work_ratio.value();
        }
    }
}
