//! Admission by priority pricing (Konana et al., sections 3.2 to 3.4): each level has a price, its toll.

use crate::*; // Vocabulary: `crates/policy/src/events.rs`, `actions.rs`, `settings.rs`; records: `state.rs`.

/// Share of the new price in the implemented one (design page, paper eq. 7).
const ALPHA: f64 = 0.1;
/// Share of a fresh interval or outcome in the smoothed rate and wait; a few outcomes decide (ours).
const SMOOTH: f64 = 0.2;
/// Outcomes in an interval from which its figures stand alone; with fewer, older ones count along.
const EVIDENCE: f64 = 10.0;
/// Utilisation counts up to this in the slope, which would else have no bound (design page).
const U_CAP: f64 = 0.9;
/// With fewer cores to its share a gateway's own load is mostly chance, and tells little of the others'.
const GUESS: f64 = 4.0;
/// Wait left to a level when a full interval's evidence is silent on it (design page: half).
const UNHEARD: f64 = 0.5;
/// Below this utilisation of the picked engine a query in time enters (design page).
const LOW_UTIL: f64 = 0.7;
/// An answer goes out this long before the client stops waiting: two looks and a batch.
pub(crate) const ANSWER_MARGIN: TimeDelta = TimeDelta::from_micros(50_000);
/// A tenant's bucket holds its share of a second, or this many requests: few come by chance in bunches.
const TENANT_BURST: f64 = 6.0;
/// An answer is late when this many times its expected time passes the wanted one; else half would be.
pub(crate) const PRUDENCE: f64 = 1.5;
/// Estimates in a class's mean cost: the first weigh equally, then the last of about so many.
const MEAN_SPAN: u32 = 200;
/// A class's mean cost at first, as a share of its wanted time on all its threads; no estimate came yet.
const FIRST_MEAN: f64 = 0.25;

impl Policy {
    /// Told cores of the engines that take work, over the gateways: this one's share.
    pub(crate) fn core_share(&self) -> f64 {
        (self.cores / f64::from(self.set.gateways)).max(1.0)
    }

    /// How far own load tells of the fleet's: half at GUESS cores to this gateway's share.
    pub(crate) fn sees(&self) -> f64 {
        self.core_share() / (self.core_share() + GUESS)
    }

    /// Worth lost per second of waiting: worth over deadline.
    fn delta(&self, class: usize) -> f64 {
        self.set.classes[class].worth / self.set.classes[class].deadline.as_secs_f64().max(1e-3)
    }

    /// Sets every price anew (paper eq. 6 and 7).
    pub(crate) fn reprice(&mut self) {
        let share = self.core_share();
        let evidence = (f64::from(self.outcomes) / EVIDENCE).min(1.0);
        self.outcomes = 0;
        for book in &mut self.classes {
            for l in &mut book.levels {
                l.rate.update(f64::from(l.admitted) / INTERVAL.as_secs_f64(), SMOOTH);
                l.admitted = 0;
                // Departure: a level unheard of loses half its wait only as others are heard.
                l.wait *= if l.fresh { 1.0 } else { UNHEARD.powf(evidence) };
                l.fresh = false;
            }
        }
        // What one more thread-second a second at a level costs those who wait there.
        let mut burden = [0.0; LEVELS];
        for (h, (burden, above)) in burden.iter_mut().zip(self.above).enumerate() {
            let books = || self.classes.iter().map(|c| c.levels[h]);
            let rates: f64 = books().map(|l| l.rate.value()).sum();
            let waits: f64 = books().map(|l| l.rate.value() * l.wait).sum();
            let lost: f64 = books().enumerate().map(|(j, l)| self.delta(j) * l.rate.value()).sum();
            let wait = if rates > 0.0 { waits / rates } else { 0.0 };
            *burden = wait / (1.0 - (above.value() / share).min(U_CAP)) / share * lost;
        }
        for book in &mut self.classes {
            let mut sum = 0.0;
            for (l, b) in book.levels.iter_mut().zip(burden) {
                sum += b;
                l.price += ALPHA * (book.mean * book.bias.value() * sum - l.price);
            }
        }
    }

    /// The level of least delay cost plus toll, and its tau and toll.
    pub(crate) fn cheapest(&self, class: usize, cost: f64) -> (usize, f64, f64) {
        let book = &self.classes[class];
        let mut best = (0, 0.0, f64::MAX, f64::MAX);
        let mut ahead: f64 = self.held.iter().sum();
        for (k, l) in book.levels.iter().enumerate() {
            // Departure: what is held now at this level and above tells of a jam before outcomes do.
            let live = ahead / (self.core_share() + GUESS);
            ahead -= self.held[k];
            let tau = l.wait.max(live) + self.own_time(class, cost);
            let toll = l.price * cost / book.mean;
            let total = self.delta(class) * tau + toll;
            if total < best.3 {
                best = (k, tau, toll, total);
            }
        }
        (best.0, best.1, best.2)
    }

    /// A level above is served no later than one below, heard of or not (a departure from the paper): old
    /// waits at high levels would keep light work low.
    pub(crate) fn learn_wait(&mut self, class: usize, level: usize, wait: f64) {
        self.outcomes += 1;
        let levels = &mut self.classes[class].levels;
        levels[level].wait += SMOOTH * (wait - levels[level].wait);
        levels[level].fresh = true;
        let heard = levels[level].wait;
        levels[level..].iter_mut().for_each(|l| l.wait = l.wait.min(heard));
    }

