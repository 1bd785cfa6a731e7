//! A run's figures, gathered from what stand-ins and clients counted.

use super::{Outcome, Rig};
use crate::client::RequestOutcome;
use crate::counter::Counted;
use crate::report::{Outcomes, Report, BUCKET};
use hdrhistogram::Histogram;
use std::sync::PoisonError;
use std::time::Duration;

/// The shorter window in which peaks of polls and connections are counted.
const PEAK_100MS: Duration = Duration::from_millis(100);
/// The longer one.
const PEAK_1S: Duration = Duration::from_secs(1);

impl Rig<'_> {
    pub(super) fn outcome(&self, logs: Vec<String>) -> Outcome {
        let buckets = (self.scenario.seconds / BUCKET.as_secs_f64()).ceil() as usize;
        let none = || vec![0u32; buckets];
        let mut requests = Outcomes { issued: none(), served: none(), refused: none(), bad: none() };
        let mut r = Report {
            scenario: self.scenario.name.clone(),
            cold_start: self.program.args.iter().any(|a| a == "--cold-start"),
            managers: self.scenario.managers,
            up: self.up_once.iter().filter(|u| **u).count(),
            crashed: self.crashed,
            breaches: self.ledger.read(),
            ..Report::default()
        };
        self.count_requests(&mut r, &mut requests, buckets);
        r.serving_s = requests.seconds_to_serving(20);
        let mut calls = Counted::default();
        self.lists.iter().for_each(|l| calls.add(&l.calls.read()));
        let dials = self.count_dials(&mut r);
        self.summarize_connections(&mut r, &calls, &dials);
        Outcome {
            report: r,
            requests,
            calls: calls.buckets(BUCKET, buckets),
            dials: dials.buckets(BUCKET, buckets),
            logs,
            sends: self.ledger.sends(),
            views: self.views.clone(),
            history: None,
            verdict: None,
        }
    }

    /// Counts the requests by how they ended, in all and by bucket of time.
    fn count_requests(&self, r: &mut Report, requests: &mut Outcomes, buckets: usize) {
        // Bounds are valid constants: microseconds up to a minute, three digits.
        let mut latency_us = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("valid bounds");
        for request in self.ended.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            let i = ((request.due.as_micros() / BUCKET.as_micros()) as usize).min(buckets - 1);
            r.issued += 1;
            let bad = matches!(request.outcome, RequestOutcome::Lost | RequestOutcome::NotTaken);
            if request.manager_failed && bad {
                r.died += 1;
                continue;
            }
            requests.issued[i] += 1;
            match request.outcome {
                RequestOutcome::Served => {
                    r.served += 1;
                    requests.served[i] += 1;
                    latency_us.saturating_record(request.latency.as_micros() as u64);
                }
                RequestOutcome::Refused => {
                    r.refused += 1;
                    requests.refused[i] += 1;
                }
                RequestOutcome::Failed => {
                    r.failed += 1;
                    requests.bad[i] += 1;
                }
                RequestOutcome::NotTaken => {
                    r.not_taken += 1;
                    requests.bad[i] += 1;
                }
                RequestOutcome::Lost => {
                    r.lost += 1;
                    requests.bad[i] += 1;
                }
            }
        }
        r.p50_ms = latency_us.value_at_quantile(0.5) as f64 / 1e3;
        r.p99_ms = latency_us.value_at_quantile(0.99) as f64 / 1e3;
    }

    /// All connections made to engines.
    fn count_dials(&self, r: &mut Report) -> Counted {
        let mut dials = Counted::default();
        for e in self.engines.iter().filter_map(|e| e.run.as_ref()) {
            let d = e.dials.read();
            r.dials_engine_100ms = r.dials_engine_100ms.max(d.peak(PEAK_100MS));
            r.max_threads = r.max_threads.max(e.max_threads());
            dials.add(&d);
        }
        dials
    }

    /// Totals, peaks and the steady rate of polls and connections.
    fn summarize_connections(&self, r: &mut Report, calls: &Counted, dials: &Counted) {
        let end = Duration::from_secs_f64(self.scenario.seconds);
        r.calls = calls.at.len();
        r.calls_100ms = calls.peak(PEAK_100MS);
        r.calls_1s = calls.peak(PEAK_1S);
        r.calls_steady = calls.within(end * 2 / 3, end) as f64 / (end / 3).as_secs_f64();
        r.dials = dials.at.len();
        r.dials_100ms = dials.peak(PEAK_100MS);
        r.dials_1s = dials.peak(PEAK_1S);
    }
}
