//! Final responses that the manager itself gives: rejected or failed, from the class's effect and whether an
//! attempt may have run; and their Retry-After, from the currently expected wait.

use crate::actions::Action;
use crate::ids::RequestId;
use crate::settings::{ClassSettings, DedupGroup, Effect};
use sprucelink_time::TimeDelta;

/// Time before the client's deadline at which a final response is sent, so that it does not arrive late.
pub(crate) const RESPONSE_MARGIN: TimeDelta = TimeDelta::from_millis(50);

/// The response to a request that no engine answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FinalResponse {
    /// Rejected: a retry by the client does no harm.
    Reject,
    /// Failed: the request may have run, and a retry by the client may run it twice.
    Fail,
}

impl FinalResponse {
    /// Chooses the response. A client's retry may reach any engine, so a keyed request that may have run is
    /// rejected only if all engines form one deduplication group.
    pub(crate) fn choose(class: &ClassSettings, may_have_run: bool) -> FinalResponse {
        let is_retry_harmless = match class.effect {
            Effect::Safe => true,
            Effect::Keyed => !may_have_run || class.group == DedupGroup::All,
            Effect::Unsafe => !may_have_run,
        };
        if is_retry_harmless {
            FinalResponse::Reject
        } else {
            FinalResponse::Fail
        }
    }

    /// The action that sends the response to the client.
    pub(crate) fn into_action(self, id: RequestId, retry_after: TimeDelta) -> Action {
        let retry_after = Some(retry_after);
        match self {
            FinalResponse::Reject => Action::Reject { id, retry_after },
            FinalResponse::Fail => Action::Fail { id, retry_after },
        }
    }
}

/// The Retry-After of a response: the wait learned for the request's class and level or, if longer, the time
/// to process this manager's queue; at most `max`, unless `max` is zero.
pub(crate) fn retry_after(level_wait_secs: f64, queue_delay_secs: f64, max: TimeDelta) -> TimeDelta {
    let wait = TimeDelta::from_secs_f64(level_wait_secs.max(queue_delay_secs));
    if max > TimeDelta::ZERO {
        wait.min(max)
    } else {
        wait
    }
}

#[cfg(test)]
mod tests;
