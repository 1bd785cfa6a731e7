//! The program under a real limit on descriptors, and a gate before a control feed that can be closed.

use super::*;
use std::io::copy;
use std::net::Shutdown;
use std::sync::atomic::AtomicU8;

/// A configuration's text: these engines are known, and the feed is there, whoever listens.
pub fn config(
    engines: &[(&str, SocketAddr)],
    feed: Option<SocketAddr>,
    sockets: usize,
    settings: &str,
) -> String {
    let ready: Vec<_> = engines.iter().map(|(id, at)| (*id, *at, "ready")).collect();
    let feed = feed.map_or(String::new(), |at| format!(r#""feed":"{at}","#));
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"00000000000000aa",{feed}
         "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},
         "known":{{"n":1,"events":[{}]}},"settings":{settings}}}"#,
        list(1, true, &ready)
    )
}

/// Starts the program with this configuration and these arguments, with the operators' address open. Under
/// `descriptors` it holds no more of them: the shell sets the limit and becomes the program.
pub fn start(config: &str, descriptors: Option<usize>, more: &[&str]) -> Program {
    let dir = scratch();
    std::fs::write(dir.join("config.json"), config).expect("written");
    let limit = descriptors.map_or(String::new(), |n| format!("ulimit -n {n} && "));
    let mut command = Command::new("/bin/sh");
    command.arg("-c").arg(format!("{limit}exec \"$0\" \"$@\"")).arg(program());
    command.arg("serve").arg("--config").arg(dir.join("config.json")).args(more);
    command.env_remove("EDGE_FD").env("EDGE_OPERATOR", "127.0.0.1:0");
    let mut program = Program::spawn(command, dir);
    program.platform = program.front_address("platform");
    program.operators = Some(program.admin_address());
    if more.contains(&"--operator") {
        program.second = Some(program.front_address("second"));
    }
    program
}

/// Descriptors that a process has open; none where it has ended.
pub fn descriptors(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

/// The most descriptors that a process was seen to have, looked at over and over until asked.
pub struct DescriptorWatch {
    stop: Arc<AtomicU8>,
    most: thread::JoinHandle<usize>,
}

impl DescriptorWatch {
    pub fn process(process: u32) -> DescriptorWatch {
        let stop: Arc<AtomicU8> = Arc::default();
        let told = Arc::clone(&stop);
        let most = thread::spawn(move || {
            let mut most = 0;
            while told.load(Ordering::SeqCst) == 0 {
                most = most.max(descriptors(process));
                thread::sleep(Duration::from_millis(1));
            }
            most
        });
        DescriptorWatch { stop, most }
    }

    pub fn most(self) -> usize {
        self.stop.store(1, Ordering::SeqCst);
        self.most.join().expect("watched")
    }
}

/// How a feed behind a [`FeedGate`] is to be met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Each call is closed at once.
    Down,
    /// Each call is taken and never answered.
    Silent,
    /// The head of an answer comes, and nothing behind it.
    HeadOnly,
    /// Calls reach the feed.
    Up,
}

/// A gate before a feed, at an address that stays: the feed can be unreachable for a while.
pub struct FeedGate {
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
    calls: Arc<AtomicU64>,
}

impl FeedGate {
    pub fn before(feed: SocketAddr, mode: DiscoveryMode) -> FeedGate {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (mode, calls) = (Arc::new(AtomicU8::new(mode as u8)), Arc::new(AtomicU64::new(0)));
        let (told, count) = (Arc::clone(&mode), Arc::clone(&calls));
        thread::spawn(move || {
            let mut held = Vec::new();
            for mut caller in listener.incoming().flatten() {
                count.fetch_add(1, Ordering::SeqCst);
                match told.load(Ordering::SeqCst) {
                    m if m == DiscoveryMode::Down as u8 => drop(caller),
                    m if m == DiscoveryMode::Silent as u8 => held.push(caller),
                    m if m == DiscoveryMode::HeadOnly as u8 => {
                        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
                        // A caller that has gone is one that holds nothing.
                        if caller.write_all(head.as_bytes()).is_ok() {
                            held.push(caller);
                        }
                    }
                    _ => relay(caller, TcpStream::connect(feed).expect("the feed")),
                }
            }
        });
        FeedGate { address, mode, calls }
    }

    pub fn set(&self, mode: DiscoveryMode) {
        self.mode.store(mode as u8, Ordering::SeqCst);
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::SeqCst)
    }
}

fn relay(caller: TcpStream, feed: TcpStream) {
    let ways = [
        (caller.try_clone().expect("a second handle"), feed.try_clone().expect("a second handle")),
        (feed, caller),
    ];
    for (mut from, mut to) in ways {
        thread::spawn(move || {
            // The end of either side is the end of both.
            let _ = copy(&mut from, &mut to);
            let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
        });
    }
}
