use super::{retry_after, FinalResponse};
use crate::settings::tests::class;
use crate::settings::{ClassSettings, DedupGroup, Effect};
use sprucelink_time::TimeDelta;

fn response(effect: Effect, group: DedupGroup, may_have_run: bool) -> FinalResponse {
    let class = ClassSettings { group, ..class(effect, 1.0) };
    FinalResponse::choose(&class, may_have_run)
}

#[test]
fn request_that_may_have_run_fails_unless_a_retry_by_the_client_is_harmless() {
    for (effect, group, expected) in [
        (Effect::Safe, DedupGroup::Cell, FinalResponse::Reject),
        (Effect::Keyed, DedupGroup::All, FinalResponse::Reject),
        (Effect::Keyed, DedupGroup::Zone, FinalResponse::Fail),
        (Effect::Unsafe, DedupGroup::All, FinalResponse::Fail),
    ] {
        assert_eq!(response(effect, group, true), expected, "{effect:?} {group:?}");
        assert_eq!(response(effect, group, false), FinalResponse::Reject, "{effect:?} never ran");
    }
}

#[test]
fn retry_after_is_the_longer_wait_up_to_the_maximum() {
    assert_eq!(retry_after(1.2, 0.4, TimeDelta::ZERO), TimeDelta::from_millis(1_200));
    assert_eq!(retry_after(0.4, 1.2, TimeDelta::ZERO), TimeDelta::from_millis(1_200));
    assert_eq!(retry_after(1.2, 0.4, TimeDelta::from_secs(1)), TimeDelta::from_secs(1));
}
