//! A run's figures, computed from the counts of the stand-ins and clients.

use super::{Harness, Outcome};
use crate::client::RequestOutcome;
use crate::counter::Counted;
use crate::report::{Outcomes, Report, BUCKET};
use hdrhistogram::Histogram;
use std::sync::PoisonError;
use std::time::Duration;

/// Shorter window of the peak rates of list service calls and of connections to engines.
const PEAK_100MS: Duration = Duration::from_millis(100);
/// Longer window of the peak rates of list service calls and of connections to engines.
const PEAK_1S: Duration = Duration::from_secs(1);

impl Harness<'_> {
    /// Computes the figures of the run so far, without those of the watched zone and of the history; `logs`
    /// has the log of each manager.
    pub(super) fn outcome(&self, logs: Vec<String>) -> Outcome {
        let buckets = (self.scenario.seconds / BUCKET.as_secs_f64()).ceil() as usize;
        let zeros = || vec![0u32; buckets];
        let mut requests =
            Outcomes { issued: zeros(), served: zeros(), refused: zeros(), failed_or_lost: zeros() };
        let mut report = Report {
            scenario: self.scenario.name.clone(),
            cold_start: self.program.args.iter().any(|a| a == "--cold-start"),
            managers: self.scenario.managers,
            became_ready: self.became_ready.iter().filter(|ready| **ready).count(),
            crashed: self.crashed,
            attempt_counts: self.ledger.read(),
            ..Report::default()
        };
        self.count_requests(&mut report, &mut requests, buckets);
        report.serving_s = requests.seconds_to_serving(20);
        let mut calls = Counted::default();
        self.lists.iter().for_each(|l| calls.add(&l.calls.read()));
        let dials = self.count_dials(&mut report);
        self.summarize_connections(&mut report, &calls, &dials);
        Outcome {
            report,
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

    /// Counts the requests by outcome, in total and per time bucket.
    fn count_requests(&self, report: &mut Report, requests: &mut Outcomes, buckets: usize) {
        // These bounds are always valid: 1 microsecond to a minute, with three significant digits.
        let mut latency_us = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("valid bounds");
        for request in self.completed.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            let i = ((request.due.as_micros() / BUCKET.as_micros()) as usize).min(buckets - 1);
            report.issued += 1;
            let unanswered = matches!(request.outcome, RequestOutcome::Lost | RequestOutcome::NotTaken);
            if request.manager_failed && unanswered {
                report.died += 1;
                continue;
            }
            requests.issued[i] += 1;
            match request.outcome {
                RequestOutcome::Served => {
                    report.served += 1;
                    requests.served[i] += 1;
                    latency_us.saturating_record(request.latency.as_micros() as u64);
                }
                RequestOutcome::Refused => {
                    report.refused += 1;
                    requests.refused[i] += 1;
                }
                RequestOutcome::Failed => {
                    report.failed += 1;
                    requests.failed_or_lost[i] += 1;
                }
                RequestOutcome::NotTaken => {
                    report.not_taken += 1;
                    requests.failed_or_lost[i] += 1;
                }
                RequestOutcome::Lost => {
                    report.lost += 1;
                    requests.failed_or_lost[i] += 1;
                }
            }
        }
        report.p50_ms = latency_us.value_at_quantile(0.5) as f64 / 1e3;
        report.p99_ms = latency_us.value_at_quantile(0.99) as f64 / 1e3;
    }

    /// Adds up the connections to all engines; sets the report's highest peak of connections and highest
    /// number of threads of a single engine.
    fn count_dials(&self, report: &mut Report) -> Counted {
        let mut dials = Counted::default();
        for engine in self.engines.iter().filter_map(|e| e.run.as_ref()) {
            let own = engine.dials.read();
            report.dials_engine_100ms = report.dials_engine_100ms.max(own.peak(PEAK_100MS));
            report.max_threads = report.max_threads.max(engine.max_threads());
            dials.add(&own);
        }
        dials
    }

    /// Sets the totals and peaks of list service calls and of connections to engines, and the steady rate of
    /// the calls.
    fn summarize_connections(&self, report: &mut Report, calls: &Counted, dials: &Counted) {
        let end = Duration::from_secs_f64(self.scenario.seconds);
        report.calls = calls.times.len();
        report.calls_100ms = calls.peak(PEAK_100MS);
        report.calls_1s = calls.peak(PEAK_1S);
        report.calls_steady = calls.within(end * 2 / 3, end) as f64 / (end / 3).as_secs_f64();
        report.dials = dials.times.len();
        report.dials_100ms = dials.peak(PEAK_100MS);
        report.dials_1s = dials.peak(PEAK_1S);
    }
}
