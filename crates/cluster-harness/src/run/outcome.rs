//! The result of a run: its figures, and what is computed from its attempts, views and history.

use super::RunError;
use crate::history;
use crate::ledger::Sent;
use crate::report::{Outcomes, Report};
use crate::scenario::{Scenario, Watch, ZONES};
use sprucelink_history_checker::CheckReport;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// The result of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The figures of the run.
    pub report: Report,
    /// Requests by outcome, per bucket of [`crate::report::BUCKET`].
    pub requests: Outcomes,
    /// Calls to the list services, per bucket of [`crate::report::BUCKET`].
    pub calls: Vec<u32>,
    /// Connections to engines, per bucket of [`crate::report::BUCKET`].
    pub dials: Vec<u32>,
    /// The log of each manager since its last start.
    pub logs: Vec<String>,
    /// Every attempt that reached an engine, in order.
    pub sends: Vec<Sent>,
    /// Agreement of the managers' views of the fleet over time; empty in a run without membership.
    pub views: Vec<Views>,
    /// Path of the history, if one was recorded.
    pub history: Option<PathBuf>,
    /// The result of the history checker; absent if the scenario has no `check` section.
    pub verdict: Option<CheckReport>,
}

/// Agreement of the managers' views of the fleet in one round of polling.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Views {
    /// Time of the round, in seconds after the start of the run.
    pub at: f64,
    /// Number of managers that were polled and answered.
    pub polled: usize,
    /// Number of managers whose view holds exactly the running managers.
    pub right_views: usize,
    /// Number of members by which a view differs from the running managers, summed over all views.
    pub wrong_members: usize,
    /// Number of distinct views.
    pub distinct_views: usize,
}

impl Outcome {
    /// Checks the history against the invariants of the scenario's `check` section.
    pub(super) fn check_history(&mut self, scenario: &Scenario, dir: &Path) -> Result<(), RunError> {
        if !scenario.records_history() {
            return Ok(());
        }
        let path = dir.join(history::NAME);
        if let Some(config) = &scenario.check {
            let verdict = sprucelink_history_checker::check(&history::read(&path)?, config);
            self.report.violations = Some(verdict.violations().count());
            self.verdict = Some(verdict);
        }
        self.history = Some(path);
        Ok(())
    }

    /// Fraction of the attempts between `from` and `to`, in seconds, that crossed zones; 0 where managers do
    /// not know their zone.
    pub fn crossing(&self, scenario: &Scenario, from: f64, to: f64) -> f64 {
        let within = |s: &&Sent| (from..to).contains(&s.at.as_secs_f64());
        let all: Vec<&Sent> = self.sends.iter().filter(within).collect();
        if !scenario.zone_aware || all.is_empty() {
            return 0.0;
        }
        let in_own_zone =
            |s: &Sent| scenario.group_of(usize::from(s.manager)) == usize::from(s.engine) % scenario.zones;
        all.iter().filter(|s| !in_own_zone(s)).count() as f64 / all.len() as f64
    }

    /// Sets the report's figures on the watched zone; `start_unix_s` is the run's start in Unix seconds, the
    /// clock of the logs.
    pub(super) fn fill_watch_figures(&mut self, scenario: &Scenario, watch: &Watch, start_unix_s: f64) {
        let zone = ZONES.iter().position(|name| *name == watch.zone).unwrap_or(0);
        let fraction = |(in_zone, all): (usize, usize)| in_zone as f64 / all.max(1) as f64;
        let end = scenario.seconds;
        let ejected = format!("failover state changed event=\"zone {} ejected", watch.zone);
        let time = |line: &str| {
            line.split(' ').next().and_then(|t| t.parse::<f64>().ok()).map(|t| t - start_unix_s - watch.from)
        };
        let first =
            |log: &String| log.lines().filter(|l| l.contains(&ejected)).filter_map(time).find(|t| *t >= 0.0);
        let mut ejections: Vec<f64> = self.logs.iter().filter_map(first).collect();
        ejections.sort_by(f64::total_cmp);
        let quantile =
            |q: f64| ejections.get(((ejections.len() as f64 * q).ceil() as usize).saturating_sub(1)).copied();
        let report = &mut Report::default();
        std::mem::swap(report, &mut self.report);
        report.crossed_before = self.crossing(scenario, 1.0, watch.from);
        report.left_s = self.zone_departure_seconds(scenario, zone, watch.from, watch.to).unwrap_or(f64::NAN);
        report.served_away = self.requests.served_share(watch.from, watch.to);
        report.served_back = self.requests.served_share(watch.to, (watch.to + 10.0).min(end));
        report.home_first = fraction(self.sent(scenario, zone, zone, watch.to, watch.to + 1.0));
        report.home_last = fraction(self.sent(scenario, zone, zone, end - 5.0, end));
        report.managers_with_ejection = ejections.len();
        report.ejection_p50_s = quantile(0.5).unwrap_or(f64::NAN);
        report.ejection_p95_s = quantile(0.95).unwrap_or(f64::NAN);
        std::mem::swap(report, &mut self.report);
    }

