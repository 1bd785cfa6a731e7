//! Who was out when, taken from what processes and engines did.
//!
//! A manager is out from its end or stop until it serves again; before it has served for the first time it is not. An
//! engine is out while it gets nothing (where the terms say so), and while the nemesis keeps it from serving. An outage
//! is *planned* when the fleet brought it about: a manager that ended as it meant to, an engine that gets nothing
//! although nothing keeps it from serving.

use crate::event::{Cause, Event, Line, Party, NEXT_VERSION};
use crate::terms::{Kind, Terms};
use std::collections::{BTreeMap, BTreeSet};

/// Somebody was out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outage {
    /// Who.
    pub party: String,
    /// Managers or engines.
    pub of: Kind,
    /// From when, in microseconds of the run.
    pub from: u64,
    /// Until when, without it; [`NEVER`] where the history ends first.
    pub to: u64,
    /// Brought about by the fleet.
    pub planned: bool,
    /// The version that a manager's process asked to come back as.
    pub next: Option<String>,
}

/// The end of an outage that lasts beyond its history.
pub const NEVER: u64 = u64::MAX;

/// All managers and engines of a history, by name.
pub fn parties(history: &[Line]) -> BTreeMap<String, (Kind, Party)> {
    let mut all = BTreeMap::new();
    for line in history {
        match &line.event {
            Event::Run { managers, engines, .. } => {
                all.extend(managers.iter().map(|p| (p.name.clone(), (Kind::Managers, p.clone()))));
                all.extend(engines.iter().map(|p| (p.name.clone(), (Kind::Engines, p.clone()))));
            }
            Event::Engine(p) => _ = all.insert(p.name.clone(), (Kind::Engines, p.clone())),
            _ => {}
        }
    }
    all
}

#[derive(Default)]
struct Manager {
    served: bool,
    open: Option<Outage>,
}

/// All outages of a history, by when they began.
pub fn outages(history: &[Line], terms: &Terms) -> Vec<Outage> {
    let mut all = managers(history);
    all.extend(struck(history));
    if terms.quiet_ms > 0 {
        all.extend(quiet(history, terms.quiet_ms * 1_000));
    }
    all.sort_by(|a, b| (a.from, &a.party).cmp(&(b.from, &b.party)));
    all
}

fn managers(history: &[Line]) -> Vec<Outage> {
    let mut known: BTreeMap<&str, Manager> = BTreeMap::new();
    let mut all = Vec::new();
    for Line { at_us, event } in history {
        let begins = |process: &str, planned: bool, next: &Option<String>| Outage {
            party: process.to_owned(),
            of: Kind::Managers,
            from: *at_us,
            to: NEVER,
            planned,
            next: next.clone(),
        };
        match event {
            Event::Up { process } | Event::Cont { process } => {
                let m = known.entry(process).or_default();
                // One that is killed while it is stopped gets no Cont; one that goes on serves as before.
                m.served |= matches!(event, Event::Up { .. });
                all.extend(m.open.take().map(|o| Outage { to: *at_us, ..o }));
            }
            Event::Exit { process, status, cause, next, .. } => {
                let m = known.entry(process).or_default();
                let meant = matches!(status, Some(0) | Some(NEXT_VERSION));
                if m.served && m.open.is_none() {
                    m.open = Some(begins(process, *cause == Cause::Own && meant, next));
                }
            }
            Event::Stop { process } => {
                let m = known.entry(process).or_default();
                if m.served && m.open.is_none() {
                    m.open = Some(begins(process, false, &None));
                }
            }
            _ => {}
        }
    }
    all.extend(known.into_values().filter_map(|m| m.open));
    all
}

/// What the nemesis did to engines. Several strikes may lie over one another.
fn struck(history: &[Line]) -> Vec<Outage> {
    let mut open: BTreeMap<&str, (u64, u32)> = BTreeMap::new();
    let mut all = Vec::new();
    let outage = |party: &str, from: u64, to: u64| Outage {
        party: party.to_owned(),
        of: Kind::Engines,
        from,
        to,
        planned: false,
        next: None,
    };
    for Line { at_us, event } in history {
        match event {
            Event::Struck { on } => on.iter().for_each(|e| open.entry(e).or_insert((*at_us, 0)).1 += 1),
            Event::Lifted { on } => {
                for e in on {
                    let Some((from, n)) = open.get_mut(e.as_str()) else { continue };
                    *n -= 1;
                    if *n == 0 {
                        all.push(outage(e, *from, *at_us));
                        open.remove(e.as_str());
                    }
                }
            }
            _ => {}
        }
    }
    all.extend(open.into_iter().map(|(e, (from, _))| outage(e, from, NEVER)));
    all
}

/// Gaps between an engine's commands that are longer than `least`, where no strike touches the gap. What begins before
/// an engine's first command is none: nobody has used it yet.
fn quiet(history: &[Line], least: u64) -> Vec<Outage> {
    let strikes = struck(history);
    let mut last: BTreeMap<&str, u64> = BTreeMap::new();
    let mut gaps = Vec::new();
    for Line { at_us, event } in history {
        let Event::Command { engine, .. } = event else { continue };
        if let Some(from) = last.insert(engine, *at_us) {
            gaps.push((engine.as_str(), from, *at_us));
        }
    }
    // A run's load ends at some time: a gap up to the end counts only where another engine still gets commands.
    let load_ends = last.values().copied().max().unwrap_or(0);
    gaps.extend(last.iter().map(|(e, from)| (*e, *from, load_ends)));
    let touched: BTreeSet<usize> = (0..gaps.len())
        .filter(|i| {
            let (engine, from, to) = gaps[*i];
            strikes.iter().any(|s| s.party == engine && s.from < to && from < s.to)
        })
        .collect();
    let mut all = Vec::new();
    for (i, (engine, from, to)) in gaps.iter().enumerate() {
        if to - from > least && !touched.contains(&i) {
            let (from, to) = (*from, *to);
            let party = (*engine).to_owned();
            all.push(Outage { party, of: Kind::Engines, from, to, planned: true, next: None });
        }
    }
    all
}
