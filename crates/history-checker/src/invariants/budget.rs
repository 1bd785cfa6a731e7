//! Planned outages stay within every disruption budget: when a planned outage begins, the number of
//! unavailable members, planned and unplanned and including the new one, is within each budget that counts
//! the member. An unplanned outage counts once the configured detection time has passed; it never violates a
//! budget by itself, because the fleet did not decide on it.

use crate::config::{CheckConfig, DisruptionBudget, MemberKind};
use crate::event::{FleetMember, HistoryEntry};
use crate::outages::{members, outages, Outage};
use crate::InvariantReport;
use std::collections::{BTreeMap, BTreeSet};

/// Name of the invariant in reports.
pub const NAME: &str = "outage-budget";

/// Checks a history for violations of the invariant.
pub fn check(history: &[HistoryEntry], config: &CheckConfig) -> InvariantReport {
    let outages = outages(history, config);
    let members = members(history);
    let detection_us = config.notice_ms * 1_000;
    let mut report = InvariantReport::default();
    for planned in outages.iter().filter(|outage| outage.planned) {
        report.examined += 1;
        for budget in config.budgets.iter().filter(|budget| is_counted(planned, budget, &members)) {
            let unavailable = unavailable_at(planned, budget, &outages, &members, detection_us);
            if unavailable.len() > budget.max_unavailable {
                report.add(NAME, planned.from, describe(planned, budget, &unavailable));
            }
        }
    }
    report
}

/// Whether a budget counts the member of an outage.
fn is_counted(
    outage: &Outage,
    budget: &DisruptionBudget,
    members: &BTreeMap<String, (MemberKind, FleetMember)>,
) -> bool {
    let member = members.get(&outage.member).map(|(_, member)| member);
    let is_match = |expected: &Option<String>, actual: Option<&String>| {
        expected.as_ref().is_none_or(|expected| actual == Some(expected))
    };
    outage.kind == budget.member_kind
        && is_match(&budget.zone, member.map(|member| &member.zone))
        && is_match(&budget.pool, member.map(|member| &member.pool))
}

/// The members that a budget counts as unavailable when a planned outage begins, the planned one included.
fn unavailable_at<'a>(
    planned: &'a Outage,
    budget: &DisruptionBudget,
    outages: &'a [Outage],
    members: &BTreeMap<String, (MemberKind, FleetMember)>,
    detection_us: u64,
) -> BTreeSet<&'a str> {
    // Outages are ordered by their start: all that began before or with the planned one come first.
    let begun_outages = outages.iter().take_while(|other| other.from <= planned.from);
    let mut unavailable: BTreeSet<&str> = begun_outages
        .filter(|other| other.to > planned.from && is_counted(other, budget, members))
        .filter(|other| other.planned || other.from + detection_us <= planned.from)
        .map(|other| other.member.as_str())
        .collect();
    unavailable.insert(&planned.member);
    unavailable
}

fn describe(planned: &Outage, budget: &DisruptionBudget, unavailable: &BTreeSet<&str>) -> String {
    let scope: Vec<&str> = [&budget.zone, &budget.pool].into_iter().flatten().map(String::as_str).collect();
    let scope = if scope.is_empty() { "the fleet".to_owned() } else { scope.join(", ") };
    format!(
        "{} became unavailable while {} of {scope} ({:?}) were unavailable too, at most {}: {unavailable:?}",
        planned.member,
        unavailable.len() - 1,
        budget.member_kind,
        budget.max_unavailable
    )
}
