//! A stand-in engine that counts every connection made to it and answers every `do` at once with one page,
//! `ping` with `green`; what it cannot read closes the connection, as the engines' wire says.

use crate::Counted;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// The longest part of a command that is read: far over any statement of the rig's.
const MOST_PART: usize = 1 << 20;
/// Parts of a command at most.
const MOST_PARTS: usize = 16;

/// An engine, running on a port of its own until the process ends.
pub struct CountingEngine {
    /// Where it listens.
    pub address: SocketAddr,
    /// Every connection made to it, when it came.
    pub dials: Arc<Mutex<Counted>>,
    /// Every `do`, when it came.
    pub work: Arc<Mutex<Counted>>,
}

impl CountingEngine {
    /// Starts one on a loopback port the kernel chooses.
    pub fn start(start: Instant) -> std::io::Result<CountingEngine> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (dials, work) = (Arc::<Mutex<Counted>>::default(), Arc::<Mutex<Counted>>::default());
        let (d, w) = (Arc::clone(&dials), Arc::clone(&work));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                d.lock().unwrap_or_else(|p| p.into_inner()).note(start, Instant::now());
                let w = Arc::clone(&w);
                thread::spawn(move || {
                    let _ = serve(stream, start, &w);
                });
            }
        });
        Ok(CountingEngine { address, dials, work })
    }
}

fn bulk(out: &mut Vec<u8>, part: &[u8]) {
    out.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
    out.extend_from_slice(part);
    out.extend_from_slice(b"\r\n");
}

/// Reads one RESP array of bulk strings; `None` at the end or on what cannot be read.
fn command(input: &mut BufReader<TcpStream>) -> Option<Vec<Vec<u8>>> {
    let mut line = String::new();
    input.read_line(&mut line).ok()?;
    let n: usize = line.trim_end().strip_prefix('*')?.parse().ok().filter(|n| *n <= MOST_PARTS)?;
    let mut parts = Vec::with_capacity(n);
    for _ in 0..n {
        line.clear();
        input.read_line(&mut line).ok()?;
        let len: usize = line.trim_end().strip_prefix('$')?.parse().ok().filter(|l| *l <= MOST_PART)?;
        let mut part = vec![0; len + 2];
        std::io::Read::read_exact(input, &mut part).ok()?;
        part.truncate(len);
        parts.push(part);
    }
    Some(parts)
}

fn serve(stream: TcpStream, start: Instant, work: &Mutex<Counted>) -> std::io::Result<()> {
    let mut out = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    while let Some(parts) = command(&mut input) {
        let mut answer = Vec::new();
        match parts.first().map(Vec::as_slice) {
            Some(b"do") if parts.len() >= 2 => {
                work.lock().unwrap_or_else(|p| p.into_inner()).note(start, Instant::now());
                answer.extend_from_slice(b"*4\r\n");
                bulk(&mut answer, &parts[1]);
                bulk(&mut answer, b"served");
                bulk(&mut answer, b"batches=1,cpu=1.0,used=1.0");
                bulk(&mut answer, b"a\tb\tc\n");
            }
            Some(b"ping") if parts.len() >= 2 => {
                answer.extend_from_slice(b"*3\r\n");
                bulk(&mut answer, &parts[1]);
                bulk(&mut answer, b"green");
                bulk(&mut answer, b"-");
            }
            Some(b"undo" | b"bump" | b"forget") => {}
            _ => return Ok(()),
        }
        out.write_all(&answer)?;
    }
    Ok(())
}
