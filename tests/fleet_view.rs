//! The view of the fleet that managers keep: several processes of the program, with faults between them.
//! The protocol runs five times as fast as by default. What is better simulated in virtual time is in
//! `crates/membership/tests/model.rs`; docs/measurements/membership.md has the figures at 10 to 1,000.
use sprucelink_cluster_harness::run::{self, Outcome, Program};
use sprucelink_cluster_harness::scenario::Scenario;

/// A period of 200 ms: a crash is detected within some seconds, and a loaded machine still answers in time.
const FAST: &str = "protocol: { period_ms: 200, timeout_ms: 80, gossip_ms: 50, rejoin_ms: 500 }";

fn play(name: &str, scenario: &str) -> Outcome {
    let scenario = Scenario::parse(scenario).expect("a scenario");
    let dir = run::scratch(name);
    let program =
        Program { path: env!("CARGO_BIN_EXE_sprucelink").into(), args: Vec::new(), dir: dir.clone() };
    let got = run::run(&scenario, &program).expect("carried out");
    run::clear(&dir);
    for v in got.views.iter().step_by(4) {
        eprintln!(
            "{name} {:6.2} s: {} of {} right, {} views",
            v.at, v.right_views, v.polled, v.distinct_views
        );
    }
    assert_eq!((got.report.became_ready, got.report.crashed), (got.report.managers, 0));
    assert_eq!(got.report.lost, 0, "what the managers serve is not touched");
    got
}

/// The number of lines of all logs that contain both texts.
fn count_lines(got: &Outcome, one: &str, other: &str) -> usize {
    got.logs.iter().flat_map(|l| l.lines()).filter(|l| l.contains(one) && l.contains(other)).count()
}

/// One is killed and restarted later under its name: the others detect both, and declare nobody else dead.
#[test]
fn killed_manager_is_declared_dead_and_replaced_by_its_restart() {
    let got = play(
        "view-kill",
        &format!(
            "{{ managers: 5, seconds: 18, load: {{ rate: 20 }}, engines: {{ count: 2 }}, membership: {{ {FAST} }},
                steps: [ {{ at: 4, do: {{ kill: {{ from: 0.8, to: 1 }} }} }},
                         {{ at: 13, do: {{ restart: {{ from: 0.8, to: 1 }} }} }} ] }}"
        ),
    );
    assert!(got.seconds_to_agreement(0.0, 4.0).is_some(), "they come to one view");
    assert!(got.seconds_to_agreement(4.0, 13.0).is_some(), "without the dead one");
    assert!(got.seconds_to_agreement(13.0, 18.5).is_some(), "and with the new process");
    assert_eq!(count_lines(&got, "membership changed member=n4 change=died ", ""), 4);
    assert_eq!(
        count_lines(&got, "membership changed member=n4 change=restarted ", "")
            + count_lines(&got, "membership changed member=n4 change=joined ", ""),
        8,
        "twice, by four"
    );
}

/// Two thirds and one third partitioned: two views, each right about its own side; afterwards one.
#[test]
fn views_differ_in_a_partition_and_converge_afterwards() {
    let part = |p: bool| {
        format!(
            "{{ fault: {{ from: 'a', to: 'b', rule: {{ partition: {p} }} }} }} }}, {{ at: AT, do: {{ fault: {{ from: 'b', to: 'a', rule: {{ partition: {p} }} }} }}"
        )
    };
    let (cut, heal) = (part(true).replace("AT", "4"), part(false).replace("AT", "14"));
    let got = play(
        "view-part",
        &format!(
            "{{ managers: 6, groups: [0.667, 0.333], seconds: 26, load: {{ rate: 20 }}, engines: {{ count: 2 }},
                membership: {{ {FAST} }}, steps: [ {{ at: 4, do: {cut} }}, {{ at: 14, do: {heal} }} ] }}"
        ),
    );
    assert!(got.seconds_to_agreement(0.0, 4.0).is_some(), "they come to one view");
    let parted = got.views.iter().rfind(|v| v.at < 14.0).expect("views");
    assert_eq!((parted.distinct_views, parted.right_views), (2, 0), "two sides: {parted:?}");
    // Four hold four, two hold two, of six.
    assert_eq!(parted.wrong_members, 4 * 2 + 2 * 4);
    assert!(got.seconds_to_agreement(14.0, 26.5).is_some(), "one view again");
}

