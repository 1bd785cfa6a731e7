//! The fleet rig on the real program: managers started together against its counting stand-ins.
use sprucelink_fleetrig::engines::CountingEngine;
use sprucelink_fleetrig::lists::ListService;
use sprucelink_fleetrig::procs::{self, Fleet};
use std::path::Path;
use std::time::{Duration, Instant};

/// Three managers start at once: each is up, calls the list service once, dials an engine for the one
/// request it is asked, and serves it; the rig counts all of it and ends every process it started.
#[test]
fn the_rig_counts_the_calls_and_dials_of_managers_started_together() {
    let start = Instant::now();
    let engine = CountingEngine::start(start).expect("an engine");
    let list = procs::list(&[("s-0001".to_owned(), engine.address)]);
    let service = ListService::start(list, start).expect("a list service");
    let dir = std::env::temp_dir().join(format!("sprucelink-rig-test-{}", std::process::id()));
    let mut fleet = Fleet::new(Path::new(env!("CARGO_BIN_EXE_sprucelink")), &dir).expect("a fleet");
    let settings = procs::settings(3);
    for i in 0..3 {
        let name = format!("n{i}");
        let config = procs::config(&name, 0xaa + i as u64, service.address, &service.known(), &settings);
        fleet.start(&name, &config, &[]).expect("started");
    }
    assert_eq!(fleet.wait_all("serving on ", Duration::from_secs(20)), 3);
    for i in 0..3 {
        let at = fleet.serving(i).expect("an address");
        assert!(
            sprucelink_fleetrig::ask_once(at, 0x100 + i as u64).expect("an answer"),
            "manager {i} served"
        );
    }
    let deadline = Instant::now() + Duration::from_secs(10);
    while service.calls.len() < 3 && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(service.calls.len(), 3, "one call each");
    assert_eq!(engine.work.len(), 3, "one query each");
    let dials = engine.dials.len();
    assert!((1..=3).contains(&dials), "{dials} dials for three managers");
    fleet.end_all();
    let _ = std::fs::remove_dir_all(&dir);
}
