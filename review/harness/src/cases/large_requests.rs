//! Bad clients connect by hundreds and send hundreds of requests at once, each of some 60 KB.

use super::{one_row, request_id, settings, Site};
use crate::client::{query, Answer, Client};
use crate::engine::{Engine, Reply};
use crate::feed::Feed;
use crate::manager::{free_address, wait_until, Manager, Told};
use crate::{Bench, Verdict};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The limits that the configuration tells. A page gives 32 to 192 MB and 256 to 1,024 descriptors.
const MEMORY_MB: u32 = 48;
const SOCKETS: u32 = 512;
/// Bad clients that are connected at a time.
const BAD_CLIENTS: usize = 280;
/// Bytes of the statement in each of their two requests.
const STATEMENT: usize = 62_000;
/// The second request follows the first.
const SECOND_AFTER: Duration = Duration::from_millis(400);
/// How long the platform looks at the memory.
const DURATION: Duration = Duration::from_secs(8);
const USUAL_CLIENTS: u64 = 6;

pub fn run(bench: &Bench) -> Verdict {
    let record = &bench.record;
    // Sound engines: a usual query takes 0.4 s, one of the large ones 3 s.
    let reply = |run: &crate::engine::Run| {
        let time = if run.body.len() > 10_000 { 3000 } else { 400 };
        Reply::Serve(Duration::from_millis(time), one_row(&run.id))
    };
    let engines: Vec<Engine> =
        (0..6).map(|number| Engine::start(&format!("s-00c41f7{number}"), record, reply)).collect();
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
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
        held: None,
        folder: &folder,
    };
    let mut manager = Manager::start(&bench.root, &told, record, "n3");
    if !wait_until(Duration::from_secs(10), || Client::connect(listen).is_ok()) {
        return Verdict::CouldNotRun("no session within 10 s".to_owned());
    }
    let stop = Arc::new(AtomicBool::new(false));
    let counts: Arc<Mutex<Counts>> = Arc::default();
    let ids = Arc::new(AtomicU64::new(0));
    let usual: Vec<_> = (0..USUAL_CLIENTS)
        .map(|_| {
            let (stop, counts, ids, record) =
                (Arc::clone(&stop), Arc::clone(&counts), Arc::clone(&ids), record.clone());
            thread::spawn(move || usual_client(listen, &stop, &counts, &ids, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let crowd = bench.trouble.then(|| {
        let (stop, record) = (Arc::clone(&stop), record.clone());
        thread::spawn(move || bad_clients(listen, &stop, &record))
    });
    let limit_kb = u64::from(MEMORY_MB) * 1024;
    let (began, mut peak_kb, mut over) = (Instant::now(), 0, None);
    while began.elapsed() < DURATION {
        if let Some(status) = manager.ended() {
            record.line(format!("n3 ended by itself: {status}"));
            over = Some("ended by itself".to_owned());
            break;
        }
        let memory_kb = manager.private_memory_kb(&folder);
        if memory_kb > peak_kb + 200 {
            peak_kb = memory_kb;
            record.line(format!("n3 has {memory_kb} kB of private memory"));
        }
        if memory_kb > limit_kb {
            // The platform's part: over its memory limit the workload manager is killed.
            record.line(format!("n3 is over its limit of {limit_kb} kB: the platform kills it"));
            manager.signal("KILL", record);
            over = Some(format!(
                "had {memory_kb} kB of private memory, over its limit of {limit_kb} kB, and was killed"
            ));
            break;
        }
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(300));
    stop.store(true, Ordering::SeqCst);
    for client in usual {
        let _ = client.join();
    }
    let bad = crowd.map_or(0, |crowd| crowd.join().unwrap_or(0));
    let counts = counts.lock().unwrap().clone();
    record.line(format!("{bad} requests of bad clients; usual clients: {counts:?}; peak {peak_kb} kB"));
    match over {
        Some(what) => Verdict::Broken(format!(
            "under {bad} requests of {STATEMENT} bytes from bad clients the workload manager {what}; {} requests that usual clients had open got no answer",
            counts.lost
        )),
        None if counts.served == 0 => Verdict::CouldNotRun("usual clients were not served".to_owned()),
        None => Verdict::Held(format!("peak {peak_kb} kB of {limit_kb} kB, {counts:?}")),
    }
}

#[derive(Clone, Debug, Default)]
struct Counts {
    served: u64,
    refused_or_failed: u64,
    lost: u64,
}

/// One request after the other, each on a session of its own; after a refusal a short wait.
fn usual_client(
    to: SocketAddr,
    stop: &AtomicBool,
    counts: &Mutex<Counts>,
    ids: &AtomicU64,
    record: &crate::record::Record,
) {
    while !stop.load(Ordering::SeqCst) {
        let id = request_id(ids.fetch_add(1, Ordering::SeqCst));
        let Ok(mut client) = Client::connect(to) else {
            // No session: nothing was taken.
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let text = format!("/* kind=lane-rate,req={id},timeout=5000,owner=sud-transport,ms=400.0,heap_mb=20 */ SELECT price FROM rates_17.lanes WHERE tag = '{id}'");
        if client.send(&query(&text)).is_err() {
            continue;
        }
        let answer = client.answer(Duration::from_millis(5550));
        let mut counts = counts.lock().unwrap();
        match answer {
            Answer::Served(_) => counts.served += 1,
            Answer::Error(..) => counts.refused_or_failed += 1,
            Answer::Ended | Answer::Silent => {
                counts.lost += 1;
                record.line(format!("usual client, {id}: {}", answer.text()));
            }
        }
        drop(counts);
        if matches!(answer, Answer::Error(..)) {
            thread::sleep(Duration::from_millis(100));
        }
    }
}

/// A bad client's connection and what it has still to send.
struct Sender {
    stream: TcpStream,
    bytes: Vec<u8>,
    sent: usize,
}

fn large_request(number: usize) -> Vec<u8> {
    let id = format!("{:016x}", 0x51ab_0000_0000_0000u64 + number as u64);
    let mut text = format!("/* kind=lane-rate,req={id},timeout=6000,owner=sud-transport,ms=1.0,heap_mb=1 */ SELECT price FROM rates_17.lanes WHERE lane IN ('L0000000'");
    while text.len() < STATEMENT {
        text.push_str(&format!(",'L{:07}'", text.len()));
    }
    text.push(')');
    query(&text)
}

/// Connects [`BAD_CLIENTS`] clients, each of which sends a request at full speed, and a second one behind it;
/// returns the number of requests written whole.
fn bad_clients(to: SocketAddr, stop: &AtomicBool, record: &crate::record::Record) -> usize {
    let mut open = Vec::new();
    for number in 0..BAD_CLIENTS {
        let Ok(client) = Client::connect(to) else { continue };
        let _ = client.stream.set_nonblocking(true);
        open.push(Sender { stream: client.stream, bytes: large_request(number), sent: 0 });
    }
    record.line(format!("{} bad clients are connected; each sends a request", open.len()));
    let (began, mut has_second, mut whole) = (Instant::now(), false, 0);
    while !stop.load(Ordering::SeqCst) {
        if !has_second && began.elapsed() >= SECOND_AFTER {
            has_second = true;
            for (number, sender) in open.iter_mut().enumerate() {
                sender.bytes.extend(large_request(BAD_CLIENTS + number));
            }
            record.line(format!("{} of them send another behind it", open.len()));
        }
        let mut buffer = [0; 4096];
        open.retain_mut(|sender| {
            if sender.sent < sender.bytes.len() {
                match sender.stream.write(&sender.bytes[sender.sent..]) {
                    Ok(count) => sender.sent += count,
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                    Err(_) => return false,
                }
                whole += usize::from(sender.sent == sender.bytes.len());
            }
            match sender.stream.read(&mut buffer) {
                Ok(0) => false,
                Ok(_) => true,
                Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
            }
        });
        thread::sleep(Duration::from_millis(5));
    }
    whole
}
