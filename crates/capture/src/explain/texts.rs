//! Texts of explanations. They are an interface: operators' tools parse them and golden tests compare them,
//! so their terms must not change, even where the code uses other terms.

use super::engine_texts::ineligible_text;
use crate::engine_numbers::EngineNumbers;
use sprucelink_policy::diagnostics::Overview;
use sprucelink_policy::{Arrival, Candidate, EngineId, Event, LoadReport, Outcome, Reason};

/// A number with two decimals, or `-` where it is absent.
pub(super) fn describe_optional(number: Option<f64>) -> String {
    number.map_or("-".to_owned(), |number| format!("{number:.2}"))
}

/// Text for an event about a request; `None` for other events. The end of an attempt has its own function,
/// [`describe_attempt_end`], since its text names an engine.
pub(super) fn describe_event(event: &Event) -> Option<String> {
    match event {
        Event::RequestArrived(arrival) => Some(describe_arrival(arrival)),
        Event::ProgressReported { attempt, note, .. } => Some(format!("note on attempt {attempt}: {note:?}")),
        Event::RequestAbandoned { .. } => Some("its client gave up".to_owned()),
        Event::ResponseStarted { .. } => Some("its answer began".to_owned()),
        _ => None,
    }
}

fn describe_arrival(arrival: &Arrival) -> String {
    format!(
        "arrived: class {}, tenant {}, group {}, {:.2} s to wait, estimated {} thread-s and {} MB",
        arrival.class.0,
        arrival.tenant,
        arrival.tables,
        arrival.time_left.as_secs_f64(),
        describe_optional(arrival.cost),
        describe_optional(arrival.memory_mb)
    )
}

/// Text for the end of an attempt on the engine with this name; `None` for other events.
pub(super) fn describe_attempt_end(event: &Event, engine: &str) -> Option<String> {
    let Event::AttemptEnded { attempt, outcome, latency, complete, query_cost, report, .. } = event else {
        return None;
    };
    let cost = query_cost.map_or(String::new(), |cost| {
        format!(", needed {:.2} thread-s and {:.0} MB", cost.work, cost.memory_mb)
    });
    Some(format!(
        "attempt {attempt} on {engine} ended {} after {:.3} s{cost}; {}{}",
        outcome_name(*outcome),
        latency.as_secs_f64(),
        describe_report(report),
        if *complete { "; the request is over" } else { "" }
    ))
}

/// Name of an outcome in explanations.
fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Succeeded => "Delivered",
        Outcome::EngineError => "Error",
        Outcome::RejectedByEngine => "Shed",
        Outcome::TimedOut => "Expired",
        Outcome::ConnectFailed => "DialFailed",
        Outcome::ConnectionLost => "Dropped",
        Outcome::Cancelled => "Revoked",
        Outcome::NeverSent => "Unused",
    }
}

fn describe_report(report: &LoadReport) -> String {
    let values = [
        ("in hand", report.queries_in_flight),
        ("waiting", report.queries_waiting_for_memory),
        ("busy", report.busy_core_fraction),
        ("memory", report.granted_memory_fraction),
        ("disks", report.busy_disk_fraction),
    ];
    let reported: Vec<String> =
        values.iter().filter_map(|(name, value)| value.map(|value| format!("{name} {value:.2}"))).collect();
    if reported.is_empty() {
        return "no load report".to_owned();
    }
    format!("reported {}", reported.join(", "))
}

/// Text for the overall state of the policy.
pub(super) fn describe_overview(overview: &Overview) -> String {
    format!(
        "{} open, {} of them in the line; own threads {:.0} of a share of {:.1} cores; others {:.2} threads a core \
         as reported; held by level {:.1?} thread-s; tolls by class and level {:.3?}; waits {:.2?}",
        overview.open_requests,
        overview.queued_requests,
        overview.own_threads,
        overview.core_share,
        overview.others_load,
        overview.queued_work,
        overview.prices,
        overview.waits
    )
}

/// Text for the reason of a decision.
pub(super) fn describe_reason(reason: &Reason, engines: &EngineNumbers) -> String {
    match reason {
        Reason::Priced { .. } => describe_pricing(reason),
        Reason::Drawn { random_unit, max_utilisation, chosen, candidates, .. } => {
            let candidates = describe_candidates(candidates, engines);
            let result = describe_choice(*chosen, engines);
            format!("draw at {random_unit:.3}, room under {max_utilisation:.1}: {candidates}; {result}")
        }
        Reason::Answered { .. } => describe_final_response(reason),
        Reason::Cancelled { .. } => describe_cancellation(reason, engines),
    }
}

fn describe_pricing(reason: &Reason) -> String {
    let Reason::Priced {
        class,
        level,
        cost,
        expected_time,
        price,
        net_value,
        latency_objective,
        own_threads,
        core_share,
        has_free_cores,
        admitted,
        ..
    } = reason
    else {
        return String::new();
    };
    let decision = match (admitted, has_free_cores) {
        (true, true) => "let in by the free-core pass",
        (true, false) => "let in: worth covers the toll",
        _ => "refused: the toll is more than it is worth",
    };
    format!(
        "priced: class {class}, cost {cost:.2} thread-s, level {level}, expected in {expected_time:.2} s (wanted within \
         {latency_objective:.2}), toll {price:.3} against worth {net_value:.3}; {own_threads:.0} own threads of a share of \
         {core_share:.1} cores; {decision}"
    )
}

fn describe_candidates(candidates: &[Candidate], engines: &EngineNumbers) -> String {
    let total_weight: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
    let describe = |candidate: &Candidate| {
        let name = engines.describe(candidate.engine.0);
        let chance = 100.0 * candidate.weight / total_weight.max(f64::MIN_POSITIVE);
        let result = match candidate.ineligible {
            None => format!("{chance:.0}%"),
            Some(reason) => ineligible_text(reason).to_owned(),
        };
        format!("{name} {:.2} threads a core: {result}", candidate.utilisation)
    };
    let texts: Vec<String> = candidates.iter().map(describe).collect();
    texts.join("; ")
}

fn describe_choice(chosen: Option<EngineId>, engines: &EngineNumbers) -> String {
    match chosen {
        Some(engine) => format!("drawn {}", engines.describe(engine.0)),
        None => "it waits".to_owned(),
    }
}

fn describe_final_response(reason: &Reason) -> String {
    let Reason::Answered {
        attempts,
        errors,
        time_left,
        retry_allowed,
        has_retry_budget,
        expected_total_time,
        net_value,
        price,
        queue_delay,
        ..
    } = reason
    else {
        return String::new();
    };
    format!(
        "given up: {attempts} attempts, {errors} errors, {time_left:.2} s left, a further attempt is {}, the ration \
         has {}; an answer would take {expected_total_time:.2} s in all and earn {net_value:.3} against a toll of {price:.3}; \
         the line holds {queue_delay:.2} s of work",
        if *retry_allowed { "allowed" } else { "not allowed" },
        if *has_retry_budget { "room" } else { "none" }
    )
}

fn describe_cancellation(reason: &Reason, engines: &EngineNumbers) -> String {
    let Reason::Cancelled {
        attempt, engine, age, expected_latency, since_progress, ejected, answered, ..
    } = reason
    else {
        return String::new();
    };
    format!(
        "attempt {attempt} on {} called off: out for {age:.2} s of {expected_latency:.2} expected, unheard of for \
         {since_progress:.2} s{}{}",
        engines.describe(engine.0),
        if *ejected { ", its engine ejected" } else { "" },
        if *answered { ", its request is over" } else { "" }
    )
}
