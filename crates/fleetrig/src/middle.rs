//! A fault middle on loopback: TCP and UDP between groups of processes, with faults on command.
//!
//! Every path goes from a *group* to a *group* (names such as `a`, `b`, `lists`, `engines`), one way each: a
//! rule on `a -> lists` leaves `lists -> a` as it is, so that one-way loss and half-open connections can be
//! made. [`Faults`] holds the rules; [`tcp`] opens a listener that leads one group to one target; a [`UdpNet`]
//! gives each member an address of its own, so that what arrives shows the sender's.
//!
//! What loopback cannot show: the kernel accepts a TCP connection before the middle can hold it back, so in a
//! partition a connection comes up and then says nothing; a real one would not come up.

use crate::runtime;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use sprucelink_stable::within;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, Instant};

/// Bytes carried at a time, each way; a datagram is no longer.
const CHUNK: usize = 16 * 1024;
/// Datagrams that wait for their delay at most, on one path; more are dropped.
const MOST_WAITING: usize = 4_096;
/// Members of one UDP net at most.
const MOST_MEMBERS: usize = 2_000;

/// What happens to what goes one way between two groups.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rule {
    /// Each piece is held for so long, in milliseconds; 0 to 60,000.
    pub delay_ms: f64,
    /// And for up to so much longer, drawn evenly.
    pub jitter_ms: f64,
    /// Share of datagrams that are dropped; TCP has no loss of its own here.
    pub drop: f64,
    /// Share of pieces in which one byte is changed.
    pub garble: f64,
    /// Nothing passes; what comes waits (TCP) or is dropped (UDP) until the rule is lifted.
    pub partition: bool,
    /// New TCP connections are closed at once.
    pub refuse: bool,
}

impl Default for Rule {
    fn default() -> Rule {
        Rule { delay_ms: 0.0, jitter_ms: 0.0, drop: 0.0, garble: 0.0, partition: false, refuse: false }
    }
}

impl Rule {
    /// What is wrong with the figures, if anything.
    ///
    /// # Errors
    /// The field and its range.
    pub fn check(&self) -> Result<(), String> {
        within("delay_ms", self.delay_ms, 0.0, 60_000.0)?;
        within("jitter_ms", self.jitter_ms, 0.0, 60_000.0)?;
        within("drop", self.drop, 0.0, 1.0)?;
        within("garble", self.garble, 0.0, 1.0)
    }
}

/// One-off faults of connections that are open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cut {
    /// Both ways end.
    Close,
    /// This way ends, the other stays open.
    HalfClose,
}

#[derive(Default)]
struct Table {
    rules: HashMap<(String, String), Rule>,
    cuts: HashMap<(String, String), (u64, Option<Cut>)>,
}

/// The rules, shared by all paths of a rig.
#[derive(Clone)]
pub struct Faults {
    table: Arc<Mutex<Table>>,
    changed: Arc<watch::Sender<u64>>,
    rng: Arc<Mutex<ChaCha8Rng>>,
}

impl Faults {
    /// No fault yet; `seed` for what is drawn.
    pub fn new(seed: u64) -> Faults {
        Faults {
            table: Arc::default(),
            changed: Arc::new(watch::channel(0).0),
            rng: Arc::new(Mutex::new(ChaCha8Rng::seed_from_u64(seed))),
        }
    }

