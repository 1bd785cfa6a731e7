//! Load estimation: threads on an engine, from load reports, own attempts and the mean of the fleet.

use crate::*; // Vocabulary: `crates/policy/src/events.rs`, `actions.rs`, `settings.rs`; records: `state.rs`.

/// Seconds in which a report of load fades into the mean, as long as the queries last that it counted; the
/// mean of all reports in twice that.
const FADE: f64 = 4.0;
/// Share of busy cores from which a report no longer tells how many threads wait.
const FULL: f64 = 0.85;
/// Threads a core taken to be on an engine that turned a query away as full.
pub(crate) const BRIMFUL: f64 = 4.0;
/// Weight of a report in the mean load, of a look in own threads that reports count; least one of an outcome.
pub(crate) const STEP: f64 = 0.1;
/// Seconds of each class counted into the threads of a query in hand before outcomes tell.
pub(crate) const MIX_PRIOR: f64 = 2.0;

impl Policy {
    /// Threads a core of other gateways, if each has as many out as this one.
    fn equal(&self) -> f64 {
        f64::from(self.set.gateways - 1) * self.above[0].value() / self.cores.max(1.0)
    }

    /// The same in the mean: as reported of late, else as far as own load can tell.
    pub(crate) fn usual(&self) -> f64 {
        let trust = (-(self.now - self.fleet_heard).as_secs_f64() / (2.0 * FADE)).exp();
        self.fleet.value() * trust + self.equal() * self.sees() * (1.0 - trust)
    }

    /// How much the last report still tells of an engine.
    pub(crate) fn trust(&self, e: &Engine) -> f64 {
        e.heard.map_or(0.0, |t| (-(self.now - t).as_secs_f64() / FADE).exp())
    }

    /// Threads on an engine: own, and others' by report. Departure: a report fades into the mean as it ages,
    /// so that what was heard once neither draws nor repels for good.
    pub(crate) fn load(&self, e: &Engine) -> f64 {
        let usual = self.usual() * e.cores * self.warmth(e) * self.let_in(e);
        let trust = self.trust(e);
        let reported = if e.full { e.others.max(self.equal() * e.cores) } else { e.others };
        e.threads + usual + (reported - usual) * trust + e.waiting * trust
    }

    pub(crate) fn utilisation(&self, i: usize) -> f64 {
        let e = &self.engines[i];
        self.load(e) / (e.cores * self.warmth(e)).max(1e-3)
    }

    pub(crate) fn on_report(&mut self, i: usize, report: Report) {
        if report.in_hand.is_none() && report.busy.is_none() && report.waiting.is_none() {
            return;
        }
        let mean_threads = self.thread_time / self.query_time.max(1e-6);
        let usual = self.usual() * self.engines[i].cores;
        let e = &mut self.engines[i];
        let total = report.in_hand.map(|n| n * mean_threads).or(report.busy.map(|b| b * e.cores));
        (e.heard, e.waiting) = (Some(self.now), report.waiting.unwrap_or(0.0));
        e.full = report.in_hand.is_none() && total.is_some_and(|t| t > FULL * e.cores);
        e.others = total.map_or(usual, |t| (t - e.smooth_threads.value()).max(0.0));
        if total.is_some() {
            self.fleet.update(e.others / e.cores, STEP);
            self.fleet_heard = self.now;
        }
    }

    pub(crate) fn on_probed(&mut self, i: usize, outcome: Outcome, report: Report) {
        if outcome == Outcome::Expired {
            self.brimful(i);
        }
        self.on_report(i, report);
    }

    /// What turned a query away as full or left a probe unanswered has much to do, or is out of order.
    pub(crate) fn brimful(&mut self, i: usize) {
        let e = &mut self.engines[i];
        (e.others, e.heard) = (BRIMFUL * e.cores, Some(self.now));
    }
}
