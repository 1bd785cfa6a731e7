//! Creates the stand-ins and the files of a run, and engines that are added later.

use super::failpoint_faults::FailpointFaults;
use super::peers::{Peers, SUBSCRIBERS};
use super::process::Proc;
use super::{unix_ms, Engine, Harness, ProcessState, Program, RunError};
use crate::engines::{engine_id, CountingEngine, Spec};
use crate::fault_proxy::{self, Faults, UdpNet};
use crate::history::Recorder;
use crate::ledger::Ledger;
use crate::lists::{DiscoveryMode, ListService};
use crate::procs::{self, Fleet, Row};
use crate::scenario::{Engines, History, ListServiceMode, Scenario, GROUPS, ZONES};
use crate::subscribers::Subscribers;
use sprucelink_history_checker::event::{Event, FleetMember};
use sprucelink_membership::MembershipConfig;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Duration of an engine's slow start, in seconds; the same as `cold` in the managers' settings.
pub(super) const COLD_FOR: f64 = 15.0;
/// Factor by which a query takes longer on a slow engine.
const SLOW_FACTOR: f64 = 10.0;
/// Number of managers, the first ones, that all managers use as seeds of the membership protocol.
const SEEDS: usize = 3;

/// Starts the history that the scenario asks for; the recorder records nothing if it asks for none.
fn start_history(scenario: &Scenario, program: &Program, start: Instant) -> Result<Recorder, RunError> {
    if !scenario.records_history() {
        return Ok(Recorder::default());
    }
    let History { engines, max_mb } = scenario.history.unwrap_or_default();
    Recorder::start(&program.dir, start, max_mb << 20, engines).map_err(RunError::io("the history"))
}

