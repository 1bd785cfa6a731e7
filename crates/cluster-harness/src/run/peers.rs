//! The managers' TCP ports, and the addresses in the fault proxy at which each party reaches them.

use super::RunError;
use crate::fault_proxy::{tcp_to, Faults, Target, TcpPath};
use crate::scenario::{Scenario, GROUPS};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::PoisonError;

/// Name of the stand-in subscribers as a party of the fault proxy.
pub(super) const SUBSCRIBERS: &str = "subscribers";

/// One port of all managers.
struct Port {
    /// The address on which each manager itself listens, once its log shows it.
    targets: Vec<Target>,
    /// The address at which each party reaches each manager, by party and manager.
    addresses: Vec<Vec<SocketAddr>>,
}

/// All ports of all managers.
#[derive(Default)]
pub(super) struct Peers {
    ports: BTreeMap<String, Port>,
    /// Parties that connect to managers; their order is that of [`Port::addresses`].
    sources: Vec<String>,
    /// Paths through the fault proxy, which close when they are dropped.
    _paths: Vec<TcpPath>,
}

impl Peers {
    /// Opens the paths of a scenario.
    pub(super) fn new(scenario: &Scenario, faults: &Faults) -> Result<Peers, RunError> {
        let mut sources = scenario.parties();
        if scenario.subscribers.count > 0 {
            sources.push(SUBSCRIBERS.into());
        }
        let mut peers = Peers { sources, ..Peers::default() };
        for port in &scenario.ports {
            let targets: Vec<Target> = (0..scenario.managers).map(|_| Target::default()).collect();
            let mut addresses = Vec::new();
            for from in &peers.sources {
                let mut row = Vec::new();
                for (i, target) in targets.iter().enumerate() {
                    let path = tcp_to(faults, from, &format!("n{i}"), Target::clone(target));
                    let path = path.map_err(RunError::io("fault proxy"))?;
                    row.push(path.address);
                    peers._paths.push(path);
                }
                addresses.push(row);
            }
            peers.ports.insert(port.name.clone(), Port { targets, addresses });
        }
        (0..scenario.managers).for_each(|i| faults.set_group(&format!("n{i}"), GROUPS[scenario.group_of(i)]));
        Ok(peers)
    }

    /// Sets the address on which manager `i` listens; `None` while it is down.
    pub(super) fn bind(&self, port: &str, i: usize, address: Option<SocketAddr>) {
        if let Some(target) = self.ports.get(port).and_then(|p| p.targets.get(i)) {
            *target.lock().unwrap_or_else(PoisonError::into_inner) = address;
        }
    }

    /// The address on which manager `i` itself listens, which bypasses the fault proxy; `None` until its log
    /// shows it.
    pub(super) fn listen_address(&self, port: &str, i: usize) -> Option<SocketAddr> {
        let target = self.ports.get(port)?.targets.get(i)?;
        *target.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Names of all managers and the addresses at which a party reaches them at a port.
    pub(super) fn addresses_for(&self, port: &str, party: &str) -> Vec<(String, SocketAddr)> {
        let from = self.sources.iter().position(|s| s == party);
        let row = from.and_then(|from| self.ports.get(port)?.addresses.get(from));
        row.into_iter().flatten().enumerate().map(|(i, address)| (format!("n{i}"), *address)).collect()
    }
}
