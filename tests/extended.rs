//! The second front: PostgreSQL with extended queries, against stand-in engines on loopback.
mod support;

use std::collections::BTreeSet;
use std::time::Instant;
use support::*;

const OPERATOR: &str = r#"{"listen":"127.0.0.1:0","default_tenant":"sud"}"#;
const LANE: &str = "/* kind=lane-rate */ SELECT price FROM rates_3.lanes WHERE lane = $1";

fn start(engines: &[&Engine]) -> Program {
    let ids = ["s-1", "s-2", "s-3"];
    let engines_by_id: Vec<_> = engines.iter().enumerate().map(|(i, e)| (ids[i], e.address)).collect();
    Program::start(&engines_by_id, None, Some(OPERATOR))
}

fn second_front(program: &Program) -> std::net::SocketAddr {
    program.second.expect("the second front is on")
}

async fn connect_client(program: &Program) -> tokio_postgres::Client {
    let address = second_front(program);
    let config =
        format!("host={} port={} user=desk dbname=core sslmode=disable", address.ip(), address.port());
    let (client, connection) =
        tokio_postgres::connect(&config, tokio_postgres::NoTls).await.expect("connected");
    tokio::spawn(connection);
    client
}

fn block_on<T>(test: impl std::future::Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime").block_on(test)
}

/// Every Execute of a prepared statement is a request with its own id, and is answered once and correctly.
#[test]
fn statement_prepared_once_can_be_bound_a_thousand_times() {
    let (first, second) = (Engine::echo(), Engine::echo());
    let program = start(&[&first, &second]);
    block_on(async {
        let client = connect_client(&program).await;
        let statement = client.prepare(LANE).await.expect("prepared");
        assert_eq!(statement.columns().len(), 3);
        for i in 0..1000 {
            let lane = format!("o'lane {i}");
            let rows = client.query(&statement, &[&lane]).await.expect("served");
            assert_eq!(rows.len(), 1);
            let text: &str = rows[0].get(0);
            assert_eq!(text, format!("SELECT price FROM rates_3.lanes WHERE lane = 'o''lane {i}'"));
        }
    });
    let attempts: Vec<ReceivedCommand> = [first.received("do"), second.received("do")].concat();
    let ids: BTreeSet<&str> = attempts.iter().map(|c| c.parts[1].as_str()).collect();
    assert_eq!((attempts.len(), ids.len()), (1000, 1000), "one attempt and one id for each Execute");
}

#[test]
fn binary_parameters_reach_the_engine_as_literals() {
    let engine = Engine::echo();
    let program = start(&[&engine]);
    block_on(async {
        let client = connect_client(&program).await;
        use tokio_postgres::types::Type;
        let sql = "/* kind=lane-rate,timeout=$4 */ SELECT $1, $2, $3";
        let types = [Type::INT4, Type::BOOL, Type::FLOAT8, Type::TEXT];
        let statement = client.prepare_typed(sql, &types).await.expect("prepared");
        let rows = client.query(&statement, &[&-7i32, &true, &2.5f64, &"9000"]).await.expect("served");
        assert_eq!(rows[0].get::<_, &str>(0), "SELECT (-7), TRUE, 2.5");
        let statement = client.prepare_typed("/* kind=lane-rate */ SELECT $1", &[Type::JSONB]).await;
        let statement = statement.expect("prepared");
        assert_eq!(statement.params(), [Type::JSONB]);
    });
    let wait: u64 = engine.received("do")[0].field("wait").expect("a wait").parse().expect("a number");
    assert!(wait <= 9000, "the deadline is the timeout that was bound as a parameter: {wait}");
    // The binary form of jsonb begins with a version byte, which is not supported.
    let mut client = RawClient::connect(second_front(&program));
    let mut types = b"\0SELECT $1\0\0\x01".to_vec();
    types.extend_from_slice(&3802u32.to_be_bytes());
    let mut values = b"\0\0\0\x01\0\x01\0\x01".to_vec();
    values.extend_from_slice(&[0, 0, 0, 3, 1, b'{', b'}', 0, 0]);
    client.send(&[framed(b'P', &types), framed(b'B', &values), execute("", 0), sync()].concat());
    let messages = client.until_ready();
    assert_eq!(message_types(&messages), "1EZ", "skips to Sync after the error");
    assert_eq!(error_fields(&messages)[0], "0A000");
}

