//! Engine selection: which engines may take a request, and the weighted draw among them.

use crate::*; // Vocabulary: `crates/policy/src/events.rs`, `actions.rs`, `settings.rs`; records: `state.rs`.

/// Threads a core up to which each level may fill an engine: over one, as work waits for disks (ours).
pub(crate) const MAX_UTILISATION: [f64; LEVELS] = [1.5, 1.7, 1.9, 2.1];
/// Own threads may pass this gateway's share of that by so many square roots of the share (ours).
const SHARE_SLACK: f64 = 1.0;
/// LoadReport weights: from which one tells of capacity, whatever the share; from which no probe is needed.
const MIN_REPORT_WEIGHT: f64 = 0.8;
const FRESH_WEIGHT: f64 = 0.7;
/// Threads a core that a price of one query's value counts as, times the squared unseen load (ours).
const PRICE_AS_LOAD: f64 = 17.0;
/// Least number of engines that a query of several threads chooses among; its wait for their probes.
pub(crate) const MIN_CANDIDATES: usize = 2;
const PROBE_WAIT: TimeDelta = TimeDelta::from_micros(15_000);
/// A query that is still queued after this chooses among others (ours).
const SAMPLE_INTERVAL: TimeDelta = TimeDelta::from_micros(500_000);
/// Value spent on probes, as a fraction of all that is asked for.
pub(crate) const PROBE_BUDGET: f64 = 0.01;
/// Exponent of the draw, per thread a core: a twelfth of a thread a core halves a chance (ours).
const DRAW_STEEPNESS: f64 = 8.0;
/// Factors on the weight of an engine that read the query's tables, and of one that failed it or loads them.
const CACHED_FACTOR: f64 = 1.6;
const AVOIDED_FACTOR: f64 = 1e-3;

impl Policy {
    fn needs_reports(&self, request: &Request) -> bool {
        self.settings.reports_load && self.class(request.class).threads > 1.0
    }

    fn can_probe(&self, request: &Request) -> bool {
        self.settings.probes && self.needs_reports(request) && self.probe_credit >= MIN_CANDIDATES as f64
    }

    /// A query of several threads chooses among a few engines, lest many gateways fill one that looks idle.
    pub(crate) fn sample_candidates(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let is_due = |r: &&Request| self.needs_reports(r) && self.now > r.sampled_at + SAMPLE_INTERVAL;
        let Some(request) = self.requests.get(&id).filter(is_due) else { return };
        let is_eligible = |i: &usize| self.is_allowed(request, *i) && self.is_healthy_for(request, *i);
        let is_starting = |i: &usize| self.capacity_fraction(&self.engines[*i]) < 1.0;
        let eligible = (0..self.engines.len()).filter(is_eligible);
        let (mut candidates, mut warm): (Vec<_>, Vec<_>) = eligible.partition(is_starting);
        let (fair, can_probe) = (warm.len() as f64 / self.gateways().sqrt(), self.can_probe(request));
        candidates.extend(self.random.draw(&mut warm, MIN_CANDIDATES.max(fair as usize)));
        let is_unknown = |i: &&usize| self.report_weight(&self.engines[**i]) < FRESH_WEIGHT;
        let unknown = candidates.iter().filter(|i| can_probe && is_unknown(i));
        let probes: Vec<Action> = unknown.map(|i| Action::Probe { engine: EngineId(*i as u32) }).collect();
        self.probe_credit -= probes.len() as f64;
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.probes_until = if probes.is_empty() { self.now } else { self.now + PROBE_WAIT };
        (request.candidates, request.sampled_at) = (candidates, self.now);
        out.extend(probes);
    }

    /// Whether own threads fill this gateway's share of sound engines; each of many sees too little of them.
    fn is_overcommitted(&self, request: &Request) -> bool {
        let is_sound = |e: &&Engine| e.listed && !e.ejected && self.capacity_fraction(e) >= 1.0;
        let sound = || self.engines.iter().filter(is_sound);
        let share = sound().map(|e| e.cores).sum::<f64>() / self.gateways();
        let own = sound().map(|e| e.threads).sum::<f64>();
        let max_threads = MAX_UTILISATION[request.level] * share + SHARE_SLACK * share.sqrt();
        own > 0.0 && own + self.class(request.class).threads > max_threads
    }

    pub(crate) fn has_capacity(&self, request: &Request, i: usize) -> bool {
        // One thread finds capacity anywhere while nothing is in flight; what can be probed is not guessed.
        let is_alone = self.own_threads <= 0.0 && self.class(request.class).threads <= 1.0;
        let is_known = !self.can_probe(request) || self.report_weight(&self.engines[i]) > FRESH_WEIGHT / 2.0;
        is_alone || is_known && self.utilisation(i) < MAX_UTILISATION[request.level]
    }

