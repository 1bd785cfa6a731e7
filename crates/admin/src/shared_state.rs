//! The state that all connections share, and the processing of their requests.

use crate::admission::Admission;
use crate::limits::MAX_BODY_BYTES;
use crate::operations::{LimitReached, Operations};
use crate::response::AdminResponse;
use crate::routes::Route;
use crate::target::parse_target;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Bytes, Incoming};
use hyper::Request;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::info;

/// State that all connections of the admin address share.
pub(crate) struct SharedState<O> {
    pub(crate) operations: Rc<O>,
    pub(crate) admission: RefCell<Admission>,
    /// Origin of the times in `admission`.
    pub(crate) started: Instant,
}

impl<O: Operations> SharedState<O> {
    /// The current time, counted from `started` as the times in `admission`.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Reports the limit that a client reached, if any, to the program's counters.
    pub(crate) fn count_limit(&self, limit: Option<LimitReached>) {
        if let Some(limit) = limit {
            self.operations.on_limit_reached(limit);
        }
    }

    /// Processes a request whose head was parsed, and returns the response.
    pub(crate) async fn respond(&self, request: Request<Incoming>) -> AdminResponse {
        match Route::resolve(request.method(), request.uri().path()) {
            Err(error) => error.into(),
            Ok(Route::Health) => AdminResponse::health(self.operations.is_healthy()),
            Ok(Route::Stats) => AdminResponse::stats(self.operations.stats()),
            Ok(route) => match read_body(request.into_body()).await {
                Ok(body) => self.operate(route, &body),
                Err(response) => response,
            },
        }
    }

    /// Performs an operation on the engine that the body names.
    fn operate(&self, route: Route, body: &[u8]) -> AdminResponse {
        let target = match parse_target(body) {
            Ok(target) => target,
            Err(error) => return error.into(),
        };
        let result = match route {
            Route::Cordon => self.operations.cordon(&target),
            _ => self.operations.uncordon(&target),
        };
        info!(operation = ?route, engine_id = target, ?result, "admin operation completed");
        AdminResponse::operation(result)
    }
}

/// Reads the complete body of a request; the error is the response to a body that cannot be read.
async fn read_body(body: Incoming) -> Result<Bytes, AdminResponse> {
    // A body that announces too many bytes is not read at all.
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(AdminResponse::body_too_long());
    }
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(AdminResponse::body_too_long()),
        Err(error) if error.downcast_ref().is_some_and(hyper::Error::is_incomplete_message) => {
            Err(AdminResponse::incomplete_request())
        }
        Err(_) => Err(AdminResponse::broken_body()),
    }
}
