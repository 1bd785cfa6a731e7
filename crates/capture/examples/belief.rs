//! How well a manager's load estimates match the engines' reports: over a capture, how long engines were estimated to be
//! busy while the manager had no attempt there, and what the next report said.
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

/// Utilisation from which an engine has no capacity for any priority level, in threads a core.
const FULL: f64 = 2.1;
/// Utilisation from which an engine has no capacity for the lowest priority level, in threads a core.
const BUSY: f64 = 1.5;
/// Ages of reports are counted in steps of a quarter of a second.
const AGE_STEPS_PER_SECOND: f64 = 4.0;
/// The last step of the ages, which counts all older reports.
const MAX_AGE_STEP: f64 = 40.0;

/// A time during which an engine was estimated to be busy without an attempt of this manager, up to a report.
struct IdleSpell {
    duration_s: f64,
    /// Estimated just before the report, in threads a core.
    estimated: f64,
    /// Reported, in threads a core.
    reported: f64,
}

/// Estimates against reports, for reports of one age.
#[derive(Default)]
struct EstimateErrors {
    reports: u64,
    sum: f64,
    absolute_sum: f64,
}

/// Sums over all captures. Times are in engine-seconds.
#[derive(Default)]
struct Totals {
    listed: f64,
    busy: f64,
    busy_idle: f64,
    full_idle: f64,
    /// Busy without an attempt of this manager, while requests were queued.
    busy_idle_queued: f64,
    rejected: u64,
    /// Rejected while an engine was busy without an attempt of this manager.
    rejected_with_idle: u64,
    arrived: u64,
    idle_spells: Vec<IdleSpell>,
    /// By the age of the report before, in steps.
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
    /// Since when each engine has been busy without an attempt of this manager.
    idle_since: BTreeMap<u32, Timestamp>,
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
    print_idle_spells(&totals.idle_spells);
    print_errors(&totals);
    Ok(())
}

fn print_times(totals: &Totals) {
    let percent = |time: f64| 100.0 * time / totals.listed.max(1e-9);
    println!(
        "{:.0} engine-seconds listed; {} arrived, {} refused",
        totals.listed, totals.arrived, totals.rejected
    );
    println!("taken to be busy (over {BUSY} threads a core): {:.1}%", percent(totals.busy));
    println!(
        "  with nothing of its own there: {:.1}%, over {FULL}: {:.1}%",
        percent(totals.busy_idle),
        percent(totals.full_idle)
    );
    println!("  and with requests in the line: {:.1}%", percent(totals.busy_idle_queued));
    println!("refused while such an engine was there: {} of {}", totals.rejected_with_idle, totals.rejected);
}

fn print_idle_spells(spells: &[IdleSpell]) {
    let count = spells.len().max(1) as f64;
    let mean = |value: fn(&IdleSpell) -> f64| spells.iter().map(value).sum::<f64>() / count;
    let free = spells.iter().filter(|spell| spell.reported < 1.0).count();
    println!(
        "{} spells that a report ended: {:.2} s, believed {:.2} threads a core at their end, reported {:.2}; {:.0}% \
         reported under 1",
        spells.len(),
        mean(|spell| spell.duration_s),
        mean(|spell| spell.estimated),
        mean(|spell| spell.reported),
        100.0 * free as f64 / count
    );
}

fn print_errors(totals: &Totals) {
    println!("age of the report before   reports   believed less reported   size of the error");
    for (age, errors) in &totals.errors_by_age {
        let reports = errors.reports;
        println!(
            "{:>6.2} s {reports:>26} {:>24.2} {:>19.2}",
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
        idle_since: BTreeMap::new(),
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

/// Whether an engine is estimated to be busy while the manager has no attempt there.
fn is_busy_and_idle(engine: &EngineView) -> bool {
    engine.listed && !engine.ejected && engine.attempts_in_flight == 0 && engine.utilisation > BUSY
}

impl Measurement<'_> {
    fn add_step(&mut self, step: &Step) {
        let now = step.record.at;
        let elapsed = (now - self.last_step_at).as_secs_f64().max(0.0);
        self.last_step_at = now;
        self.add_times(now, elapsed);
        if let RecordedInput::Event(event) = &step.record.input {
            self.add_event(step, event);
        }
        for action in step.actions {
            self.add_action(action);
        }
        self.engines = step.policy.engine_views();
        self.queued_requests = step.policy.overview().queued_requests;
    }

    fn add_times(&mut self, now: Timestamp, elapsed: f64) {
        for engine in self.engines.iter().filter(|engine| engine.listed && !engine.ejected) {
            self.totals.listed += elapsed;
            if engine.utilisation > BUSY {
                self.totals.busy += elapsed;
            }
            if !is_busy_and_idle(engine) {
                continue;
            }
            self.idle_since.entry(engine.engine).or_insert(now);
            self.totals.busy_idle += elapsed;
            if engine.utilisation > FULL {
                self.totals.full_idle += elapsed;
            }
            if self.queued_requests > 0 {
                self.totals.busy_idle_queued += elapsed;
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
        if let Some(age) = before.report_age {
            let age_step = (age * AGE_STEPS_PER_SECOND).min(MAX_AGE_STEP) as u32;
            let errors = self.totals.errors_by_age.entry(age_step).or_default();
            errors.reports += 1;
            errors.sum += estimated - reported;
            errors.absolute_sum += (estimated - reported).abs();
        }
        if let Some(since) = self.idle_since.remove(&before.engine) {
            let duration_s = (step.record.at - since).as_secs_f64();
            let spell = IdleSpell { duration_s, estimated: before.utilisation, reported };
            self.totals.idle_spells.push(spell);
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
                self.totals.rejected_with_idle += u64::from(self.engines.iter().any(is_busy_and_idle));
            }
            _ => {}
        }
    }
}
