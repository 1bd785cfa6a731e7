//! Forwards TCP connections between groups.

use super::{ConnectionCut, Faults, CHUNK};
use crate::runtime;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Time for which a blackholed connection is kept open: as long as the longest run.
const MAX_BLACKHOLE_TIME: Duration = Duration::from_secs(600);

/// A path from one group to one target: connections to `address` are forwarded to the target. Dropping the
/// path closes its listener; open connections stay.
pub struct TcpPath {
    /// Address to which the group connects.
    pub address: SocketAddr,
    listening: tokio::task::JoinHandle<()>,
}

impl Drop for TcpPath {
    fn drop(&mut self) {
        self.listening.abort();
    }
}

/// The address to which a path forwards; `None` until the process has logged its listen address.
pub type Target = Arc<Mutex<Option<SocketAddr>>>;

/// Opens a path from `from` to `target`, a member of the party or group `to`.
///
/// # Errors
/// If a loopback port can't be bound.
pub fn tcp(faults: &Faults, from: &str, to: &str, target: SocketAddr) -> std::io::Result<TcpPath> {
    tcp_to(faults, from, to, Arc::new(Mutex::new(Some(target))))
}

/// Opens a path as [`tcp`] does, but reads the target at each new connection. The connection is closed if
/// there is no target.
///
/// # Errors
/// If a loopback port can't be bound.
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
                    return hold_blackholed(client).await;
                }
                let Ok(server) = TcpStream::connect(target).await else { return };
                forward(&faults, &from, &to, client, server).await;
            });
        }
    });
    Ok(TcpPath { address, listening })
}

/// Holds a blackholed connection open, without reading from it, until its client resets it or the time is
/// over.
async fn hold_blackholed(client: TcpStream) {
    let _ = timeout(MAX_BLACKHOLE_TIME, client.ready(Interest::ERROR)).await;
}

async fn forward(faults: &Faults, from: &str, to: &str, mut client: TcpStream, mut server: TcpStream) {
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    if forward_both(faults, from, to, &mut client, &mut server).await == StreamEnd::Reset {
        // With a linger time of zero the kernel sends RST when the sockets are dropped.
        let _ = (client.set_zero_linger(), server.set_zero_linger());
    }
}

/// Forwards both directions until both have ended, or one was cut or failed.
async fn forward_both(
    faults: &Faults,
    from: &str,
    to: &str,
    client: &mut TcpStream,
    server: &mut TcpStream,
) -> StreamEnd {
    let (client_in, client_out) = client.split();
    let (server_in, server_out) = server.split();
    let to_server = pump(faults, from, to, client_in, server_out);
    let to_client = pump(faults, to, from, server_in, client_out);
    tokio::pin!(to_server, to_client);
    let mut to_server_ended = false;
    let mut to_client_ended = false;
    while !(to_server_ended && to_client_ended) {
        // If one direction ends in order, the other stays open; a cut or a failure of one ends both.
        let end = tokio::select! {
            end = &mut to_server, if !to_server_ended => { to_server_ended = true; end }
            end = &mut to_client, if !to_client_ended => { to_client_ended = true; end }
        };
        if end != StreamEnd::Ended {
            return end;
        }
    }
    StreamEnd::Ended
}

/// Forwards the end of one direction (FIN).
async fn end_output<W: AsyncWriteExt + Unpin>(output: &mut W) -> StreamEnd {
    // An error means that the peer has already closed the connection.
    let _ = output.shutdown().await;
    StreamEnd::Ended
}

/// Waits in a partition for the next change of the faults. Returns how the connection ends, if a cut or the
/// end of the run ends it.
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
    /// Closed in order: the other direction stays open.
    Ended,
    /// Ended by a failure or a cut: both directions end.
    Broken,
    /// Ended by a cut that resets the connection.
    Reset,
}

/// Outcome of waiting for the next chunk of one direction.
enum Read {
    /// Number of bytes that were read; 0 if the sender has closed this direction.
    Bytes(usize),
    /// The faults changed before data arrived.
    FaultsChanged,
    /// The connection failed, or the run has ended.
    Failed,
}

/// Reads the next chunk, unless the faults change first.
async fn read_chunk<R: AsyncReadExt + Unpin>(
    input: &mut R,
    chunk: &mut [u8],
    changed: &mut tokio::sync::watch::Receiver<u64>,
) -> Read {
    tokio::select! {
        read = input.read(chunk) => read.map_or(Read::Failed, Read::Bytes),
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
    // A cut applies only to connections that are open when it is made, so earlier cuts are ignored.
    let earlier_cut = faults.last_cut(from, to).0;
    let cut = || faults.cut_since(from, to, earlier_cut);
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
        let chunk_size = faults.rule(from, to).chunk_size();
        let n = match read_chunk(&mut input, &mut bytes[..chunk_size], &mut changed).await {
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
