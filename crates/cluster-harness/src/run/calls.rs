//! An operator's HTTP calls to managers: each is made once, and its outcome is recorded in the history.

use super::{Harness, RunError};
use crate::history::Recorder;
use crate::http::{self, HttpError};
use crate::runtime;
use crate::scenario::Call;
use serde_json::Value;
use sprucelink_history_checker::cursor::Cursor;
use sprucelink_history_checker::event::Event;

/// Why a call got no answer.
#[derive(Debug, thiserror::Error)]
enum CallError {
    /// The manager does not listen on the port.
    #[error("it has no such port")]
    NoPort,
    /// The call failed.
    #[error(transparent)]
    Http(HttpError),
}

impl Harness<'_> {
    /// Makes a call to each selected manager, without waiting for the answers.
    pub(super) fn call(&mut self, call: &Call) -> Result<(), RunError> {
        for i in self.select_managers(&call.to) {
            let mut values = self.values(i);
            let op = call.op.as_ref().map(|op| {
                let calls = self.ops.entry(op.clone()).or_insert(0);
                *calls += 1;
                format!("{op}-{}", *calls - 1)
            });
            values.variables.insert("op", op.clone().unwrap_or_default());
            let path = values.fill(&call.path)?;
            let body = match &call.body {
                Value::Null => None,
                body => Some(values.fill_value(body)?.to_string()),
            };
            let method = call.method.clone();
            let cursor_at = call.cursor_at.clone();
            let address = self.peers.listen_address(&call.port, i);
            let history = self.history.clone();
            runtime().spawn(async move {
                let answer = match address {
                    Some(address) => http::call(address, &method, &path, body).await.map_err(CallError::Http),
                    None => Err(CallError::NoPort),
                };
                record_call(&history, &format!("{method} {path}"), i, op, cursor_at.as_deref(), answer);
            });
        }
        Ok(())
    }
}

/// Records a call and its outcome. If the answer's status is 2xx, also records that the operation `op`, if
/// any, was acknowledged.
fn record_call(
    history: &Recorder,
    request_line: &str,
    i: usize,
    op: Option<String>,
    cursor_at: Option<&str>,
    answer: Result<(u16, String), CallError>,
) {
    let outcome = match &answer {
        Ok((status, _)) => format!("status {status}"),
        Err(error) => error.to_string(),
    };
    let act = format!("call {request_line}: {outcome}");
    history.record(Event::NemesisAction { act, on: vec![format!("n{i}")] });
    if let (Some(op), Ok((200..=299, body))) = (op, answer) {
        let json: Option<Value> = serde_json::from_str(&body).ok();
        let text = json.as_ref().zip(cursor_at).and_then(|(v, at)| v.pointer(at)).and_then(Value::as_str);
        let cursor: Option<Cursor> = text.and_then(|t| t.parse().ok());
        history.record(Event::Acknowledged { op, cursor });
    }
}
