use super::{FleetShare, OwnLoad};

#[test]
fn share_is_equal_among_managers_and_at_least_one_core() {
    let share = |managers| FleetShare { managers, ready_cores: 40.0 };
    assert_eq!(share(4.0).cores(), 10.0);
    assert_eq!(share(200.0).cores(), 1.0);
}

#[test]
fn load_visibility_grows_with_the_share() {
    let visibility = |ready_cores| FleetShare { managers: 1.0, ready_cores }.load_visibility();
    assert_eq!(visibility(4.0), 0.5);
    assert!(visibility(1.0) < 0.25 && visibility(400.0) > 0.98);
}

#[test]
fn averages_follow_the_threads_at_each_level_and_above() {
    let share = FleetShare { managers: 1.0, ready_cores: 50.0 };
    let mut load = OwnLoad::default();
    load.update_averages([8.0, 4.0, 2.0, 0.0], share);
    let averages = [0, 1, 2, 3].map(|level| load.average_from_level(level));
    assert_eq!(averages, [0.8, 0.4, 0.2, 0.0], "20 ms of 50 cores are a tenth of ten thread-seconds");
}
