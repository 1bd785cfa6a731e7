//! Seeded runs of whole councils in virtual time.

use sprucelink_council::sim::{Plan, Report, World};

/// Runs seeds on a few threads; gives each report with its seed, in the seeds' order.
fn runs(plan: &Plan, seeds: std::ops::Range<u64>) -> Vec<(u64, Report)> {
    let threads = 4;
    let mut all: Vec<(u64, Report)> = std::thread::scope(|scope| {
        let work = |lane: u64| {
            let seeds = seeds.clone();
            move || {
                seeds
                    .filter(|seed| seed % threads == lane)
                    .map(|seed| (seed, World::run(plan.clone(), seed)))
                    .collect::<Vec<_>>()
            }
        };
        let lanes: Vec<_> = (0..threads).map(|lane| scope.spawn(work(lane))).collect();
        lanes.into_iter().flat_map(|lane| lane.join().unwrap()).collect()
    });
    all.sort_by_key(|(seed, _)| *seed);
    all
}

#[test]
fn one() {
    let plan = Plan::default();
    let all = runs(&plan, 0..24);
    for (seed, report) in all {
        println!(
            "{seed} {:?} out {:?} strokes {} repl {} msgs {} el {:?} {:?}",
            report.violation,
            report.outcomes,
            report.strokes,
            report.replaced,
            report.messages,
            report.elections.iter().map(|e| e / 1000).collect::<Vec<_>>(),
            report.alarms
        );
    }
}
