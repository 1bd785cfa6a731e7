//! The cases of the second review: `cases NUMBER`, started by `review/NUMBER/run.sh`.

mod kit;

use kit::*;
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A small deployment: engines of one kind in two halls, and one workload manager with these limits.
struct Site {
    record: Record,
    journal: Journal,
    engines: Vec<Engine>,
    feed: Feed,
    settings: String,
}

impl Site {
    fn start(engines: usize, load_effect: &str, behaviour: Behaviour) -> Site {
        let record = Record::create();
        let journal: Journal = Arc::default();
        let start = |n: usize| Engine::start(&format!("s-{n}"), &record, &journal, Arc::clone(&behaviour));
        let engines = (0..engines).map(start).collect();
        Site { record, journal, engines, feed: Feed::start(), settings: settings(2, load_effect, [6.0, 25.0, 25.0]) }
    }
    fn known(&self) -> (u64, Vec<String>) {
        let zone = |n: usize| if n % 2 == 0 { "hall-a" } else { "hall-b" };
        let entries: Vec<Entry> = self
            .engines
            .iter()
            .enumerate()
            .map(|(n, engine)| Entry(&engine.id, engine.address, zone(n), (n / 4) as u32, "ready", 0))
            .collect();
        (1, vec![list_event(1, true, &entries)])
    }
    fn manager(&self, memory_mb: u64, sockets: u64) -> Manager {
        let tmpdir = folder("tmp");
        let launch = Launch {
            name: "n0",
            listen: free_port(),
            admin: None,
            inherited: None,
            tmpdir: &tmpdir,
            memory_mb,
            sockets,
            feed: Some(self.feed.address),
            known: self.known(),
            settings: &self.settings,
        };
        let mut manager = launch.start(&self.record);
        manager.wait_ready(&self.record);
        manager
    }
}

fn text(class: &str, id: &str, timeout_ms: u64, work_ms: f64, statement: &str) -> String {
    format!("/* kind={class},req={id},timeout={timeout_ms},owner=sud-transport,ms={work_ms:.1},heap_mb=16 */ {statement}")
}

fn main() {
    let number = std::env::args().nth(1).unwrap_or_default();
    let status = match number.as_str() {
        "pipeline" => pipeline(),
        "gone" => gone(),
        "give-up" => give_up(),
        "open-id" => open_id(),
        "handshake" => handshake(),
        other => {
            eprintln!("no case {other:?}");
            2
        }
    };
    std::process::exit(status);
}

/// A client sends many commands at once.
fn pipeline() -> i32 {
    const COMMANDS: usize = 40;
    let site = Site::start(4, "idempotency_key", Arc::new(|_| Reply::Serve(ms(30), vec![b"a\tb\tc\n".to_vec()])));
    let record = site.record.clone();
    let manager = site.manager(64, 512);
    let list: Vec<String> = (0..250).map(|n| format!("'{n:05}'")).collect();
    let statement = format!("SELECT day, price, note FROM rates_17.lanes WHERE lane IN ({})", list.join(","));
    let Some(mut client) = Client::connect(manager.listen) else { cannot_run(&record, "no session") };
    let commands: Vec<Vec<u8>> = (0..COMMANDS)
        .map(|_| query(&text("lane-rate", &format!("{:016x}", new_id()), 6_000, 30.0, &statement)))
        .collect();
    let mut answers = Vec::new();
    if trouble() {
        let bytes = commands.concat();
        record.line(format!("client: sends {COMMANDS} commands at once, {} bytes each, {} in all", commands[0].len(), bytes.len()));
        if !client.send(&bytes) {
            cannot_run(&record, "the commands could not be written");
        }
        record.line("client: the last byte of the last command is written");
        for _ in 0..COMMANDS {
            answers.push(client.answer(ms(7_000)));
        }
    } else {
        for command in &commands {
            client.send(command);
            answers.push(client.answer(ms(7_000)));
        }
    }
    for (n, answer) in answers.iter().enumerate() {
        record.line(format!("client: answer to command {}: {}", n + 1, answer.short()));
    }
    let run = site.journal.lock().unwrap().iter().filter(|command| command.word() == "do").count();
    record.line(format!("engines: {run} commands `do`"));
    let unanswered = answers.iter().filter(|a| matches!(a, Answer::Closed { .. } | Answer::Nothing)).count();
    let mut broken = Vec::new();
    if unanswered > 0 {
        broken.push(format!("lost: {unanswered} of {COMMANDS} requests that were taken got no answer"));
    }
    verdict(&record, &broken)
}

