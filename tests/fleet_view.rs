//! The managers' view of the fleet: several processes of the program, with network faults between them. The
//! membership protocol runs five times as fast as by default. `crates/membership/tests/model.rs` simulates
//! further cases in virtual time; docs/measurements/membership.md has measurements with 10 to 1,000 managers.
use sprucelink_cluster_harness::run::{self, Outcome, Program};
use sprucelink_cluster_harness::scenario::Scenario;

/// Membership settings with a period of 200 ms: a crash is detected within some seconds, and processes on a
/// loaded machine still answer in time.
const FAST: &str = "protocol: { period_ms: 200, timeout_ms: 80, gossip_ms: 50, rejoin_ms: 500 }";

fn play(name: &str, scenario: &str) -> Outcome {
    let scenario = Scenario::parse(scenario).expect("a scenario");
    let dir = run::scratch(name);
    let program =
        Program { path: env!("CARGO_BIN_EXE_sprucelink").into(), args: Vec::new(), dir: dir.clone() };
    let outcome = run::run(&scenario, &program).expect("carried out");
    run::clear(&dir);
    for view in outcome.views.iter().step_by(4) {
        eprintln!(
            "{name} {:6.2} s: {} of {} right, {} views",
            view.at, view.right_views, view.polled, view.distinct_views
        );
    }
    assert_eq!((outcome.report.became_ready, outcome.report.crashed), (outcome.report.managers, 0));
    assert_eq!(outcome.report.lost, 0, "no request is lost");
    outcome
}

/// Number of lines in the logs of all managers that contain both texts.
fn count_lines(outcome: &Outcome, first: &str, second: &str) -> usize {
    outcome.logs.iter().flat_map(|l| l.lines()).filter(|l| l.contains(first) && l.contains(second)).count()
}

/// A manager is killed and restarted later under the same name: the others detect both, and declare no other
/// manager dead.
#[test]
fn killed_manager_is_declared_dead_and_replaced_by_its_restart() {
    let outcome = play(
        "view-kill",
        &format!(
            "{{ managers: 5, seconds: 18, load: {{ rate: 20 }}, engines: {{ count: 2 }}, membership: {{ {FAST} }},
                steps: [ {{ at: 4, do: {{ kill: {{ from: 0.8, to: 1 }} }} }},
                         {{ at: 13, do: {{ restart: {{ from: 0.8, to: 1 }} }} }} ] }}"
        ),
    );
    assert!(outcome.seconds_to_agreement(0.0, 4.0).is_some(), "all managers agree on one view");
    assert!(outcome.seconds_to_agreement(4.0, 13.0).is_some(), "the view excludes the dead manager");
    assert!(outcome.seconds_to_agreement(13.0, 18.5).is_some(), "the view includes the new process");
    assert_eq!(count_lines(&outcome, "membership changed member=n4 change=died ", ""), 4);
    assert_eq!(
        count_lines(&outcome, "membership changed member=n4 change=restarted ", "")
            + count_lines(&outcome, "membership changed member=n4 change=joined ", ""),
        8,
        "the four other managers log the start and the restart"
    );
}

/// A partition divides the fleet into two thirds and one third: there are two views, each correct for its own
/// side, and one view after the partition.
#[test]
fn views_differ_in_a_partition_and_converge_afterwards() {
    let partition = |p: bool| {
        format!(
            "{{ fault: {{ from: 'a', to: 'b', rule: {{ partition: {p} }} }} }} }}, {{ at: AT, do: {{ fault: {{ from: 'b', to: 'a', rule: {{ partition: {p} }} }} }}"
        )
    };
    let (start_partition, end_partition) =
        (partition(true).replace("AT", "4"), partition(false).replace("AT", "14"));
    let outcome = play(
        "view-part",
        &format!(
            "{{ managers: 6, groups: [0.667, 0.333], seconds: 26, load: {{ rate: 20 }}, engines: {{ count: 2 }},
                membership: {{ {FAST} }}, steps: [ {{ at: 4, do: {start_partition} }}, {{ at: 14, do: {end_partition} }} ] }}"
        ),
    );
    assert!(outcome.seconds_to_agreement(0.0, 4.0).is_some(), "all managers agree on one view");
    let partitioned = outcome.views.iter().rfind(|v| v.at < 14.0).expect("views");
    assert_eq!(
        (partitioned.distinct_views, partitioned.right_views),
        (2, 0),
        "one view on each side: {partitioned:?}"
    );
    // Of six managers, four have a view of four and two have a view of two.
    assert_eq!(partitioned.wrong_members, 4 * 2 + 2 * 4);
    assert!(outcome.seconds_to_agreement(14.0, 26.5).is_some(), "the views converge again");
}

