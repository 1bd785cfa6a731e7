//! Which call is meant.

use hyper::Method;

/// A call.
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

/// Why a call means nothing here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Astray {
    /// No call has this path.
    Path,
    /// The path is right, and only these methods serve.
    Method(&'static str),
}

/// The methods of calls that only read. HEAD is GET without the body (RFC 9110, section 9.3.2).
const READS: &str = "GET, HEAD";
/// The methods of calls that change something.
const WRITES: &str = "POST";

impl Route {
    /// The call of this method and path. The path is taken as it stands: no escapes are undone, nothing is cut off its
    /// end, and letters' case counts; what follows a `?` is no part of it.
    pub fn of(method: &Method, path: &str) -> Result<Route, Astray> {
        let (route, allowed) = match path {
            "/admin/health" => (Route::Health, READS),
            "/admin/stats" => (Route::Stats, READS),
            "/admin/cordon" => (Route::Cordon, WRITES),
            "/admin/uncordon" => (Route::Uncordon, WRITES),
            _ => return Err(Astray::Path),
        };
        let fits = match allowed {
            READS => method == Method::GET || method == Method::HEAD,
            _ => method == Method::POST,
        };
        if fits {
            Ok(route)
        } else {
            Err(Astray::Method(allowed))
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_call_has_its_methods_and_nothing_else_is_one() {
        let all = [Method::GET, Method::HEAD, Method::POST, Method::PUT, Method::DELETE, Method::OPTIONS];
        let served = |path: &str| -> Vec<bool> { all.iter().map(|m| Route::of(m, path).is_ok()).collect() };
        let reads = [true, true, false, false, false, false];
        let writes = [false, false, true, false, false, false];
        assert_eq!([served("/admin/health"), served("/admin/stats")], [reads, reads]);
        assert_eq!([served("/admin/cordon"), served("/admin/uncordon")], [writes, writes]);
        assert_eq!(Route::of(&Method::POST, "/admin/uncordon"), Ok(Route::Uncordon));
        assert_eq!(Route::of(&Method::POST, "/admin/health"), Err(Astray::Method("GET, HEAD")));
        for path in
            ["", "/", "*", "/admin", "/admin/health/", "/Admin/health", "//admin/health", "/admin/%68ealth"]
        {
            assert_eq!(Route::of(&Method::GET, path), Err(Astray::Path), "{path}");
        }
    }
}
