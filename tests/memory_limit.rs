//! All that clients can make the process hold stays within `memory_mb`: input, statements, commands that wait
//! for engines, prepared statements and portals, and answers that are not read.
mod support;

use std::io::Write;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// Limits that the platform draws together, and the strictest of each.
const LIMITS: [(usize, usize); 2] = [(48, 512), (32, 1024)];
/// Bytes of a statement in a request, near the longest that is accepted.
const STATEMENT_BYTES: usize = 62_000;
const OPERATOR: &str = r#"{"listen":"127.0.0.1:0","default_tenant":"sud"}"#;

/// Private memory of the process, in bytes: pages that are mapped from files are not counted.
fn private_bytes(program: &Program) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", program.id())).expect("read");
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).expect("a line");
    line.trim().trim_end_matches("kB").trim().parse::<usize>().expect("a number") * 1024
}

/// Engines that accept connections and read nothing, so that commands wait in this process.
fn silent_engines() -> Vec<DelayedListener> {
    (0..2).map(|_| DelayedListener::listen()).collect()
}

/// Connects as many clients as are accepted, up to `count`, with these start-up parameters.
fn connect_crowd(to: SocketAddr, count: usize, parameters: &[u8]) -> Vec<RawClient> {
    let body = [&[0, 3, 0, 0], parameters, &[0]].concat();
    let packet = [&(body.len() as u32 + 4).to_be_bytes()[..], &body].concat();
    let connect = |_| {
        let mut client = RawClient::open(to);
        client.stream.write_all(&packet).ok()?;
        loop {
            // A connection beyond the limits ends with an error.
            if client.message()?.0 == b'Z' {
                return Some(client);
            }
        }
    };
    (0..count).filter_map(connect).collect()
}

/// Writes to all clients at once, as far as the program reads, and returns the process's highest private
/// memory meanwhile.
fn peak_while_writing(program: &Program, clients: &[RawClient], text: impl Fn(usize) -> Vec<u8>) -> usize {
    let mut pending: Vec<(usize, Vec<u8>)> = (0..clients.len()).map(|index| (0, text(index))).collect();
    clients.iter().for_each(|client| client.stream.set_nonblocking(true).expect("set"));
    let (mut peak, mut progressed_at) = (0, Instant::now());
    while progressed_at.elapsed() < Duration::from_millis(300) {
        for (client, (sent, bytes)) in clients.iter().zip(&mut pending) {
            if let Ok(count) = (&client.stream).write(&bytes[*sent..]) {
                *sent += count;
                if count > 0 {
                    progressed_at = Instant::now();
                }
            }
        }
        peak = peak.max(private_bytes(program));
        thread::sleep(Duration::from_millis(1));
    }
    peak
}

fn request(id: usize) -> Vec<u8> {
    let comment = format!("/* kind=lane-rate,req={id:016x},timeout=20000,owner=sud,ms=1.0,heap_mb=1 */");
    let values = "'x',".repeat(STATEMENT_BYTES / 4);
    query(&format!("{comment} SELECT a FROM sales_17.orders WHERE b IN ({values}'y')"))
}

fn assert_within(peak: usize, memory_mb: usize, what: &str) {
    assert!(peak <= memory_mb << 20, "{what}: {} of {} KiB", peak >> 10, memory_mb << 10);
}

/// Guards against hundreds of long requests that take the process over its memory limit (review, case 2):
/// two of each client, and half of another message behind them.
#[test]
fn long_requests_of_many_clients_stay_within_the_memory_limit() {
    for (memory_mb, sockets) in LIMITS {
        let engines = silent_engines();
        let listed: Vec<_> = ["s-1", "s-2"].into_iter().zip(engines.iter().map(|e| e.address)).collect();
        let program = Program::start_limited(&listed, None, None, memory_mb, sockets);
        let clients = connect_crowd(program.platform, sockets * 5 / 9, b"user\0app\0");
        assert!(clients.len() > sockets / 2, "{} clients", clients.len());
        for round in 0..3 {
            let peak = peak_while_writing(&program, &clients, |index| request(1 + round * sockets + index));
            assert_within(peak, memory_mb, "long requests");
        }
    }
}