/// A client sends several commands at once, and gives up while the first one runs.
fn gone() -> i32 {
    let site = Site::start(4, "non_idempotent", Arc::new(|_| Reply::Serve(ms(240), vec![b"a\tb\tc\n".to_vec()])));
    let record = site.record.clone();
    let manager = site.manager(64, 512);
    let Some(mut client) = Client::connect(manager.listen) else { cannot_run(&record, "no session") };
    let commands = if trouble() { 6 } else { 1 };
    let ids: Vec<String> = (0..commands).map(|_| format!("{:016x}", new_id())).collect();
    let bytes: Vec<u8> =
        ids.iter().flat_map(|id| query(&text("tariff-load", id, 20_000, 240.0, "INSERT INTO rates_17.lanes SELECT 1"))).collect();
    record.line(format!("client: sends {commands} commands at once: {}", ids.join(" ")));
    client.send(&bytes);
    thread::sleep(ms(100));
    record.line("client: stops waiting and sends a CancelRequest with the session's key");
    client.cancel(manager.listen);
    let cancelled_at = record.now();
    thread::sleep(ms(500));
    record.line("client: closes the session, half a second after its CancelRequest");
    close(&client.stream);
    thread::sleep(ms(1_500));
    let mut broken = Vec::new();
    for command in site.journal.lock().unwrap().iter() {
        let after = command.at - cancelled_at;
        record.line(format!("engine {}: at {:.1} {} {} ({after:+.1} ms from the CancelRequest)", command.engine, command.at, command.word(), command.id()));
        if command.word() == "do" && after > 150.0 {
            broken.push(format!("lost: an attempt of request {} began {after:.0} ms after its client had gone", command.id()));
        }
    }
    verdict(&record, &broken)
}

/// A bad client sends the id of an open request with another statement, during an upgrade.
fn open_id() -> i32 {
    let behaviour: Behaviour = Arc::new(|received| {
        let is_long = received.field("class").as_deref() == Some("lane-report");
        Reply::Serve(ms(if is_long { 4_000 } else { 20 }), vec![format!("{}\tb\tc\n", received.id()).into_bytes()])
    });
    let site = Site::start(2, "idempotency_key", behaviour);
    let record = site.record.clone();
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    let listen = socket.local_addr().unwrap();
    let tmpdir = folder("tmp");
    let launch = |admin| Launch {
        name: "n0",
        listen,
        admin: Some(admin),
        inherited: Some(&socket),
        tmpdir: &tmpdir,
        memory_mb: 64,
        sockets: 512,
        feed: Some(site.feed.address),
        known: site.known(),
        settings: &site.settings,
    };
    let mut old = launch(free_port()).start(&record);
    old.wait_ready(&record);
    let Some(mut usual) = Client::connect(listen) else { cannot_run(&record, "no session") };
    let id = format!("{:016x}", new_id());
    usual.send(&query(&text("lane-report", &id, 20_000, 4_000.0, "SELECT day, price, note FROM rates_17.lanes")));
    record.line(format!("usual client: sends lane-report req={id}"));
    thread::sleep(ms(300));
    let mut new = None;
    if trouble() {
        let admin = free_port();
        let process = launch(admin).start(&record);
        let end = std::time::Instant::now() + ms(6_000);
        while admin_call(admin, "GET", "/admin/health", "") != Some(200) {
            if std::time::Instant::now() > end {
                cannot_run(&record, "the new process did not say yes within 6 s");
            }
            thread::sleep(ms(10));
        }
        record.line("platform: the new process says yes; SIGTERM to the old one");
        old.signal(SIGTERM);
        new = Some(process);
        thread::sleep(ms(200));
    }
    let Some(mut bad) = Client::connect(listen) else { cannot_run(&record, "no session for the bad client") };
    bad.send(&query(&text("lane-rate", &id, 6_000, 20.0, "SELECT owner, price, note FROM rates_23.lanes")));
    record.line(format!("bad client: sends lane-rate req={id} with another statement"));
    let bad_answer = bad.answer(ms(7_000));
    record.line(format!("bad client: {}", bad_answer.short()));
    let usual_answer = usual.answer(ms(21_000));
    record.line(format!("usual client: {}", usual_answer.short()));
    for command in site.journal.lock().unwrap().iter() {
        let body = command.parts.get(3).map_or(String::new(), |body| String::from_utf8_lossy(body).into_owned());
        record.line(format!("engine {}: at {:.1} {} {} {body}", command.engine, command.at, command.word(), command.id()));
    }
    if !matches!(usual_answer, Answer::Served(_)) {
        cannot_run(&record, "the usual client's request was not open for as long as it should be");
    }
    let mut broken = Vec::new();
    if let Answer::Served(_) = bad_answer {
        broken.push(format!("lost: a client that sent the id {id} of an open request with another statement was served"));
    }
    drop(new);
    verdict(&record, &broken)
}

