//! Bad clients send what can't be read: a comment with thousands of fields that no page knows.

use super::{one_row, request_id, settings, Site};
use crate::client::{query, Answer, Client};
use crate::engine::{Engine, Reply};
use crate::feed::Feed;
use crate::manager::{free_address, wait_until, Manager, Told};
use crate::{Bench, Verdict};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Bad clients, each with one session and one message on it.
const BAD_CLIENTS: usize = 120;
/// Fields in the comment of a bad client's message, which has about 64,700 bytes.
const FIELDS: usize = 12_900;
const USUAL_CLIENTS: u64 = 6;
/// A usual client's time for each request: the class's give-up time.
const TIMEOUT_MS: u64 = 6000;
/// What a page allows behind a request's time: half a second, and 50 ms on sockets.
const LATE: Duration = Duration::from_millis(550);
/// Before the bad clients' messages, and for how long usual clients begin requests behind them.
const QUIET: Duration = Duration::from_secs(2);
const AFTER: Duration = Duration::from_secs(8);

pub fn run(bench: &Bench) -> Verdict {
    let record = &bench.record;
    let engines: Vec<Engine> = ["s-00c41f7a", "s-00c41f7b"]
        .iter()
        .map(|id| Engine::start(id, record, |run| Reply::Serve(Duration::from_millis(250), one_row(&run.id))))
        .collect();
    let listed: Vec<_> = engines.iter().map(|engine| (engine.name.clone(), engine.address)).collect();
    let feed = Feed::start(record);
    let listen = free_address();
    let folder = bench.tmpdir("n3");
    let told = Told {
        name: "n3",
        listen,
        operator: None,
        feed: feed.address,
        engines: &listed,
        settings: &settings(&Site::default()),
        memory_mb: 192,
        sockets: 1024,
        held: None,
        folder: &folder,
    };
    let mut manager = Manager::start(&bench.root, &told, record, "n3");
    if !wait_until(Duration::from_secs(10), || Client::connect(listen).is_ok()) {
        return Verdict::CouldNotRun("no session within 10 s".to_owned());
    }
    let mut bad = Vec::new();
    if bench.trouble {
        for _ in 0..BAD_CLIENTS {
            match Client::connect(listen) {
                Ok(client) => bad.push(client),
                Err(error) => return Verdict::CouldNotRun(format!("a bad client cannot connect: {error}")),
            }
        }
    }
    let stop = Arc::new(AtomicBool::new(false));
    let counts: Arc<Mutex<Counts>> = Arc::default();
    let ids = Arc::new(AtomicU64::new(0));
    let usual: Vec<_> = (0..USUAL_CLIENTS)
        .map(|_| {
            let (stop, counts) = (Arc::clone(&stop), Arc::clone(&counts));
            let (ids, record) = (Arc::clone(&ids), record.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    ask(listen, &request_id(ids.fetch_add(1, Ordering::SeqCst)), &counts, &record);
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    thread::sleep(QUIET);
    let before = counts.lock().unwrap().clone();
    if before.served == 0 {
        return Verdict::CouldNotRun(format!("usual clients were not served: {before:?}"));
    }
    record.line(format!("so far {before:?}"));
    let answered = Arc::new(AtomicU64::new(0));
    if bench.trouble {
        let message = query(&unreadable());
        record.line(format!("{BAD_CLIENTS} bad clients send a message of {} bytes each", message.len()));
        for mut client in bad {
            let (message, answered, record) = (message.clone(), Arc::clone(&answered), record.clone());
            thread::spawn(move || {
                let _ = client.stream.set_write_timeout(Some(Duration::from_secs(60)));
                let _ = client.send(&message);
                let answer = client.answer(Duration::from_secs(60));
                if answer.is_final() {
                    answered.fetch_add(1, Ordering::SeqCst);
                    record.line(format!("bad client: {}", answer.text()));
                }
            });
        }
    }
    thread::sleep(AFTER);
    stop.store(true, Ordering::SeqCst);
    for client in usual {
        let _ = client.join();
    }
    let answered = answered.load(Ordering::SeqCst);
    record.line(format!("{answered} of the bad clients have their answer"));
    if let Some(status) = manager.ended() {
        return Verdict::Broken(format!("the process ended: {status}"));
    }
    let counts = counts.lock().unwrap().clone();
    record.line(format!("{counts:?}"));
    if counts.lost == 0 {
        return Verdict::Held(format!("{counts:?}"));
    }
    Verdict::Broken(format!(
        "{} requests of usual clients had no answer {:.2} s after they were sent, while the process worked on {BAD_CLIENTS} messages of bad clients ({counts:?})",
        counts.lost,
        (Duration::from_millis(TIMEOUT_MS) + LATE).as_secs_f64()
    ))
}

#[derive(Clone, Debug, Default)]
struct Counts {
    served: u64,
    refused_or_failed: u64,
    lost: u64,
}

/// One request on a session of its own.
fn ask(to: std::net::SocketAddr, id: &str, counts: &Mutex<Counts>, record: &crate::record::Record) {
    let text = format!("/* kind=lane-rate,req={id},timeout={TIMEOUT_MS},owner=sud-transport,ms=250.0,heap_mb=20 */ SELECT price FROM rates_17.lanes WHERE tag = '{id}'");
    let Ok(mut client) = Client::connect(to) else {
        record.line(format!("usual client, {id}: no session, nothing sent"));
        return;
    };
    if client.send(&query(&text)).is_err() {
        return;
    }
    let sent = record.now();
    let answer = client.answer(Duration::from_millis(TIMEOUT_MS) + LATE);
    let mut counts = counts.lock().unwrap();
    match &answer {
        Answer::Served(_) => counts.served += 1,
        Answer::Error(..) => counts.refused_or_failed += 1,
        Answer::Ended | Answer::Silent => counts.lost += 1,
    }
    if !matches!(answer, Answer::Served(_)) {
        record.line(format!("usual client, {id}, sent at {sent:.4}: {}", answer.text()));
    }
}

/// A comment with [`FIELDS`] fields of different names, none of them one that the protocol page knows.
fn unreadable() -> String {
    let letters: Vec<char> = ('a'..='z').chain('A'..='Z').chain('0'..='9').chain(['_']).collect();
    let mut fields = Vec::new();
    for first in &letters {
        for second in &letters {
            for third in &letters {
                fields.push(format!("{first}{second}{third}="));
                if fields.len() == FIELDS {
                    return format!("/* {} */ SELECT 1", fields.join(","));
                }
            }
        }
    }
    String::new()
}
