//! A stand-in list service: the control feed's wire (`GET /v1/events`, server-sent events), one whole list
//! as its first event, a comment each second, every call counted. On command it refuses (503) or stalls
//! (takes the call and says nothing).

use crate::Counted;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How the service answers new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mood {
    /// It serves.
    Serving = 0,
    /// It answers 503 at once.
    Refusing = 1,
    /// It takes the call and says nothing.
    Stalling = 2,
}

/// The service, running on a port of its own until the process ends.
pub struct ListService {
    /// Where it listens.
    pub address: SocketAddr,
    /// Every call, when it came.
    pub calls: Arc<Mutex<Counted>>,
    mood: Arc<AtomicU8>,
    list: Arc<Mutex<String>>,
}

impl ListService {
    /// Starts it on a loopback port the kernel chooses, with `list` (an event's JSON, numbered 1) to tell.
    pub fn start(list: String, start: Instant) -> std::io::Result<ListService> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (calls, mood, list) =
            (Arc::<Mutex<Counted>>::default(), Arc::new(AtomicU8::new(0)), Arc::new(Mutex::new(list)));
        let (c, m, l) = (Arc::clone(&calls), Arc::clone(&mood), Arc::clone(&list));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (c, m, l) = (Arc::clone(&c), Arc::clone(&m), Arc::clone(&l));
                thread::spawn(move || serve(stream, start, &c, &m, &l));
            }
        });
        Ok(ListService { address, calls, mood, list })
    }

    /// From now on new calls are answered so.
    pub fn set_mood(&self, mood: Mood) {
        self.mood.store(mood as u8, Ordering::SeqCst);
    }

    /// The list that new calls get.
    pub fn set_list(&self, list: String) {
        *self.list.lock().unwrap_or_else(|p| p.into_inner()) = list;
    }
}

fn serve(stream: TcpStream, start: Instant, calls: &Mutex<Counted>, mood: &AtomicU8, list: &Mutex<String>) {
    let Ok(read) = stream.try_clone() else { return };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let mut head = 0;
    for line in BufReader::new(read).lines().map_while(Result::ok) {
        head += line.len();
        if line.is_empty() || head > 16_384 {
            break;
        }
    }
    calls.lock().unwrap_or_else(|p| p.into_inner()).note(start, Instant::now());
    let mut stream = stream;
    match mood.load(Ordering::SeqCst) {
        1 => {
            let _ = stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        }
        2 => thread::sleep(Duration::from_secs(30)),
        _ => {
            let event = list.lock().unwrap_or_else(|p| p.into_inner()).clone();
            let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
            let mut alive = write!(stream, "{head}id: 1\ndata: {event}\n\n").is_ok();
            // Bounded: a call lasts a minute at most, then the program calls again.
            for _ in 0..60 {
                if !alive || mood.load(Ordering::SeqCst) != 0 {
                    break;
                }
                thread::sleep(Duration::from_secs(1));
                alive = stream.write_all(b": still here\n\n").is_ok();
            }
        }
    }
}
