//! The managers' views of the fleet, polled during a run.

use super::{Harness, ProcessState, Views};
use sprucelink_membership::{Member, MemberState};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval between two rounds of polling the managers for their views.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Number of threads that poll managers concurrently.
const POLL_THREADS: usize = 8;
/// Maximum number of rounds of polling that are kept.
const MAX_VIEWS: usize = 10_000;

/// The members that a manager's view holds as alive or suspect, itself included; `None` if it did not answer.
fn query_view(address: SocketAddr) -> Option<BTreeSet<String>> {
    let all = sprucelink_membership::query_members(address).ok()?;
    let is_present = |m: &Member| matches!(m.state, MemberState::Alive | MemberState::Suspect);
    Some(all.into_iter().filter(is_present).map(|m| m.name).collect())
}

impl Harness<'_> {
    /// Polls every ready manager for its view, and compares the views with the ready managers.
    pub(super) fn poll_views(&mut self) {
        let ready: Vec<(usize, SocketAddr)> = (0..self.membership_addresses.len())
            .filter(|i| self.process_states[*i] == ProcessState::Up)
            .filter_map(|i| Some((i, self.membership_listeners[i]?)))
            .collect();
        let at = self.start.elapsed().as_secs_f64();
        let names: BTreeSet<String> = ready.iter().map(|(i, _)| format!("n{i}")).collect();
        let views: Vec<Option<BTreeSet<String>>> = std::thread::scope(|scope| {
            let chunks: Vec<_> = ready.chunks(ready.len().div_ceil(POLL_THREADS).max(1)).collect();
            let threads: Vec<_> = chunks
                .into_iter()
                .map(|chunk| {
                    scope.spawn(move || {
                        chunk.iter().map(|(_, address)| query_view(*address)).collect::<Vec<_>>()
                    })
                })
                .collect();
            threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
        });
        let views: Vec<BTreeSet<String>> = views.into_iter().flatten().collect();
        let row = Views {
            at,
            polled: views.len(),
            right_views: views.iter().filter(|view| **view == names).count(),
            wrong_members: views.iter().map(|view| view.symmetric_difference(&names).count()).sum(),
            distinct_views: views.iter().collect::<BTreeSet<_>>().len(),
        };
        if self.views.len() < MAX_VIEWS {
            self.views.push(row);
        }
    }
}
