//! The time that recording adds to an event on the serving path: the same ten seconds at 110 requests a second are fed
//! to a policy from the same state, without and with a recorder in turn.
//! `cargo run --release -p sprucelink-capture --example cost`.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{recorder_settings, MemoryStore, Simulation, START};
use sprucelink_capture::input::RecordedInput;
use sprucelink_capture::recorder::Recorder;
use sprucelink_capture::settings::{AnswerFormat, Settings};
use sprucelink_policy::Policy;
use sprucelink_policy::{Event, Timestamp};
use std::time::Instant;

/// How many pairs of runs a median is taken over.
const PAIRS: usize = 200;

fn feed(policy: &Policy, events: &[(Timestamp, Event)], recorder: &mut Option<Recorder>) -> f64 {
    let mut policy = policy.clone();
    let mut actions = Vec::new();
    let began = Instant::now();
    for (at, event) in events {
        actions.clear();
        if let Some(r) = recorder {
            r.record_event(*at, &policy, event, Vec::new);
        }
        policy.handle(*at, event.clone(), &mut actions);
        if let Some(r) = recorder {
            r.record_answer(&actions);
        }
    }
    began.elapsed().as_secs_f64() * 1e9 / events.len() as f64
}

fn median(all: &mut [f64]) -> f64 {
    all.sort_by(f64::total_cmp);
    all[all.len() / 2]
}

fn main() {
    println!("engines  answers  alone ns/event  recorded ns/event  added ns/event  ratio");
    for engines in [8, 64] {
        let memory = MemoryStore::default();
        let set = Settings { segment_s: 3_600, ..recorder_settings() };
        let mut simulation = Simulation::recorded(engines, 5, &set, memory.clone());
        simulation.advance(10.0);
        drop(simulation.recorder.take());
        let seg = memory.contents().segments.remove(0);
        let policy = seg.policy().expect("a state");
        let to_event = |r: &sprucelink_capture::segment::Record| match &r.input {
            RecordedInput::Event(event) => Some((r.at, event.clone())),
            RecordedInput::EngineNumbered { .. } => None,
        };
        let events: Vec<(Timestamp, Event)> = seg.records.iter().filter_map(to_event).collect();
        for answers in [AnswerFormat::Complete, AnswerFormat::Digest] {
            let (mut alone, mut with) = (Vec::new(), Vec::new());
            for _ in 0..PAIRS {
                let set = Settings { rate_kb_s: 1_000_000, answers, ..set.clone() };
                let recorder =
                    Recorder::with_store(&set, Box::new(MemoryStore::default()), 5, START).expect("a thread");
                let mut recorder = Some(recorder);
                alone.push(feed(&policy, &events, &mut None));
                with.push(feed(&policy, &events, &mut recorder));
                assert_eq!(recorder.expect("there").counters().lost, 0, "what is lost costs nothing");
            }
            let added = median(&mut alone.iter().zip(&with).map(|(a, w)| w - a).collect::<Vec<_>>());
            let (a, w) = (median(&mut alone), median(&mut with));
            println!("{engines:7}  {answers:7?}  {a:14.0}  {w:17.0}  {added:14.0}  {:5.3}", w / a);
        }
    }
}