    /// Seconds that what is held in the line takes this gateway's share of the cores.
    pub(crate) fn jam(&self) -> f64 {
        self.held.iter().sum::<f64>() / (self.core_share() + GUESS)
    }

    pub(crate) fn on_arrival(&mut self, a: Arrival, out: &mut Vec<Action>) {
        let class = a.class.0;
        self.taken.record(self.now, self.set.attempt_budget.map_or(TimeDelta::ZERO, |b| b.span));
        if class >= self.classes.len() {
            return out.push(Action::Fail { id: a.id, retry_after: None });
        }
        let (worth, in_turn) = (self.set.classes[class].worth, self.set.classes[class].in_turn);
        let quota = self.set.tenants.get(a.tenant).map(|t| t.quota_per_s / f64::from(self.set.gateways));
        let within = quota.is_none_or(|q| self.tenants[a.tenant].try_take(self.now, q, q.max(TENANT_BURST)));
        let book = &mut self.classes[class];
        let cost = a.cost.unwrap_or(book.mean);
        if a.cost.is_some() {
            book.samples = (book.samples + 1).min(MEAN_SPAN);
            book.mean += (cost - book.mean) / f64::from(book.samples);
        }
        let rate = PROBE_POINTS / self.set.probe_price.max(PROBE_POINTS / PROBE_SAMPLES as f64);
        self.probe_credit = (self.probe_credit + rate).min(4.0 * PROBE_SAMPLES as f64);
        self.seq += 1;
        let mut r = Request::new(&a, self.seq, self.now, cost);
        r.worth = if within { worth } else { worth * self.set.over_share_worth };
        r.key = a.key.filter(|_| in_turn);
        if let Some(key) = &r.key {
            self.keys.entry(key.clone()).or_default().turns.push_back(a.id);
        }
        self.requests.insert(a.id, r);
        self.admit(a.id, out);
    }

    fn admit(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some((class, cost)) = self.requests.get(&id).map(|r| (r.class, r.cost)) else { return };
        let (level, tau, toll) = self.cheapest(class, cost);
        let dice = self.rng.next_unit();
        self.requests.entry(id).and_modify(|r| r.level = level);
        self.draw_few(id, out);
        let Some(r) = self.requests.get(&id) else { return };
        let picked = self.pick(r, false, dice);
        let idle = picked.is_some_and(|e| self.utilisation(e.0 as usize) < LOW_UTIL);
        let free = (self.own < self.core_share() || idle) && tau <= (r.deadline - self.now).as_secs_f64();
        let (enters, place) = (free || self.worth_at(r, tau) - toll >= 0.0, place(r));
        self.why_priced(id, (tau, toll, free, enters), out);
        if enters {
            self.classes[class].levels[level].admitted += 1;
            self.line.insert(place, id);
            self.dispatch(Some(id), out);
            if self.line.contains_key(&place) {
                self.held[level] += cost * self.classes[class].bias.value();
            }
        } else {
            self.answer(id, out);
        }
    }

    /// Expected latency at work alone: estimate times the learned ratio, over the threads.
    pub(crate) fn own_time(&self, class: usize, cost: f64) -> f64 {
        cost * self.classes[class].ratio / self.set.classes[class].threads
    }

    pub(crate) fn now_time(&self, class: usize, cost: f64) -> f64 {
        cost * self.classes[class].pace.value().max(self.classes[class].ratio)
            / self.set.classes[class].threads
    }

    /// The time within which an answer earns its full worth and its client still waits, seconds.
    pub(crate) fn aim(&self, r: &Request) -> f64 {
        let c = &self.set.classes[r.class];
        let wanted =
            c.aim.as_secs_f64() + c.aim_stretch * r.cost * self.classes[r.class].bias.value() / c.threads;
        wanted.min((r.deadline - r.arrived - ANSWER_MARGIN).as_secs_f64())
    }

    /// What an answer `in_all` seconds after the arrival earns.
    pub(crate) fn step_worth(&self, r: &Request, in_all: f64) -> f64 {
        let gone = in_all > (r.deadline - r.arrived).as_secs_f64();
        let late_worth = if gone { 0.0 } else { self.set.classes[r.class].late_worth };
        r.worth * if in_all * PRUDENCE > self.aim(r) { late_worth } else { 1.0 }
    }

    /// Worth less delay cost for an answer `in_all` seconds after its arrival. Departure: past the
    /// wanted time only the late worth is left, as the paper's footnote 8 allows for steps.
    pub(crate) fn worth_at(&self, r: &Request, in_all: f64) -> f64 {
        let c = &self.set.classes[r.class];
        self.step_worth(r, in_all) - r.worth / c.deadline.as_secs_f64().max(1e-3) * in_all
    }
}

/// A class's mean cost until estimates come, thread-seconds.
pub(crate) fn first_mean(c: &ClassSettings) -> f64 {
    (c.aim.as_secs_f64() * c.threads * FIRST_MEAN).max(1e-3)
}
