//! Test that the admin address holds no more descriptors than its limits allow, and survives a shortage.
//! This is the only test of its process, since the kernel's limit applies to the process.

mod common;

use common::*;
use nix::sys::resource::{getrlimit, setrlimit, Resource};
use sprucelink_admin::Limits;
use std::fs::File;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Number of descriptors that this process has open.
fn open_descriptors() -> usize {
    // The directory itself is open while it is read.
    std::fs::read_dir("/proc/self/fd").unwrap().count() - 1
}

/// Waits until this process has `count` descriptors open.
fn wait_for_descriptors(count: usize) {
    let start = Instant::now();
    while open_descriptors() != count {
        assert!(start.elapsed() < Duration::from_secs(20), "{} open, {count} expected", open_descriptors());
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn descriptors_are_bounded_and_a_shortage_is_survived() {
    let limits = Limits { max_connections: 8, request_timeout: Duration::from_secs(20), ..Limits::default() };
    assert_eq!(limits.descriptors(), 10);
    let address = start(limits, 0, None);
    let before = open_descriptors();
    // Both ends of a connection are in this process; the clients' ends are subtracted.
    let silent: Vec<TcpStream> = (0..200).map(|_| connect(address)).collect();
    assert_eq!(get(address, "/admin/health").status, 200);
    let held = open_descriptors() - before - silent.len();
    assert!(held < limits.descriptors(), "{held} held besides the listener");
    assert!(held >= limits.max_connections - 1, "{held} held of {} slots", limits.max_connections);
    drop(silent);
    wait_for_descriptors(before);

    let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE).unwrap();
    let mut waiting: Vec<TcpStream> = (0..4).map(|_| connect(address)).collect();
    // The server accepts the four connections, both ends of which are in this process.
    wait_for_descriptors(before + 2 * waiting.len());
    setrlimit(Resource::RLIMIT_NOFILE, (open_descriptors() + 6) as u64, hard).unwrap();
    // Use up the remaining descriptors, except one for the new client's own end.
    let spare = File::open("/dev/null").unwrap();
    let mut filler = Vec::new();
    while let Ok(file) = File::open("/dev/null") {
        filler.push(file);
    }
    drop(spare);
    let mut newcomer = connect(address);
    newcomer.write_all(b"GET /admin/health HTTP/1.1\r\n\r\n").unwrap();
    // A silent client is evicted for the newcomer, which gets its response although there was no descriptor.
    assert_eq!(read_response(&mut newcomer).status, 200);
    assert_eq!(
        waiting.iter_mut().filter(|w| w.set_nonblocking(true).is_ok() && w.peek(&mut [0]).is_ok()).count(),
        1
    );
    drop(filler);
    setrlimit(Resource::RLIMIT_NOFILE, soft, hard).unwrap();
    assert!(metric(address, "admin.starved") >= 1);
    assert_eq!(get(address, "/admin/health").status, 200);
}