/// A portal that was not executed is not a request: it isn't tied to an engine and survives a drain.
#[test]
fn portal_bound_before_a_drain_runs_on_another_engine() {
    let (old, new, feed) = (Engine::echo(), Engine::echo(), Feed::start());
    feed.send("{\"n\":1}");
    let program = Program::start(&[("s-1", old.address)], Some(&feed), Some(OPERATOR));
    let mut client = RawClient::connect(second_front(&program));
    client.send(&[parse("st", LANE), bind("po", "st", &["a"]), sync()].concat());
    assert_eq!(message_types(&client.until_ready()), "12Z");
    feed.send(list_event(2, false, &[("s-1", old.address, "draining"), ("s-2", new.address, "ready")]));
    program.wait_line("engine_id=s-2 phase=Ready");
    client.send(&[execute("po", 0), sync()].concat());
    let messages = client.until_ready();
    assert_eq!(message_types(&messages), "DCZ");
    assert_eq!((old.received("do").len(), new.received("do").len()), (0, 1));
}

/// A batch is truncated at each message boundary in turn: each request that was submitted is answered once,
/// and no other request is sent.
#[test]
fn batch_truncated_at_any_message_boundary_is_answered() {
    let engine = Engine::echo();
    let program = start(&[&engine]);
    let batch: Vec<Vec<u8>> = (0..3)
        .flat_map(|i| [parse("", LANE), bind("", "", &[&format!("lane{i}")]), execute("", 0)])
        .chain([sync()])
        .collect();
    for length in 0..=batch.len() {
        let mut client = RawClient::connect(second_front(&program));
        let before = engine.received("do").len();
        client.send(&batch[..length].concat());
        client.send(&framed(b'H', b""));
        let executes = length / 3;
        // Flush returns the answers: each submitted request is answered once.
        let mut answers = 0;
        while answers < executes {
            answers += usize::from(client.message().expect("an answer").0 == b'C');
        }
        drop(client);
        let mut other = RawClient::connect(second_front(&program));
        assert_eq!(message_types(&other.ask("")), "IZ");
        assert_eq!(engine.received("do").len() - before, executes, "truncated after message {length}");
    }
    assert!(engine.received("undo").is_empty());
}

/// The client leaves while a request is in flight: the request is cancelled at its engine, and the rest of
/// the batch is never sent.
#[test]
fn batch_of_a_departed_client_is_cancelled() {
    let engine = Engine::start(|_| Reply::Hold);
    let program = start(&[&engine]);
    let mut client = RawClient::connect(second_front(&program));
    let request = [parse("", LANE), bind("", "", &["x"]), execute("", 0)].concat();
    client.send(&[&request[..], &request[..], &sync()].concat());
    let sent = engine.wait_for("do", 1);
    drop(client);
    let undone = engine.wait_for("undo", 1);
    assert_eq!(undone[0].parts[1], sent[0].parts[1]);
    assert_eq!(engine.received("do").len(), 1, "the second Execute was never sent");
}

#[test]
fn each_execute_returns_at_most_the_clients_row_limit() {
    let pages = || vec!["1\ta\tb\n2\ta\tb\n".into(), "3\ta\tb\n".into(), "4\ta\tb\n5\ta\tb\n".into()];
    let engine = Engine::start(move |_| Reply::Pages(pages()));
    let program = start(&[&engine]);
    let mut client = RawClient::connect(second_front(&program));
    client.send(&[parse("", LANE), bind("p", "", &["x"]), execute("p", 2), execute("p", 2), sync()].concat());
    let messages = client.until_ready();
    assert_eq!(message_types(&messages), "12DDsDDsZ");
    assert_eq!(rows(&messages), ["1|a|b", "2|a|b", "3|a|b", "4|a|b"]);
    client.send(&[execute("p", 0), execute("p", 0), sync()].concat());
    let messages = client.until_ready();
    assert_eq!((message_types(&messages).as_str(), rows(&messages)), ("DCCZ", vec!["5|a|b".to_owned()]));
    assert_eq!(engine.received("do").len(), 1, "fetching further rows is not another request");
}