    fn table<T>(&self, f: impl FnOnce(&mut Table) -> T) -> T {
        f(&mut self.table.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// From now on what goes from one group to another goes by `rule`.
    pub fn set(&self, from: &str, to: &str, rule: Rule) {
        self.table(|t| _ = t.rules.insert((from.to_owned(), to.to_owned()), rule));
        self.changed.send_modify(|n| *n += 1);
    }

    /// Nothing passes between two groups any more, or all does again.
    pub fn part(&self, a: &str, b: &str, parted: bool) {
        let rule = Rule { partition: parted, ..Rule::default() };
        self.set(a, b, rule);
        self.set(b, a, rule);
    }

    /// Every TCP connection that is open from one group to another is cut.
    pub fn cut(&self, from: &str, to: &str, how: Cut) {
        self.table(|t| {
            let cut = t.cuts.entry((from.to_owned(), to.to_owned())).or_default();
            *cut = (cut.0 + 1, Some(how));
        });
        self.changed.send_modify(|n| *n += 1);
    }

    /// All rules are lifted.
    pub fn heal(&self) {
        self.table(|t| t.rules.clear());
        self.changed.send_modify(|n| *n += 1);
    }

    /// The rule in force.
    pub fn rule(&self, from: &str, to: &str) -> Rule {
        self.table(|t| t.rules.get(&(from.to_owned(), to.to_owned())).copied().unwrap_or_default())
    }

    fn cuts(&self, from: &str, to: &str) -> (u64, Option<Cut>) {
        self.table(|t| t.cuts.get(&(from.to_owned(), to.to_owned())).copied().unwrap_or_default())
    }

    fn draw<T>(&self, f: impl FnOnce(&mut ChaCha8Rng) -> T) -> T {
        f(&mut self.rng.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn delay(&self, rule: &Rule) -> Duration {
        let jitter = if rule.jitter_ms > 0.0 { self.draw(|r| r.gen_range(0.0..rule.jitter_ms)) } else { 0.0 };
        Duration::from_secs_f64((rule.delay_ms + jitter) / 1_000.0)
    }

    fn garble(&self, rule: &Rule, piece: &mut [u8]) {
        if rule.garble > 0.0 && !piece.is_empty() && self.draw(|r| r.gen_bool(rule.garble)) {
            let (at, flip) = self.draw(|r| (r.gen_range(0..piece.len()), r.gen_range(1..=255u8)));
            piece[at] ^= flip;
        }
    }
}

/// A way for one group to one target: connections to the returned address lead to `target`.
pub struct TcpPath {
    /// Where the group connects.
    pub address: SocketAddr,
    listening: tokio::task::JoinHandle<()>,
}

impl Drop for TcpPath {
    fn drop(&mut self) {
        self.listening.abort();
    }
}

/// Opens a way from `from` to `target`, which counts as of group `to`.
///
/// # Errors
/// Those of binding a loopback port.
pub fn tcp(faults: &Faults, from: &str, to: &str, target: SocketAddr) -> std::io::Result<TcpPath> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let (faults, from, to) = (faults.clone(), from.to_owned(), to.to_owned());
    let listening = runtime().spawn(async move {
        let Ok(listener) = TcpListener::from_std(listener) else { return };
        while let Ok((client, _)) = listener.accept().await {
            if faults.rule(&from, &to).refuse {
                continue;
            }
            let (faults, from, to) = (faults.clone(), from.clone(), to.clone());
            tokio::spawn(async move {
                let Ok(server) = TcpStream::connect(target).await else { return };
                carry(&faults, &from, &to, client, server).await;
            });
        }
    });
    Ok(TcpPath { address, listening })
}

async fn carry(faults: &Faults, from: &str, to: &str, client: TcpStream, server: TcpStream) {
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_in, client_out) = client.into_split();
    let (server_in, server_out) = server.into_split();
    let there = pump(faults, from, to, client_in, server_out);
    let back = pump(faults, to, from, server_in, client_out);
    tokio::pin!(there, back);
    let (mut there_over, mut back_over) = (false, false);
    while !(there_over && back_over) {
        // A way that ended in order leaves the other open; one that was cut or broke ends both.
        let ended = tokio::select! {
            e = &mut there, if !there_over => { there_over = true; e }
            e = &mut back, if !back_over => { back_over = true; e }
        };
        if ended == Way::Broken {
            return;
        }
    }
}

#[derive(PartialEq, Eq)]
enum Way {
    Ended,
    Broken,
}

async fn pump<R, W>(faults: &Faults, from: &str, to: &str, mut input: R, mut output: W) -> Way
where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let mut changed = faults.changed.subscribe();
    let first = faults.cuts(from, to).0;
    let mut bytes = vec![0u8; CHUNK];
    loop {
        let cut = || {
            let (n, how) = faults.cuts(from, to);
            how.filter(|_| n != first)
        };
        match cut() {
            Some(Cut::Close) => return Way::Broken,
            Some(Cut::HalfClose) => {
                let _ = output.shutdown().await;
                return Way::Ended;
            }
            None => {}
        }
        if faults.rule(from, to).partition {
            if changed.changed().await.is_err() {
                return Way::Broken;
            }
            continue;
        }
        let n = tokio::select! {
            read = input.read(&mut bytes) => match read {
                Ok(0) => {
                    let _ = output.shutdown().await;
                    return Way::Ended;
                }
                Ok(n) => n,
                Err(_) => return Way::Broken,
            },
            c = changed.changed() => match c {
                Ok(()) => continue,
                Err(_) => return Way::Broken,
            },
        };
        let mut rule = faults.rule(from, to);
        let delay = faults.delay(&rule);
        if delay > Duration::ZERO {
            sleep(delay).await;
        }
        while rule.partition {
            if cut().is_some() || changed.changed().await.is_err() {
                return Way::Broken;
            }
            rule = faults.rule(from, to);
        }
        faults.garble(&rule, &mut bytes[..n]);
        if output.write_all(&bytes[..n]).await.is_err() {
            return Way::Broken;
        }
    }
}

struct Member {
    group: String,
    /// Where it sends and receives, once that is known.
    real: Mutex<Option<SocketAddr>>,
    socket: Arc<UdpSocket>,
}

/// UDP between members, each of which has an address in the middle: what one sends to another's address
/// arrives from the sender's own, by the rules between their groups. What comes from nobody is dropped.
#[derive(Clone)]
pub struct UdpNet {
    faults: Faults,
    /// By the address where others reach them.
    reserved: Arc<Mutex<HashMap<SocketAddr, Arc<Member>>>>,
    /// By where they send and receive.
    members: Arc<Mutex<HashMap<SocketAddr, Arc<Member>>>>,
}

impl UdpNet {
    /// A net without members.
    pub fn new(faults: &Faults) -> UdpNet {
        UdpNet { faults: faults.clone(), reserved: Arc::default(), members: Arc::default() }
    }

