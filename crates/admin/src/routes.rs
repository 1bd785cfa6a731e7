//! Maps a method and path to an operation.

use hyper::Method;

/// An operation of the admin address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// `GET /admin/health`.
    Health,
    /// `GET /admin/stats`.
    Stats,
    /// `POST /admin/cordon`.
    Cordon,
    /// `POST /admin/uncordon`.
    Uncordon,
}

/// Reason why a method and path have no operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// No operation has this path.
    #[error("path: no such call")]
    UnknownPath,
    /// The path takes other methods.
    #[error("method: this path takes {allowed}")]
    MethodNotAllowed {
        /// Methods of the path, as listed in the `Allow` header.
        allowed: &'static str,
    },
}

/// Methods of operations that only read. HEAD is GET without the body (RFC 9110, section 9.3.2).
const READ_METHODS: &str = "GET, HEAD";
/// Methods of operations that change state.
const WRITE_METHODS: &str = "POST";

impl Route {
    /// The operation for a method and path. The path is compared byte by byte: escapes are not decoded,
    /// nothing is trimmed, and case matters. It must not include the query.
    ///
    /// # Errors
    /// An unknown path, or a method that the path does not take.
    pub fn resolve(method: &Method, path: &str) -> Result<Route, RouteError> {
        let (route, allowed) = match path {
            "/admin/health" => (Route::Health, READ_METHODS),
            "/admin/stats" => (Route::Stats, READ_METHODS),
            "/admin/cordon" => (Route::Cordon, WRITE_METHODS),
            "/admin/uncordon" => (Route::Uncordon, WRITE_METHODS),
            _ => return Err(RouteError::UnknownPath),
        };
        let is_allowed = match allowed {
            READ_METHODS => method == Method::GET || method == Method::HEAD,
            _ => method == Method::POST,
        };
        if is_allowed {
            Ok(route)
        } else {
            Err(RouteError::MethodNotAllowed { allowed })
        }
    }
}