/// A request whose engine disconnects in the middle of its answer may be retried, since no row has been sent
/// to the client yet.
#[test]
fn engine_that_disconnects_within_its_answer_causes_a_retry() {
    let broken = Engine::start(|_| Reply::DisconnectMidAnswer("half\ta\tb\n".into()));
    let program = start(&[&broken]);
    let mut client = RawClient::connect(second_front(&program));
    client.send(&[parse("", LANE), bind("", "", &["x"]), execute("", 0), sync()].concat());
    let messages = client.until_ready();
    // The only engine never sends the second page: the request is retried within the retry budget, then
    // fails.
    assert_eq!(message_types(&messages), "12EZ");
    assert!(rows(&messages).is_empty(), "a row of an incomplete result was sent to the client");
    let attempts = broken.received("do");
    assert!((2..=6).contains(&attempts.len()), "{} attempts", attempts.len());
    let ids: BTreeSet<&str> = attempts.iter().map(|c| c.parts[1].as_str()).collect();
    assert_eq!(ids.len(), 1, "the attempts of one request have one id");
    let [code, _, detail, hint] = error_fields(&messages);
    assert!(["53400", "08006", "58000"].contains(&code.as_str()), "{code}");
    assert!(detail.starts_with("retry_after_ms=") && hint.starts_with("Come back in "), "{detail} {hint}");
}

/// The engine disconnects in the middle of its first answer only: the client gets one complete answer.
#[test]
fn result_with_a_lost_page_is_fetched_by_a_retry() {
    use std::sync::atomic::{AtomicBool, Ordering};
    static DISCONNECTED: AtomicBool = AtomicBool::new(false);
    let engine = Engine::start(|_| match DISCONNECTED.swap(true, Ordering::SeqCst) {
        false => Reply::DisconnectMidAnswer("old\ta\tb\n".into()),
        true => Reply::Pages(vec!["1\ta\tb\n".into(), "2\ta\tb\n".into()]),
    });
    let program = start(&[&engine]);
    let mut client = RawClient::connect(second_front(&program));
    client.send(&[parse("", LANE), bind("", "", &["x"]), execute("", 0), sync()].concat());
    let messages = client.until_ready();
    assert_eq!(
        (message_types(&messages).as_str(), rows(&messages)),
        ("12DDCZ", vec!["1|a|b".into(), "2|a|b".into()])
    );
    assert_eq!(engine.received("do").len(), 2);
}

