//! Measures the time that recording adds to an event on the serving path: the events of the same ten seconds
//! at 110 requests per second are fed to a policy from the same state, alternately without and with a
//! recorder. Run with `cargo run --release -p sprucelink-capture --example cost`.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{recorder_settings, MemoryStore, Simulation, START};
use sprucelink_capture::input::RecordedInput;
use sprucelink_capture::recorder::Recorder;
use sprucelink_capture::settings::{AnswerFormat, Settings};
use sprucelink_policy::Policy;
use sprucelink_policy::{Event, Timestamp};
use std::time::Instant;

/// Number of pairs of runs over which a median is taken.
const PAIRS: usize = 200;

/// Feeds the events to a copy of the policy and returns the mean time per event, in nanoseconds.
fn measure_ns_per_event(
    policy: &Policy,
    events: &[(Timestamp, Event)],
    recorder: &mut Option<Recorder>,
) -> f64 {
    let mut policy = policy.clone();
    let mut actions = Vec::new();
    let start = Instant::now();
    for (at, event) in events {
        actions.clear();
        if let Some(recorder) = recorder {
            recorder.record_event(*at, &policy, event, Vec::new);
        }
        policy.handle(*at, event.clone(), &mut actions);
        if let Some(recorder) = recorder {
            recorder.record_answer(&actions);
        }
    }
    start.elapsed().as_secs_f64() * 1e9 / events.len() as f64
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn main() {
    println!("engines  answers  alone ns/event  recorded ns/event  added ns/event  ratio");
    for engines in [8, 64] {
        let memory = MemoryStore::default();
        let settings = Settings { segment_s: 3_600, ..recorder_settings() };
        let mut simulation = Simulation::recorded(engines, 5, &settings, memory.clone());
        simulation.advance(10.0);
        drop(simulation.recorder.take());
        let segment = memory.contents().segments.remove(0);
        let policy = segment.policy().expect("a readable state");
        let to_event = |record: &sprucelink_capture::segment::Record| match &record.input {
            RecordedInput::Event(event) => Some((record.at, event.clone())),
            RecordedInput::EngineNumbered { .. } => None,
        };
        let events: Vec<(Timestamp, Event)> = segment.records.iter().filter_map(to_event).collect();
        for answers in [AnswerFormat::Complete, AnswerFormat::Digest] {
            let (mut alone, mut recorded) = (Vec::new(), Vec::new());
            for _ in 0..PAIRS {
                let settings = Settings { rate_kb_s: 1_000_000, answers, ..settings.clone() };
                let recorder = Recorder::with_store(&settings, Box::new(MemoryStore::default()), 5, START)
                    .expect("a writer thread");
                let mut recorder = Some(recorder);
                alone.push(measure_ns_per_event(&policy, &events, &mut None));
                recorded.push(measure_ns_per_event(&policy, &events, &mut recorder));
                let lost = recorder.expect("a recorder").counters().lost;
                assert_eq!(lost, 0, "lost events would make recording look cheaper");
            }
            let mut differences: Vec<f64> =
                alone.iter().zip(&recorded).map(|(alone, recorded)| recorded - alone).collect();
            let added = median(&mut differences);
            let (alone, recorded) = (median(&mut alone), median(&mut recorded));
            println!(
                "{engines:7}  {answers:7?}  {alone:14.0}  {recorded:17.0}  {added:14.0}  {:5.3}",
                recorded / alone
            );
        }
    }
}
