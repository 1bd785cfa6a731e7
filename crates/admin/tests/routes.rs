//! Tests of the operation for each method and path.

use hyper::Method;
use sprucelink_admin::routes::{Route, RouteError};

#[test]
fn each_path_takes_its_methods_and_unknown_paths_are_rejected() {
    let methods = [Method::GET, Method::HEAD, Method::POST, Method::PUT, Method::DELETE, Method::OPTIONS];
    let accepted = |path: &str| -> Vec<bool> {
        methods.iter().map(|method| Route::resolve(method, path).is_ok()).collect()
    };
    let reads = [true, true, false, false, false, false];
    let writes = [false, false, true, false, false, false];
    assert_eq!([accepted("/admin/health"), accepted("/admin/stats")], [reads, reads]);
    assert_eq!([accepted("/admin/cordon"), accepted("/admin/uncordon")], [writes, writes]);
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