    /// Health: an ejected engine gets a trial now and then, a light query that may be retried.
    pub(crate) fn is_healthy_for(&self, request: &Request, i: usize) -> bool {
        let (engine, class) = (&self.engines[i], self.class(request.class));
        let zone = self.zones.get(&engine.zone).filter(|z| z.unreachable);
        let next_trial = engine.next_trial.max(zone.map_or(Timestamp::ZERO, |z| z.next_trial));
        let is_light = class.effect == Effect::Safe && class.threads <= 1.0;
        let is_trial = is_light && engine.in_flight == 0 && self.now >= next_trial;
        self.now >= engine.backoff_until && (!engine.ejected || is_trial)
    }

    /// Draws an engine against load and for cached tables; where none is healthy, among all allowed.
    pub(crate) fn pick_engine(&self, request: &Request, needs_room: bool, dice: f64) -> Option<EngineId> {
        let is_allowed = |i: &usize| self.is_allowed(request, *i);
        let is_healthy = |i: &usize| self.is_healthy_for(request, *i);
        let mut among: Vec<usize> = (0..self.engines.len()).filter(is_allowed).collect();
        if among.iter().any(is_healthy) {
            among.retain(is_healthy);
        }
        // An engine that fails at once looks idle, and would draw the request that it just failed.
        let is_other = |i: &usize| request.last_engine != Some(EngineId(*i as u32));
        if request.errors > 0 && among.iter().any(is_other) {
            among.retain(is_other);
        }
        let overcommitted = needs_room && self.is_overcommitted(request);
        let is_warm = |i: usize| self.capacity_fraction(&self.engines[i]) >= 1.0;
        let is_unheard = |i: usize| self.report_weight(&self.engines[i]) < MIN_REPORT_WEIGHT;
        let may_fill = |i: usize| overcommitted && is_warm(i) && is_unheard(i);
        let is_full = |i: usize| !self.has_capacity(request, i) || may_fill(i);
        let is_candidate = |i: &usize| request.candidates.is_empty() || request.candidates.contains(i);
        among.retain(|i| !(needs_room && is_full(*i)) && is_candidate(i));
        let weights: Vec<f64> = among.iter().map(|i| self.draw_weight(request, *i)).collect();
        weighted_index(&weights, dice).map(|n| EngineId(among[n] as u32))
    }

    pub(crate) fn draw_weight(&self, request: &Request, i: usize) -> f64 {
        let (engine, class, here) = (&self.engines[i], self.class(request.class), EngineId(i as u32));
        let is_remote = self.settings.zone.is_some_and(|zone| zone != engine.zone);
        let is_closed = engine.last_send.is_none_or(|time| self.now - time >= self.settings.idle_timeout);
        let needs_handshake = engine.in_flight == 0 && is_closed;
        let crossing = if is_remote { self.settings.cross_zone_price } else { 0.0 };
        let price = crossing + if needs_handshake { self.settings.handshake_price } else { 0.0 };
        let price_as_load = PRICE_AS_LOAD * (1.0 - self.load_visibility()).powi(2) * price;
        let load = self.utilisation(i) + class.threads / engine.cores.max(1.0) + price_as_load;
        let slowness = relative_slowness(engine, self.median_slowness).max(1.0);
        let health = (1.0 - engine.failure_rate.value()).max(0.01) / slowness;
        let is_cached = !class.loads_tables && engine.recent_tables.contains(request.table_group);
        let is_loading =
            |r: &Request| r.table_group == request.table_group && self.class(r.class).loads_tables;
        let is_here = |r: &Request| r.in_flight.as_ref().is_some_and(|attempt| attempt.engine == here);
        let has_load = || self.requests.values().any(|r| is_loading(r) && is_here(r));
        let is_avoided = request.last_engine == Some(here) || class.loads_tables && has_load();
        let bonus = self.settings.zone_weight(engine.zone) * if is_cached { CACHED_FACTOR } else { 1.0 };
        let weight = engine.cores * (-DRAW_STEEPNESS * load).exp() * health.powi(2) * bonus;
        weight * if is_avoided { AVOIDED_FACTOR } else { 1.0 }
    }

    /// The rules: drains, placement, retries of keyed requests, and the slow-start budget.
    pub(crate) fn is_allowed(&self, request: &Request, i: usize) -> bool {
        let (engine, class) = (&self.engines[i], self.class(request.class));
        let permits = |list: &Option<Vec<u32>>, v: u32| list.as_ref().is_none_or(|l| l.contains(&v));
        if !engine.listed || !permits(&class.kinds, engine.kind) || !permits(&class.zones, engine.zone) {
            return false;
        }
        let first = request.may_have_run.filter(|_| class.effect == Effect::Keyed);
        let is_deduplicated = first.is_none_or(|(_, first)| {
            let first = &self.engines[first.0 as usize];
            let is_in_zone = first.zone == engine.zone;
            match class.group {
                DedupGroup::All => true,
                DedupGroup::Zone => is_in_zone,
                DedupGroup::Cell => is_in_zone && first.cell == engine.cell,
            }
        });
        let has_budget = || self.has_slow_start_budget(request.class, engine);
        is_deduplicated && (self.capacity_fraction(engine) >= 1.0 || has_budget())
    }
}
