//! Golden files of the wire protocols: conversations with clients and engines, byte for byte, and calls to
//! the operators' address. Only values that differ between runs are masked: process ids and secrets, ids and
//! keys that the program generates, times, and values that depend on the load.
mod support;

use std::net::SocketAddr;
use support::admin_client::call;
use support::*;

/// Replaces the digits after each `prefix` by `#`.
fn mask_number(text: &str, prefix: &str) -> String {
    let mut parts = text.split(prefix);
    let mut masked = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let rest = part.trim_start_matches(|c: char| c.is_ascii_digit());
        masked.push_str(prefix);
        masked.push_str(if rest.len() < part.len() { "#" } else { "" });
        masked.push_str(rest);
    }
    masked
}

/// Record of a conversation with clients and an engine, one line per message.
#[derive(Default)]
struct Transcript {
    text: String,
    /// Number of commands that the engine received and that are already recorded.
    recorded_commands: usize,
}

impl Transcript {
    fn line(&mut self, sender: &str, bytes: &[u8]) {
        let text = bytes.escape_ascii().to_string();
        let text = mask_number(&mask_number(&text, "retry_after_ms="), "Come back in ");
        println!("{sender} {text}");
        self.text.push_str(&format!("{sender} {text}\n"));
    }

    fn heading(&mut self, text: &str) {
        self.text.push_str(&format!("-- {text}\n"));
    }

    fn send(&mut self, client: &mut RawClient, bytes: &[u8]) {
        self.line("client >", bytes);
        client.send(bytes);
    }

    fn message(&mut self, message: Option<Message>) {
        match message {
            // BackendKeyData: process id and secret of a session.
            Some((b'K', body)) => self.line("client <", format!("K {} random bytes", body.len()).as_bytes()),
            Some((tag, body)) => self.line("client <", &framed(tag, &body)),
            None => self.line("client <", b"(end)"),
        }
    }

    fn until_ready(&mut self, client: &mut RawClient) {
        loop {
            let message = client.message();
            let is_last = message.as_ref().is_none_or(|m| m.0 == b'Z');
            self.message(message);
            if is_last {
                return;
            }
        }
    }

    /// Sends a message and reads the answer up to ReadyForQuery.
    fn ask(&mut self, client: &mut RawClient, bytes: &[u8]) {
        self.send(client, bytes);
        self.until_ready(client);
    }

    /// Records the commands that the engine received since the last call.
    fn engine_commands(&mut self, engine: &Engine) {
        for command in engine.all_received().into_iter().skip(self.recorded_commands) {
            self.recorded_commands += 1;
            // Masks `wait`, the time left, which depends on the time of sending, and `nice` (priority) and
            // `mb` (memory grant), which depend on the load.
            let mask = |part: &String| {
                let masked =
                    ["wait=", "nice=", "mb="].iter().fold(part.clone(), |p, name| mask_number(&p, name));
                format!("{masked:?}")
            };
            let parts: Vec<String> = command.parts.iter().map(mask).collect();
            self.line("engine <", parts.join(" ").as_bytes());
        }
    }
}

fn sql(class: &str, req: u64, extra: &str) -> Vec<u8> {
    let head = format!("kind={class},req={req:016x},timeout=20000,owner=sud");
    query(&format!("/* {head}{extra} */ SELECT a FROM sales_17.orders"))
}

/// A stand-in engine whose answer depends on the last digit of the request id.
fn start_engine() -> Engine {
    Engine::start(|command| match command.parts[1].as_bytes().last() {
        Some(b'c') => Reply::Hold,
        Some(b'2') => {
            Reply::Pages(vec!["1\t'a'\t\\N\n2\tb\t\u{e9}\n".into(), "3\t\t\n".into(), String::new()])
        }
        _ => Reply::Pages(vec!["1\tb\tc\n".into()]),
    })
}

fn open(transcript: &mut Transcript, address: SocketAddr, opening: &[u8]) -> RawClient {
    let mut client = RawClient::open(address);
    transcript.send(&mut client, opening);
    client
}

fn opening(code: u32, rest: &[u8]) -> Vec<u8> {
    [&(rest.len() as u32 + 8).to_be_bytes()[..], &code.to_be_bytes(), rest].concat()
}

