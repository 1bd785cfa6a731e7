//! A stand-in engine with service times. It answers after the service time that a request names, multiplied
//! by a slowdown that the test sets at run time, reports its load in every answer, obeys cancellations and
//! can crash.

use super::{answer, read_command};
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// State shared by the engine's handle and its connection threads.
#[derive(Default)]
struct Shared {
    /// Factor on service times, in thousandths.
    slowdown_milli: AtomicU64,
    queries_in_flight: AtomicU64,
    served: AtomicU64,
    crashed: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

/// Handle of a running stand-in engine.
pub struct TimedEngine {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

/// Service time of a statement such as `SELECT a FROM sales_17.orders WHERE ms = 250`, in milliseconds; 50
/// if the statement doesn't end with a number.
fn service_time_ms(statement: &str) -> u64 {
    statement.rsplit(' ').next().and_then(|n| n.parse().ok()).unwrap_or(50)
}

impl TimedEngine {
    pub fn start() -> TimedEngine {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::<Shared>::default();
        shared.slowdown_milli.store(1000, Ordering::SeqCst);
        let engine = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if engine.crashed.load(Ordering::SeqCst) {
                    // The stream is dropped without being read: the peer gets a reset or an end of stream at
                    // once.
                    continue;
                }
                engine
                    .connections
                    .lock()
                    .expect("unpoisoned")
                    .push(stream.try_clone().expect("a second handle"));
                let shared = Arc::clone(&engine);
                thread::spawn(move || serve(stream, &shared));
            }
        });
        TimedEngine { address, shared }
    }

    /// Multiplies the service times of later requests by `factor`.
    pub fn set_slowdown(&self, factor: f64) {
        self.shared.slowdown_milli.store((factor * 1000.0) as u64, Ordering::SeqCst);
    }

    /// Closes every open connection and, from now on, each new one, as if the process had crashed.
    pub fn crash(&self) {
        self.shared.crashed.store(true, Ordering::SeqCst);
        self.close_connections();
    }

    /// Closes every open connection; new connections are still accepted.
    pub fn close_connections(&self) {
        for stream in self.shared.connections.lock().expect("unpoisoned").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn queries_in_flight(&self) -> u64 {
        self.shared.queries_in_flight.load(Ordering::SeqCst)
    }

    pub fn served(&self) -> u64 {
        self.shared.served.load(Ordering::SeqCst)
    }
}

fn serve(stream: TcpStream, shared: &Arc<Shared>) {
    let out = Arc::new(Mutex::new(stream.try_clone().expect("a second handle")));
    let cancelled: Arc<Mutex<BTreeMap<String, bool>>> = Arc::default();
    let mut input = BufReader::new(stream);
    while let Some(parts) = read_command(&mut input) {
        let id = parts.get(1).cloned().unwrap_or_default();
        match parts[0].as_str() {
            "do" => {
                cancelled.lock().expect("unpoisoned").insert(id.clone(), false);
                let (out, cancelled, shared) = (Arc::clone(&out), Arc::clone(&cancelled), Arc::clone(shared));
                shared.queries_in_flight.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    let ms = service_time_ms(&parts[3]);
                    let slowed_ms = ms * shared.slowdown_milli.load(Ordering::SeqCst) / 1000;
                    thread::sleep(Duration::from_millis(slowed_ms));
                    let in_flight = shared.queries_in_flight.fetch_sub(1, Ordering::SeqCst) - 1;
                    if cancelled.lock().expect("unpoisoned").remove(&id) != Some(false) {
                        return;
                    }
                    shared.served.fetch_add(1, Ordering::SeqCst);
                    let fields = format!("batches=1,cpu={ms},used=64,stats=inflight:{in_flight};queue:0");
                    answer(&mut out.lock().expect("unpoisoned"), &[&id, "served", &fields, "a\tb\tc\n"]);
                });
            }
            "undo" => drop(cancelled.lock().expect("unpoisoned").remove(&id)),
            _ => {}
        }
    }
    let _ = out.lock().expect("unpoisoned").shutdown(Shutdown::Both);
}

/// Settings of a busy site: a latency target of 1.2 s for `lane-rate` queries, three managers, and engines of
/// 12 cores.
pub const BUSY: &str = r#"{"kindOfService":"queries","zones":["hall-a","hall-b"],"shapes":["std"],"siblings":3,
 "profiles":[
  {"name":"lane-rate","value":1.0,"aim":1.2,"aimStretch":2.0,"deadline":6.0,"effect":"read_like","dedupScope":"all"},
  {"name":"tariff-load","value":5.0,"aim":4.0,"aimStretch":2.5,"deadline":25.0,"effect":"idempotency_key","dedupScope":"all","repeatWindow":15.0}],
 "customers":[{"name":"sud","portion":0.8,"quotaPerS":1000.0},{"name":"nord","portion":0.2,"quotaPerS":1000.0}],
 "specifics":{"classThreads":[1,2],"loads":[false,true],"sizeCores":[12],"ramOfKindMb":[24576.0],"takesGrants":true,
  "priorities":true,"tellsCost":true,"memoryShort":"swap","progressPace":0.0},
 "limits":{"cancel":true,"maxAttempts":6,"maxRetryAfter":2.0,"maxStreams":32,"connIdle":15.0,"connectTimeout":1.0},
 "loadReport":{"via":"piggyback","fields":["rif","q"]},
 "invariants":{"budgetShare":0.1,"freeResends":3.0,"ratioSpan":5.0,"drainGrace":0.5,"fallMultiple":2.5,
  "overloadFor":2.0,"startCapacity":0.3,"cold":15.0}}"#;

/// A `lane-rate` query with `ms` milliseconds of work.
pub fn lookup_sql(req: u64, ms: u64) -> String {
    format!(
        "/* kind=lane-rate,req={req:016x},timeout=6000,owner=sud,ms={ms},heap_mb=64 */ \
         SELECT a FROM sales_{}.orders WHERE ms = {ms}",
        req % 9
    )
}
