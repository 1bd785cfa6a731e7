//! Compares a manager's load estimates with the engines' load reports over captures: how long engines were
//! estimated to be busy while the manager had no attempt on them, and the load in the next report. Run with
//! `cargo run --release -p sprucelink-capture --example belief -- CAPTURE...`.

use sprucelink_capture::input::RecordedInput;
use sprucelink_capture::reader;
use sprucelink_capture::replay::{replay_segment, ReplayOptions, Step};
use sprucelink_capture::segment::Segment;
use sprucelink_capture::{BoxError, ReplayError};
use sprucelink_policy::diagnostics::EngineView;
use sprucelink_policy::{Action, EngineId, Event, RequestId, Timestamp};
use std::collections::BTreeMap;
use std::path::Path;

/// Utilisation from which an engine has no capacity for any priority level, in threads per core.
const FULL_UTILISATION: f64 = 2.1;
/// Utilisation from which an engine has no capacity for the lowest priority level, in threads per core.
const BUSY_UTILISATION: f64 = 1.5;
/// Resolution of the ages of reports: steps of a quarter of a second.
const AGE_STEPS_PER_SECOND: f64 = 4.0;
/// Last step of the ages, in which all older reports are counted, too.
const MAX_AGE_STEP: f64 = 40.0;

/// A period in which an engine was estimated to be busy without an attempt of this manager, ended by a load
/// report.
struct UnusedBusyPeriod {
    duration_s: f64,
    /// Utilisation estimated just before the report, in threads per core.
    estimated: f64,
    /// Load from other managers in the report, in threads per core.
    reported: f64,
}

/// Differences between the estimated and the reported load from other managers, for previous reports of one
/// age. Sums are in threads per core.
#[derive(Default)]
struct EstimateErrors {
    /// Number of reports.
    reports: u64,
    /// Sum of estimated less reported load.
    sum: f64,
    /// Sum of the absolute differences.
    absolute_sum: f64,
}

/// Sums over all captures. Times are in engine-seconds.
#[derive(Default)]
struct Totals {
    /// Time in which engines were listed and not ejected.
    listed_s: f64,
    /// Time in which engines were estimated to be busy.
    busy_s: f64,
    /// Time in which engines were estimated to be busy without an attempt of this manager.
    busy_unused_s: f64,
    /// Time in which engines were estimated to be full without an attempt of this manager.
    full_unused_s: f64,
    /// Time in which engines were estimated to be busy without an attempt of this manager, while requests
    /// were queued.
    busy_unused_queued_s: f64,
    /// Number of rejected requests.
    rejected: u64,
    /// Number of requests rejected while an engine was estimated to be busy without an attempt of this
    /// manager.
    rejected_with_busy_unused: u64,
    /// Number of requests that arrived.
    arrived: u64,
    unused_busy_periods: Vec<UnusedBusyPeriod>,
    /// Errors of the estimates by the age of the previous report, in steps of [`AGE_STEPS_PER_SECOND`].
    errors_by_age: BTreeMap<u32, EstimateErrors>,
}

/// The replay of one segment.
struct Measurement<'a> {
    totals: &'a mut Totals,
    last_step_at: Timestamp,
    engines: Vec<EngineView>,
    queued_requests: usize,
    /// Engine of each attempt in flight.
    attempt_engines: BTreeMap<(RequestId, u32), EngineId>,
    /// Number of each request's next attempt.
    next_attempt: BTreeMap<RequestId, u32>,
    /// Time since which each engine, by number, has been estimated to be busy without an attempt of this
    /// manager.
    busy_unused_since: BTreeMap<u32, Timestamp>,
}

fn main() -> Result<(), BoxError> {
    let mut totals = Totals::default();
    for path in std::env::args().skip(1) {
        for file in reader::list_files(Path::new(&path))? {
            for segment in reader::read_file(&file)?.segments {
                measure(&segment, &mut totals)?;
            }
        }
    }
    print_times(&totals);
    print_unused_busy_periods(&totals.unused_busy_periods);
    print_errors(&totals);
    Ok(())
}

fn print_times(totals: &Totals) {
    let percent = |time_s: f64| 100.0 * time_s / totals.listed_s.max(1e-9);
    println!(
        "{:.0} engine-seconds listed; {} requests arrived, {} rejected",
        totals.listed_s, totals.arrived, totals.rejected
    );
    println!(
        "estimated to be busy (over {BUSY_UTILISATION} threads per core): {:.1}%",
        percent(totals.busy_s)
    );
    println!(
        "  without an attempt of this manager: {:.1}%, over {FULL_UTILISATION}: {:.1}%",
        percent(totals.busy_unused_s),
        percent(totals.full_unused_s)
    );
    println!("  and with requests in the queue: {:.1}%", percent(totals.busy_unused_queued_s));
    println!(
        "rejected while there was such an engine: {} of {}",
        totals.rejected_with_busy_unused, totals.rejected
    );
}

fn print_unused_busy_periods(periods: &[UnusedBusyPeriod]) {
    let count = periods.len().max(1) as f64;
    let mean = |value: fn(&UnusedBusyPeriod) -> f64| periods.iter().map(value).sum::<f64>() / count;
    let with_free_cores = periods.iter().filter(|period| period.reported < 1.0).count();
    println!(
        "{} such periods were ended by a report: on average {:.2} s, estimated {:.2} threads per core, reported {:.2}; \
         {:.0}% reported under 1",
        periods.len(),
        mean(|period| period.duration_s),
        mean(|period| period.estimated),
        mean(|period| period.reported),
        100.0 * with_free_cores as f64 / count
    );
}

