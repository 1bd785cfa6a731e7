//! Responses: a status and a short plain text, which gives the reason for an error.

use crate::limits::{MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_RESPONSE_BYTES};
use crate::operations::{LimitReached, OperationError, OperationOutcome};
use crate::routes::RouteError;
use crate::target::TargetError;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::{Response, StatusCode};

/// The content type of every response.
const PLAIN_TEXT: &str = "text/plain; charset=utf-8";

/// A response to a client, before it is encoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdminResponse {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Body, which ends with a line feed.
    pub text: String,
    /// Methods that the path takes, for the `Allow` header of a response with status 405; `None` in all
    /// others.
    pub allow: Option<&'static str>,
    /// The limit that the client reached, if it is the reason for the response; the caller counts it.
    pub limit: Option<LimitReached>,
}

impl AdminResponse {
    fn new(status: StatusCode, line: &str) -> AdminResponse {
        AdminResponse { status, text: format!("{line}\n"), allow: None, limit: None }
    }

    fn limited(status: StatusCode, line: &str, limit: LimitReached) -> AdminResponse {
        AdminResponse { limit: Some(limit), ..AdminResponse::new(status, line) }
    }

    /// The response to a health check: 200 or 503.
    pub fn health(is_healthy: bool) -> AdminResponse {
        match is_healthy {
            true => AdminResponse::new(StatusCode::OK, "ok"),
            false => AdminResponse::new(StatusCode::SERVICE_UNAVAILABLE, "not ready to serve"),
        }
    }

    /// The response with the metrics; 500 if `text` exceeds [`MAX_RESPONSE_BYTES`].
    pub fn stats(text: String) -> AdminResponse {
        if text.len() > MAX_RESPONSE_BYTES {
            let line = format!("figures: {} bytes, more than {MAX_RESPONSE_BYTES}", text.len());
            return AdminResponse::new(StatusCode::INTERNAL_SERVER_ERROR, &line);
        }
        AdminResponse { text, ..AdminResponse::new(StatusCode::OK, "") }
    }

    /// The response to an operation on an engine.
    pub fn operation(result: Result<OperationOutcome, OperationError>) -> AdminResponse {
        let status = match &result {
            Ok(_) => StatusCode::OK,
            Err(OperationError::Unknown) => StatusCode::NOT_FOUND,
            Err(OperationError::Unavailable(_)) => StatusCode::SERVICE_UNAVAILABLE,
        };
        match result {
            Ok(OperationOutcome::Changed) => AdminResponse::new(status, "done"),
            Ok(OperationOutcome::Unchanged) => AdminResponse::new(status, "done already"),
            Err(error) => AdminResponse::new(status, &error.to_string()),
        }
    }

    /// The response to a body that could not be read to its end.
    pub fn broken_body() -> AdminResponse {
        let line = "body: its framing is broken, or it ended before it was whole";
        AdminResponse::limited(StatusCode::BAD_REQUEST, line, LimitReached::Malformed)
    }

    /// The response to a body that is too long.
    pub fn body_too_long() -> AdminResponse {
        let line = format!("body: more than {MAX_BODY_BYTES} bytes");
        AdminResponse::limited(StatusCode::PAYLOAD_TOO_LARGE, &line, LimitReached::RequestTooLong)
    }

    /// The response to a head that is too long, or that announces a body whose length the HTTP library
    /// rejects: the library does not distinguish the two.
    pub fn head_too_long() -> AdminResponse {
        let line = format!(
            "call: too long: a head may have {MAX_HEAD_BYTES} bytes and 100 headers, a body {MAX_BODY_BYTES} bytes"
        );
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        AdminResponse::limited(status, &line, LimitReached::RequestTooLong)
    }

    /// The response to bytes that are not an HTTP request.
    pub fn not_http() -> AdminResponse {
        AdminResponse::limited(StatusCode::BAD_REQUEST, "call: not HTTP/1.1", LimitReached::Malformed)
    }

    /// The response to a client that closed its side within a request.
    pub fn incomplete_request() -> AdminResponse {
        let line = "call: ended before it was whole";
        AdminResponse::limited(StatusCode::BAD_REQUEST, line, LimitReached::Malformed)
    }

    /// The response to a request that was incomplete at its timeout.
    pub fn request_timeout() -> AdminResponse {
        let line = "call: not whole in time";
        AdminResponse::limited(StatusCode::REQUEST_TIMEOUT, line, LimitReached::RequestTimeout)
    }

    /// The response to a client whose connection was evicted.
    pub fn evicted() -> AdminResponse {
        let line = "too many callers: this one had been silent for longest";
        AdminResponse::limited(StatusCode::SERVICE_UNAVAILABLE, line, LimitReached::Evicted)
    }

    /// Converts to the HTTP library's type; the library adds the length and `connection: close`.
    pub fn into_http(self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(Bytes::from(self.text)));
        *response.status_mut() = self.status;
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(PLAIN_TEXT));
        if let Some(allow) = self.allow {
            response.headers_mut().insert(ALLOW, HeaderValue::from_static(allow));
        }
        response
    }

    /// The response as bytes, for a client whose request the HTTP library has not parsed.
    pub fn to_bytes(&self) -> Vec<u8> {
        let head = format!(
            "HTTP/1.1 {} {}\r\nconnection: close\r\ncontent-type: {PLAIN_TEXT}\r\ncontent-length: {}\r\n\r\n",
            self.status.as_str(),
            self.status.canonical_reason().unwrap_or(""),
            self.text.len()
        );
        [head.as_bytes(), self.text.as_bytes()].concat()
    }
}

impl From<RouteError> for AdminResponse {
    fn from(error: RouteError) -> AdminResponse {
        let line = error.to_string();
        match error {
            RouteError::UnknownPath => AdminResponse::new(StatusCode::NOT_FOUND, &line),
            RouteError::MethodNotAllowed { allowed } => AdminResponse {
                allow: Some(allowed),
                ..AdminResponse::new(StatusCode::METHOD_NOT_ALLOWED, &line)
            },
        }
    }
}

impl From<TargetError> for AdminResponse {
    fn from(error: TargetError) -> AdminResponse {
        AdminResponse::limited(StatusCode::BAD_REQUEST, &error.to_string(), LimitReached::Malformed)
    }
}
