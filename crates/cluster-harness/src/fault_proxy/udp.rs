//! Forwards UDP datagrams between members.

use super::{Faults, CHUNK};
use crate::runtime;
use rand::Rng;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{sleep_until, Instant};

/// Maximum number of delayed datagrams to one member at a time; further ones are dropped.
const MAX_DELAYED: usize = 4_096;
/// Maximum number of members of a UDP net.
const MAX_MEMBERS: usize = 2_000;

struct Member {
    /// Name in the fault proxy's rules: the member's own, or its group's.
    group: String,
    /// Address of the member's own socket, once it is known.
    local_address: Mutex<Option<SocketAddr>>,
    /// The proxy's socket for the member.
    socket: Arc<UdpSocket>,
}

/// A network of members that exchange datagrams through the fault proxy. Each member has an address in the
/// proxy; a datagram to it is forwarded to the member from the sender's address in the proxy, by the rule
/// between their groups. Datagrams from unknown senders are dropped.
#[derive(Clone)]
pub struct UdpNet {
    faults: Faults,
    /// Members by their address in the proxy.
    reserved: Arc<Mutex<HashMap<SocketAddr, Arc<Member>>>>,
    /// Members by the address of their own socket.
    members: Arc<Mutex<HashMap<SocketAddr, Arc<Member>>>>,
}

impl UdpNet {
    /// Creates a net without members, whose traffic follows the rules in `faults`.
    pub fn new(faults: &Faults) -> UdpNet {
        UdpNet { faults: faults.clone(), reserved: Arc::default(), members: Arc::default() }
    }

    /// Adds a member of a group whose own socket is at `local_address`, and returns its address in the proxy.
    ///
    /// # Errors
    /// If a loopback port can't be bound or the net is full.
    pub fn join(&self, group: &str, local_address: SocketAddr) -> std::io::Result<SocketAddr> {
        let address = self.reserve(group)?;
        self.bind(address, local_address);
        Ok(address)
    }

    /// Reserves an address in the proxy for a member whose own address is not known yet. Datagrams to it are
    /// dropped until [`UdpNet::bind`].
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
        let member = Arc::new(Member { group: group.to_owned(), local_address: Mutex::new(None), socket });
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

    /// Sets the address of the own socket of the member at a reserved address, in place of an earlier one.
    pub fn bind(&self, address: SocketAddr, local_address: SocketAddr) {
        let reserved = self.reserved.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(member) = reserved.get(&address) else { return };
        let old = member.local_address.lock().unwrap_or_else(PoisonError::into_inner).replace(local_address);
        let mut members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        old.map(|old| members.remove(&old));
        members.insert(local_address, Arc::clone(member));
    }

    /// Forwards the datagrams that are sent to one member's address in the proxy.
    async fn relay(&self, to: &Arc<Member>) {
        let mut bytes = vec![0u8; CHUNK];
        let delayed = Arc::new(tokio::sync::Semaphore::new(MAX_DELAYED));
        loop {
            let Ok((n, source)) = to.socket.recv_from(&mut bytes).await else { continue };
            let members = || self.members.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(from) = members().get(&source).cloned() else { continue };
            let destination = *to.local_address.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(destination) = destination else { continue };
            let rule = self.faults.rule(&from.group, &to.group);
            let lost = rule.partition || rule.drop > 0.0 && self.faults.draw(|r| r.gen_bool(rule.drop));
            if lost {
                continue;
            }
            let mut datagram = bytes[..n].to_vec();
            self.faults.garble(&rule, &mut datagram);
            let delay =
                self.faults.delay(&rule) + self.faults.transmission_delay(&from.group, &to.group, &rule, n);
            if delay == Duration::ZERO {
                let _ = from.socket.send_to(&datagram, destination).await;
                continue;
            }
            let Ok(permit) = Arc::clone(&delayed).try_acquire_owned() else { continue };
            let due = Instant::now() + delay;
            tokio::spawn(async move {
                sleep_until(due).await;
                let _ = from.socket.send_to(&datagram, destination).await;
                drop(permit);
            });
        }
    }
}
