//! TCP between groups.

use super::{ConnectionCut, Faults, CHUNK};
use crate::runtime;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Time for which a connection of a black hole is kept open: as long as the longest run.
const MAX_BLACKHOLE_TIME: Duration = Duration::from_secs(600);

/// A path from one group to one target: connections to the returned address lead to `target`.
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

/// The address that a path leads to; `None` until the process has logged where it listens.
pub type Target = Arc<Mutex<Option<SocketAddr>>>;

/// Opens a path from `from` to `target`, which counts as of group `to`.
///
/// # Errors
/// Those of binding a loopback port.
pub fn tcp(faults: &Faults, from: &str, to: &str, target: SocketAddr) -> std::io::Result<TcpPath> {
    tcp_to(faults, from, to, Arc::new(Mutex::new(Some(target))))
}

/// As [`tcp`], to where `target` says when a connection comes; it is closed where that is nowhere.
///
/// # Errors
/// Those of binding a loopback port.
pub fn tcp_to(faults: &Faults, from: &str, to: &str, target: Target) -> std::io::Result<TcpPath> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let faults = faults.clone();
    let from = from.to_owned();
    let to = to.to_owned();
    let listening = runtime().spawn(async move {
        let Ok(listener) = TcpListener::from_std(listener) else { return };
        while let Ok((client, _)) = listener.accept().await {
            let rule = faults.rule(&from, &to);
            let target = *target.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(target) = target.filter(|_| !rule.refuse) else { continue };
            let faults = faults.clone();
            let from = from.clone();
            let to = to.clone();
            tokio::spawn(async move {
                if rule.blackhole {
                    return swallow(client).await;
                }
                let Ok(server) = TcpStream::connect(target).await else { return };
                carry(&faults, &from, &to, client, server).await;
            });
        }
    });
    Ok(TcpPath { address, listening })
}

/// A connection that leads nowhere: it is held, and nothing of it is read, until its client lets go.
async fn swallow(client: TcpStream) {
    let _ = timeout(MAX_BLACKHOLE_TIME, client.ready(Interest::ERROR)).await;
}

async fn carry(faults: &Faults, from: &str, to: &str, mut client: TcpStream, mut server: TcpStream) {
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    if joined(faults, from, to, &mut client, &mut server).await == StreamEnd::Reset {
        let _ = (client.set_zero_linger(), server.set_zero_linger());
    }
}

/// Forwards both directions until both have ended, or one was cut or failed.
async fn joined(
    faults: &Faults,
    from: &str,
    to: &str,
    client: &mut TcpStream,
    server: &mut TcpStream,
) -> StreamEnd {
    let (client_in, client_out) = client.split();
    let (server_in, server_out) = server.split();
    let there = pump(faults, from, to, client_in, server_out);
    let back = pump(faults, to, from, server_in, client_out);
    tokio::pin!(there, back);
    let mut there_over = false;
    let mut back_over = false;
    while !(there_over && back_over) {
        // A direction that ended in order leaves the other open; one that was cut or failed ends both.
        let ended = tokio::select! {
            e = &mut there, if !there_over => { there_over = true; e }
            e = &mut back, if !back_over => { back_over = true; e }
        };
        if ended != StreamEnd::Ended {
            return ended;
        }
    }
    StreamEnd::Ended
}

/// Passes the end of one direction on.
async fn end_output<W: AsyncWriteExt + Unpin>(output: &mut W) -> StreamEnd {
    // A peer that is gone already needs no end.
    let _ = output.shutdown().await;
    StreamEnd::Ended
}

/// Waits for the next change of the faults; how the connection ends, if a cut or the end of the rig ends it.
async fn wait_in_partition(
    cut: Option<ConnectionCut>,
    changed: &mut tokio::sync::watch::Receiver<u64>,
) -> Option<StreamEnd> {
    match cut {
        Some(ConnectionCut::Reset) => Some(StreamEnd::Reset),
        Some(_) => Some(StreamEnd::Broken),
        None => changed.changed().await.is_err().then_some(StreamEnd::Broken),
    }
}

/// How one direction of a connection ended.
#[derive(PartialEq, Eq)]
enum StreamEnd {
    /// In order: the other direction stays open.
    Ended,
    /// By a failure or a cut: both directions end.
    Broken,
    /// By a cut that resets the connection.
    Reset,
}

/// What ended a read, or what it returned.
enum Read {
    /// So many bytes came; 0: the sender has ended this direction.
    Bytes(usize),
    /// The faults changed meanwhile.
    FaultsChanged,
    /// The connection failed, or the rig has ended.
    Failed,
}

/// Reads the next piece, unless the faults change first.
async fn read_piece<R: AsyncReadExt + Unpin>(
    input: &mut R,
    piece: &mut [u8],
    changed: &mut tokio::sync::watch::Receiver<u64>,
) -> Read {
    tokio::select! {
        read = input.read(piece) => read.map_or(Read::Failed, Read::Bytes),
        change = changed.changed() => match change {
            Ok(()) => Read::FaultsChanged,
            Err(_) => Read::Failed,
        },
    }
}

/// Forwards one direction of a connection until it ends, by the rules in force.
async fn pump<R, W>(faults: &Faults, from: &str, to: &str, mut input: R, mut output: W) -> StreamEnd
where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let mut changed = faults.changed.subscribe();
    let first = faults.cuts(from, to).0;
    let cut = || faults.cut_since(from, to, first);
    let mut bytes = vec![0u8; CHUNK];
    loop {
        match cut() {
            Some(ConnectionCut::Close) => return StreamEnd::Broken,
            Some(ConnectionCut::Reset) => return StreamEnd::Reset,
            Some(ConnectionCut::HalfClose) => return end_output(&mut output).await,
            None => {}
        }
        if faults.rule(from, to).partition {
            if changed.changed().await.is_err() {
                return StreamEnd::Broken;
            }
            continue;
        }
        let piece = faults.rule(from, to).piece();
        let n = match read_piece(&mut input, &mut bytes[..piece], &mut changed).await {
            Read::Bytes(0) => return end_output(&mut output).await,
            Read::Bytes(n) => n,
            Read::FaultsChanged => continue,
            Read::Failed => return StreamEnd::Broken,
        };
        let mut rule = faults.rule(from, to);
        let delay = faults.delay(&rule) + faults.transmission_delay(from, to, &rule, n);
        if delay > Duration::ZERO {
            sleep(delay).await;
        }
        while rule.partition {
            if let Some(end) = wait_in_partition(cut(), &mut changed).await {
                return end;
            }
            rule = faults.rule(from, to);
        }
        faults.garble(&rule, &mut bytes[..n]);
        if output.write_all(&bytes[..n]).await.is_err() {
            return StreamEnd::Broken;
        }
    }
}
