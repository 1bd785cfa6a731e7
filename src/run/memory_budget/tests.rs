//! Tests that the pool and what is set aside stay within the memory limit.

use super::*;

/// The platform's limits: 32 to 192 MB, 256 to 1,024 descriptors.
#[test]
fn pool_and_connections_fit_every_limit_of_the_platform() {
    for memory_mb in [32, 48, 56, 64, 96, 128, 192] {
        for descriptors in [256, 512, 672, 1_024] {
            let limit = memory_mb << 20;
            let pool = pool_bytes(limit, descriptors);
            assert!(
                OWN_BYTES + descriptors * CONNECTION_BYTES + pool <= limit,
                "{memory_mb} MB, {descriptors}"
            );
            assert!(pool <= limit / MAX_POOL_DIVISOR && pool >= limit / MIN_POOL_DIVISOR);
        }
    }
}
