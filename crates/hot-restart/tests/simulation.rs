//! Hot restarts in virtual time: in order, and with faults of every kind.
mod common;

use common::{Event, Simulation, ENGINES, MS};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sprucelink_hot_restart::{FolderFault, Phase, StateFileName, StateFolder};

fn in_order() -> impl Strategy<Value = Event> {
    let call = (any::<u8>(), 0..ENGINES.len() as u8, any::<bool>());
    prop_oneof![
        2 => (0_u16..1_500).prop_map(Event::Start),
        1 => any::<u8>().prop_map(Event::Kill),
        4 => call.prop_map(|(n, engine, out)| Event::Call(n, engine, out)),
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

fn hostile() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => in_order(),
        1 => (any::<u8>(), 100_u16..5_000).prop_map(|(n, ms)| Event::Pause(n, ms)),
        2 => (any::<u8>(), fault()).prop_map(|(n, fault)| Event::Fail(n, fault)),
    ]
}

fn events(of: impl Strategy<Value = Event>) -> impl Strategy<Value = Vec<(i64, Event)>> {
    // Mostly close together, some far apart: two calls within one scan, and hot restarts that are long over.
    let gap = prop_oneof![3 => 0_i64..60, 2 => 60_i64..900, 1 => 900_i64..9_000];
    prop::collection::vec((gap, of), 1..25)
}

fn play(events: &[(i64, Event)]) -> Simulation {
    let mut simulation = Simulation::new();
    for (gap, event) in events {
        simulation.run(*gap);
        simulation.event(event);
    }
    // Old processes that got SIGTERM have ended by then; a new one killed once it was healthy leaves nobody.
    simulation.run(10_000);
    // The last process finds all accepted calls, and in the end only live processes have a file.
    if simulation.live_count() == 0 {
        simulation.event(&Event::Start(100));
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
    fn restarts_and_kills_lose_no_cordon_overspend_no_budget_and_leave_no_client_waiting(run in events(in_order())) {
        prop_assert!(!play(&run).has_faults);
    }
}

proptest! {
    #![proptest_config(config(62))]

    #[test]
    fn paused_processes_and_failing_folders_lose_no_cordon_and_leave_no_client_waiting(run in events(hostile())) {
        play(&run);
    }
}

/// The case of the platform's page: cordoned at the old process, a hot restart whose new process is killed, another one,
/// uncordoned there.
#[test]
fn cordon_survives_a_failed_and_a_completed_hot_restart() {
    let mut simulation = Simulation::new();
    simulation.run(500);
    simulation.event(&Event::Call(0, 1, true));
    simulation.event(&Event::Start(200));
    simulation.run(250);
    simulation.event(&Event::Kill(1));
    simulation.run(3_000);
    assert_eq!((simulation.live_count(), simulation.healthy_reports), (1, 1));
    simulation.event(&Event::Start(200));
    simulation.run(10_000);
    assert_eq!((simulation.live_count(), simulation.healthy_reports), (1, 2));
    simulation.event(&Event::Call(0, 1, false));
    simulation.run(1_000);
    assert_eq!(simulation.calls, 2);
}

/// A file truncated on a disk without atomic renames is rejected, reported once, and replaced by its writer's next one;
/// another manager's file in the same folder is neither read nor removed.
#[test]
fn truncated_file_is_rejected_and_the_next_one_read() {
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
    let foreign = "sprucelink.00000001.9-5.handover";
    simulation.folder.put(foreign, b"another's");
    let (writer, reader) = (simulation.folder.handle(), simulation.folder.handle());
    let (mut old, _) = open(writer.clone());
    let at = |ms: i64| sprucelink_hot_restart::Timestamp::from_micros(simulation.now + ms * MS);
    writer.fail_next(FolderFault::TornFile(40));
    old.step(at(0), false, true);
    old.write(at(0), Default::default()).expect("it gets no error");
    let mut new = sprucelink_hot_restart::StateFileDriver::open(reader, instance.clone(), "t", 9, at(1)).0;
    let name = simulation.folder.names().into_iter().find(|n| n != foreign).expect("the old's");
    assert!(StateFileName::parse(&name).is_some());
    assert_eq!(new.scan(at(100)).rejected.len(), 0, "reported at the start, not again");
    old.write(at(250), Default::default()).expect("written");
    let scan = new.scan(at(300));
    assert_eq!((scan.files.len(), scan.files[0].phase), (1, Phase::Serving));
    new.step(at(300), false, true);
    new.write(at(300), Default::default()).expect("written");
    assert_eq!(simulation.folder.list().expect("listed").len(), 3, "the foreign one is left alone");
}