fn print_errors(totals: &Totals) {
    println!("age of previous report     reports   estimated less reported   absolute error");
    for (age, errors) in &totals.errors_by_age {
        let reports = errors.reports;
        println!(
            "{:>6.2} s {reports:>25} {:>25.2} {:>16.2}",
            f64::from(*age) / AGE_STEPS_PER_SECOND,
            errors.sum / reports as f64,
            errors.absolute_sum / reports as f64
        );
    }
}

fn measure(segment: &Segment, totals: &mut Totals) -> Result<(), ReplayError> {
    let policy = segment.policy()?;
    let mut measurement = Measurement {
        totals,
        last_step_at: segment.at,
        engines: policy.engine_views(),
        queued_requests: 0,
        attempt_engines: BTreeMap::new(),
        next_attempt: BTreeMap::new(),
        busy_unused_since: BTreeMap::new(),
    };
    for open in policy.open_requests() {
        measurement.next_attempt.insert(open.id, open.attempts);
        if let Some((attempt, engine)) = open.in_flight {
            measurement.attempt_engines.insert((open.id, attempt), engine);
        }
    }
    replay_segment(segment, &ReplayOptions::default(), &mut |step| measurement.add_step(&step))?;
    Ok(())
}

/// Whether an engine is estimated to be busy while the manager has no attempt on it.
fn is_busy_without_own_attempt(engine: &EngineView) -> bool {
    engine.listed
        && !engine.ejected
        && engine.attempts_in_flight == 0
        && engine.utilisation > BUSY_UTILISATION
}

impl Measurement<'_> {
    fn add_step(&mut self, step: &Step) {
        let now = step.record.at;
        let elapsed_s = (now - self.last_step_at).as_secs_f64().max(0.0);
        self.last_step_at = now;
        self.add_times(now, elapsed_s);
        if let RecordedInput::Event(event) = &step.record.input {
            self.add_event(step, event);
        }
        for action in step.actions {
            self.add_action(action);
        }
        self.engines = step.policy.engine_views();
        self.queued_requests = step.policy.overview().queued_requests;
    }

    /// Adds the time since the previous step to the totals, by the engines' state after that step.
    fn add_times(&mut self, now: Timestamp, elapsed_s: f64) {
        for engine in self.engines.iter().filter(|engine| engine.listed && !engine.ejected) {
            self.totals.listed_s += elapsed_s;
            if engine.utilisation > BUSY_UTILISATION {
                self.totals.busy_s += elapsed_s;
            }
            if !is_busy_without_own_attempt(engine) {
                continue;
            }
            self.busy_unused_since.entry(engine.engine).or_insert(now);
            self.totals.busy_unused_s += elapsed_s;
            if engine.utilisation > FULL_UTILISATION {
                self.totals.full_unused_s += elapsed_s;
            }
            if self.queued_requests > 0 {
                self.totals.busy_unused_queued_s += elapsed_s;
            }
        }
    }

    fn add_event(&mut self, step: &Step, event: &Event) {
        match event {
            Event::RequestArrived(_) => self.totals.arrived += 1,
            Event::AttemptEnded { id, attempt, report, .. } => {
                let engine = self.attempt_engines.remove(&(*id, *attempt));
                if let Some(engine) = engine.filter(|_| report.queries_in_flight.is_some()) {
                    self.add_report(step, engine);
                }
            }
            _ => {}
        }
    }

    /// Compares the estimate just before a report with the report.
    fn add_report(&mut self, step: &Step, engine: EngineId) {
        let Some(before) = self.engines.iter().find(|view| view.engine == engine.0) else { return };
        let Some(after) = step.policy.engine_view(engine) else { return };
        let reported = after.others_threads / after.cores;
        let estimated = before.utilisation - before.threads / before.cores;
        if let Some(age) = before.report_age_secs {
            let age_step = (age * AGE_STEPS_PER_SECOND).min(MAX_AGE_STEP) as u32;
            let errors = self.totals.errors_by_age.entry(age_step).or_default();
            errors.reports += 1;
            errors.sum += estimated - reported;
            errors.absolute_sum += (estimated - reported).abs();
        }
        if let Some(since) = self.busy_unused_since.remove(&before.engine) {
            let duration_s = (step.record.at - since).as_secs_f64();
            let period = UnusedBusyPeriod { duration_s, estimated: before.utilisation, reported };
            self.totals.unused_busy_periods.push(period);
        }
    }

    fn add_action(&mut self, action: &Action) {
        match action {
            Action::ForwardAttempt { id, engine, .. } => {
                let attempt = self.next_attempt.entry(*id).or_default();
                self.attempt_engines.insert((*id, *attempt), *engine);
                *attempt += 1;
            }
            Action::Reject { .. } => {
                self.totals.rejected += 1;
                let has_busy_unused = self.engines.iter().any(is_busy_without_own_attempt);
                self.totals.rejected_with_busy_unused += u64::from(has_busy_unused);
            }
            _ => {}
        }
    }
}