/// Clients give up at once, while bad clients send hundreds of requests at once.
fn give_up() -> i32 {
    const CLIENTS: usize = 24;
    const BAD: usize = 6;
    const REQUESTS: usize = 10;
    // The engine that is asked first turns a request away unseen after its wait in line; a later one serves.
    let seen: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let behaviour: Behaviour = Arc::new(move |received| {
        let is_first = seen.lock().unwrap().insert(received.id());
        if is_first { Reply::Word(ms(250), "overload") } else { Reply::Serve(ms(30), vec![b"a\tb\tc\n".to_vec()]) }
    });
    let site = Site::start(4, "idempotency_key", behaviour);
    let record = site.record.clone();
    let manager = site.manager(64, 512);
    let (listen, ended) = (manager.listen, Arc::new(AtomicBool::new(false)));
    let mut bad_clients = Vec::new();
    for _ in 0..if trouble() { BAD } else { 0 } {
        let ended = Arc::clone(&ended);
        bad_clients.push(thread::spawn(move || {
            let requests: Vec<u8> = (0..300).flat_map(|_| query("/* kind=none,req=1 */ SELECT 1")).collect();
            let mut answers = 0;
            while !ended.load(Ordering::Relaxed) {
                let Some(mut client) = Client::connect(listen) else { continue };
                client.send(&requests);
                answers += (0..300).take_while(|_| matches!(client.answer(ms(3_000)), Answer::Error(..))).count();
            }
            answers
        }));
    }
    let start_client = |n: usize| {
        let record = record.clone();
        thread::spawn(move || {
            thread::sleep(ms(200 + 23 * n as u64));
            let mut gone: Vec<(String, f64)> = Vec::new();
            for _ in 0..REQUESTS {
                let Some(mut client) = Client::connect(listen) else { continue };
                let id = format!("{:016x}", new_id());
                client.send(&query(&text("lane-rate", &id, 5_000, 50.0, "SELECT price, note, day FROM rates_17.lanes")));
                client.cancel(listen);
                let cancelled_at = record.now();
                let answer = client.answer(ms(500));
                thread::sleep(ms(500).saturating_sub(Duration::from_secs_f64((record.now() - cancelled_at) / 1e3)));
                close(&client.stream);
                record.line(format!("client: req={id} sent and given up at {cancelled_at:.1}, closed half a second later: {}", answer.short()));
                gone.push((id, cancelled_at));
            }
            gone
        })
    };
    let clients: Vec<_> = (0..CLIENTS).map(start_client).collect();
    let gone: Vec<(String, f64)> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    thread::sleep(ms(600));
    ended.store(true, Ordering::Relaxed);
    let answers: usize = bad_clients.into_iter().map(|client| client.join().unwrap()).sum();
    record.line(format!("bad clients: {answers} refusals or errors read"));
    if gone.len() < CLIENTS * REQUESTS / 2 {
        cannot_run(&record, "too few sessions");
    }
    let mut broken = Vec::new();
    for command in site.journal.lock().unwrap().iter().filter(|command| command.word() == "do") {
        let Some((id, cancelled_at)) = gone.iter().find(|(id, _)| *id == command.id()) else { continue };
        let after = command.at - cancelled_at;
        record.line(format!("engine {}: do {id} at {:.1} ({after:+.1} ms from the CancelRequest)", command.engine, command.at));
        if after > 150.0 {
            broken.push(format!("lost: an attempt of request {id} began {after:.0} ms after its client had gone"));
        }
    }
    record.line(format!("{} requests were given up", gone.len()));
    verdict(&record, &broken)
}

