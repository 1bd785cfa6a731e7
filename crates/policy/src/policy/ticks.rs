//! Work done at each tick: requests the endpoint list if due, updates prices and averages, ejects or readmits
//! engines, and reviews all open requests.

use crate::actions::Action;
use crate::policy::Policy;
use crate::pricing::{LEVELS, PRICING_INTERVAL};

impl Policy {
    pub(super) fn on_tick(&mut self, out: &mut Vec<Action>) {
        if self.next_watch.is_some_and(|time| self.now >= time) {
            self.next_watch = None;
            out.push(Action::WatchEndpoints);
        }
        self.update_prices_if_due();
        self.update_engines();
        self.own_load.update_averages(self.threads_from_level(), self.share());
        let Policy { outliers, engines, requests, settings, .. } = self;
        outliers.update(self.now, engines, requests, settings.progress_interval, out);
        self.review_requests(out);
        self.count_queued_work();
    }

    fn update_prices_if_due(&mut self) {
        while self.now >= self.next_pricing {
            self.next_pricing = self.next_pricing + PRICING_INTERVAL;
            self.key_order.forget_idle_keys(self.now);
            let share = self.share();
            self.prices.update(&self.settings.classes, &self.estimates, &self.own_load, share);
        }
    }

    fn update_engines(&mut self) {
        for (_, engine) in self.engines.iter_mut() {
            let own_threads = engine.own_threads();
            engine.load.update_average(own_threads);
            engine.slow_start.redraw_number_if_due(self.now, &self.settings, &mut self.random);
        }
    }

    /// Threads of this manager's attempts in flight at each level and above.
    fn threads_from_level(&self) -> [f64; LEVELS] {
        let mut threads_from_level = [0.0; LEVELS];
        for request in self.requests.values().filter(|request| request.in_flight.is_some()) {
            let threads = self.settings.classes[request.class].threads;
            threads_from_level[..=request.level].iter_mut().for_each(|sum| *sum += threads);
        }
        threads_from_level
    }

    /// Recounts the queued work: work added for new requests since the last tick may have been sent
    /// meanwhile.
    fn count_queued_work(&mut self) {
        let mut queued_work = [0.0; LEVELS];
        for request in self.queue.ids().filter_map(|id| self.requests.get(&id)) {
            queued_work[request.level] += request.cost * self.estimates[request.class].work_ratio();
        }
        self.queue.set_queued_work(queued_work);
    }
}
