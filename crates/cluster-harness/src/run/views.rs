//! What managers hold of the fleet, asked of each while a run goes on.

use super::{ProcessState, Rig, Views};
use sprucelink_membership::{Member, MemberState};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval between two rounds of polling the managers for their views.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Threads that poll managers at once.
const POLL_THREADS: usize = 8;
/// Rounds of polling that are kept.
const MAX_VIEWS: usize = 10_000;

/// Names that a manager holds as here, its own among them; `None` where it did not answer.
fn held_by(real: SocketAddr) -> Option<BTreeSet<String>> {
    let all = sprucelink_membership::query_members(real).ok()?;
    let here = |m: &Member| matches!(m.state, MemberState::Alive | MemberState::Suspect);
    Some(all.into_iter().filter(here).map(|m| m.name).collect())
}

impl Rig<'_> {
    /// Asks every manager that runs for its view, some at once.
    pub(super) fn poll(&mut self) {
        let asked: Vec<(usize, SocketAddr)> = (0..self.members.len())
            .filter(|i| self.process_states[*i] == ProcessState::Up)
            .filter_map(|i| Some((i, self.real[i]?)))
            .collect();
        let at = self.start.elapsed().as_secs_f64();
        let names: BTreeSet<String> = asked.iter().map(|(i, _)| format!("n{i}")).collect();
        let held: Vec<Option<BTreeSet<String>>> = std::thread::scope(|scope| {
            let parts: Vec<_> = asked.chunks(asked.len().div_ceil(POLL_THREADS).max(1)).collect();
            let asking: Vec<_> = parts
                .into_iter()
                .map(|part| {
                    scope.spawn(move || part.iter().map(|(_, real)| held_by(*real)).collect::<Vec<_>>())
                })
                .collect();
            asking.into_iter().flat_map(|a| a.join().unwrap_or_default()).collect()
        });
        let held: Vec<BTreeSet<String>> = held.into_iter().flatten().collect();
        let row = Views {
            at,
            asked: held.len(),
            right: held.iter().filter(|h| **h == names).count(),
            wrong: held.iter().map(|h| h.symmetric_difference(&names).count()).sum(),
            different: held.iter().collect::<BTreeSet<_>>().len(),
        };
        if self.views.len() < MAX_VIEWS {
            self.views.push(row);
        }
    }
}
