//! The result of a run.

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
    /// The figures.
    pub report: Report,
    /// Requests over time.
    pub requests: Outcomes,
    /// Calls of the list service over time.
    pub calls: Vec<u32>,
    /// Connections to engines over time.
    pub dials: Vec<u32>,
    /// Logs of each manager's last start.
    pub logs: Vec<String>,
    /// Every attempt that reached an engine, in order.
    pub sends: Vec<Sent>,
    /// How far the managers' views of the fleet agreed, over time; empty where they keep none.
    pub views: Vec<Views>,
    /// Where the history is, if one was recorded.
    pub history: Option<PathBuf>,
    /// The result of the history checker, if the scenario has checks.
    pub verdict: Option<CheckReport>,
}

/// The managers' views of the fleet at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Views {
    /// Seconds after the start.
    pub at: f64,
    /// Managers that were polled and answered.
    pub polled: usize,
    /// Managers whose view has exactly the running managers.
    pub right: usize,
    /// Members by which a view differs from the running managers, summed over all views.
    pub wrong: usize,
    /// Distinct views.
    pub different: usize,
}

impl Outcome {
    /// Checks the history by the scenario's checks.
    pub(super) fn judge(&mut self, scenario: &Scenario, dir: &Path) -> Result<(), RunError> {
        if !scenario.records() {
            return Ok(());
        }
        let path = dir.join(history::NAME);
        if let Some(terms) = &scenario.check {
            let verdict = sprucelink_history_checker::check(&history::read(&path)?, terms);
            self.report.violations = Some(verdict.violations().count());
            self.verdict = Some(verdict);
        }
        self.history = Some(path);
        Ok(())
    }

    /// Fraction of the attempts from one time up to another, in seconds, that crossed zones; 0 where managers do not know
    /// their zone.
    pub fn crossing(&self, scenario: &Scenario, from: f64, to: f64) -> f64 {
        let within = |s: &&Sent| (from..to).contains(&s.at.as_secs_f64());
        let all: Vec<&Sent> = self.sends.iter().filter(within).collect();
        if !scenario.zone_aware || all.is_empty() {
            return 0.0;
        }
        let home =
            |s: &Sent| scenario.group_of(usize::from(s.manager)) == usize::from(s.engine) % scenario.zones;
        all.iter().filter(|s| !home(s)).count() as f64 / all.len() as f64
    }

    /// Fills the table's figures on the zone that a run is about; `began`: the run's start, in Unix seconds.
    pub(super) fn watched(&mut self, scenario: &Scenario, w: &Watch, began: f64) {
        let zone = ZONES.iter().position(|h| *h == w.zone).unwrap_or(0);
        let share = |(there, all): (usize, usize)| there as f64 / all.max(1) as f64;
        let end = scenario.seconds;
        let lost = format!("failover state changed event=\"zone {} ejected", w.zone);
        let time =
            |l: &str| l.split(' ').next().and_then(|t| t.parse::<f64>().ok()).map(|t| t - began - w.from);
        let first =
            |log: &String| log.lines().filter(|l| l.contains(&lost)).filter_map(time).find(|t| *t >= 0.0);
        let mut said: Vec<f64> = self.logs.iter().filter_map(first).collect();
        said.sort_by(f64::total_cmp);
        let at = |q: f64| said.get(((said.len() as f64 * q).ceil() as usize).saturating_sub(1)).copied();
        let r = &mut Report::default();
        std::mem::swap(r, &mut self.report);
        r.crossed_before = self.crossing(scenario, 1.0, w.from);
        r.left_s = self.left(scenario, zone, w.from, w.to).unwrap_or(f64::NAN);
        r.served_away = self.requests.served_share(w.from, w.to);
        r.served_back = self.requests.served_share(w.to, (w.to + 10.0).min(end));
        r.home_first = share(self.sent(scenario, zone, zone, w.to, w.to + 1.0));
        r.home_last = share(self.sent(scenario, zone, zone, end - 5.0, end));
        r.said_lost = said.len();
        r.said_p50_s = at(0.5).unwrap_or(f64::NAN);
        r.said_p95_s = at(0.95).unwrap_or(f64::NAN);
        std::mem::swap(r, &mut self.report);
    }

    /// Attempts of the managers of a group to a zone's engines from one time up to another, in seconds; and all of the
    /// group's.
    pub fn sent(&self, scenario: &Scenario, group: usize, zone: usize, from: f64, to: f64) -> (usize, usize) {
        let of = |s: &&Sent| {
            (from..to).contains(&s.at.as_secs_f64()) && scenario.group_of(usize::from(s.manager)) == group
        };
        let all: Vec<&Sent> = self.sends.iter().filter(of).collect();
        (all.iter().filter(|s| usize::from(s.engine) % scenario.zones == zone).count(), all.len())
    }

    /// Seconds after `from` until 95% of the managers that sent to a zone's engines in the second before sent at most
    /// one in ten of their attempts there over each following half second, up to `to`; none if they never did.
    pub fn left(&self, scenario: &Scenario, zone: usize, from: f64, to: f64) -> Option<f64> {
        let in_zone = |s: &&Sent| usize::from(s.engine) % scenario.zones == zone;
        let at = |s: &Sent| s.at.as_secs_f64();
        let before: BTreeSet<u16> = self
            .sends
            .iter()
            .filter(|s| at(s) >= from - 1.0 && at(s) < from)
            .filter(in_zone)
            .map(|s| s.manager)
            .collect();
        let mut last: Vec<f64> = Vec::new();
        for m in before {
            let own: Vec<&Sent> =
                self.sends.iter().filter(|s| s.manager == m && at(s) >= from && at(s) < to).collect();
            // The last half second in which more than one in ten went there.
            let busy = (0..((to - from) * 2.0) as usize).rev().find(|k| {
                let a = from + *k as f64 / 2.0;
                let b = from + (*k + 1) as f64 / 2.0;
                let here: Vec<&&Sent> = own.iter().filter(|s| at(s) >= a && at(s) < b).collect();
                here.iter().filter(|s| in_zone(s)).count() * 10 > here.len()
            });
            let busy_end = busy.map_or(0.0, |k| (k + 1) as f64 / 2.0);
            // Within it, the last attempt there.
            let end = own.iter().filter(|s| in_zone(s) && at(s) < from + busy_end).map(|s| at(s) - from);
            last.push(end.fold(0.0, f64::max));
        }
        last.sort_by(f64::total_cmp);
        let place = (last.len() as f64 * 0.95).ceil() as usize;
        last.get(place.checked_sub(1)?).copied()
    }

    /// Seconds from `from` until all views were right, and stayed so up to `to`; none if they never were.
    pub fn agreed(&self, from: f64, to: f64) -> Option<f64> {
        let span: Vec<&Views> =
            self.views.iter().filter(|v| v.at >= from && v.at < to && v.polled > 0).collect();
        let last_wrong = span.iter().rposition(|v| v.right < v.polled);
        let first_right = last_wrong.map_or(0, |i| i + 1);
        span.get(first_right).map(|v| v.at - from)
    }
}
