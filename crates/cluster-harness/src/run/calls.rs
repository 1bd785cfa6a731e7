//! An operator's calls of managers: each is made once, and what is answered goes into the history.

use super::{Rig, RunError};
use crate::history::Recorder;
use crate::http::{self, HttpError};
use crate::runtime;
use crate::scenario::Call;
use serde_json::Value;
use sprucelink_history_checker::cursor::Cursor;
use sprucelink_history_checker::event::Event;

/// Why a call was not answered.
#[derive(Debug, thiserror::Error)]
enum CallError {
    /// The manager does not listen on the port.
    #[error("it has no such port")]
    NoPort,
    /// The call failed.
    #[error(transparent)]
    Http(HttpError),
}

impl Rig<'_> {
    /// Makes a call; it is not waited for.
    pub(super) fn call(&mut self, call: &Call) -> Result<(), RunError> {
        for i in self.select_managers(&call.to) {
            let mut values = self.values(i);
            let op = call.op.as_ref().map(|op| {
                let n = self.ops.entry(op.clone()).or_insert(0);
                *n += 1;
                format!("{op}-{}", *n - 1)
            });
            values.variables.insert("op", op.clone().unwrap_or_default());
            let path = values.fill(&call.path)?;
            let body = match &call.body {
                Value::Null => None,
                body => Some(values.fill_value(body)?.to_string()),
            };
            let method = call.method.clone();
            let cursor_at = call.cursor_at.clone();
            let at = self.peers.real(&call.port, i);
            let history = self.history.clone();
            runtime().spawn(async move {
                let got = match at {
                    Some(at) => http::call(at, &method, &path, body).await.map_err(CallError::Http),
                    None => Err(CallError::NoPort),
                };
                note(&history, &format!("{method} {path}"), i, op, cursor_at.as_deref(), got);
            });
        }
        Ok(())
    }
}

/// An answer of 2xx acknowledges the operation; any other and none do not.
fn note(
    history: &Recorder,
    what: &str,
    i: usize,
    op: Option<String>,
    cursor_at: Option<&str>,
    got: Result<(u16, String), CallError>,
) {
    let outcome = match &got {
        Ok((status, _)) => format!("status {status}"),
        Err(error) => error.to_string(),
    };
    history.note(Event::NemesisAction { act: format!("call {what}: {outcome}"), on: vec![format!("n{i}")] });
    if let (Some(op), Ok((200..=299, body))) = (op, got) {
        let answer: Option<Value> = serde_json::from_str(&body).ok();
        let text = answer.as_ref().zip(cursor_at).and_then(|(v, at)| v.pointer(at)).and_then(Value::as_str);
        let cursor: Option<Cursor> = text.and_then(|t| t.parse().ok());
        history.note(Event::Acknowledged { op, cursor });
    }
}
