//! What recording adds to an event on the serving path, in pairs within one run: the same ten seconds at 110 requests
//! a second, from the same state, fed to the module alone and recorded, turn about.
//! `cargo run --release -p sprucelink-capture --example cost`.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{recorder_settings, Day, Memory, START};
use sprucelink_capture::recorder::Recorder;
use sprucelink_capture::settings::{Answers, Settings};
use sprucelink_capture::wire::Told;
use sprucelink_policy::Policy;
use sprucelink_policy::{Event, Timestamp};
use std::time::Instant;

const PAIRS: usize = 200;

fn feed(module: &Policy, events: &[(Timestamp, Event)], recorder: &mut Option<Recorder>) -> f64 {
    let (mut brain, mut out) = (module.clone(), Vec::new());
    let began = Instant::now();
    for (at, event) in events {
        out.clear();
        if let Some(r) = recorder {
            r.record_event(*at, &brain, event, Vec::new);
        }
        brain.handle(*at, event.clone(), &mut out);
        if let Some(r) = recorder {
            r.record_answer(&out);
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
        let memory = Memory::default();
        let set = Settings { segment_s: 3_600, ..recorder_settings() };
        let mut day = Day::recorded(engines, 5, &set, memory.clone());
        day.pass(10.0);
        drop(day.recorder.take());
        let seg = memory.contents().segments.remove(0);
        let module = seg.module().expect("a state");
        let told = |r: &sprucelink_capture::segment::Record| match &r.told {
            Told::Event(event) => Some((r.at, event.clone())),
            Told::Numbered { .. } => None,
        };
        let events: Vec<(Timestamp, Event)> = seg.records.iter().filter_map(told).collect();
        for answers in [Answers::Whole, Answers::Digest] {
            let (mut alone, mut with) = (Vec::new(), Vec::new());
            for _ in 0..PAIRS {
                let set = Settings { rate_kb_s: 1_000_000, answers, ..set.clone() };
                let recorder =
                    Recorder::with_store(&set, Box::new(Memory::default()), 5, START).expect("a thread");
                let mut recorder = Some(recorder);
                alone.push(feed(&module, &events, &mut None));
                with.push(feed(&module, &events, &mut recorder));
                assert_eq!(recorder.expect("there").counters().lost, 0, "what is lost costs nothing");
            }
            let added = median(&mut alone.iter().zip(&with).map(|(a, w)| w - a).collect::<Vec<_>>());
            let (a, w) = (median(&mut alone), median(&mut with));
            println!("{engines:7}  {answers:7?}  {a:14.0}  {w:17.0}  {added:14.0}  {:5.3}", w / a);
        }
    }
}
