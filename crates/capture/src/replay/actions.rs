//! Compares replayed actions with recorded ones, and names the kinds of actions.

use crate::codec::{digest_actions, encode_actions};
use crate::pb;
use crate::segment::Answer;
use sprucelink_policy::Action;

/// Name of an action's kind, as `sprucelink replay` and `sprucelink explain` print it.
pub fn action_kind(action: &Action) -> &'static str {
    match action {
        Action::ForwardAttempt { .. } => "send",
        Action::SetExecutionTerms { .. } => "terms",
        Action::Cancel { .. } => "cancel",
        Action::Reject { .. } => "refuse",
        Action::Fail { .. } => "fail",
        Action::StartTimer { .. } => "timer",
        Action::Probe { .. } => "probe",
        Action::BroadcastToPeers { .. } => "tell",
        Action::WatchEndpoints => "watch",
        Action::Log(_) => "log",
        Action::Explain(_) => "why",
    }
}

/// Kind of a divergence for which only a digest was recorded.
const UNKNOWN_KIND: &str = "unknown";
/// Kind of a divergence in only the order of the actions.
const ORDER_KIND: &str = "order";

/// Whether the replayed actions equal the recorded ones bit for bit. `buffer` is scratch space that callers
/// reuse.
pub(super) fn is_same_answer(answer: &Answer, replayed: &[pb::Action], buffer: &mut Vec<u8>) -> bool {
    match answer {
        Answer::Complete(expected) => {
            let expected = encode_actions(expected);
            expected.len() == replayed.len()
                && digest_actions(&expected, buffer) == digest_actions(replayed, buffer)
        }
        Answer::Digest { count, digest } => {
            *count as usize == replayed.len() && *digest == digest_actions(replayed, buffer)
        }
        Answer::None => true,
    }
}

/// Kinds of actions in which the replayed answer differs from the recorded one.
pub(super) fn differing_kinds(answer: &Answer, replayed: &[Action]) -> Vec<&'static str> {
    let Answer::Complete(expected) = answer else { return vec![UNKNOWN_KIND] };
    let mut kinds: Vec<&'static str> = Vec::new();
    for action in expected.iter().chain(replayed).filter(|action| !matches!(action, Action::Explain(_))) {
        let kind = action_kind(action);
        if !kinds.contains(&kind) && describe_kind(expected, kind) != describe_kind(replayed, kind) {
            kinds.push(kind);
        }
    }
    if kinds.is_empty() {
        kinds.push(ORDER_KIND);
    }
    kinds
}

/// Debug texts of the actions of one kind.
fn describe_kind(actions: &[Action], kind: &str) -> Vec<String> {
    let of_kind = actions.iter().filter(|action| action_kind(action) == kind);
    of_kind.map(|action| format!("{action:?}")).collect()
}

/// Text for a recorded answer.
pub(super) fn describe_answer(answer: &Answer) -> String {
    match answer {
        Answer::Complete(actions) => describe_actions(actions),
        Answer::Digest { count, digest } => format!("{count} actions with digest {digest:016x}"),
        Answer::None => "no answer: the program ended".to_owned(),
    }
}

/// Text for actions, separated by semicolons and without explanations.
pub(super) fn describe_actions(actions: &[Action]) -> String {
    let without_explanations = actions.iter().filter(|action| !matches!(action, Action::Explain(_)));
    let texts: Vec<String> = without_explanations.map(|action| format!("{action:?}")).collect();
    if texts.is_empty() {
        return "nothing".to_owned();
    }
    texts.join("; ")
}