/// Guards against input that is never complete.
#[test]
fn incomplete_messages_of_many_clients_stay_within_the_memory_limit() {
    let (memory_mb, sockets) = (32, 1024);
    let program = Program::start_limited(&[], None, None, memory_mb, sockets);
    let clients = connect_crowd(program.platform, sockets * 5 / 9, b"user\0app\0");
    let peak = peak_while_writing(&program, &clients, |index| request(index)[..60_000].to_vec());
    assert_within(peak, memory_mb, "incomplete messages");
}

/// Guards against start-up parameters that are kept as long as their session.
#[test]
fn startup_parameters_of_many_clients_stay_within_the_memory_limit() {
    let (memory_mb, sockets) = (48, 512);
    for parameters in ["a\0\0".repeat(3_300), "_pq_.\0\0".repeat(1_400)] {
        let program = Program::start_limited(&[], None, None, memory_mb, sockets);
        let clients = connect_crowd(program.platform, sockets * 5 / 9, parameters.as_bytes());
        assert!(clients.len() > sockets / 2, "{} clients", clients.len());
        assert_within(private_bytes(&program), memory_mb, "start-up parameters");
    }
}

/// Guards against statements and portals whose names and fields are not counted.
#[test]
fn prepared_statements_of_many_clients_stay_within_the_memory_limit() {
    let long_name = "n".repeat(60_000);
    let named: Vec<u8> = (0..40).flat_map(|i| parse(&format!("{i}{long_name}"), "SELECT 1")).collect();
    let fields: Vec<String> = (0..5_000).map(|i| format!("f{i}=$1")).collect();
    let statement = format!("/* kind=lane-rate,{} */ SELECT $1", fields.join(","));
    let value = "v".repeat(50_000);
    let portals = (0..4).flat_map(|i| bind(&format!("p{i}"), "s", &[&value]));
    let bound: Vec<u8> = parse("s", &statement).into_iter().chain(portals).collect();
    let text = format!("SELECT '{}'", "x".repeat(60_000));
    let statements: Vec<u8> = (0..4).flat_map(|i| parse(&format!("s{i}"), &text)).collect();
    let (memory_mb, sockets) = (32, 1024);
    for (what, messages) in [("names", named), ("fields", bound), ("statements", statements)] {
        let program = Program::start_limited(&[], None, Some(OPERATOR), memory_mb, sockets);
        let clients = connect_crowd(program.second.expect("the second front"), 64, b"user\0app\0");
        let peak = peak_while_writing(&program, &clients, |_| [&messages[..], &sync()].concat());
        assert_within(peak, memory_mb, what);
    }
}

/// Guards against memory that some clients hold and all others miss: a request of usual length is served while
/// incomplete messages hold what there is, and a long one when they have gone.
#[test]
fn usual_request_is_served_beside_long_messages_and_a_long_one_after_them() {
    let engine = Engine::start(|_| Reply::Pages(vec!["a\tb\tc\n".into()]));
    let program = Program::start_limited(&[("s-1", engine.address)], None, None, 32, 1024);
    let mut usual = RawClient::connect(program.platform);
    let clients = connect_crowd(program.platform, 500, b"user\0app\0");
    peak_while_writing(&program, &clients, |index| request(1_000 + index)[..60_000].to_vec());
    let served = Ok(vec!["a|b|c".to_owned()]);
    let text = "/* kind=lane-rate,req=0000000000000001,timeout=20000,owner=sud */ SELECT 1";
    assert_eq!(error_or_rows(&usual.ask(text)), served);
    drop(clients);
    let answer = wait_until(|| {
        usual.send(&request(9_000));
        let answer = error_or_rows(&usual.until_ready());
        // Until the other connections have ended, the pool may be exhausted.
        let is_exhausted = answer.as_ref().is_err_and(|error| error[0] == "53200");
        (!is_exhausted).then_some(answer)
    });
    assert_eq!(answer, served);
}

/// The rows of an answer, or the code and message of its error.
fn error_or_rows(messages: &[Message]) -> Result<Vec<String>, [String; 4]> {
    if messages.iter().any(|message| message.0 == b'E') {
        return Err(error_fields(messages));
    }
    Ok(rows(messages))
}
