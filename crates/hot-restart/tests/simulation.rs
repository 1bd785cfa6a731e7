//! Simulated hot restarts in virtual time, without and with faults.
mod common;

use common::{Event, Simulation, ENGINES, MILLISECOND};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sprucelink_hot_restart::{FolderFault, Phase, StateFileName, StateFolder};

/// Starts, kills and calls, without faults.
fn faultless_event() -> impl Strategy<Value = Event> {
    let call = (any::<u8>(), 0..ENGINES.len() as u8, any::<bool>());
    prop_oneof![
        2 => (0_u16..1_500).prop_map(|ready_after_ms| Event::Start { ready_after_ms }),
        1 => any::<u8>().prop_map(|process| Event::Kill { process }),
        4 => call.prop_map(|(process, engine, cordon)| Event::Call { process, engine, cordon }),
    ]
}

fn fault() -> impl Strategy<Value = FolderFault> {
    prop_oneof![
        (0_usize..400).prop_map(FolderFault::TornWrite),
        Just(FolderFault::NoSpace),
        Just(FolderFault::RenameDenied),
        Just(FolderFault::Unreadable),
        prop::collection::vec(any::<u8>(), 0..60).prop_map(FolderFault::ForeignBytes),
    ]
}

/// Also pauses of processes and faults of the folder.
fn event_or_fault() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => faultless_event(),
        1 => (any::<u8>(), 100_u16..5_000).prop_map(|(process, ms)| Event::Pause { process, ms }),
        2 => (any::<u8>(), fault()).prop_map(|(process, fault)| Event::Fail { process, fault }),
    ]
}

/// Events, each with the time since the previous one in milliseconds.
fn events(event: impl Strategy<Value = Event>) -> impl Strategy<Value = Vec<(i64, Event)>> {
    // Most gaps are short, so that two calls fall within one scan interval; some are longer than a hot
    // restart.
    let gap_ms = prop_oneof![3 => 0_i64..60, 2 => 60_i64..900, 1 => 900_i64..9_000];
    prop::collection::vec((gap_ms, event), 1..25)
}

fn simulate(events: &[(i64, Event)]) -> Simulation {
    let mut simulation = Simulation::new();
    for (gap_ms, event) in events {
        simulation.run(*gap_ms);
        simulation.apply(event);
    }
    // All old processes that received SIGTERM have ended by then. If the new process was killed after it was
    // healthy, no process is left.
    simulation.run(10_000);
    // The last process must find all accepted calls, and in the end only live processes may have a file.
    if simulation.live_count() == 0 {
        simulation.apply(&Event::Start { ready_after_ms: 100 });
    }
    simulation.run(90_000);
    assert_eq!(simulation.folder.names().len(), simulation.live_count(), "{:?}", simulation.folder.names());
    simulation
}

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::with_cases(120)
    }
}

proptest! {
    #![proptest_config(config(61))]

    #[test]
    fn restarts_and_kills_lose_no_cordon_overspend_no_budget_and_leave_no_client_waiting(
        events in events(faultless_event())
    ) {
        prop_assert!(!simulate(&events).has_faults);
    }
}

proptest! {
    #![proptest_config(config(62))]

    #[test]
    fn paused_processes_and_failing_folders_lose_no_cordon_and_leave_no_client_waiting(
        events in events(event_or_fault())
    ) {
        simulate(&events);
    }
}

/// The case described by the platform: an engine is cordoned at the old process, the new process of a first
/// hot restart is killed, a second hot restart completes, and the engine is uncordoned at its new process.
#[test]
fn cordon_survives_a_failed_and_a_completed_hot_restart() {
    let mut simulation = Simulation::new();
    simulation.run(500);
    simulation.apply(&Event::Call { process: 0, engine: 1, cordon: true });
    simulation.apply(&Event::Start { ready_after_ms: 200 });
    simulation.run(250);
    simulation.apply(&Event::Kill { process: 1 });
    simulation.run(3_000);
    assert_eq!((simulation.live_count(), simulation.healthy_reports), (1, 1));
    simulation.apply(&Event::Start { ready_after_ms: 200 });
    simulation.run(10_000);
    assert_eq!((simulation.live_count(), simulation.healthy_reports), (1, 2));
    simulation.apply(&Event::Call { process: 0, engine: 1, cordon: false });
    simulation.run(1_000);
    assert_eq!(simulation.call_count, 2);
}

/// A file truncated on a disk without atomic renames is rejected, reported once, and replaced by its writer's
/// next write; another manager's file in the same folder is neither read nor removed.
#[test]
fn truncated_file_is_rejected_and_the_next_one_is_read() {
    let simulation = Simulation::new();
    let instance = sprucelink_hot_restart::Instance { name: "n3".into(), listen: "127.0.0.1:7001".into() };
    let open = |folder| {
        sprucelink_hot_restart::StateFileDriver::open(
            folder,
            instance.clone(),
            "t",
            8,
            sprucelink_hot_restart::Timestamp::from_micros(simulation.now),
        )
    };
    let foreign_name = "sprucelink.00000001.9-5.handover";
    simulation.folder.put(foreign_name, b"contents of another manager");
    let (writer, reader) = (simulation.folder.handle(), simulation.folder.handle());
    let (mut old, _) = open(writer.clone());
    let at = |ms: i64| sprucelink_hot_restart::Timestamp::from_micros(simulation.now + ms * MILLISECOND);
    writer.fail_next(FolderFault::TornFile(40));
    old.step(at(0), false, true);
    old.write(at(0), Default::default()).expect("a truncated write returns no error");
    let mut new = sprucelink_hot_restart::StateFileDriver::open(reader, instance.clone(), "t", 9, at(1)).0;
    let name = simulation
        .folder
        .names()
        .into_iter()
        .find(|name| name != foreign_name)
        .expect("the old process's file");
    assert!(StateFileName::parse(&name).is_some());
    assert_eq!(
        new.scan(at(100)).rejected.len(),
        0,
        "the rejected file was reported at the start and is not reported again"
    );
    old.write(at(250), Default::default()).expect("written");
    let scan = new.scan(at(300));
    assert_eq!((scan.files.len(), scan.files[0].phase), (1, Phase::Serving));
    new.step(at(300), false, true);
    new.write(at(300), Default::default()).expect("written");
    assert_eq!(simulation.folder.list().expect("listed").len(), 3, "the other manager's file is not removed");
}