/// Sessions above the configured maximum are rejected with a retry delay.
#[test]
fn session_above_the_limit_is_rejected() {
    let program = Program::start(&[], None, Some(r#"{"listen":"127.0.0.1:0","max_sessions":1}"#));
    let first = RawClient::connect(second_front(&program));
    let mut other = RawClient::open(second_front(&program));
    other.send(&startup());
    let [code, _, detail, hint] = error_fields(&[other.message().expect("an answer")]);
    assert_eq!(
        (code.as_str(), detail.as_str(), hint.as_str()),
        ("53300", "retry_after_ms=1000", "Come back in 1000 ms.")
    );
    drop(first);
}

#[test]
fn cancel_request_cancels_the_open_request() {
    let engine = Engine::start(|_| Reply::Hold);
    let program = start(&[&engine]);
    let mut client = RawClient::connect(second_front(&program));
    client.send(&[parse("", LANE), bind("", "", &["x"]), execute("", 0), sync()].concat());
    let sent = engine.wait_for("do", 1);
    client.cancel(second_front(&program));
    let messages = client.until_ready();
    assert_eq!((message_types(&messages).as_str(), error_fields(&messages)[0].as_str()), ("12EZ", "57014"));
    assert_eq!(engine.wait_for("undo", 1)[0].parts[1], sent[0].parts[1]);
    assert_eq!(message_types(&client.ask("")), "IZ", "the session continues");
}

/// Retries, counted at the engines, stay within the budget of each 5 s window: 3 retries plus a tenth of the
/// admitted requests.
#[test]
fn retries_stay_within_the_retry_budget() {
    let (first, second) =
        (Engine::start(|_| Reply::Word("crashed")), Engine::start(|_| Reply::Word("crashed")));
    let program = start(&[&first, &second]);
    let (started_at, requests) = (Instant::now(), 60);
    let mut client = RawClient::connect(second_front(&program));
    client.send(&parse("st", &LANE.replace("kind=lane-rate", "kind=lane-rate,ms=5,timeout=200")));
    for _ in 0..requests {
        client.send(&[bind("", "st", &["x"]), execute("", 0), sync()].concat());
        let messages = client.until_ready();
        assert_eq!(
            message_types(&messages).matches('E').count(),
            1,
            "one final answer for each request: {}",
            message_types(&messages)
        );
    }
    let windows = 1 + started_at.elapsed().as_secs() as usize / 5;
    let attempts: Vec<ReceivedCommand> = [first.received("do"), second.received("do")].concat();
    let first_attempts = attempts.iter().map(|c| c.parts[1].as_str()).collect::<BTreeSet<_>>().len();
    let retries = attempts.len() - first_attempts;
    assert!(first_attempts <= requests && retries > 0, "{first_attempts} first attempts, {retries} retries");
    assert!(retries <= 3 * windows + requests / 10, "{retries} retries for {requests} requests");
}

/// Every request of a class with idempotency keys has its own key, and a key that the client gives is
/// forwarded unchanged.
#[test]
fn each_request_of_a_keyed_class_carries_its_own_key() {
    let engine = Engine::echo();
    let program = start(&[&engine]);
    let mut client = RawClient::connect(second_front(&program));
    let run = |client: &mut RawClient, sql: &str, values: &[&str], times: usize| {
        client.send(&parse("", sql));
        (0..times).for_each(|_| client.send(&[bind("", "", values), execute("", 0)].concat()));
        client.send(&sync());
        assert!(!message_types(&client.until_ready()).contains('E'));
    };
    run(&mut client, "/* kind=tariff-load */ INSERT INTO t_1.x VALUES ($1)", &["v"], 2);
    run(&mut client, "/* kind=tariff-load,opkey=$2 */ INSERT INTO t_1.x VALUES ($1)", &["v", "k-1"], 2);
    run(&mut client, "/* kind=tariff-load,opkey=k-2 */ INSERT INTO t_1.x VALUES ($1)", &["v"], 2);
    let keys: Vec<String> =
        engine.received("do").iter().map(|s| s.field("once").expect("a key").to_owned()).collect();
    assert_eq!(keys[2..5], ["k-1", "k-1", "k-2"]);
    assert_ne!(keys[0], keys[1], "each Execute has its own key");
    assert_ne!(keys[5], "k-2", "a key in the statement's text is used for one request only");
    run(&mut client, "/* kind=lane-rate */ SELECT 1 FROM t_1.x", &[], 1);
    assert_eq!(engine.received("do")[6].field("once"), None);
}

#[test]
fn timeout_is_taken_from_the_field_then_the_session_then_the_class() {
    let engine = Engine::start(|_| Reply::Hold);
    let program = start(&[&engine]);
    let mut client = RawClient::connect(second_front(&program));
    assert_eq!(message_types(&client.ask("SET statement_timeout = '400ms'")), "CZ");
    let messages = client.ask("/* kind=lane-rate,ms=5 */ SELECT 1 FROM a_1.b");
    assert_eq!(error_fields(&messages)[0], "57014");
    let messages = client.ask("/* kind=lane-rate,ms=5,timeout=250 */ SELECT 1 FROM a_1.b");
    assert_eq!(error_fields(&messages)[0], "57014");
    assert_eq!(message_types(&client.ask("SET statement_timeout TO DEFAULT")), "CZ");
    client.send(&query("/* kind=lane-rate,ms=5 */ SELECT 1 FROM a_1.b"));
    // The first attempt of each request: a request that its engine does not answer may be retried.
    let first_waits = || {
        let mut ids = BTreeSet::new();
        let first_attempts = engine.received("do").into_iter().filter(|c| ids.insert(c.parts[1].clone()));
        first_attempts
            .map(|c| c.field("wait").expect("a wait").parse().expect("a number"))
            .collect::<Vec<u64>>()
    };
    let waits = wait_until(|| Some(first_waits()).filter(|w| w.len() == 3));
    assert!(waits[0] <= 400 && waits[1] <= 250, "{waits:?}");
    assert!(waits[2] > 400 && waits[2] <= 30_000, "the class's timeout: {waits:?}");
}

#[test]
fn unsupported_statements_are_rejected_without_a_request_to_an_engine() {
    let engine = Engine::echo();
    let program = start(&[&engine]);
    let mut client = RawClient::connect(second_front(&program));
    for sql in
        ["BEGIN", "COPY t FROM STDIN", "SET search_path = x", "SELECT 1; SELECT 2", "DECLARE c CURSOR FOR x"]
    {
        assert_eq!(error_fields(&client.ask(sql))[0], "0A000", "{sql}");
    }
    assert_eq!(
        error_fields(&client.ask("SELECT 1"))[0],
        "08P01",
        "neither the statement nor the operator's file names a class"
    );
    client.send(&[bind("", "nil", &[]), parse("", "SELECT"), execute("", 0), sync()].concat());
    let messages = client.until_ready();
    assert_eq!(
        (message_types(&messages).as_str(), error_fields(&messages)[0].as_str()),
        ("EZ", "26000"),
        "skips to Sync"
    );
    client.send(&[execute("nil", 0), sync()].concat());
    assert_eq!(error_fields(&client.until_ready())[0], "34000");
    client.send(&[parse("a", LANE), bind("p", "a", &[]), sync()].concat());
    let messages = client.until_ready();
    assert!(error_fields(&messages)[1].contains("parameter count"), "{:?}", error_fields(&messages));
    client.send(&[parse("a", LANE), sync()].concat());
    assert_eq!(error_fields(&client.until_ready())[0], "42P05");
    assert!(engine.received("do").is_empty());
}

/// Random bytes and messages out of order, from a fixed seed, neither end the process nor affect another
/// session.
#[test]
fn random_input_does_not_end_the_process() {
    let engine = Engine::echo();
    let mut program = start(&[&engine]);
    let mut other = RawClient::connect(second_front(&program));
    let mut gen = quickcheck::Gen::from_size_and_seed(40, 11);
    let mut bytes = move || <Vec<u8> as quickcheck::Arbitrary>::arbitrary(&mut gen);
    for i in 0..120 {
        let mut client = RawClient::open(second_front(&program));
        if i % 3 > 0 {
            client.send(&startup());
        }
        for tag in bytes().into_iter().take(12) {
            // About half of the inputs are framed as messages of a known type; the others are sent unframed.
            let body = bytes();
            let known_type = b"QPBDECHSXFdcfp"[usize::from(tag) % 14];
            let input = if tag % 2 == 0 { framed(known_type, &body) } else { body };
            if std::io::Write::write_all(&mut client.stream, &input).is_err() {
                break;
            }
        }
    }
    other.send(&[parse("st", LANE), bind("po", "st", &["x"]), execute("po", 0)].concat());
    other.send(&[framed(b'C', b"Sst\0"), execute("po", 0), sync()].concat());
    let messages = other.until_ready();
    assert_eq!(
        (message_types(&messages).as_str(), error_fields(&messages)[0].as_str()),
        ("12DC3EZ", "34000"),
        "closing a statement closes its portals"
    );
    assert!(program.is_running() && !program.lines().iter().any(|l| l.contains("panicked")));
}
