//! The simulator adapter's line protocol: parsing, printing, malformed lines, and the adapter run on a
//! transcript.
use sprucelink::simulator::codec::{parse_line, print_action, Line};
use sprucelink_policy::*;
use std::io::Write;
use std::process::{Command, Stdio};

fn event(line: &str) -> Event {
    match parse_line(line) {
        Ok(Some(Line::Event { instance, event })) if instance == "router_0" => event,
        other => panic!("{line}: {other:?}"),
    }
}

#[test]
fn arrival_and_attempt_end_are_parsed() {
    let Event::RequestArrived(request) =
        event("INCOMING\trouter_0\t00000000000000ff\t1\t0\t7\t2.5\t2\t0.25\tt/k\t1\t384")
    else {
        panic!()
    };
    assert_eq!(
        (request.id, request.class, request.tenant, request.tables),
        (RequestId(255), ClassId(2), 1, 7)
    );
    assert_eq!(
        (request.time_left, request.cost, request.memory_mb),
        (TimeDelta::from_micros(2_500_000), Some(0.25), Some(384.0))
    );
    assert_eq!(request.key.as_deref(), Some("t/k"));
    let Event::RequestArrived(request) =
        event("INCOMING\trouter_0\t00000000000000ff\t-\t0\t7\t2.5\t0\t-\t-\t0\t0")
    else {
        panic!()
    };
    assert_eq!((request.cost, request.memory_mb, request.key), (None, None, None));

    let line = "ENDED\trouter_0\t00000000000000ff\t0\te:1\tdelivered\t0.0185\t1\t69728\trif:7,x0:0.4,new:3";
    let Event::AttemptEnded { outcome, latency, complete, query_cost, report, .. } = event(line) else {
        panic!()
    };
    assert_eq!((outcome, latency, complete), (Outcome::Succeeded, TimeDelta::from_micros(18_500), true));
    let query_cost = query_cost.expect("a query cost");
    assert_eq!((query_cost.work, query_cost.memory_mb), (0.017, 384.0));
    assert_eq!(
        (report.queries_in_flight, report.granted_memory_fraction, report.busy_core_fraction),
        (Some(7.0), Some(0.4), None)
    );
}

#[test]
fn every_disposition_is_parsed() {
    let dispositions = [
        ("delivered", Outcome::Succeeded),
        ("app_error", Outcome::EngineError),
        ("shed", Outcome::RejectedByEngine),
        ("expired", Outcome::TimedOut),
        ("dial_failed", Outcome::ConnectFailed),
        ("dropped", Outcome::ConnectionLost),
        ("revoked", Outcome::Cancelled),
        ("unused", Outcome::NeverSent),
    ];
    for (word, expected) in dispositions {
        let line = format!("ENDED\trouter_0\t00000000000000ff\t0\te:1\t{word}\t0.1\t0\t-\t-");
        let Event::AttemptEnded { outcome, query_cost, .. } = event(&line) else { panic!() };
        assert_eq!((outcome, query_cost.is_none()), (expected, true));
    }
}

#[test]
fn progress_notes_are_parsed() {
    let note = |topic, value| {
        let line = format!("UPDATE_OF\trouter_0\t00000000000000ff\t0\te:1\t{topic}\t{value}");
        let Event::ProgressReported { note, .. } = event(&line) else { panic!() };
        note
    };
    assert_eq!(note(1, 0.5), ProgressNote::Progress(0.5));
    assert_eq!(note(2, 64.0), ProgressNote::Spills(64.0));
    assert_eq!(note(3, 1.0), ProgressNote::WaitsForMemory);
    assert_eq!(note(3, 2.0), ProgressNote::WaitsForLoad);
}

#[test]
fn settings_are_parsed_and_unknown_ones_skipped() {
    let line =
        "INIT\trouter_0\t5\tsiblings=2\tbrand_new=x\tprofiles.count=1\tprofiles.0.effect=idempotency_key\t\
                profiles.0.dedupScope=zone\tprofiles.0.deadline=6.0\tprofiles.0.allowedOn=0,2\t\
                specifics.classThreads=4\tspecifics.sizeCores=12,8\tinvariants.ratioSpan=5.0\t\
                invariants.budgetShare=0.1\tinvariants.freeResends=2.0\tloadReport.via=pull";
    let Ok(Some(Line::Start { seed: 5, settings, .. })) = parse_line(line) else { panic!() };
    let class = &settings.classes[0];
    assert_eq!((class.effect, class.group, class.threads), (Effect::Keyed, DedupGroup::Zone, 4.0));
    assert_eq!((class.kinds.as_deref(), class.zones.is_none()), (Some(&[0, 2][..]), true));
    assert_eq!((settings.gateways, settings.kind_cores.clone()), (2, vec![12.0, 8.0]));
    assert_eq!(
        (settings.report_via, settings.retry_budget.map(|b| b.free_retries)),
        (ReportVia::Probes, Some(2.0))
    );
    assert!(!settings.must_poll_endpoints && !settings.probes);
}

#[test]
fn malformed_line_is_rejected_with_the_field_name() {
    for (line, field) in [
        ("INCOMING\trouter_0\tzz\t0\t0\t1\t2\t0\t-\t-\t0\t0", "id"),
        ("INCOMING\trouter_0\t00000000000000ff\t0\t0\t1\t-\t0\t-\t-\t0\t0", "timeLeft"),
        ("ENDED\trouter_0\t00000000000000ff\t0\te:1\tvanished\t0.1\t0\t-\t-", "disposition"),
        ("CLOCK\tsoon\t1", "moment"),
        ("HEARD\trouter_0\t1\txyz", "blob"),
    ] {
        let err = parse_line(line).expect_err(line).to_string();
        assert!(err.contains(&format!("field {field} ")), "{err}");
    }
    assert!(matches!(parse_line("NEWS\trouter_0"), Ok(None)), "an unknown line is skipped");
}

