//! A stand-in engine that takes time: it answers after the work that a request needs, slower by a factor that a
//! test sets while it runs, reports its load in every answer, heeds cancellations, and can end

use super::{answer, read_command};
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What both sides of it see.
#[derive(Default)]
struct Shared {
    /// Thousandths of the usual time.
    slower: AtomicU64,
    queries_in_flight: AtomicU64,
    served: AtomicU64,
    dead: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

/// The engine.
pub struct TimedEngine {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

/// The work of a statement such as `SELECT a FROM sales_17.orders WHERE ms = 250`, in milliseconds.
fn work(statement: &str) -> u64 {
    statement.rsplit(' ').next().and_then(|n| n.parse().ok()).unwrap_or(50)
}

impl TimedEngine {
    pub fn start() -> TimedEngine {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::<Shared>::default();
        shared.slower.store(1000, Ordering::SeqCst);
        let ours = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if ours.dead.load(Ordering::SeqCst) {
                    // Dropped unread: its peer sees a reset or an end at once.
                    continue;
                }
                ours.open.lock().expect("unpoisoned").push(stream.try_clone().expect("a second handle"));
                let shared = Arc::clone(&ours);
                thread::spawn(move || serve(stream, &shared));
            }
        });
        TimedEngine { address, shared }
    }

    /// So many times slower from now on.
    pub fn slow(&self, times: f64) {
        self.shared.slower.store((times * 1000.0) as u64, Ordering::SeqCst);
    }

    /// Ends every connection, and each new one, as a process that died would.
    pub fn die(&self) {
        self.shared.dead.store(true, Ordering::SeqCst);
        self.cut();
    }

    /// Ends every connection; new ones are taken.
    pub fn cut(&self) {
        for stream in self.shared.open.lock().expect("unpoisoned").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Requests in hand.
    pub fn queries_in_flight(&self) -> u64 {
        self.shared.queries_in_flight.load(Ordering::SeqCst)
    }

    /// Requests served.
    pub fn served(&self) -> u64 {
        self.shared.served.load(Ordering::SeqCst)
    }
}

fn serve(stream: TcpStream, shared: &Arc<Shared>) {
    let out = Arc::new(Mutex::new(stream.try_clone().expect("a second handle")));
    let undone: Arc<Mutex<BTreeMap<String, bool>>> = Arc::default();
    let mut input = BufReader::new(stream);
    while let Some(parts) = read_command(&mut input) {
        let id = parts.get(1).cloned().unwrap_or_default();
        match parts[0].as_str() {
            "do" => {
                undone.lock().expect("unpoisoned").insert(id.clone(), false);
                let (out, undone, shared) = (Arc::clone(&out), Arc::clone(&undone), Arc::clone(shared));
                shared.queries_in_flight.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    let ms = work(&parts[3]);
                    let takes = ms * shared.slower.load(Ordering::SeqCst) / 1000;
                    thread::sleep(Duration::from_millis(takes));
                    let left = shared.queries_in_flight.fetch_sub(1, Ordering::SeqCst) - 1;
                    if undone.lock().expect("unpoisoned").remove(&id) != Some(false) {
                        return;
                    }
                    shared.served.fetch_add(1, Ordering::SeqCst);
                    let fields = format!("batches=1,cpu={ms},used=64,stats=inflight:{left};queue:0");
                    answer(&mut out.lock().expect("unpoisoned"), &[&id, "served", &fields, "a\tb\tc\n"]);
                });
            }
            "undo" => drop(undone.lock().expect("unpoisoned").remove(&id)),
            _ => {}
        }
    }
    let _ = out.lock().expect("unpoisoned").shutdown(Shutdown::Both);
}

/// Settings as at a busy site: look-ups wanted within about a second, a third class of heavy reports, three
/// workload managers, small engines.
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

/// One look-up of so much work.
pub fn look_up(req: u64, ms: u64) -> String {
    format!(
        "/* kind=lane-rate,req={req:016x},timeout=6000,owner=sud,ms={ms},heap_mb=64 */ \
         SELECT a FROM sales_{}.orders WHERE ms = {ms}",
        req % 9
    )
}
