//! UDP between members.

use super::{Faults, CHUNK};
use crate::runtime;
use rand::Rng;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{sleep_until, Instant};

/// Datagrams that are delayed at once on one path; further ones are dropped.
const MAX_WAITING: usize = 4_096;
/// Members of one UDP net.
const MAX_MEMBERS: usize = 2_000;

struct Member {
    /// Its name in the fault proxy's rules: its own, or its group's.
    group: String,
    /// Where it sends and receives, once that is known.
    real: Mutex<Option<SocketAddr>>,
    socket: Arc<UdpSocket>,
}

/// UDP between members, each of which has an address in the fault proxy: what one sends to another's address
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
            if reserved.len() >= MAX_MEMBERS {
                return Err(std::io::Error::other(format!("at most {MAX_MEMBERS} members")));
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
        let waiting = Arc::new(tokio::sync::Semaphore::new(MAX_WAITING));
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
            let delay =
                self.faults.delay(&rule) + self.faults.transmission_delay(&from.group, &to.group, &rule, n);
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