    /// Takes in a member of a group that sends and receives at `real`: the address at which others reach it.
    ///
    /// # Errors
    /// Those of binding a loopback port, and where the net is full.
    pub fn join(&self, group: &str, real: SocketAddr) -> std::io::Result<SocketAddr> {
        let address = self.reserve(group)?;
        self.bind(address, real);
        Ok(address)
    }

    /// A member's address, kept for one whose own is not known yet: what is sent there meanwhile is dropped.
    ///
    /// # Errors
    /// As for [`UdpNet::join`].
    pub fn reserve(&self, group: &str) -> std::io::Result<SocketAddr> {
        let socket = std::net::UdpSocket::bind("127.0.0.1:0")?;
        socket.set_nonblocking(true)?;
        let address = socket.local_addr()?;
        let socket = {
            let _entered = runtime().enter();
            Arc::new(UdpSocket::from_std(socket)?)
        };
        let member = Arc::new(Member { group: group.to_owned(), real: Mutex::new(None), socket });
        {
            let mut reserved = self.reserved.lock().unwrap_or_else(PoisonError::into_inner);
            if reserved.len() >= MOST_MEMBERS {
                return Err(std::io::Error::other(format!("at most {MOST_MEMBERS} members")));
            }
            reserved.insert(address, Arc::clone(&member));
        }
        let net = self.clone();
        runtime().spawn(async move { net.relay(&member).await });
        Ok(address)
    }

    /// From now on the member at a reserved address sends and receives at `real`; where it did before is nobody's.
    pub fn bind(&self, address: SocketAddr, real: SocketAddr) {
        let reserved = self.reserved.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(member) = reserved.get(&address) else { return };
        let old = member.real.lock().unwrap_or_else(PoisonError::into_inner).replace(real);
        let mut members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        old.map(|old| members.remove(&old));
        members.insert(real, Arc::clone(member));
    }

