//! The program under an operating-system limit on descriptors, and a proxy that makes a control feed
//! unreachable.

use super::*;
use std::io::copy;
use std::net::Shutdown;
use std::sync::atomic::AtomicU8;

/// Text of a configuration with these engines, this feed address and a limit of `sockets` descriptors. No
/// server needs to listen at the feed address.
pub fn config(
    engines: &[(&str, SocketAddr)],
    feed: Option<SocketAddr>,
    sockets: usize,
    settings: &str,
) -> String {
    let ready: Vec<_> = engines.iter().map(|(id, address)| (*id, *address, "ready")).collect();
    let feed = feed.map_or(String::new(), |address| format!(r#""feed":"{address}","#));
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"00000000000000aa",{feed}
         "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},
         "known":{{"n":1,"events":[{}]}},"settings":{settings}}}"#,
        list_event(1, true, &ready)
    )
}

/// Starts the program with this configuration and these arguments, with the operators' address open. If
/// `descriptors` is given, the shell sets it as the limit on open files before it executes the program.
pub fn start(config: &str, descriptors: Option<usize>, extra_args: &[&str]) -> Program {
    let dir = scratch_dir();
    std::fs::write(dir.join("config.json"), config).expect("written");
    let limit = descriptors.map_or(String::new(), |n| format!("ulimit -n {n} && "));
    let mut command = Command::new("/bin/sh");
    command.arg("-c").arg(format!("{limit}exec \"$0\" \"$@\"")).arg(program_path());
    command.arg("serve").arg("--config").arg(dir.join("config.json")).args(extra_args);
    command.env_remove("EDGE_FD").env("EDGE_OPERATOR", "127.0.0.1:0");
    let mut program = Program::spawn(command, dir);
    program.platform = program.front_address("platform");
    program.operators = Some(program.admin_address());
    if extra_args.contains(&"--operator") {
        program.second = Some(program.front_address("second"));
    }
    program
}

/// Number of descriptors that the process with this id has open; 0 if it has ended.
pub fn descriptors(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

/// Samples a process's open descriptors every millisecond and keeps the maximum.
pub struct DescriptorWatch {
    stop: Arc<AtomicU8>,
    sampler: thread::JoinHandle<usize>,
}

impl DescriptorWatch {
    pub fn start(process: u32) -> DescriptorWatch {
        let stop: Arc<AtomicU8> = Arc::default();
        let stop_requested = Arc::clone(&stop);
        let sampler = thread::spawn(move || {
            let mut peak = 0;
            while stop_requested.load(Ordering::SeqCst) == 0 {
                peak = peak.max(descriptors(process));
                thread::sleep(Duration::from_millis(1));
            }
            peak
        });
        DescriptorWatch { stop, sampler }
    }

    /// Ends the sampling and returns the maximum number of open descriptors.
    pub fn peak(self) -> usize {
        self.stop.store(1, Ordering::SeqCst);
        self.sampler.join().expect("sampled")
    }
}

/// How a [`FeedProxy`] treats new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedProxyMode {
    /// Closes each call at once.
    Down,
    /// Accepts each call and never answers.
    Silent,
    /// Sends the head of a response and no event.
    HeadOnly,
    /// Relays calls to the feed.
    Up,
}

/// A proxy in front of a feed. Its address stays the same while a test makes the feed unreachable.
pub struct FeedProxy {
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
    calls: Arc<AtomicU64>,
}

impl FeedProxy {
    pub fn start(feed: SocketAddr, mode: FeedProxyMode) -> FeedProxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (mode, calls) = (Arc::new(AtomicU8::new(mode as u8)), Arc::new(AtomicU64::new(0)));
        let (current_mode, count) = (Arc::clone(&mode), Arc::clone(&calls));
        thread::spawn(move || {
            let mut open = Vec::new();
            for mut caller in listener.incoming().flatten() {
                count.fetch_add(1, Ordering::SeqCst);
                match current_mode.load(Ordering::SeqCst) {
                    m if m == FeedProxyMode::Down as u8 => drop(caller),
                    m if m == FeedProxyMode::Silent as u8 => open.push(caller),
                    m if m == FeedProxyMode::HeadOnly as u8 => {
                        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
                        // A caller that has disconnected isn't kept.
                        if caller.write_all(head.as_bytes()).is_ok() {
                            open.push(caller);
                        }
                    }
                    _ => relay(caller, TcpStream::connect(feed).expect("the feed")),
                }
            }
        });
        FeedProxy { address, mode, calls }
    }

    pub fn set(&self, mode: FeedProxyMode) {
        self.mode.store(mode as u8, Ordering::SeqCst);
    }

    /// Number of calls so far.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::SeqCst)
    }
}

fn relay(caller: TcpStream, feed: TcpStream) {
    let directions = [
        (caller.try_clone().expect("a second handle"), feed.try_clone().expect("a second handle")),
        (feed, caller),
    ];
    for (mut from, mut to) in directions {
        thread::spawn(move || {
            // When either connection ends, both are closed.
            let _ = copy(&mut from, &mut to);
            let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
        });
    }
}