/// Clients that write their first request in pieces while idle clients fill the descriptors.
fn handshake() -> i32 {
    const CLIENTS: usize = 5;
    const CROWD: usize = 145;
    let site = Site::start(2, "idempotency_key", Arc::new(|_| Reply::Serve(ms(20), vec![b"a\tb\tc\n".to_vec()])));
    let record = site.record.clone();
    let manager = site.manager(64, 256);
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        let Some(client) = Client::open(manager.listen) else { cannot_run(&record, "no connection") };
        let id = format!("{:016x}", new_id());
        let statement = "SELECT price, note, day FROM rates_17.lanes WHERE lane = 'a-b'";
        let bytes = [startup(), query(&text("lane-rate", &id, 6_000, 20.0, statement))].concat();
        clients.push((client, id, bytes, 0_usize));
    }
    let write = |(client, id, bytes, written): &mut (Client, String, Vec<u8>, usize), count: usize| {
        let end = bytes.len().min(*written + count);
        if !client.send(&bytes[*written..end]) {
            record.line(format!("client {id}: could not write on: the connection was reset"));
            return false;
        }
        *written = end;
        true
    };
    for client in &mut clients {
        write(client, 20);
    }
    record.line(format!("clients: {CLIENTS} have written the first 20 bytes of their start-up message"));
    thread::sleep(ms(80));
    let mut crowd = Vec::new();
    if trouble() {
        crowd.extend((0..CROWD).filter_map(|_| Client::open(manager.listen)));
        record.line(format!("clients: {} idle connections more", crowd.len()));
    }
    while clients.iter().any(|(_, _, bytes, written)| *written < bytes.len()) {
        thread::sleep(ms(40));
        let mut wrote = false;
        for client in clients.iter_mut().filter(|client| client.3 < client.2.len()) {
            wrote |= write(client, 50);
        }
        if !wrote {
            break;
        }
    }
    record.line("clients: have written all of their start-up messages and queries");
    thread::sleep(ms(100));
    let mut broken = Vec::new();
    for (client, id, bytes, written) in &mut clients {
        let unread = unread_bytes(manager.listen, client.stream.local_addr().unwrap());
        let answer = client.answer(ms(7_000));
        record.line(format!("client {id}: wrote {written} of {} bytes; not read by the program: {unread:?}; answer: {}", bytes.len(), answer.short()));
        let is_lost = matches!(answer, Answer::Closed { reset: false } | Answer::Nothing);
        if is_lost && *written == bytes.len() && unread == Some(0) {
            broken.push(format!("lost: request {id} was read whole, and its connection was closed with no answer"));
        }
    }
    let run = site.journal.lock().unwrap().iter().filter(|command| command.word() == "do").count();
    record.line(format!("engines: {run} commands `do`"));
    verdict(&record, &broken)
}

/// Bytes that wait unread in the receive queue of the program's end of a connection.
fn unread_bytes(program: SocketAddr, client: SocketAddr) -> Option<u64> {
    let (program, client) = (format!(":{:04X}", program.port()), format!(":{:04X}", client.port()));
    let text = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let row = |line: &str| -> Option<u64> {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_it = fields.get(1)?.ends_with(&program) && fields.get(2)?.ends_with(&client);
        let queues = fields.get(4).filter(|_| is_it)?;
        u64::from_str_radix(queues.split_once(':')?.1, 16).ok()
    };
    text.lines().find_map(row)
}
