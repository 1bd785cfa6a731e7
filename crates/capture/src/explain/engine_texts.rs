//! Texts about engines in explanations: their state as the policy estimates it, and why an engine is not
//! eligible. Like the texts in [`super::texts`] they are an interface: their terms must not change.

use super::texts::describe_optional;
use sprucelink_policy::diagnostics::EngineView;
use sprucelink_policy::IneligibleReason;

/// Text for the state of an engine, as the policy estimates it.
pub(super) fn describe_engine_state(engine: &EngineView) -> String {
    let mut text = format!(
        "believed {:.2} threads a core (own {:.0}, others {:.1} by a report {} s old that counts {:.2}, usual {:.1}, \
         waiting {:.0})",
        engine.utilisation,
        engine.threads,
        engine.others_threads,
        describe_optional(engine.report_age_secs),
        engine.report_weight,
        engine.mean_others_threads,
        engine.queries_waiting_for_memory
    );
    let flags = [
        (engine.saturated, "told to be full"),
        (engine.ejected, "ejected"),
        (engine.unresponsive, "silent"),
        (engine.capacity_fraction < 1.0, "cold"),
        (engine.backoff_secs > 0.0, "resting"),
        (!engine.listed, "not listed as ready"),
    ];
    for (_, name) in flags.iter().filter(|(is_set, _)| *is_set) {
        text.push_str(", ");
        text.push_str(name);
    }
    text
}

/// Text for the reason why an engine is not eligible.
pub(super) fn ineligible_text(reason: IneligibleReason) -> &'static str {
    match reason {
        IneligibleReason::NotListed => "not listed",
        IneligibleReason::WrongPlacement
        | IneligibleReason::OutsideDedupGroup
        | IneligibleReason::SlowStartBudgetSpent => "rules",
        IneligibleReason::Health => "health",
        IneligibleReason::JustFailed => "just failed it",
        IneligibleReason::NotSampled => "not among the few",
        IneligibleReason::NoCapacity => "no room",
    }
}
