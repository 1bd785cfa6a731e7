//! No permit takes effect after a halt: from the configured time after the halt was first observed as
//! committed until it is lifted, no planned outage begins. A rollback is not part of the halted release:
//! under a halt of one version, a manager may exit to be started as another version.

use crate::config::CheckConfig;
use crate::event::{Event, HistoryEntry};
use crate::outages::{outages, Outage, NEVER};
use crate::InvariantReport;

/// Name of the invariant in reports.
pub const NAME: &str = "permit-after-halt";

/// A halt and the period in which it was in force, in microseconds of the run.
struct Halt<'a> {
    id: &'a str,
    from: u64,
    to: u64,
    version: &'a Option<String>,
}

impl Halt<'_> {
    fn is_in_force(&self) -> bool {
        self.to == NEVER
    }

    /// Whether an outage belongs to a rollback of the halted release.
    fn is_rollback(&self, outage: &Outage) -> bool {
        self.version.is_some() && outage.next_version.is_some() && outage.next_version != *self.version
    }

    /// Whether a planned outage violates this halt.
    fn forbids(&self, outage: &Outage, config: &CheckConfig) -> bool {
        let effective_from = self.from.saturating_add(config.halt_ms * 1_000);
        outage.from > effective_from && outage.from < self.to && !self.is_rollback(outage)
    }
}

/// Checks a history for violations of the invariant.
pub fn check(history: &[HistoryEntry], config: &CheckConfig) -> InvariantReport {
    let halts = halts(history);
    let mut report = InvariantReport { examined: halts.len() as u64, ..InvariantReport::default() };
    for outage in outages(history, config).iter().filter(|outage| outage.planned) {
        for halt in halts.iter().filter(|halt| halt.forbids(outage, config)) {
            let description = format!(
                "{} became unavailable ({}) {} ms after halt {} was observed, at most {}",
                outage.member,
                outage.next_version.as_deref().unwrap_or("no version named"),
                (outage.from - halt.from) / 1_000,
                halt.id,
                config.halt_ms
            );
            report.add(NAME, outage.from, description);
        }
    }
    report
}

/// All halts of a history. A halt is ignored while one with the same id is in force.
fn halts(history: &[HistoryEntry]) -> Vec<Halt<'_>> {
    let mut halts: Vec<Halt<'_>> = Vec::new();
    for HistoryEntry { at_us, event } in history {
        match event {
            Event::Halted { id, version }
                if !halts.iter().any(|halt| halt.id == id && halt.is_in_force()) =>
            {
                halts.push(Halt { id, from: *at_us, to: NEVER, version });
            }
            Event::HaltLifted { id } => {
                for halt in halts.iter_mut().filter(|halt| halt.id == id && halt.is_in_force()) {
                    halt.to = *at_us;
                }
            }
            _ => {}
        }
    }
    halts
}
