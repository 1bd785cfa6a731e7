//! Outages of members, derived from the observed events of processes and engines.
//!
//! A manager is unavailable from its exit or suspension until it serves again; it does not count before it
//! has served for the first time. An engine is unavailable while it receives no commands (if the
//! configuration enables that rule), and while the nemesis prevents it from serving. An outage is *planned*
//! if the fleet caused it: a manager that exited intentionally, or an engine that receives no commands
//! although no fault prevents it from serving.

use crate::config::{CheckConfig, MemberKind};
use crate::event::{Event, ExitCause, FleetMember, HistoryEntry, EXIT_STATUS_NEXT_VERSION};
use std::collections::BTreeMap;

/// A period in which a member was unavailable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outage {
    /// Name of the unavailable member.
    pub member: String,
    /// Whether the member is a manager or an engine.
    pub kind: MemberKind,
    /// Start of the outage, in microseconds of the run.
    pub from: u64,
    /// End of the outage (exclusive), in microseconds of the run; [`NEVER`] if the history ends first.
    pub to: u64,
    /// Whether the fleet caused the outage.
    pub planned: bool,
    /// Version under which a manager's process requested to be started again; `None` if it named none.
    pub next_version: Option<String>,
}

/// The end of an outage that outlasts its history.
pub const NEVER: u64 = u64::MAX;

/// All managers and engines of a history, by name.
pub fn members(history: &[HistoryEntry]) -> BTreeMap<String, (MemberKind, FleetMember)> {
    let mut members = BTreeMap::new();
    let mut add = |kind: MemberKind, member: &FleetMember| {
        members.insert(member.name.clone(), (kind, member.clone()));
    };
    for entry in history {
        match &entry.event {
            Event::RunStarted { managers, engines, .. } => {
                managers.iter().for_each(|manager| add(MemberKind::Managers, manager));
                engines.iter().for_each(|engine| add(MemberKind::Engines, engine));
            }
            Event::EngineAdded(engine) => add(MemberKind::Engines, engine),
            _ => {}
        }
    }
    members
}

/// All outages of a history, ordered by their start.
pub fn outages(history: &[HistoryEntry], config: &CheckConfig) -> Vec<Outage> {
    let mut outages = manager_outages(history);
    outages.extend(injected_outages(history));
    if config.max_command_gap_ms > 0 {
        outages.extend(idle_engines(history, config.max_command_gap_ms * 1_000));
    }
    outages.sort_by(|a, b| (a.from, &a.member).cmp(&(b.from, &b.member)));
    outages
}

/// The state of a manager after the events read so far.
#[derive(Default)]
struct ManagerState {
    has_served: bool,
    current_outage: Option<Outage>,
}

impl ManagerState {
    /// Begins an outage, unless the manager is already unavailable or has never served.
    fn begin(&mut self, process: &str, from: u64, planned: bool, next_version: Option<&String>) {
        if !self.has_served || self.current_outage.is_some() {
            return;
        }
        self.current_outage = Some(Outage {
            member: process.to_owned(),
            kind: MemberKind::Managers,
            from,
            to: NEVER,
            planned,
            next_version: next_version.cloned(),
        });
    }

    /// Ends the current outage, if there is one.
    fn end(&mut self, to: u64) -> Option<Outage> {
        let outage = self.current_outage.take()?;
        Some(Outage { to, ..outage })
    }
}

fn manager_outages(history: &[HistoryEntry]) -> Vec<Outage> {
    let mut managers: BTreeMap<&str, ManagerState> = BTreeMap::new();
    let mut ended = Vec::new();
    for HistoryEntry { at_us, event } in history {
        match event {
            Event::Ready { process } => {
                let manager = managers.entry(process).or_default();
                manager.has_served = true;
                ended.extend(manager.end(*at_us));
            }
            // A process that is killed while it is suspended is never resumed.
            Event::Resumed { process } => ended.extend(managers.entry(process).or_default().end(*at_us)),
            Event::Exited { process, status, cause, next, .. } => {
                let is_intentional = matches!(status, Some(0 | EXIT_STATUS_NEXT_VERSION));
                let planned = *cause == ExitCause::Own && is_intentional;
                managers.entry(process).or_default().begin(process, *at_us, planned, next.as_ref());
            }
            Event::Suspended { process } => {
                managers.entry(process).or_default().begin(process, *at_us, false, None);
            }
            _ => {}
        }
    }
    ended.extend(managers.into_values().filter_map(|manager| manager.current_outage));
    ended
}

/// An engine's outage.
fn engine_outage(engine: &str, from: u64, to: u64, planned: bool) -> Outage {
    Outage { member: engine.to_owned(), kind: MemberKind::Engines, from, to, planned, next_version: None }
}

/// Outages of engines that the nemesis caused. Overlapping faults of one engine count as one outage.
fn injected_outages(history: &[HistoryEntry]) -> Vec<Outage> {
    /// Start of the first active fault, and the number of active faults.
    struct ActiveFaults {
        from: u64,
        count: u32,
    }
    let mut active: BTreeMap<&str, ActiveFaults> = BTreeMap::new();
    let mut ended = Vec::new();
    for HistoryEntry { at_us, event } in history {
        match event {
            Event::FaultBegan { on } => {
                for engine in on {
                    active.entry(engine).or_insert(ActiveFaults { from: *at_us, count: 0 }).count += 1;
                }
            }
            Event::FaultEnded { on } => {
                for engine in on {
                    let Some(faults) = active.get_mut(engine.as_str()) else { continue };
                    faults.count -= 1;
                    if faults.count == 0 {
                        ended.push(engine_outage(engine, faults.from, *at_us, false));
                        active.remove(engine.as_str());
                    }
                }
            }
            _ => {}
        }
    }
    ended.extend(active.into_iter().map(|(engine, faults)| engine_outage(engine, faults.from, NEVER, false)));
    ended
}

/// Gaps between an engine's commands that are longer than `threshold_us` and overlap no injected fault. The
/// time before an engine's first command is not a gap, because the engine has not been used yet.
fn idle_engines(history: &[HistoryEntry], threshold_us: u64) -> Vec<Outage> {
    let faults = injected_outages(history);
    let overlaps_fault = |gap: &Outage| {
        faults.iter().any(|fault| fault.member == gap.member && fault.from < gap.to && gap.from < fault.to)
    };
    let mut last_command: BTreeMap<&str, u64> = BTreeMap::new();
    let mut gaps = Vec::new();
    for HistoryEntry { at_us, event } in history {
        let Event::Command { engine, .. } = event else { continue };
        if let Some(from) = last_command.insert(engine, *at_us) {
            gaps.push(engine_outage(engine, from, *at_us, true));
        }
    }
    // The load ends before the history does: a gap at the end only counts while another engine still receives
    // commands.
    let end_of_load = last_command.values().copied().max().unwrap_or(0);
    gaps.extend(last_command.iter().map(|(engine, from)| engine_outage(engine, *from, end_of_load, true)));
    gaps.retain(|gap| gap.to - gap.from > threshold_us && !overlaps_fault(gap));
    gaps
}