/// Opens connections with requests for encryption, with several protocol versions and options, and with a
/// CancelRequest that matches no session. Returns the client of the last connection, whose session has
/// started.
fn openings(transcript: &mut Transcript, address: SocketAddr) -> RawClient {
    for code in [80_877_104, 80_877_103] {
        let mut client = open(transcript, address, &opening(code, b""));
        let mut byte = [0];
        std::io::Read::read_exact(&mut client.stream, &mut byte).expect("an answer");
        transcript.line("client <", &byte);
    }
    for (code, rest) in [
        (0x0002_0000, &b"user\0app\0\0"[..]),
        (0x0004_0000, b"user\0app\0\0"),
        (0x0003_0000, b"user\0ap\xff\0\0"),
        (80_877_102, b"\0\0\0\x01\0\0\0\x02"),
    ] {
        let mut client = open(transcript, address, &opening(code, rest));
        let message = client.message();
        let is_end = message.is_none();
        transcript.message(message);
        if !is_end {
            let message = client.message();
            transcript.message(message);
        }
    }
    let mut client = open(transcript, address, &opening(0x0003_0002, b"user\0app\0_pq_.more\0on\0\0"));
    transcript.until_ready(&mut client);
    let mut client = open(transcript, address, &startup());
    for _ in 0..2 {
        if client.key.is_empty() {
            let messages = client.until_ready();
            client.key = messages.iter().find(|m| m.0 == b'K').expect("a key").1.clone();
            messages.into_iter().for_each(|message| transcript.message(Some(message)));
        }
    }
    client
}

#[expect(clippy::too_many_lines, reason = "one scenario, step after step")]
/// Holds a conversation on the platform's front and returns its record.
fn platform_conversation() -> Transcript {
    let engine = start_engine();
    let program = Program::start(&[("s-1", engine.address)], None, None);
    let mut transcript = Transcript::default();
    let t = &mut transcript;
    let mut client = openings(t, program.platform);

    t.heading("served");
    t.ask(&mut client, &query(""));
    t.ask(&mut client, &sql("lane-rate", 1, ",ms=820.0,heap_mb=96"));
    t.ask(&mut client, &sql("lane-rate", 2, ""));
    engine.wait_for("page", 2);
    t.ask(&mut client, &sql("tariff-load", 3, ",opkey=5c0f6e,resent=1,unknown=x"));
    t.engine_commands(&engine);

    t.heading("rejected by the field");
    for text in [
        "/* kind=lane-rate,req=12,timeout=5 */ SELECT 1",
        "SELECT 1",
        "/**/",
        "/* kind=lane-rate,timeout=5 */ SELECT 1",
        "/* kind=lane-rate,req=0000000000000010,owner=nobody */ SELECT 1",
        "/* kind=lane-rate,req=0000000000000001,timeout=99999999999999999999999 */ SELECT 1",
    ] {
        t.ask(&mut client, &query(text));
    }
    for more in
        [",ms=x", ",owner=nobody", ",heap_mb=1e12", ",heap_mb=-40", ",ms=nan", ",resent=2", ",timeout=5"]
    {
        t.ask(&mut client, &sql("lane-rate", 0x10, more));
    }
    t.ask(&mut client, &sql("no-such", 0x10, ""));
    t.ask(&mut client, &sql("tariff-load", 0x10, ""));
    t.ask(&mut client, &framed(b'Q', b"no end"));
    t.ask(&mut client, &query("/* kind=lane-rate,req=0000000000000011 */ SELECT 1; DROP TABLE a.b"));

    t.heading("a request's id a second time: another statement, then the same");
    let other_statement =
        String::from_utf8(sql("lane-rate", 1, "")).expect("text").replace("orders", "weight");
    t.ask(&mut client, other_statement.as_bytes());
    t.ask(&mut client, &sql("lane-rate", 1, ",ms=820.0,heap_mb=96"));

    t.heading("refused for load, with when to come back");
    t.ask(&mut client, &sql("lane-rate", 0x20, ",ms=600000"));

    t.heading("cancelled");
    t.send(&mut client, &sql("lane-rate", 0x2c, ",ms=5"));
    wait_until(|| engine.received("do").iter().any(|command| command.parts[1].ends_with("2c")).then_some(()));
    client.cancel(program.platform);
    t.until_ready(&mut client);
    engine.wait_for("undo", 1);
    t.engine_commands(&engine);

    t.heading("messages that are not spoken here");
    t.ask(&mut client, &[parse("", "x"), bind("", "", &[]), execute("", 0), sync()].concat());
    t.ask(&mut client, &[framed(b'F', b"\0\0\0\x01"), sync()].concat());
    t.ask(&mut client, &sync());
    t.ask(&mut client, &[framed(b'p', b"secret\0"), sync()].concat());
    t.ask(&mut client, &query("SELECT 1"));

    t.heading("the end, asked for and forced");
    t.send(&mut client, &framed(b'X', b""));
    let last = client.message();
    t.message(last);
    let mut client = RawClient::connect(program.platform);
    t.send(&mut client, &[b'Q', 0xff, 0xff, 0xff, 0xff]);
    for _ in 0..2 {
        let message = client.message();
        t.message(message);
    }
    t.engine_commands(&engine);
    transcript
}

