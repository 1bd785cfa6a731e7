//! Which method and path mean which operation.

use hyper::Method;
use sprucelink_admin::routes::{Route, RouteError};

#[test]
fn each_path_takes_its_methods_and_unknown_paths_are_rejected() {
    let all = [Method::GET, Method::HEAD, Method::POST, Method::PUT, Method::DELETE, Method::OPTIONS];
    let served = |path: &str| -> Vec<bool> { all.iter().map(|m| Route::resolve(m, path).is_ok()).collect() };
    let reads = [true, true, false, false, false, false];
    let writes = [false, false, true, false, false, false];
    assert_eq!([served("/admin/health"), served("/admin/stats")], [reads, reads]);
    assert_eq!([served("/admin/cordon"), served("/admin/uncordon")], [writes, writes]);
    assert_eq!(Route::resolve(&Method::POST, "/admin/uncordon"), Ok(Route::Uncordon));
    assert_eq!(
        Route::resolve(&Method::POST, "/admin/health"),
        Err(RouteError::MethodNotAllowed { allowed: "GET, HEAD" })
    );
    for path in
        ["", "/", "*", "/admin", "/admin/health/", "/Admin/health", "//admin/health", "/admin/%68ealth"]
    {
        assert_eq!(Route::resolve(&Method::GET, path), Err(RouteError::UnknownPath), "{path}");
    }
}