/// A manager is stopped (SIGSTOP) for longer than the suspicion timeout: it is declared dead, resumes and
/// refutes its death. It must not declare other managers dead because of its own pause.
#[test]
fn stopped_manager_resumes_and_refutes() {
    let outcome = play(
        "view-stop",
        &format!(
            "{{ managers: 5, seconds: 22, load: {{ rate: 20 }}, engines: {{ count: 2 }}, membership: {{ {FAST} }},
                steps: [ {{ at: 4, do: {{ pause: {{ from: 0.8, to: 1 }} }} }},
                         {{ at: 14, do: {{ resume: {{ from: 0.8, to: 1 }} }} }} ] }}"
        ),
    );
    assert!(outcome.seconds_to_agreement(4.0, 14.0).is_some(), "the view excludes the stopped manager");
    assert!(outcome.seconds_to_agreement(14.0, 22.5).is_some(), "the view includes it again");
    assert!(
        count_lines(&outcome, "membership changed member=n4 change=refuted ", "") >= 1,
        "the manager refuted its death"
    );
    assert_eq!(
        count_lines(&outcome, "change=died reported_by=n4 ", ""),
        0,
        "it declared no other manager dead"
    );
}

/// One in ten datagrams is lost, one in twenty is corrupted, and all are delayed.
#[test]
fn no_manager_is_declared_dead_with_loss_delay_and_corruption() {
    let outcome = play(
        "view-loss",
        &format!(
            "{{ managers: 5, seconds: 20, load: {{ rate: 20 }}, engines: {{ count: 2 }}, membership: {{ {FAST} }},
                steps: [ {{ at: 3, do: {{ fault: {{ from: 'a', to: 'a',
                             rule: {{ drop: 0.1, garble: 0.05, delay_ms: 2, jitter_ms: 10 }} }} }} }} ] }}"
        ),
    );
    assert!(outcome.seconds_to_agreement(0.0, 4.0).is_some());
    assert_eq!(count_lines(&outcome, "membership changed ", " change=died "), 0);
    assert!(
        count_lines(&outcome, "membership datagram rejected", "error=\"the checksum") > 0,
        "corrupted datagrams are logged"
    );
}

/// Three in ten datagrams are lost: members that are wrongly suspected refute, and the views converge after
/// the loss ends.
#[test]
fn views_converge_after_heavy_loss() {
    let outcome = play(
        "view-heavy",
        &format!(
            "{{ managers: 5, seconds: 22, load: {{ rate: 20 }}, engines: {{ count: 2 }}, membership: {{ {FAST} }},
                steps: [ {{ at: 3, do: {{ fault: {{ from: 'a', to: 'a', rule: {{ drop: 0.3 }} }} }} }},
                         {{ at: 13, do: 'heal' }} ] }}"
        ),
    );
    assert!(outcome.seconds_to_agreement(13.0, 22.5).is_some());
}

/// On SIGTERM a manager announces that it leaves, so that no other manager suspects it.
#[test]
fn manager_that_gets_sigterm_announces_that_it_leaves() {
    let outcome = play(
        "view-leave",
        &format!(
            "{{ managers: 4, seconds: 14, load: {{ rate: 20 }}, engines: {{ count: 2 }}, membership: {{ {FAST} }},
                steps: [ {{ at: 4, do: {{ roll: {{ from: 0.75, to: 1 }} }} }} ] }}"
        ),
    );
    assert!(count_lines(&outcome, "membership changed member=n3 change=left ", "") >= 1);
    assert_eq!(count_lines(&outcome, "membership changed member=n3 change=died ", ""), 0);
    assert!(outcome.seconds_to_agreement(6.0, 14.5).is_some(), "the view includes it after its restart");
}

/// All datagrams in one direction between two managers are lost: neither can probe the other directly, and
/// other managers probe on their behalf.
#[test]
fn one_way_loss_between_two_managers_is_compensated_by_indirect_probes() {
    let outcome = play(
        "view-one-way",
        &format!(
            "{{ managers: 5, groups: [0.6, 0.2, 0.2], seconds: 18, load: {{ rate: 20 }}, engines: {{ count: 2 }},
                membership: {{ {FAST} }}, steps: [ {{ at: 4, do: {{ fault: {{ from: 'b', to: 'c', rule: {{ drop: 1 }} }} }} }} ] }}"
        ),
    );
    assert!(outcome.seconds_to_agreement(0.0, 4.0).is_some(), "all managers agree on one view");
    assert!(outcome.seconds_to_agreement(10.0, 18.5).is_some(), "the managers keep the view");
    assert_eq!(count_lines(&outcome, "membership changed ", " change=died "), 0);
}

/// Datagrams are delayed twice for longer than a probe's timeout: managers may be suspected meanwhile, and
/// the views converge again.
#[test]
fn views_converge_after_delay_spikes() {
    let spike = |at: f64, ms: u32| {
        format!("{{ at: {at}, do: {{ fault: {{ from: 'a', to: 'a', rule: {{ delay_ms: {ms}, jitter_ms: {ms} }} }} }} }},")
    };
    let steps = [spike(4.0, 90), spike(5.5, 0), spike(8.0, 90), spike(9.5, 0)].concat();
    let outcome = play(
        "view-spikes",
        &format!(
            "{{ managers: 5, seconds: 18, load: {{ rate: 20 }}, engines: {{ count: 2 }}, membership: {{ {FAST} }},
                steps: [ {steps} ] }}"
        ),
    );
    assert!(outcome.seconds_to_agreement(10.0, 18.5).is_some());
}