/// One is stopped (SIGSTOP) for longer than a suspicion lasts: it is declared dead, resumes, refutes, and declares nobody
/// dead for its own stop.
#[test]
fn stopped_manager_resumes_and_refutes() {
    let got = play(
        "view-stop",
        &format!(
            "{{ managers: 5, seconds: 22, load: {{ rate: 20 }}, engines: {{ count: 2 }}, membership: {{ {FAST} }},
                steps: [ {{ at: 4, do: {{ pause: {{ from: 0.8, to: 1 }} }} }},
                         {{ at: 14, do: {{ resume: {{ from: 0.8, to: 1 }} }} }} ] }}"
        ),
    );
    assert!(got.seconds_to_agreement(4.0, 14.0).is_some(), "without the one that is stopped");
    assert!(got.seconds_to_agreement(14.0, 22.5).is_some(), "and with it again");
    assert!(
        count_lines(&got, "membership changed member=n4 change=refuted ", "") >= 1,
        "it refuted its death"
    );
    assert_eq!(count_lines(&got, "change=died reported_by=n4 ", ""), 0, "it blamed nobody");
}

/// One in ten datagrams lost, some delayed, some corrupted: nobody is declared dead.
#[test]
fn nobody_is_declared_dead_with_loss_delay_and_corruption() {
    let got = play(
        "view-loss",
        &format!(
            "{{ managers: 5, seconds: 20, load: {{ rate: 20 }}, engines: {{ count: 2 }}, membership: {{ {FAST} }},
                steps: [ {{ at: 3, do: {{ fault: {{ from: 'a', to: 'a',
                             rule: {{ drop: 0.1, garble: 0.05, delay_ms: 2, jitter_ms: 10 }} }} }} }} ] }}"
        ),
    );
    assert!(got.seconds_to_agreement(0.0, 4.0).is_some());
    assert_eq!(count_lines(&got, "membership changed ", " change=died "), 0);
    assert!(
        count_lines(&got, "membership datagram rejected", "error=\"the checksum") > 0,
        "corrupted ones are logged"
    );
}

/// Three in ten lost: wrongly suspected members refute, and once the loss ends there is one view.
#[test]
fn views_converge_after_heavy_loss() {
    let got = play(
        "view-heavy",
        &format!(
            "{{ managers: 5, seconds: 22, load: {{ rate: 20 }}, engines: {{ count: 2 }}, membership: {{ {FAST} }},
                steps: [ {{ at: 3, do: {{ fault: {{ from: 'a', to: 'a', rule: {{ drop: 0.3 }} }} }} }},
                         {{ at: 13, do: 'heal' }} ] }}"
        ),
    );
    assert!(got.seconds_to_agreement(13.0, 22.5).is_some());
}

/// SIGTERM: a manager announces that it leaves, and nobody suspects it.
#[test]
fn manager_that_terminates_in_order_leaves() {
    let got = play(
        "view-leave",
        &format!(
            "{{ managers: 4, seconds: 14, load: {{ rate: 20 }}, engines: {{ count: 2 }}, membership: {{ {FAST} }},
                steps: [ {{ at: 4, do: {{ roll: {{ from: 0.75, to: 1 }} }} }} ] }}"
        ),
    );
    assert!(count_lines(&got, "membership changed member=n3 change=left ", "") >= 1);
    assert_eq!(count_lines(&got, "membership changed member=n3 change=died ", ""), 0);
    assert!(got.seconds_to_agreement(6.0, 14.5).is_some(), "and it comes back");
}

/// All datagrams in one direction between two managers are lost: neither can probe the other, others do on their behalf.
#[test]
fn one_way_loss_between_two_managers_is_bridged_by_indirect_probes() {
    let got = play(
        "view-one-way",
        &format!(
            "{{ managers: 5, groups: [0.6, 0.2, 0.2], seconds: 18, load: {{ rate: 20 }}, engines: {{ count: 2 }},
                membership: {{ {FAST} }}, steps: [ {{ at: 4, do: {{ fault: {{ from: 'b', to: 'c', rule: {{ drop: 1 }} }} }} }} ] }}"
        ),
    );
    assert!(got.seconds_to_agreement(0.0, 4.0).is_some(), "they come to one view");
    assert!(got.seconds_to_agreement(10.0, 18.5).is_some(), "and keep it");
    assert_eq!(count_lines(&got, "membership changed ", " change=died "), 0);
}

/// Datagrams are delayed for longer than a probe's time-out, twice: whoever is suspected meanwhile, views converge again.
#[test]
fn views_converge_after_delay_spikes() {
    let spike = |at: f64, ms: u32| {
        format!("{{ at: {at}, do: {{ fault: {{ from: 'a', to: 'a', rule: {{ delay_ms: {ms}, jitter_ms: {ms} }} }} }} }},")
    };
    let steps = [spike(4.0, 90), spike(5.5, 0), spike(8.0, 90), spike(9.5, 0)].concat();
    let got = play(
        "view-spikes",
        &format!(
            "{{ managers: 5, seconds: 18, load: {{ rate: 20 }}, engines: {{ count: 2 }}, membership: {{ {FAST} }},
                steps: [ {steps} ] }}"
        ),
    );
    assert!(got.seconds_to_agreement(10.0, 18.5).is_some());
}
