//! A stand-in engine. It runs everything that it is sent, each query for the time that its reply names, and keeps
//! a ledger of what reached it.

use crate::record::Record;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Time between two notes on a query.
const NOTE_INTERVAL: Duration = Duration::from_secs(1);

/// One query that reached the engine whole.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub id: String,
    pub fields: String,
    pub body: String,
}

/// What an engine does with a query.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Runs it for so long, then serves it with these pages.
    Serve(Duration, Vec<String>),
}

pub type Behaviour = dyn Fn(&Run) -> Reply + Send + Sync;

#[derive(Clone)]
pub struct Engine {
    pub name: String,
    pub address: SocketAddr,
    runs: Arc<Mutex<Vec<Run>>>,
}

struct Link {
    out: Mutex<TcpStream>,
    /// Queries that were given up.
    given_up: Mutex<Vec<String>>,
    pages: Mutex<BTreeMap<String, Vec<String>>>,
}

impl Engine {
    pub fn start(
        name: &str,
        record: &Record,
        behaviour: impl Fn(&Run) -> Reply + Send + Sync + 'static,
    ) -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").expect("an engine's port");
        let address = listener.local_addr().unwrap();
        let engine = Engine { name: name.to_owned(), address, runs: Arc::default() };
        let behaviour: Arc<Behaviour> = Arc::new(behaviour);
        let (served, record) = (engine.clone(), record.clone());
        let busy = Arc::new(AtomicUsize::new(0));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (served, record) = (served.clone(), record.clone());
                let (behaviour, busy) = (Arc::clone(&behaviour), Arc::clone(&busy));
                thread::spawn(move || served.serve(stream, &record, &behaviour, &busy));
            }
        });
        engine
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn serve(&self, stream: TcpStream, record: &Record, behaviour: &Arc<Behaviour>, busy: &Arc<AtomicUsize>) {
        let _ = stream.set_nodelay(true);
        let link = Arc::new(Link {
            out: Mutex::new(stream.try_clone().expect("a handle")),
            given_up: Mutex::default(),
            pages: Mutex::default(),
        });
        let mut input = BufReader::new(stream);
        while let Some(parts) = read_command(&mut input) {
            let id = parts.get(1).cloned().unwrap_or_default();
            match parts[0].as_str() {
                "do" if parts.len() == 4 => {
                    let run = Run { at: record.now(), id, fields: parts[2].clone(), body: parts[3].clone() };
                    record.line(format!("{} do {} {} {}", self.name, run.id, run.fields, short(&run.body)));
                    self.runs.lock().unwrap().push(run.clone());
                    let Reply::Serve(time, pages) = behaviour(&run);
                    self.answer_later(
                        Arc::clone(&link),
                        record.clone(),
                        Arc::clone(busy),
                        run.id,
                        time,
                        pages,
                    );
                }
                "undo" => {
                    record.line(format!("{} undo {id}", self.name));
                    link.given_up.lock().unwrap().push(id);
                }
                "page" => {
                    let number: usize = parts[2].parse().unwrap_or(0);
                    let body = link.pages.lock().unwrap().get(&id).and_then(|p| p.get(number).cloned());
                    match body {
                        Some(body) => link.write(&[&id, "rows", &format!("batch={number}"), &body]),
                        None => link.write(&[&id, "crashed", "-", ""]),
                    }
                }
                _ => {}
            }
        }
        let _ = link.out.lock().unwrap().shutdown(Shutdown::Both);
    }

    fn answer_later(
        &self,
        link: Arc<Link>,
        record: Record,
        busy: Arc<AtomicUsize>,
        id: String,
        time: Duration,
        pages: Vec<String>,
    ) {
        let name = self.name.clone();
        busy.fetch_add(1, Ordering::SeqCst);
        thread::spawn(move || {
            // Notes each second tell the share done.
            let mut left = time;
            while left > NOTE_INTERVAL {
                thread::sleep(NOTE_INTERVAL);
                left -= NOTE_INTERVAL;
                if link.given_up.lock().unwrap().contains(&id) {
                    break;
                }
                let done = 1.0 - left.as_secs_f64() / time.as_secs_f64();
                link.write(&[&id, "update", &format!("how=so_far,num={done:.2}"), ""]);
            }
            thread::sleep(left);
            let held = busy.fetch_sub(1, Ordering::SeqCst) - 1;
            if link.given_up.lock().unwrap().contains(&id) {
                return;
            }
            let cpu = time.as_millis();
            let fields = format!(
                "batches={},cpu={cpu},used=8,stats=inflight:{held};queue:0;x1:0.2;x0:0.2",
                pages.len()
            );
            record.line(format!("{name} served {id}"));
            let first = pages[0].clone();
            link.pages.lock().unwrap().insert(id.clone(), pages);
            link.write(&[&id, "served", &fields, &first]);
        });
    }
}

impl Link {
    fn write(&self, parts: &[&str]) {
        let mut bytes = format!("*{}\r\n", parts.len());
        for part in parts {
            bytes.push_str(&format!("${}\r\n{part}\r\n", part.len()));
        }
        let _ = self.out.lock().unwrap().write_all(bytes.as_bytes());
    }
}

/// The beginning of a statement, for the record.
pub fn short(text: &str) -> String {
    let flat = text.replace(['\n', '\r'], " ");
    if flat.len() <= 60 {
        return flat;
    }
    format!("{}... ({} bytes)", flat.chars().take(60).collect::<String>(), text.len())
}

fn read_command(from: &mut impl BufRead) -> Option<Vec<String>> {
    let count = read_number(b'*', from)?;
    (0..count)
        .map(|_| {
            let length = read_number(b'$', from)?;
            let mut bytes = vec![0; length + 2];
            from.read_exact(&mut bytes).ok()?;
            bytes.truncate(length);
            String::from_utf8(bytes).ok()
        })
        .collect()
}

fn read_number(prefix: u8, from: &mut impl BufRead) -> Option<usize> {
    let mut line = String::new();
    from.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let line = line.trim_end();
    (line.as_bytes().first() == Some(&prefix)).then(|| line[1..].parse().ok()).flatten()
}
