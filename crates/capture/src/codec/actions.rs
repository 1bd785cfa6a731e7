//! Converts actions of the policy to protobuf messages and back, and computes the digest of an answer.

use super::DecodeError;
use crate::pb;
use pb::action::What as ActionKind;
use prost::Message;
use sprucelink_policy::{Action, EngineId, Level, RequestId, TimeDelta};
use xxhash_rust::xxh3::xxh3_64;

/// Encodes an action; `None` for an explanation, which is not recorded.
pub fn encode_action(action: &Action) -> Option<pb::Action> {
    let kind = match action {
        Action::ForwardAttempt { id, timeout, engine } => ActionKind::Send(pb::Send {
            id: id.0,
            engine: engine.0,
            timeout_us: timeout.map(TimeDelta::as_micros),
        }),
        Action::SetExecutionTerms { id, grant_mb, level } => {
            ActionKind::Terms(pb::Terms { id: id.0, grant_mb: *grant_mb, level: u32::from(level.0) })
        }
        Action::Cancel { id, attempt } => ActionKind::Cancel(pb::Cancel { id: id.0, attempt: *attempt }),
        Action::Reject { id, retry_after } => ActionKind::Refuse(encode_final_response(*id, *retry_after)),
        Action::Fail { id, retry_after } => ActionKind::Fail(encode_final_response(*id, *retry_after)),
        Action::StartTimer { delay, token } => {
            ActionKind::Timer(pb::Timer { delay_us: delay.as_micros(), token: *token })
        }
        Action::Probe { engine } => ActionKind::Probe(engine.0),
        Action::BroadcastToPeers { message } => ActionKind::Tell(message.clone()),
        Action::WatchEndpoints => ActionKind::Watch(true),
        Action::Log(text) => ActionKind::Log(text.clone()),
        Action::Explain(_) => return None,
    };
    Some(pb::Action { what: Some(kind) })
}

fn encode_final_response(id: RequestId, retry_after: Option<TimeDelta>) -> pb::Final {
    pb::Final { id: id.0, retry_after_us: retry_after.map(TimeDelta::as_micros) }
}

/// Encodes actions, without explanations.
pub fn encode_actions(actions: &[Action]) -> Vec<pb::Action> {
    actions.iter().filter_map(encode_action).collect()
}

/// Decodes an action of a recorded answer.
///
/// # Errors
/// A field is missing or holds an unknown value.
pub fn decode_action(action: pb::Action) -> Result<Action, DecodeError> {
    Ok(match action.what.ok_or(DecodeError { field: "action" })? {
        ActionKind::Send(send) => Action::ForwardAttempt {
            id: RequestId(send.id),
            timeout: send.timeout_us.map(TimeDelta::from_micros),
            engine: EngineId(send.engine),
        },
        ActionKind::Terms(terms) => Action::SetExecutionTerms {
            id: RequestId(terms.id),
            grant_mb: terms.grant_mb,
            level: u8::try_from(terms.level).map(Level).map_err(|_| DecodeError { field: "terms.level" })?,
        },
        ActionKind::Cancel(cancel) => Action::Cancel { id: RequestId(cancel.id), attempt: cancel.attempt },
        ActionKind::Refuse(response) => Action::Reject {
            id: RequestId(response.id),
            retry_after: response.retry_after_us.map(TimeDelta::from_micros),
        },
        ActionKind::Fail(response) => Action::Fail {
            id: RequestId(response.id),
            retry_after: response.retry_after_us.map(TimeDelta::from_micros),
        },
        ActionKind::Timer(timer) => {
            Action::StartTimer { delay: TimeDelta::from_micros(timer.delay_us), token: timer.token }
        }
        ActionKind::Probe(engine) => Action::Probe { engine: EngineId(engine) },
        ActionKind::Tell(message) => Action::BroadcastToPeers { message },
        ActionKind::Watch(_) => Action::WatchEndpoints,
        ActionKind::Log(text) => Action::Log(text),
    })
}

/// Digest of actions: XXH3-64 of their length-delimited protobuf encodings. `buffer` is scratch space that
/// callers reuse.
pub fn digest_actions(actions: &[pb::Action], buffer: &mut Vec<u8>) -> u64 {
    buffer.clear();
    for action in actions {
        // Cannot fail: a Vec grows as needed.
        let _ = action.encode_length_delimited(buffer);
    }
    xxh3_64(buffer)
}
