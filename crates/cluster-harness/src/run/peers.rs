//! The managers' TCP ports: where each party reaches each of them through the fault proxy.

use super::RunError;
use crate::fault_proxy::{tcp_to, Faults, Target, TcpPath};
use crate::scenario::{Scenario, GROUPS};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::PoisonError;

/// The stand-in subscribers' name in the fault proxy.
pub(super) const SUBSCRIBERS: &str = "subscribers";

/// One port of all managers.
struct Port {
    /// Where each manager listens itself, once its log says so.
    targets: Vec<Target>,
    /// Where each party reaches each manager.
    at: Vec<Vec<SocketAddr>>,
}

/// All ports of all managers.
#[derive(Default)]
pub(super) struct Peers {
    ports: BTreeMap<String, Port>,
    /// Parties that reach managers, in the order of their numbers.
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
            let mut at = Vec::new();
            for from in &peers.sources {
                let mut row = Vec::new();
                for (i, target) in targets.iter().enumerate() {
                    let path = tcp_to(faults, from, &format!("n{i}"), Target::clone(target));
                    let path = path.map_err(RunError::io("fault middle"))?;
                    row.push(path.address);
                    peers._paths.push(path);
                }
                at.push(row);
            }
            peers.ports.insert(port.name.clone(), Port { targets, at });
        }
        (0..scenario.managers).for_each(|i| faults.home(&format!("n{i}"), GROUPS[scenario.group_of(i)]));
        Ok(peers)
    }

    /// From now on manager `i` listens there, or nowhere.
    pub(super) fn bind(&self, port: &str, i: usize, real: Option<SocketAddr>) {
        if let Some(target) = self.ports.get(port).and_then(|p| p.targets.get(i)) {
            *target.lock().unwrap_or_else(PoisonError::into_inner) = real;
        }
    }

    /// Where manager `i` listens itself.
    pub(super) fn real(&self, port: &str, i: usize) -> Option<SocketAddr> {
        let target = self.ports.get(port)?.targets.get(i)?;
        *target.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Names and addresses of all managers at a port, as a party reaches them.
    pub(super) fn seen(&self, port: &str, party: &str) -> Vec<(String, SocketAddr)> {
        let from = self.sources.iter().position(|s| s == party);
        let row = from.and_then(|from| self.ports.get(port)?.at.get(from));
        row.into_iter().flatten().enumerate().map(|(i, at)| (format!("n{i}"), *at)).collect()
    }
}
