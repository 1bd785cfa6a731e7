//! Clients stop waiting while an upgrade is under way.

use super::{one_row, request_id, settings, Site};
use crate::client::{query, Client};
use crate::engine::{Engine, Reply};
use crate::feed::Feed;
use crate::manager::{free_address, is_healthy, wait_until, Manager, Told};
use crate::{Bench, Verdict};
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

/// How long an engine runs each query.
const WORK: Duration = Duration::from_millis(1600);
/// When the clients that have no answer stop waiting, after their requests were sent.
const STOP_WAITING: Duration = Duration::from_millis(1250);
/// What the pages allow between the client's departure and the last attempt that may begin, with the 50 ms by which
/// every time limit is longer on sockets.
const GRACE_S: f64 = 0.1 + 0.05;
const CLIENTS: u64 = 40;

/// A load with a key of its own, each into another group of tables.
fn load(id: &str, number: usize) -> String {
    format!(
        "/* kind=tariff-load,req={id},timeout=20000,owner=sud-transport,opkey=5c0f6e1a2b3d4c59{id},ms=3200.0,heap_mb=96 */ INSERT INTO sales_{}.tariffs VALUES ('{id}')",
        number + 1
    )
}

pub fn run(bench: &Bench) -> Verdict {
    let record = &bench.record;
    let engines: Vec<Engine> = ["s-00c41f7a", "s-00c41f7b"]
        .iter()
        .map(|id| Engine::start(id, record, |run| Reply::Serve(WORK, one_row(&run.id))))
        .collect();
    let listed: Vec<(String, std::net::SocketAddr)> =
        engines.iter().map(|engine| (engine.name.clone(), engine.address)).collect();
    let feed = Feed::start(record);
    // The platform holds the clients' listening socket.
    let held = TcpListener::bind("127.0.0.1:0").expect("the clients' port");
    let listen = held.local_addr().unwrap();
    let settings = settings(&Site { cores: 12.0, ..Site::default() });
    let folder = bench.tmpdir("n3");
    let start = |label: &str, operator| {
        let told = Told {
            name: "n3",
            listen,
            operator: Some(operator),
            feed: feed.address,
            engines: &listed,
            settings: &settings,
            memory_mb: 192,
            sockets: 1024,
            held: Some(&held),
            folder: &folder,
        };
        Manager::start(&bench.root, &told, record, label)
    };
    let old_operator = free_address();
    let mut old = start("old", old_operator);
    if !wait_until(Duration::from_secs(10), || is_healthy(old_operator)) {
        return Verdict::CouldNotRun("the first process is not healthy within 10 s".to_owned());
    }
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        match Client::connect(listen) {
            Ok(client) => clients.push((request_id(number), client)),
            Err(error) => return Verdict::CouldNotRun(format!("a client cannot connect: {error}")),
        }
    }
    for (number, (id, client)) in clients.iter_mut().enumerate() {
        let text = load(id, number);
        if client.send(&query(&text)).is_err() {
            return Verdict::CouldNotRun("a request cannot be sent".to_owned());
        }
    }
    let sent = Instant::now();
    record.line(format!("{CLIENTS} clients have sent a request each"));
    let mut new = None;
    if bench.trouble {
        let operator = free_address();
        let started = start("new", operator);
        if !wait_until(Duration::from_secs(6), || is_healthy(operator)) {
            return Verdict::CouldNotRun("the second process is not healthy within 6 s".to_owned());
        }
        record.line("the second process says yes");
        old.signal("TERM", record);
        new = Some(started);
        if sent.elapsed() >= STOP_WAITING {
            return Verdict::CouldNotRun("the upgrade took too long for this case".to_owned());
        }
    }
    thread::sleep(STOP_WAITING.saturating_sub(sent.elapsed()));
    // Those whose requests no engine has, and that have no answer, stop waiting: a CancelRequest now, the close half
    // a second later.
    let begun = |id: &str| engines.iter().any(|engine| engine.runs().iter().any(|run| run.id == *id));
    let (mut gone, mut waiting) = (Vec::new(), Vec::new());
    for (id, client) in clients {
        if begun(&id) {
            // An engine runs it: this client waits on.
            waiting.push((id, client));
            continue;
        }
        // One that was answered has not stopped waiting.
        let _ = client.stream.set_nonblocking(true);
        let answered = client.stream.peek(&mut [0]).is_ok();
        let _ = client.stream.set_nonblocking(false);
        if answered {
            record.line(format!("client {id} was answered before it stopped waiting"));
            continue;
        }
        if client.cancel(listen).is_ok() {
            let at = record.now();
            record.line(format!("client {id} sends a CancelRequest"));
            gone.push((id, at, client));
        }
    }
    if gone.len() < 3 {
        return Verdict::CouldNotRun(format!(
            "only {} requests were held when clients stopped waiting",
            gone.len()
        ));
    }
    let departed: Vec<(String, f64)> = gone.iter().map(|(id, at, _)| (id.clone(), *at)).collect();
    thread::sleep(Duration::from_millis(500));
    for (_, _, client) in gone {
        client.close();
    }
    record.line("their sessions are closed");
    for (id, client) in &mut waiting {
        let answer = client.answer(Duration::from_secs(4));
        record.line(format!("{id}: {}", answer.text()));
    }
    thread::sleep(Duration::from_secs(1));
    let mut late = Vec::new();
    for (id, at) in &departed {
        for engine in &engines {
            for run in engine.runs().iter().filter(|run| run.id == *id && run.at > at + GRACE_S) {
                late.push(format!(
                    "{id} began at {} {:.3} s after its CancelRequest",
                    engine.name,
                    run.at - at
                ));
            }
        }
    }
    late.iter().for_each(|line| record.line(line));
    let old_end = old.ended();
    record.line(format!("old process: {}", old_end.unwrap_or_else(|| "still runs".to_owned())));
    drop(new);
    if late.is_empty() {
        return Verdict::Held(format!("{} clients stopped waiting, no attempt began later", departed.len()));
    }
    Verdict::Broken(format!(
        "{} of {} cancelled requests were sent to an engine more than {GRACE_S:.2} s after the CancelRequest; first: {}",
        late.len(),
        departed.len(),
        late[0]
    ))
}