    /// Number of attempts of a group's managers to a zone's engines between `from` and `to`, in seconds, and
    /// number of the group's attempts to all engines in that time.
    pub fn sent(&self, scenario: &Scenario, group: usize, zone: usize, from: f64, to: f64) -> (usize, usize) {
        let of_group = |s: &&Sent| {
            (from..to).contains(&s.at.as_secs_f64()) && scenario.group_of(usize::from(s.manager)) == group
        };
        let all: Vec<&Sent> = self.sends.iter().filter(of_group).collect();
        (all.iter().filter(|s| usize::from(s.engine) % scenario.zones == zone).count(), all.len())
    }

    /// The time that managers take to leave a zone, in seconds after `from`: the 95th percentile over the
    /// managers that sent attempts to the zone's engines in the second before `from`. A manager has left with
    /// its last attempt to the zone in the last half second before `to` in which more than one in ten of its
    /// attempts went there, or at `from` if there is no such half second. `None` if no manager sent attempts
    /// there.
    pub fn zone_departure_seconds(
        &self,
        scenario: &Scenario,
        zone: usize,
        from: f64,
        to: f64,
    ) -> Option<f64> {
        let in_zone = |s: &&Sent| usize::from(s.engine) % scenario.zones == zone;
        let at = |s: &Sent| s.at.as_secs_f64();
        let before: BTreeSet<u16> = self
            .sends
            .iter()
            .filter(|s| at(s) >= from - 1.0 && at(s) < from)
            .filter(in_zone)
            .map(|s| s.manager)
            .collect();
        let mut departures: Vec<f64> = Vec::new();
        for manager in before {
            let own: Vec<&Sent> =
                self.sends.iter().filter(|s| s.manager == manager && at(s) >= from && at(s) < to).collect();
            // The last half second in which more than one in ten attempts went to the zone.
            let busy = (0..((to - from) * 2.0) as usize).rev().find(|k| {
                let a = from + *k as f64 / 2.0;
                let b = from + (*k + 1) as f64 / 2.0;
                let within: Vec<&&Sent> = own.iter().filter(|s| at(s) >= a && at(s) < b).collect();
                within.iter().filter(|s| in_zone(s)).count() * 10 > within.len()
            });
            let busy_end = busy.map_or(0.0, |k| (k + 1) as f64 / 2.0);
            // The last attempt to the zone up to the end of that half second.
            let end = own.iter().filter(|s| in_zone(s) && at(s) < from + busy_end).map(|s| at(s) - from);
            departures.push(end.fold(0.0, f64::max));
        }
        departures.sort_by(f64::total_cmp);
        let rank = (departures.len() as f64 * 0.95).ceil() as usize;
        departures.get(rank.checked_sub(1)?).copied()
    }

    /// Seconds after `from` until all views were right and stayed right up to `to`; `None` if a view was
    /// wrong in the last round of polling, or no manager was polled.
    pub fn seconds_to_agreement(&self, from: f64, to: f64) -> Option<f64> {
        let polls: Vec<&Views> =
            self.views.iter().filter(|v| v.at >= from && v.at < to && v.polled > 0).collect();
        let last_wrong = polls.iter().rposition(|v| v.right_views < v.polled);
        let first_right = last_wrong.map_or(0, |i| i + 1);
        polls.get(first_right).map(|v| v.at - from)
    }
}
