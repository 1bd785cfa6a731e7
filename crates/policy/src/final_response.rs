//! The final response that no engine gave: rejected or failed, from the class's effect and whether an attempt
//! may have run; and its Retry-After, from the wait that is expected now.

use crate::actions::Action;
use crate::ids::RequestId;
use crate::settings::{ClassSettings, DedupGroup, Effect};
use sprucelink_time::TimeDelta;

/// A response is sent this long before the client stops waiting: it must not arrive late.
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
    /// Chooses the response. A client's retry may reach any engine, so that a keyed request that may have run
    /// is rejected only where all engines form one deduplication group.
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

    /// The action that gives the response.
    pub(crate) fn into_action(self, id: RequestId, retry_after: TimeDelta) -> Action {
        let retry_after = Some(retry_after);
        match self {
            FinalResponse::Reject => Action::Reject { id, retry_after },
            FinalResponse::Fail => Action::Fail { id, retry_after },
        }
    }
}

/// The Retry-After of a response: the wait learned for the request's class and level or, if longer, the time
/// that this manager's queue takes; `max` bounds it unless it is zero.
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
