//! Upgrades in virtual time, in order and with everything that goes wrong.
mod common;

use common::{Event, World, ENGINES, MS};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sprucelink_hot_restart::{Fault, FileName, Folder, Phase};

fn in_order() -> impl Strategy<Value = Event> {
    let call = (any::<u8>(), 0..ENGINES.len() as u8, any::<bool>());
    prop_oneof![
        2 => (0_u16..1_500).prop_map(Event::Start),
        1 => any::<u8>().prop_map(Event::Kill),
        4 => call.prop_map(|(n, engine, out)| Event::Call(n, engine, out)),
    ]
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0_usize..400).prop_map(Fault::TornWrite),
        Just(Fault::NoSpace),
        Just(Fault::RenameRefused),
        Just(Fault::Unreadable),
        prop::collection::vec(any::<u8>(), 0..60).prop_map(Fault::ForeignBytes),
    ]
}

fn hostile() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => in_order(),
        1 => (any::<u8>(), 100_u16..5_000).prop_map(|(n, ms)| Event::Freeze(n, ms)),
        2 => (any::<u8>(), fault()).prop_map(|(n, fault)| Event::Fail(n, fault)),
    ]
}

fn events(of: impl Strategy<Value = Event>) -> impl Strategy<Value = Vec<(i64, Event)>> {
    // Mostly close together, some far apart: two calls within one look, and upgrades that are long over.
    let gap = prop_oneof![3 => 0_i64..60, 2 => 60_i64..900, 1 => 900_i64..9_000];
    prop::collection::vec((gap, of), 1..25)
}

fn play(events: &[(i64, Event)]) -> World {
    let mut world = World::new();
    for (gap, event) in events {
        world.run(*gap);
        world.event(event);
    }
    // Elders that were asked to go have gone by then; a newcomer killed behind its yes leaves nobody.
    world.run(10_000);
    // Whoever comes last finds all that was promised, and in the end only what lives has a file.
    if world.living() == 0 {
        world.event(&Event::Start(100));
    }
    world.run(90_000);
    assert_eq!(world.folder.names().len(), world.living(), "{:?}", world.folder.names());
    world
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
    fn upgrades_and_kills_lose_no_ban_spend_no_more_than_one_and_leave_nobody_waiting(run in events(in_order())) {
        prop_assert!(!play(&run).hostile);
    }
}

proptest! {
    #![proptest_config(config(62))]

    #[test]
    fn nor_do_processes_that_stand_still_and_folders_that_fail(run in events(hostile())) {
        play(&run);
    }
}

/// The page's day: out at the elder, an upgrade, the newcomer killed, another, back at that one.
#[test]
fn a_ban_holds_across_an_upgrade_that_fails_and_one_that_does_not() {
    let mut w = World::new();
    w.run(500);
    w.event(&Event::Call(0, 1, true));
    w.event(&Event::Start(200));
    w.run(250);
    w.event(&Event::Kill(1));
    w.run(3_000);
    assert_eq!((w.living(), w.yeses), (1, 1));
    w.event(&Event::Start(200));
    w.run(10_000);
    assert_eq!((w.living(), w.yeses), (1, 2));
    w.event(&Event::Call(0, 1, false));
    w.run(1_000);
    assert_eq!(w.calls, 2);
}

/// A file cut on a disk without atomic renames is refused, told once, and replaced by its writer's next one; a foreign
/// manager's file in the same folder is neither read nor removed.
#[test]
fn a_cut_file_is_refused_and_the_next_one_read() {
    let w = World::new();
    let me = sprucelink_hot_restart::Instance { name: "n3".into(), listen: "127.0.0.1:7001".into() };
    let open = |folder| {
        sprucelink_hot_restart::Keeper::open(
            folder,
            me.clone(),
            "t",
            8,
            sprucelink_hot_restart::Timestamp::from_micros(w.now),
        )
    };
    let foreign = "sprucelink.00000001.9-5.handover";
    w.folder.lay(foreign, b"another's");
    let (writer, reader) = (w.folder.handle(), w.folder.handle());
    let (mut elder, _) = open(writer.clone());
    let at = |ms: i64| sprucelink_hot_restart::Timestamp::from_micros(w.now + ms * MS);
    writer.fail_next(Fault::TornFile(40));
    elder.step(at(0), false, true);
    elder.write(at(0), Default::default()).expect("it hears nothing of it");
    let mut newcomer = sprucelink_hot_restart::Keeper::open(reader, me.clone(), "t", 9, at(1)).0;
    let name = w.folder.names().into_iter().find(|n| n != foreign).expect("the elder's");
    assert!(FileName::parse(&name).is_some());
    assert_eq!(newcomer.look(at(100)).refused.len(), 0, "told at the start, not again");
    elder.write(at(250), Default::default()).expect("written");
    let looked = newcomer.look(at(300));
    assert_eq!((looked.read.len(), looked.read[0].phase), (1, Phase::Serving));
    newcomer.step(at(300), false, true);
    newcomer.write(at(300), Default::default()).expect("written");
    assert_eq!(w.folder.list().expect("listed").len(), 3, "the foreign one is left alone");
}
