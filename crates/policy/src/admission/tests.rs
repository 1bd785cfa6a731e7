use super::{decide, AdmissionDecision, FreeCapacity};
use crate::answer_value::AnswerValue;
use crate::pricing::PriceQuote;

const FREE_CORES: FreeCapacity = FreeCapacity { own_threads: 1.0, share_cores: 8.0 };
const NO_FREE_CORES: FreeCapacity = FreeCapacity { own_threads: 8.0, share_cores: 8.0 };

/// Value 1 within 2 s and 0 later; the delay cost is 0.2 per second.
fn value() -> AnswerValue {
    AnswerValue {
        value: 1.0,
        late_value_fraction: 0.0,
        objective_secs: 2.0,
        patience_secs: 5.0,
        class_deadline_secs: 5.0,
    }
}

fn quote(expected_secs: f64, price: f64) -> PriceQuote {
    PriceQuote { level: 0, expected_secs, price }
}

fn decide_with(quote: PriceQuote, capacity: FreeCapacity, utilisation: Option<f64>) -> AdmissionDecision {
    decide(&quote, &value(), 5.0, capacity, || utilisation)
}

#[test]
fn request_is_admitted_at_any_price_while_cores_are_free() {
    let expensive = quote(1.0, 100.0);
    assert_eq!(decide_with(expensive, FREE_CORES, None), AdmissionDecision::AdmittedForFreeCapacity);
    assert_eq!(decide_with(expensive, NO_FREE_CORES, Some(0.69)), AdmissionDecision::AdmittedForFreeCapacity);
    assert_eq!(decide_with(expensive, NO_FREE_CORES, Some(0.7)), AdmissionDecision::RejectedForPrice);
    assert_eq!(decide_with(expensive, NO_FREE_CORES, None), AdmissionDecision::RejectedForPrice, "no engine");
}

#[test]
fn request_without_free_cores_is_admitted_if_its_answer_is_worth_the_price() {
    assert_eq!(decide_with(quote(1.0, 0.79), NO_FREE_CORES, None), AdmissionDecision::AdmittedForValue);
    assert_eq!(decide_with(quote(1.0, 0.81), NO_FREE_CORES, None), AdmissionDecision::RejectedForPrice);
    assert_eq!(
        decide_with(quote(1.5, 0.0), NO_FREE_CORES, None),
        AdmissionDecision::RejectedForPrice,
        "too late"
    );
}

#[test]
fn free_cores_do_not_admit_a_request_past_its_deadline() {
    assert_eq!(decide_with(quote(5.1, 0.0), FREE_CORES, Some(0.0)), AdmissionDecision::RejectedForPrice);
}

#[test]
fn engine_utilisation_is_computed_only_if_the_decision_depends_on_it() {
    let decision = decide(&quote(1.0, 0.0), &value(), 5.0, FREE_CORES, || panic!("called"));
    assert_eq!(decision, AdmissionDecision::AdmittedForFreeCapacity);
    let decision = decide(&quote(5.1, 0.0), &value(), 5.0, NO_FREE_CORES, || panic!("called"));
    assert_eq!(decision, AdmissionDecision::RejectedForPrice);
}
