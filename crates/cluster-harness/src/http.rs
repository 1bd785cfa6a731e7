//! HTTP/1.1 calls to managers' ports, bounded in time and length.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Why an HTTP call failed.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The TCP connection failed.
    #[error("no connection: {0}")]
    Connect(#[source] std::io::Error),
    /// The connection could not be used for HTTP.
    #[error("{0}")]
    Handshake(#[source] hyper::Error),
    /// The request was sent but got no answer.
    #[error("no answer: {0}")]
    Request(#[source] hyper::Error),
    /// The method or path of the request is invalid.
    #[error("{0}")]
    InvalidRequest(#[from] hyper::http::Error),
    /// The connection ended within the body, or the body is too long.
    #[error("{0}")]
    Body(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The head of the answer did not arrive in time.
    #[error("no answer in time")]
    HeadTimeout,
    /// The complete answer did not arrive in time.
    #[error("no whole answer in time")]
    CallTimeout,
}

/// Timeout of the connection and the head of the answer together.
const MAX_HEAD_TIME: Duration = Duration::from_secs(5);
/// Timeout of a call, from the connection to the complete answer.
const MAX_CALL_TIME: Duration = Duration::from_secs(10);
/// Longest body of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Connects, sends a request and returns the answer after its head has arrived; the caller reads the body.
/// The connection is closed after the body.
///
/// # Errors
/// If the connection or the request fails, or the head of the answer does not arrive in time.
pub async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, HttpError> {
    let exchange = async {
        let stream = TcpStream::connect(address).await.map_err(HttpError::Connect)?;
        let _ = stream.set_nodelay(true);
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(HttpError::Handshake)?;
        // The task ends when the answer's body has ended or is dropped.
        tokio::spawn(connection);
        sender.send_request(request).await.map_err(HttpError::Request)
    };
    timeout(MAX_HEAD_TIME, exchange).await.unwrap_or_else(|_| Err(HttpError::HeadTimeout))
}

/// Makes a call, with a body in JSON if there is one, and returns the answer's status and body.
///
/// # Errors
/// As for [`send`], and if the request is invalid or the answer's body is incomplete or too long.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: Option<String>,
) -> Result<(u16, String), HttpError> {
    let request = Request::builder().method(method).uri(path).header("host", address.to_string());
    let request = match &body {
        Some(_) => request.header("content-type", "application/json"),
        None => request,
    };
    let request = request.body(Full::from(body.unwrap_or_default()))?;
    let exchange = async {
        let answer = send(address, request).await?;
        let status = answer.status().as_u16();
        let body =
            Limited::new(answer.into_body(), MAX_ANSWER_BYTES).collect().await.map_err(HttpError::Body)?;
        Ok((status, String::from_utf8_lossy(&body.to_bytes()).into_owned()))
    };
    timeout(MAX_CALL_TIME, exchange).await.unwrap_or_else(|_| Err(HttpError::CallTimeout))
}
