//! How right a manager was about its engines: over a capture, how long engines were taken to be full while nothing of
//! this manager's was there, and what the next report said when one came.
//! `cargo run --release -p sprucelink-capture --example belief -- CAPTURE...`.

use sprucelink_capture::reader;
use sprucelink_capture::replay::{segment, Play};
use sprucelink_capture::segment::Segment;
use sprucelink_capture::wire::Told;
use sprucelink_capture::{BoxError, ReplayError};
use sprucelink_policy::*;
use std::collections::BTreeMap;
use std::path::Path;

/// Threads a core from which no level has room: the module's own figure for its top level.
const FULL: f64 = 2.1;
/// And from which the lowest has none.
const BUSY: f64 = 1.5;

#[derive(Default)]
struct Sums {
    /// Engine-seconds in all, taken to be busy or full, and so with nothing of this manager's there.
    all: f64,
    busy: f64,
    busy_idle: f64,
    full_idle: f64,
    /// The same while requests waited in the line.
    busy_idle_held: f64,
    refused: u64,
    refused_with_idle: u64,
    arrived: u64,
    /// Spells taken to be busy with nothing of its own there: seconds, and believed and then reported threads a core.
    spells: Vec<(f64, f64, f64)>,
    /// Believed just before a report against reported, by the age of the report before: sums of error and its size.
    errors: BTreeMap<u32, (u64, f64, f64)>,
}

fn main() -> Result<(), BoxError> {
    let mut sums = Sums::default();
    for path in std::env::args().skip(1) {
        for file in reader::list_files(Path::new(&path))? {
            for seg in reader::read_file(&file)?.segments {
                measure(&seg, &mut sums)?;
            }
        }
    }
    let share = |x: f64| 100.0 * x / sums.all.max(1e-9);
    println!("{:.0} engine-seconds listed; {} arrived, {} refused", sums.all, sums.arrived, sums.refused);
    println!("taken to be busy (over {BUSY} threads a core): {:.1}%", share(sums.busy));
    println!(
        "  with nothing of its own there: {:.1}%, over {FULL}: {:.1}%",
        share(sums.busy_idle),
        share(sums.full_idle)
    );
    println!("  and with requests in the line: {:.1}%", share(sums.busy_idle_held));
    println!("refused while such an engine was there: {} of {}", sums.refused_with_idle, sums.refused);
    let n = sums.spells.len().max(1) as f64;
    let mean = |f: &dyn Fn(&(f64, f64, f64)) -> f64| sums.spells.iter().map(f).sum::<f64>() / n;
    let free = sums.spells.iter().filter(|s| s.2 < 1.0).count();
    println!(
        "{} spells that a report ended: {:.2} s, believed {:.2} threads a core at their end, reported {:.2}; {:.0}% \
         reported under 1",
        sums.spells.len(),
        mean(&|s| s.0),
        mean(&|s| s.1),
        mean(&|s| s.2),
        100.0 * free as f64 / n
    );
    println!("age of the report before   reports   believed less reported   size of the error");
    for (age, (n, error, size)) in &sums.errors {
        let k = *n as f64;
        println!("{:>6.2} s {n:>26} {:>24.2} {:>19.2}", f64::from(*age) / 4.0, error / k, size / k);
    }
    Ok(())
}

fn measure(seg: &Segment, sums: &mut Sums) -> Result<(), ReplayError> {
    let mut last = seg.at;
    let mut views = seg.module()?.engine_views();
    let mut sent: BTreeMap<(u64, u32), u32> = BTreeMap::new();
    let mut sends: BTreeMap<u64, u32> = BTreeMap::new();
    let mut since: BTreeMap<u32, Timestamp> = BTreeMap::new();
    for open in seg.module()?.open_requests() {
        sends.insert(open.id.0, open.attempts);
        open.in_flight.into_iter().for_each(|(n, e)| _ = sent.insert((open.id.0, n), e.0));
    }
    let mut waiting = 0;
    segment(seg, &Play::default(), &mut |step| {
        let now = step.record.at;
        let passed = (now - last).as_secs_f64().max(0.0);
        last = now;
        let lone = |v: &sprucelink_policy::diagnostics::EngineView| {
            v.listed && !v.ejected && v.attempts_in_flight == 0 && v.utilisation > BUSY
        };
        for v in views.iter().filter(|v| v.listed && !v.ejected) {
            sums.all += passed;
            sums.busy += if v.utilisation > BUSY { passed } else { 0.0 };
            if lone(v) {
                since.entry(v.engine).or_insert(now);
                sums.busy_idle += passed;
                sums.full_idle += if v.utilisation > FULL { passed } else { 0.0 };
                sums.busy_idle_held += if waiting > 0 { passed } else { 0.0 };
            }
        }
        if let Told::Event(Event::AttemptEnded { id, attempt, report, .. }) = &step.record.told {
            let engine = sent.remove(&(id.0, *attempt));
            let before = engine.and_then(|e| views.iter().find(|v| v.engine == e));
            let after = engine.and_then(|e| step.module.engine_view(EngineId(e)));
            if let (Some(before), Some(after), true) = (before, after, report.queries_in_flight.is_some()) {
                let reported = after.others_threads / after.cores;
                let believed = before.utilisation - before.threads / before.cores;
                if let Some(age) = before.report_age {
                    let slot = sums.errors.entry((age * 4.0).min(40.0) as u32).or_default();
                    let error = believed - reported;
                    *slot = (slot.0 + 1, slot.1 + error, slot.2 + error.abs());
                }
                if let Some(from) = since.remove(&before.engine) {
                    sums.spells.push(((now - from).as_secs_f64(), before.utilisation, reported));
                }
            }
        }
        for action in step.actions {
            match action {
                Action::ForwardAttempt { id, engine, .. } => {
                    let n = sends.entry(id.0).or_default();
                    sent.insert((id.0, *n), engine.0);
                    *n += 1;
                }
                Action::Reject { .. } => {
                    sums.refused += 1;
                    sums.refused_with_idle += u64::from(views.iter().any(lone));
                }
                _ => {}
            }
        }
        sums.arrived += u64::from(matches!(step.record.told, Told::Event(Event::RequestArrived(_))));
        views = step.module.engine_views();
        waiting = step.module.overview().queued_requests;
    })?;
    Ok(())
}
