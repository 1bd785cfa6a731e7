//! What a caller is told: a status and a short plain text that says what is wrong.

use crate::limits::{MOST_ANSWER, MOST_BODY, MOST_HEAD};
use crate::operations::{Bite, Done, Refused};
use crate::routes::Astray;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::{Response, StatusCode};

const PLAIN: &str = "text/plain; charset=utf-8";

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its body, ending in a line feed.
    pub text: String,
    /// The methods that would serve, with 405.
    pub allow: Option<&'static str>,
    /// The bound that this caller reached, if that is why.
    pub bite: Option<Bite>,
}

impl Answer {
    fn new(status: StatusCode, line: &str) -> Answer {
        Answer { status, text: format!("{line}\n"), allow: None, bite: None }
    }

    fn bitten(status: StatusCode, line: &str, bite: Bite) -> Answer {
        Answer { bite: Some(bite), ..Answer::new(status, line) }
    }

    /// Whether the process can serve.
    pub fn health(healthy: bool) -> Answer {
        match healthy {
            true => Answer::new(StatusCode::OK, "ok"),
            false => Answer::new(StatusCode::SERVICE_UNAVAILABLE, "not ready to serve"),
        }
    }

    /// The figures.
    pub fn stats(text: String) -> Answer {
        if text.len() > MOST_ANSWER {
            let line = format!("figures: {} bytes, more than {MOST_ANSWER}", text.len());
            return Answer::new(StatusCode::INTERNAL_SERVER_ERROR, &line);
        }
        Answer { text, ..Answer::new(StatusCode::OK, "") }
    }

    /// What became of a call that names an engine.
    pub fn operated(outcome: Result<Done, Refused>) -> Answer {
        match outcome {
            Ok(Done::Changed) => Answer::new(StatusCode::OK, "done"),
            Ok(Done::Unchanged) => Answer::new(StatusCode::OK, "done already"),
            Err(Refused::Unknown) => {
                Answer::new(StatusCode::NOT_FOUND, "target: no engine of this id was ever listed")
            }
            Err(Refused::Unavailable(why)) => Answer::new(StatusCode::SERVICE_UNAVAILABLE, &why),
        }
    }

    /// A body that names no engine.
    pub fn bad_body(why: &str) -> Answer {
        Answer::bitten(StatusCode::BAD_REQUEST, why, Bite::Malformed)
    }

    /// A body over its bound.
    pub fn long_body() -> Answer {
        let line = format!("body: more than {MOST_BODY} bytes");
        Answer::bitten(StatusCode::PAYLOAD_TOO_LARGE, &line, Bite::TooLong)
    }

    /// A head over its bound, or one that speaks of a body past all bounds: the HTTP library tells them not apart.
    pub fn long_head() -> Answer {
        let line = format!(
            "call: too long: a head may have {MOST_HEAD} bytes and 100 headers, a body {MOST_BODY} bytes"
        );
        Answer::bitten(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, &line, Bite::TooLong)
    }

    /// Bytes that are no call.
    pub fn garbage() -> Answer {
        Answer::bitten(StatusCode::BAD_REQUEST, "call: not HTTP/1.1", Bite::Malformed)
    }

    /// The caller ended its side within its call.
    pub fn cut() -> Answer {
        Answer::bitten(StatusCode::BAD_REQUEST, "call: ended before it was whole", Bite::Malformed)
    }

    /// The call was not whole in time.
    pub fn late() -> Answer {
        Answer::bitten(StatusCode::REQUEST_TIMEOUT, "call: not whole in time", Bite::CallLate)
    }

    /// Others needed the seat.
    pub fn displaced() -> Answer {
        let line = "too many callers: this one had been silent for longest";
        Answer::bitten(StatusCode::SERVICE_UNAVAILABLE, line, Bite::Displaced)
    }

    /// The answer by the HTTP library, which adds the length and `connection: close`.
    pub fn response(self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(Bytes::from(self.text)));
        *response.status_mut() = self.status;
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(PLAIN));
        if let Some(allow) = self.allow {
            response.headers_mut().insert(ALLOW, HeaderValue::from_static(allow));
        }
        response
    }

    /// The answer's bytes, for a caller whose call the HTTP library never saw whole.
    pub fn bytes(&self) -> Vec<u8> {
        let (status, length) = (self.status, self.text.len());
        let head = format!(
            "HTTP/1.1 {} {}\r\nconnection: close\r\ncontent-type: {PLAIN}\r\ncontent-length: {length}\r\n\r\n",
            status.as_str(),
            status.canonical_reason().unwrap_or("")
        );
        [head.as_bytes(), self.text.as_bytes()].concat()
    }
}

impl From<Astray> for Answer {
    fn from(astray: Astray) -> Answer {
        match astray {
            Astray::Path => Answer::new(StatusCode::NOT_FOUND, "path: no such call"),
            Astray::Method(allow) => {
                let line = format!("method: this path takes {allow}");
                Answer { allow: Some(allow), ..Answer::new(StatusCode::METHOD_NOT_ALLOWED, &line) }
            }
        }
    }
}
