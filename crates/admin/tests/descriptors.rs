//! The admin address holds no more descriptors than its limits say, and survives a shortage of them. The only test of its
//! process, to which the kernel's limit applies.

mod common;

use common::*;
use nix::sys::resource::{getrlimit, setrlimit, Resource};
use sprucelink_admin::Limits;
use std::fs::File;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Descriptors that this process has open.
fn open_descriptors() -> usize {
    // The folder itself is open while it is read.
    std::fs::read_dir("/proc/self/fd").unwrap().count() - 1
}

#[test]
fn descriptors_are_bounded_and_a_shortage_is_survived() {
    let limits = Limits { max_connections: 8, request_timeout: Duration::from_secs(20), ..Limits::default() };
    assert_eq!(limits.descriptors(), 10);
    let at = start(limits, 0, None);
    let before = open_descriptors();
    // Both ends of a connection are in this process: the clients' are subtracted.
    let silent: Vec<TcpStream> = (0..200).map(|_| connect(at)).collect();
    assert_eq!(get(at, "/admin/health").status, 200);
    let held = open_descriptors() - before - silent.len();
    assert!(held < limits.descriptors(), "{held} held besides the listener");
    assert!(held >= limits.max_connections - 1, "{held} held of {} slots", limits.max_connections);
    drop(silent);

    let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE).unwrap();
    let mut waiting: Vec<TcpStream> = (0..4).map(|_| connect(at)).collect();
    // Until the server has closed the others and accepted these: two ends each.
    let since = Instant::now();
    while open_descriptors() != before + 2 * waiting.len() {
        assert!(since.elapsed() < Duration::from_secs(20), "{} open, {before} before", open_descriptors());
        std::thread::sleep(Duration::from_millis(5));
    }
    setrlimit(Resource::RLIMIT_NOFILE, (open_descriptors() + 6) as u64, hard).unwrap();
    // The last descriptors: one is left for the new client's own end, the others are taken.
    let spare = File::open("/dev/null").unwrap();
    let mut filler = Vec::new();
    while let Ok(file) = File::open("/dev/null") {
        filler.push(file);
    }
    drop(spare);
    let mut newcomer = connect(at);
    newcomer.write_all(b"GET /admin/health HTTP/1.1\r\n\r\n").unwrap();
    // A silent client is evicted for it: it is answered although there was no descriptor.
    assert_eq!(read_response(&mut newcomer).status, 200);
    assert_eq!(
        waiting.iter_mut().filter(|w| w.set_nonblocking(true).is_ok() && w.peek(&mut [0]).is_ok()).count(),
        1
    );
    drop(filler);
    setrlimit(Resource::RLIMIT_NOFILE, soft, hard).unwrap();
    assert!(metric(at, "admin.starved") >= 1);
    assert_eq!(get(at, "/admin/health").status, 200);
}