#[test]
fn conversation_on_the_platforms_front_has_the_same_bytes_as_before() {
    golden::assert_matches("wire-platform.txt", &platform_conversation().text);
}

const LANE: &str = "/* kind=lane-rate,ms=5 */ SELECT price FROM rates_3.lanes WHERE lane = $1";

fn describe(object_type: u8, name: &str) -> Vec<u8> {
    framed(b'D', &[&[object_type], name.as_bytes(), b"\0"].concat())
}

/// Replaces generated request ids and keys by names, numbered in the order in which they first occur.
fn mask_generated(text: &str) -> String {
    let mut generated: Vec<&str> = Vec::new();
    let quoted = text.lines().filter(|l| l.starts_with("engine <")).flat_map(|l| l.split('"'));
    for part in quoted.flat_map(|part| part.split(['=', ',', '\\'])) {
        let is_hex = part.bytes().all(|b| b.is_ascii_hexdigit());
        if is_hex && [16, 32].contains(&part.len()) && !generated.contains(&part) {
            generated.push(part);
        }
    }
    let mut masked = text.to_owned();
    generated.sort_by_key(|part| std::cmp::Reverse((part.len(), text.find(part).map(std::cmp::Reverse))));
    for (number, part) in generated.iter().enumerate() {
        masked = masked.replace(part, &format!("drawn-{}-{number}", part.len()));
    }
    masked
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step after step")]
fn conversation_on_the_second_front_has_the_same_bytes_as_before() {
    let has_held = std::sync::atomic::AtomicBool::new(false);
    let engine = Engine::start(move |command| {
        let is_held =
            command.parts[3].contains("hold") && !has_held.swap(true, std::sync::atomic::Ordering::SeqCst);
        match is_held {
            true => Reply::Hold,
            false => Reply::Pages(vec!["1\ta\tb\n2\ta\tb\n".into(), "3\ta\tb\n".into()]),
        }
    });
    let operator = r#"{"listen":"127.0.0.1:0","default_tenant":"sud"}"#;
    let program = Program::start(&[("s-1", engine.address)], None, Some(operator));
    let address = program.second.expect("the second front is on");
    let mut transcript = Transcript::default();
    let t = &mut transcript;
    let mut client = openings(t, address);

    t.heading("prepared, described, bound, executed in parts, closed");
    t.ask(&mut client, &[parse("st", LANE), describe(b'S', "st"), sync()].concat());
    let bound = bind("po", "st", &["o'lane"]);
    t.ask(&mut client, &[bound, describe(b'P', "po"), execute("po", 2), sync()].concat());
    t.ask(&mut client, &[execute("po", 0), execute("po", 0), sync()].concat());
    t.ask(
        &mut client,
        &[framed(b'C', b"Ppo\0"), framed(b'C', b"Sst\0"), framed(b'C', b"Snil\0"), sync()].concat(),
    );
    engine.wait_for("page", 1);
    t.engine_commands(&engine);

    t.heading("simple queries, settings, a keyed class with a key drawn here");
    t.ask(&mut client, &query(""));
    t.ask(&mut client, &query("/* kind=lane-rate,ms=5 */ SELECT 1 FROM a_1.b"));
    t.ask(&mut client, &query("/* kind=tariff-load,ms=5 */ INSERT INTO t_1.x VALUES (1)"));
    t.ask(&mut client, &query("/* kind=tariff-load,ms=5,opkey=k-1 */ INSERT INTO t_1.x VALUES (1)"));
    for text in ["SET statement_timeout = '400ms'", "SET statement_timeout TO DEFAULT", "SHOW server_version"]
    {
        t.ask(&mut client, &query(text));
    }
    engine.wait_for("page", 4);
    t.engine_commands(&engine);

    t.heading("not supported, not there, there already");
    for text in ["BEGIN", "COPY t FROM STDIN", "SELECT 1; SELECT 2", "DECLARE c CURSOR FOR x", "SELECT 1"] {
        t.ask(&mut client, &query(text));
    }
    t.ask(&mut client, &[bind("", "nil", &[]), parse("", "SELECT"), sync()].concat());
    t.ask(&mut client, &[execute("nil", 0), sync()].concat());
    t.ask(&mut client, &[describe(b'S', "nil"), sync()].concat());
    t.ask(&mut client, &[describe(b'P', "nil"), sync()].concat());
    t.ask(&mut client, &[parse("a", LANE), bind("p", "a", &[]), sync()].concat());
    t.ask(&mut client, &[parse("a", LANE), sync()].concat());
    t.ask(&mut client, &[framed(b'F', b"\0\0\0\x01"), sync()].concat());

    t.heading("cancelled");
    let hold = "/* kind=lane-rate,ms=5 */ SELECT hold FROM a_1.b";
    t.send(&mut client, &[parse("", hold), bind("", "", &[]), execute("", 0), sync()].concat());
    engine.wait_for("do", 5);
    client.cancel(address);
    t.until_ready(&mut client);
    engine.wait_for("undo", 1);
    t.engine_commands(&engine);
    golden::assert_matches("wire-second-front.txt", &mask_generated(&transcript.text));
}

/// Calls to the operators' address get the status and body of earlier versions.
#[test]
fn admin_calls_are_answered_as_before() {
    let engine = start_engine();
    let program = Program::with_operators(&[("s-1", engine.address)], None, SETTINGS);
    let admin = program.operators.expect("an address");
    let mut client = RawClient::connect(program.platform);
    client.ask(std::str::from_utf8(&sql("lane-rate", 1, "")[5..]).expect("text").trim_end_matches('\0'));
    let long = format!("/admin/{}", "x".repeat(20_000));
    let body = "x".repeat(100_000);
    let mut text = String::new();
    let calls = [
        ("GET", "/admin/health", ""),
        ("POST", "/admin/cordon", r#"{"target":"s-9"}"#),
        ("POST", "/admin/uncordon", r#"{"target":"s-9"}"#),
        ("POST", "/admin/cordon", r#"{"target":"s-1"}"#),
        ("POST", "/admin/cordon", r#"{"target":"s-1"}"#),
        ("GET", "/admin/stats", ""),
        ("POST", "/admin/uncordon", r#"{"target":"s-1"}"#),
        ("POST", "/admin/uncordon", r#"{"target":"s-1"}"#),
        ("POST", "/admin/uncordon", r#"{"target":"s-1","more":1}"#),
        ("POST", "/admin/cordon", "{"),
        ("POST", "/admin/cordon", ""),
        ("POST", "/admin/cordon", "{}"),
        ("POST", "/admin/cordon", r#"{"target":1}"#),
        ("POST", "/admin/cordon", r#"{"target":""}"#),
        ("POST", "/admin/cordon", &body),
        ("GET", "/admin/cordon", ""),
        ("POST", "/admin/health", ""),
        ("HEAD", "/admin/health", ""),
        ("DELETE", "/admin/stats", ""),
        ("GET", "/admin/nothing", ""),
        ("GET", "/", ""),
        ("GET", "/admin/health?x=1", ""),
        ("GET", "/admin/health/", ""),
        ("GET", &long, ""),
    ];
    for (method, path, body) in calls {
        let (status, answer) = call(admin, method, path, body);
        let path = if path.len() > 100 { "(long)" } else { path };
        let body = if body.len() > 100 { "(long)" } else { body };
        text.push_str(&format!("{method} {path} {body}: {status} {answer:?}\n"));
    }
    let (_, stats) = call(admin, "GET", "/admin/stats", "");
    text.push_str(&stats);
    golden::assert_matches("operators.txt", &text);
}