    /// Carries what is sent to one member's address.
    async fn relay(&self, to: &Arc<Member>) {
        let mut bytes = vec![0u8; CHUNK];
        let waiting = Arc::new(tokio::sync::Semaphore::new(MOST_WAITING));
        loop {
            let Ok((n, source)) = to.socket.recv_from(&mut bytes).await else { continue };
            let members = || self.members.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(from) = members().get(&source).cloned() else { continue };
            let real = *to.real.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(real) = real else { continue };
            let rule = self.faults.rule(&from.group, &to.group);
            let lost = rule.partition || rule.drop > 0.0 && self.faults.draw(|r| r.gen_bool(rule.drop));
            if lost {
                continue;
            }
            let mut piece = bytes[..n].to_vec();
            self.faults.garble(&rule, &mut piece);
            let delay = self.faults.delay(&rule);
            if delay == Duration::ZERO {
                let _ = from.socket.send_to(&piece, real).await;
                continue;
            }
            let Ok(place) = Arc::clone(&waiting).try_acquire_owned() else { continue };
            let at = Instant::now() + delay;
            tokio::spawn(async move {
                sleep_until(at).await;
                let _ = from.socket.send_to(&piece, real).await;
                drop(place);
            });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{Read, Write};
    use std::net::{TcpListener as Listener, TcpStream as Stream, UdpSocket as Socket};

    /// Long enough for what must come on a busy machine.
    const PATIENCE: Duration = Duration::from_secs(20);
    /// What must not come is waited for this long: its absence cannot be shown otherwise.
    const QUIET: Duration = Duration::from_millis(150);

    /// A connection through the middle: the client's end and the server's.
    fn pair(faults: &Faults) -> (TcpPath, Stream, Stream) {
        let server = Listener::bind("127.0.0.1:0").expect("a port");
        let path = tcp(faults, "a", "s", server.local_addr().expect("an address")).expect("a path");
        let client = Stream::connect(path.address).expect("connected");
        let (served, _) = server.accept().expect("accepted");
        for s in [&client, &served] {
            s.set_read_timeout(Some(PATIENCE)).expect("set");
        }
        (path, client, served)
    }

    fn passes(from: &mut Stream, to: &mut Stream) {
        from.write_all(b"hello").expect("written");
        let mut got = [0; 5];
        to.read_exact(&mut got).expect("read");
        assert_eq!(&got, b"hello");
    }

    fn silent(to: &mut Stream) {
        to.set_read_timeout(Some(QUIET)).expect("set");
        let got = to.read(&mut [0; 8]).expect_err("nothing comes");
        assert!(matches!(got.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut), "{got}");
        to.set_read_timeout(Some(PATIENCE)).expect("set");
    }

    #[test]
    fn one_way_of_a_connection_is_parted_and_what_waited_comes_once_healed() {
        let faults = Faults::new(1);
        let (_path, mut client, mut served) = pair(&faults);
        passes(&mut client, &mut served);
        faults.set("a", "s", Rule { partition: true, ..Rule::default() });
        client.write_all(b"hello").expect("written");
        silent(&mut served);
        passes(&mut served, &mut client);
        faults.heal();
        let mut got = [0; 5];
        served.read_exact(&mut got).expect("what waited");
        assert_eq!(&got, b"hello");
    }

    #[test]
    fn a_half_close_ends_one_way_and_a_close_both() {
        let faults = Faults::new(1);
        let (_path, mut client, mut served) = pair(&faults);
        passes(&mut client, &mut served);
        faults.cut("a", "s", Cut::HalfClose);
        assert_eq!(served.read(&mut [0; 8]).expect("the end"), 0);
        passes(&mut served, &mut client);
        faults.cut("s", "a", Cut::Close);
        assert!(matches!(client.read(&mut [0; 8]), Ok(0) | Err(_)), "the other way ends, too");
    }

    #[test]
    fn what_is_garbled_differs_in_one_byte_and_a_delay_holds() {
        let faults = Faults::new(1);
        let (_path, mut client, mut served) = pair(&faults);
        faults.set("a", "s", Rule { garble: 1.0, delay_ms: 40.0, ..Rule::default() });
        let begun = std::time::Instant::now();
        client.write_all(b"hello").expect("written");
        let mut got = [0; 5];
        served.read_exact(&mut got).expect("read");
        assert!(begun.elapsed() >= Duration::from_millis(40));
        assert_eq!(got.iter().zip(b"hello").filter(|(a, b)| a != b).count(), 1, "{got:?}");
    }

    #[test]
    fn refused_connections_are_closed_before_they_reach_the_target() {
        let faults = Faults::new(1);
        let (path, _client, _served) = pair(&faults);
        faults.set("a", "s", Rule { refuse: true, ..Rule::default() });
        let mut next = Stream::connect(path.address).expect("the kernel takes it");
        next.set_read_timeout(Some(PATIENCE)).expect("set");
        assert!(matches!(next.read(&mut [0; 8]), Ok(0) | Err(_)));
    }

    #[test]
    fn datagrams_show_their_sender_and_go_by_the_rule_of_their_way() {
        let faults = Faults::new(3);
        let net = UdpNet::new(&faults);
        let socket = || Socket::bind("127.0.0.1:0").expect("a port");
        let (a, b) = (socket(), socket());
        let at_a = net.join("a", a.local_addr().expect("an address")).expect("joined");
        let at_b = net.join("b", b.local_addr().expect("an address")).expect("joined");
        for s in [&a, &b] {
            s.set_read_timeout(Some(PATIENCE)).expect("set");
        }
        let mut got = [0; 16];
        a.send_to(b"one", at_b).expect("sent");
        assert_eq!(b.recv_from(&mut got).expect("received"), (3, at_a));
        b.send_to(b"two", at_a).expect("sent");
        assert_eq!(a.recv_from(&mut got).expect("received"), (3, at_b));
        // One way is parted, the other is not.
        faults.set("a", "b", Rule { partition: true, ..Rule::default() });
        a.send_to(b"gone", at_b).expect("sent");
        b.set_read_timeout(Some(QUIET)).expect("set");
        assert!(b.recv_from(&mut got).is_err());
        b.send_to(b"here", at_a).expect("sent");
        assert_eq!(a.recv_from(&mut got).expect("received").0, 4);
        // A third is lost, by the seed.
        faults.set("b", "a", Rule { drop: 0.3, ..Rule::default() });
        (0..200u8).for_each(|i| _ = b.send_to(&[i], at_a).expect("sent"));
        a.set_read_timeout(Some(Duration::from_millis(500))).expect("set");
        let came = std::iter::from_fn(|| a.recv_from(&mut got).ok()).count();
        assert!((100..=180).contains(&came), "{came} of 200");
    }
}
