//! Tests of what errors mean.

use super::*;

#[test]
fn errors_of_this_machine_are_told_from_those_of_the_other_side() {
    for local in [23, 24, 12, 105, 99, 4, 11] {
        assert!(is_local_dial_failure(&io::Error::from_raw_os_error(local)), "{local}");
    }
    // ECONNREFUSED, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ECONNRESET.
    for remote in [111, 110, 113, 101, 104] {
        assert!(!is_local_dial_failure(&io::Error::from_raw_os_error(remote)), "{remote}");
    }
    // EINTR, ECONNABORTED and EPROTO are no want of anything.
    for other in [4, 103, 71] {
        assert!(!is_out_of_resources(&io::Error::from_raw_os_error(other)), "{other}");
    }
}
