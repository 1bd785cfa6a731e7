//! Tests of the classification of system errors.

use super::*;

#[test]
fn local_errors_are_distinguished_from_errors_of_the_peer() {
    for local in [23, 24, 12, 105, 99, 4, 11] {
        assert!(is_local_dial_failure(&io::Error::from_raw_os_error(local)), "{local}");
    }
    // ECONNREFUSED, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ECONNRESET.
    for remote in [111, 110, 113, 101, 104] {
        assert!(!is_local_dial_failure(&io::Error::from_raw_os_error(remote)), "{remote}");
    }
    // EINTR, ECONNABORTED and EPROTO do not indicate a lack of resources.
    for other in [4, 103, 71] {
        assert!(!is_out_of_resources(&io::Error::from_raw_os_error(other)), "{other}");
    }
}
