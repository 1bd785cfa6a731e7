//! A stand-in control feed: it sends the events that the test adds, each once to a call that has not had it, and a
//! comment each second.

use crate::record::Record;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Feed {
    pub address: SocketAddr,
    /// Number and data of each event.
    events: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Feed {
    pub fn start(record: &Record) -> Feed {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the feed's port");
        let feed = Feed { address: listener.local_addr().unwrap(), events: Arc::default() };
        let (served, record) = (feed.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (served, record) = (served.clone(), record.clone());
                thread::spawn(move || served.serve(stream, &record));
            }
        });
        feed
    }

    fn serve(&self, mut stream: TcpStream, record: &Record) {
        let mut last = 0;
        let input = BufReader::new(stream.try_clone().expect("a handle"));
        for line in input.lines().map_while(Result::ok).take_while(|line| !line.is_empty()) {
            if let Some(number) = line.to_ascii_lowercase().strip_prefix("last-event-id:") {
                last = number.trim().parse().unwrap_or(0);
            }
        }
        record.line(format!("feed called, last event {last}"));
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n";
        let mut open = stream.write_all(head.as_bytes()).is_ok();
        let mut commented = Instant::now();
        while open {
            let new: Vec<(u64, String)> =
                self.events.lock().unwrap().iter().filter(|event| event.0 > last).cloned().collect();
            for (number, data) in new {
                open &= write!(stream, "id: {number}\ndata: {data}\n\n").is_ok();
                last = number;
            }
            if commented.elapsed() >= Duration::from_secs(1) {
                commented = Instant::now();
                open &= stream.write_all(b": here\n\n").is_ok();
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
}
