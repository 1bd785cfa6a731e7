use super::{decide, AdmissionDecision, FreeCapacity};
use crate::answer_value::AnswerValue;
use crate::pricing::PriceQuote;

const FREE: FreeCapacity = FreeCapacity { own_threads: 1.0, share_cores: 8.0 };
const USED: FreeCapacity = FreeCapacity { own_threads: 8.0, share_cores: 8.0 };

/// Worth 1 within 2 s, nothing later; it costs a fifth for each second.
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
    let dear = quote(1.0, 100.0);
    assert_eq!(decide_with(dear, FREE, None), AdmissionDecision::AdmittedForFreeCapacity);
    assert_eq!(decide_with(dear, USED, Some(0.69)), AdmissionDecision::AdmittedForFreeCapacity);
    assert_eq!(decide_with(dear, USED, Some(0.7)), AdmissionDecision::RejectedForPrice);
    assert_eq!(decide_with(dear, USED, None), AdmissionDecision::RejectedForPrice, "no engine");
}

#[test]
fn request_without_free_cores_is_admitted_if_its_answer_is_worth_the_price() {
    assert_eq!(decide_with(quote(1.0, 0.79), USED, None), AdmissionDecision::AdmittedForValue);
    assert_eq!(decide_with(quote(1.0, 0.81), USED, None), AdmissionDecision::RejectedForPrice);
    assert_eq!(decide_with(quote(1.5, 0.0), USED, None), AdmissionDecision::RejectedForPrice, "too late");
}

#[test]
fn free_cores_do_not_admit_a_request_past_its_deadline() {
    assert_eq!(decide_with(quote(5.1, 0.0), FREE, Some(0.0)), AdmissionDecision::RejectedForPrice);
}

#[test]
fn engine_is_not_asked_about_where_it_does_not_decide() {
    let decision = decide(&quote(1.0, 0.0), &value(), 5.0, FREE, || panic!("asked"));
    assert_eq!(decision, AdmissionDecision::AdmittedForFreeCapacity);
    let decision = decide(&quote(5.1, 0.0), &value(), 5.0, USED, || panic!("asked"));
    assert_eq!(decision, AdmissionDecision::RejectedForPrice);
}