/// The managers' settings, with the scenario's zones.
fn settings_of(scenario: &Scenario) -> String {
    let zones = format!(r#""zones":{:?}"#, &ZONES[..scenario.zones]);
    procs::settings(scenario.managers).replace(r#""zones":["hall-a","hall-b"]"#, &zones)
}

impl<'a> Harness<'a> {
    pub(super) fn new(scenario: &'a Scenario, program: &'a Program) -> Result<Harness<'a>, RunError> {
        let start = Instant::now();
        let faults = Faults::new(scenario.seed);
        let fleet = Fleet::new(&program.path, &program.dir).map_err(RunError::io("the harness's folder"))?;
        let managers = scenario.managers;
        let history = start_history(scenario, program, start)?;
        let peers = Peers::new(scenario, &faults)?;
        let mut harness = Harness {
            scenario,
            program,
            start,
            faults,
            ledger: Ledger::with_grace(Duration::from_secs_f64(scenario.drain_grace_ms / 1e3)),
            engines: Vec::new(),
            lists: Vec::new(),
            list_paths: Vec::new(),
            feeds: Vec::new(),
            revision: 1,
            fleet,
            process_states: vec![ProcessState::NotStarted; managers],
            availability: (0..managers).map(|_| Arc::default()).collect(),
            became_ready: vec![false; managers],
            crashed: 0,
            settings: settings_of(scenario),
            membership_net: UdpNet::new(&Faults::new(0)),
            membership_addresses: Vec::new(),
            membership_listeners: vec![None; managers],
            views: Vec::new(),
            completed: Arc::default(),
            parties: scenario.parties(),
            history,
            peers,
            procs: (0..managers).map(|_| Proc::new(&scenario.version)).collect(),
            failpoint_faults: FailpointFaults::new(scenario),
            pending: Vec::new(),
            subscribers: None,
            blocked_routes: BTreeSet::new(),
            ops: BTreeMap::new(),
            draws: 0,
        };
        harness.record_run_start();
        harness.start_engines()?;
        harness.start_list_services()?;
        harness.ledger.keep_attempts(start);
        harness.set_list_service_mode(scenario.lists);
        harness.reserve_membership_addresses()?;
        harness.start_subscribers();
        Ok(harness)
    }

    /// Starts the initial engines; the last `missing` ones are on the endpoint list but do not run.
    fn start_engines(&mut self) -> Result<(), RunError> {
        let Engines { count, cold, missing, .. } = self.scenario.engines;
        for i in 0..count {
            self.add_engine(i < cold)?;
            if i + missing >= count {
                self.stop_engine(i);
            }
        }
        Ok(())
    }

    /// Starts one list service for each party of managers, behind the fault proxy where the scenario uses it.
    fn start_list_services(&mut self) -> Result<(), RunError> {
        for (party, name) in self.scenario.parties().iter().enumerate() {
            let first = procs::event(1, 1, true, &self.rows(party));
            let service = ListService::start_as(first, self.start, name, self.history.clone());
            let service = service.map_err(RunError::io("list service"))?;
            let mut feed = service.address;
            if self.scenario.uses_fault_proxy() {
                let path = fault_proxy::tcp(&self.faults, name, "lists", feed)
                    .map_err(RunError::io("fault proxy"))?;
                feed = path.address;
                self.list_paths.push(path);
            }
            self.lists.push(service);
            self.feeds.push(feed);
        }
        Ok(())
    }

    /// Reserves the managers' addresses for membership messages in the fault proxy, where the scenario has
    /// membership.
    fn reserve_membership_addresses(&mut self) -> Result<(), RunError> {
        if self.scenario.membership.is_none() {
            return Ok(());
        }
        self.membership_net = UdpNet::new(&self.faults);
        for i in 0..self.scenario.managers {
            let address = self.membership_net.reserve(&format!("n{i}"));
            self.membership_addresses.push(address.map_err(RunError::io("fault proxy"))?);
        }
        Ok(())
    }

    /// Starts the subscribers, which connect to the managers that the scenario selects for them.
    fn start_subscribers(&mut self) {
        let spec = &self.scenario.subscribers;
        if spec.count == 0 {
            return;
        }
        let allowed: Option<Vec<usize>> = spec.to.as_ref().map(|to| self.select_managers(to));
        let all = self.peers.addresses_for(&spec.port, SUBSCRIBERS).into_iter().enumerate();
        let to =
            all.filter(|(i, _)| allowed.as_ref().is_none_or(|a| a.contains(i))).map(|(_, m)| m).collect();
        self.subscribers = Some(Subscribers::start(self.scenario, self.start, to, self.history.clone()));
    }

    /// Writes the history's first line.
    fn record_run_start(&self) {
        let manager = |i: usize| {
            let group = self.scenario.group_of(i);
            FleetMember { name: format!("n{i}"), zone: ZONES[group].into(), pool: GROUPS[group].into() }
        };
        let managers = (0..self.scenario.managers).map(manager).collect();
        let engines = Vec::new();
        let scenario = self.scenario.name.clone();
        let seed = self.scenario.seed;
        self.history.record(Event::RunStarted { scenario, seed, managers, engines });
    }

    pub(super) fn add_engine(&mut self, cold: bool) -> Result<(), RunError> {
        let engines = &self.scenario.engines;
        let factor = if self.engines.len() < engines.slow { SLOW_FACTOR } else { 1.0 };
        let light = factor * engines.light_ms / 1e3;
        let heavy = factor * engines.heavy_ms / 1e3;
        let cold_for = if cold { COLD_FOR } else { 0.0 };
        let spec = Spec { cores: engines.cores, light, heavy, cold_for, ..Spec::default() };
        let index = self.engines.len();
        let ledger = self.ledger.clone();
        let history = self.history.clone();
        let run = CountingEngine::start_as(spec, index, ledger, history, self.start)
            .map_err(RunError::io("engine"))?;
        let mut addresses = vec![run.address; self.parties.len()];
        let mut paths = Vec::new();
        if self.scenario.uses_fault_proxy() {
            for (party, address) in addresses.iter_mut().enumerate() {
                let path = fault_proxy::tcp(
                    &self.faults,
                    &self.parties[party],
                    ZONES[index % self.scenario.zones],
                    run.address,
                );
                let path = path.map_err(RunError::io("fault proxy"))?;
                *address = path.address;
                paths.push(path);
            }
        }
        let since_ms = if cold { unix_ms() } else { 0 };
        let id = engine_id(index);
        let name = id.clone();
        let zone = ZONES[index % self.scenario.zones].into();
        self.history.record(Event::EngineAdded(FleetMember { name, zone, pool: "std".into() }));
        self.engines.push(Engine { id, run: Some(run), addresses, paths, phase: "ready", since_ms });
        Ok(())
    }

    pub(super) fn stop_engine(&mut self, i: usize) {
        let engine = &mut self.engines[i];
        engine.paths.clear();
        if let Some(run) = &engine.run {
            run.stop();
        }
    }

    /// The endpoint list's rows of all engines, with the addresses for a party.
    pub(super) fn rows(&self, party: usize) -> Vec<Row> {
        (0..self.engines.len()).map(|i| self.row(party, i)).collect()
    }

    pub(super) fn row(&self, party: usize, i: usize) -> Row {
        let engine = &self.engines[i];
        let zone = ZONES[i % self.scenario.zones].into();
        Row {
            id: engine.id.clone(),
            address: engine.addresses[party],
            zone,
            phase: engine.phase,
            since_ms: engine.since_ms,
        }
    }

    /// Publishes the rows of changed engines on every list service, under the next revision.
    pub(super) fn publish_engines(&mut self, changed: &[usize]) -> Result<(), RunError> {
        self.revision += 1;
        for party in 0..self.lists.len() {
            let rows: Vec<Row> = changed.iter().map(|i| self.row(party, *i)).collect();
            self.lists[party].publish(|n| procs::event(n, self.revision, false, &rows))?;
        }
        Ok(())
    }

    pub(super) fn set_list_service_mode(&self, mode: ListServiceMode) {
        let mode = match mode {
            ListServiceMode::Serve => DiscoveryMode::Serving,
            ListServiceMode::Refuse => DiscoveryMode::Refusing,
            ListServiceMode::Stall => DiscoveryMode::Stalling,
        };
        self.lists.iter().for_each(|l| l.set_discovery_mode(mode));
    }

    /// The seed of manager `i`'s process after `starts` earlier starts.
    pub(super) fn seed(&self, i: usize, starts: u32) -> u64 {
        self.scenario.seed.wrapping_mul(1_000_003) ^ (i as u64) << 16 ^ u64::from(starts)
    }

    pub(super) fn config(&self, i: usize) -> String {
        let group = self.scenario.group_of(i);
        let party = self.scenario.party_of(i);
        let starts = self.fleet.managers.get(i).map_or(0, |m| m.starts);
        let seed = self.seed(i, starts);
        let known = self.lists[party].known();
        let settings = match self.scenario.zone_aware {
            // The zone's index, in the platform's format.
            true => self.settings.replacen('{', &format!("{{\"az\":{group},"), 1),
            false => self.settings.clone(),
        };
        procs::config(&format!("n{i}"), seed, self.feeds[party], &known, &settings)
    }

    /// A manager's additional arguments of `serve`; writes the failover and membership files that they name.
    pub(super) fn args(&self, i: usize) -> Result<Vec<String>, RunError> {
        let mut args = self.program.args.clone();
        if let Some(failover) = &self.scenario.failover {
            let file = self.program.dir.join(format!("n{i}.failover.json5"));
            std::fs::write(&file, failover.to_string()).map_err(RunError::io("failover"))?;
            args.extend(["--failover".to_owned(), file.display().to_string()]);
        }
        if let Some(membership) = &self.scenario.membership {
            let config = MembershipConfig {
                enabled: true,
                listen: "127.0.0.1:0".into(),
                advertise: Some(self.membership_addresses[i].to_string()),
                seeds: self.membership_addresses.iter().take(SEEDS).map(SocketAddr::to_string).collect(),
                zone: ZONES[self.scenario.group_of(i)].into(),
                region: "rig".into(),
                protocol: membership.protocol,
                share: membership.share,
            };
            let file = self.program.dir.join(format!("n{i}.membership.json5"));
            let text = serde_json::to_string(&config)?;
            std::fs::write(&file, text).map_err(RunError::io("membership"))?;
            args.extend(["--membership".to_owned(), file.display().to_string()]);
        }
        Ok(args)
    }
}