#[test]
fn actions_are_printed() {
    let id = RequestId(255);
    let print = |action: &Action| {
        let mut line = String::new();
        print_action(&mut line, "router_0", action, |_| "e:1");
        line
    };
    let send =
        Action::ForwardAttempt { id, timeout: Some(TimeDelta::from_micros(80_000)), engine: EngineId(0) };
    assert_eq!(print(&send), "SEND\trouter_0\t00000000000000ff\t0.080000\te:1\n");
    let terms = Action::SetExecutionTerms { id, grant_mb: None, level: Level(3) };
    assert_eq!(print(&terms), "TUNE\trouter_0\t00000000000000ff\t0\t3\n");
    assert_eq!(print(&Action::Cancel { id, attempt: 1 }), "CALL_OFF\trouter_0\t00000000000000ff\t1\n");
    assert_eq!(print(&Action::Reject { id, retry_after: None }), "DECLINE\trouter_0\t00000000000000ff\t0\n");
    assert_eq!(print(&Action::Fail { id, retry_after: None }), "END_FAILED\trouter_0\t00000000000000ff\n");
    let timer = Action::StartTimer { delay: TimeDelta::from_micros(20_000), token: 3 };
    assert_eq!(print(&timer), "REMIND\trouter_0\t0.020000\t3\n");
    assert_eq!(print(&Action::Probe { engine: EngineId(0) }), "TOUCH\trouter_0\te:1\n");
    assert_eq!(print(&Action::BroadcastToPeers { message: vec![1, 255] }), "PUBLISH\trouter_0\tall\t01ff\n");
    assert_eq!(print(&Action::WatchEndpoints), "KEEP_INFORMED\trouter_0\t1\n");
    assert_eq!(print(&Action::Log("a\tb".into())), "NOTE_DOWN\trouter_0\ta b\n");
}

/// Runs the adapter on an input and returns whether it succeeded, its standard output and its standard error.
fn run_adapter(input: &str) -> (bool, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sprucelink-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().expect("piped").write_all(input.as_bytes()).expect("the adapter reads its input");
    let out = child.wait_with_output().expect("the adapter ends");
    let text = |b: Vec<u8>| String::from_utf8(b).expect("text");
    (out.status.success(), text(out.stdout), text(out.stderr))
}

fn init(instance: &str) -> String {
    format!(
        "INIT\t{instance}\t9\tsiblings=1\tprofiles.count=1\tprofiles.0.effect=read_like\tprofiles.0.aim=1.0\t\
         profiles.0.deadline=5.0\tlimits.maxAttempts=2\tlimits.cancel=true\tspecifics.priorities=true\t\
         specifics.sizeCores=8\n"
    )
}

fn traffic(instance: &str) -> String {
    let mut text = format!("MEMBERS\t{instance}\tremembered\t1\t0\n");
    for i in 0..20 {
        text += &format!("INCOMING\t{instance}\t{i:016x}\t0\t0\t{i}\t5.0\t0\t0.1\t-\t0\t0\n");
    }
    text
}

const POOL: &str = "POOL\t0\t3\nENGINE\te:1\t0\t0\t0\tready\t1\t-\nENGINE\te:2\t0\t0\t0\tready\t1\t-\n\
                    ENGINE\te:3\t0\t0\t0\todd_state\t1\t-\n";

#[test]
fn each_batch_of_a_transcript_is_answered() {
    let text = format!("CLOCK\t5.0\t1\nCOMMIT\nCLOCK\t5.1\t2\n{}{POOL}", init("router_0"))
        + &traffic("router_0")
        + "COMMIT\nCLOCK\t5.2\t3\nHALT\trouter_0\nDUE\trouter_0\t0\nCOMMIT\n";
    let (ok, out, err) = run_adapter(&text);
    assert!(ok, "{err}");
    assert!(out.starts_with("EOR\t1\n") && out.ends_with("EOR\t2\nEOR\t3\n"), "{out}");
    assert_eq!(out.lines().filter(|l| l.starts_with("SEND\t")).count(), 20);
}

#[test]
fn instance_acts_the_same_alone_and_beside_another() {
    let own_lines = |out: &str| -> Vec<String> {
        out.lines().filter(|l| l.contains("\trouter_0\t")).map(str::to_owned).collect()
    };
    let alone = format!("CLOCK\t5.0\t1\n{}{POOL}{}COMMIT\n", init("router_0"), traffic("router_0"));
    let other = "POOL\t1\t1\nENGINE\te:3\t0\t0\t0\tready\t1\t-\nMEMBERS\trouter_1\tremembered\t1\t1\n";
    let both = format!("CLOCK\t5.0\t1\n{}{other}{}{POOL}", init("router_1"), init("router_0"))
        + &traffic("router_0")
        + "COMMIT\n";
    let (actions_alone, actions_beside) =
        (own_lines(&run_adapter(&alone).1), own_lines(&run_adapter(&both).1));
    assert!(actions_alone.len() > 20);
    assert_eq!(actions_alone, actions_beside);
}

#[test]
fn malformed_line_stops_the_adapter_with_a_message() {
    let (ok, _, err) = run_adapter("CLOCK\t5.0\t1\nINIT\trouter_0\tseed\nCOMMIT\n");
    assert!(!ok);
    assert!(err.contains("line 2") && err.contains("randomSeed"), "{err}");
    let (ok, out, _) = run_adapter("");
    assert!(ok && out.is_empty(), "empty input is not an error");
}
