//! Tests of the pool's limits: what is charged, what is available beyond the limit, and what is returned.

use super::*;

#[test]
fn buffers_are_charged_by_their_size_and_returned_on_drop() {
    let pool = BufferPool::new(4 * SMALL_BUFFER_BYTES);
    let small = pool.get(1).expect("a buffer");
    let medium = pool.get(SMALL_BUFFER_BYTES + 1).expect("a buffer");
    assert_eq!(pool.usage().used_bytes, 3 * SMALL_BUFFER_BYTES);
    assert!(pool.get(SMALL_BUFFER_BYTES + 1).is_none(), "one small buffer is left");
    assert_eq!(pool.usage().refusals, 1);
    drop((small, medium));
    assert_eq!(pool.usage().used_bytes, 0);
    assert!(pool.get(BUFFER_BYTES + 1).is_none(), "no buffer is that large");
}

#[test]
fn buffer_grows_while_the_pool_permits() {
    let pool = BufferPool::new(3 * SMALL_BUFFER_BYTES);
    let mut buffer = pool.get_beyond_limit();
    assert_eq!(pool.usage().used_bytes, 0);
    let bytes = vec![7; 2 * SMALL_BUFFER_BYTES];
    assert!(buffer.append(&bytes).is_empty());
    assert_eq!((pool.usage().used_bytes, pool.usage().buffers_beyond_limit), (2 * SMALL_BUFFER_BYTES, 0));
    assert_eq!(buffer.append(&bytes).len(), 2 * SMALL_BUFFER_BYTES, "the pool is exhausted");
    assert!(!buffer.reserve(1) && buffer.free_bytes() == 0);
    assert!(buffer[..] == vec![7; 2 * SMALL_BUFFER_BYTES][..]);
}

/// Guards against an engine whose answer cannot be read because clients hold all memory.
#[test]
fn short_buffer_is_available_beyond_the_limit() {
    let pool = BufferPool::new(0);
    let mut buffer = pool.get_beyond_limit();
    assert!(buffer.append(&[1; SMALL_BUFFER_BYTES]).is_empty());
    assert!(!buffer.reserve(1));
    assert!(buffer.reserve_beyond_limit(1, 2 * SMALL_BUFFER_BYTES));
    assert!(!buffer.reserve_beyond_limit(SMALL_BUFFER_BYTES + 1, 2 * SMALL_BUFFER_BYTES));
    assert_eq!((buffer.len(), pool.usage().buffers_beyond_limit), (SMALL_BUFFER_BYTES, 1));
}

/// Guards against long statements that leave no memory for requests of usual length, and against prepared
/// statements that leave none for requests.
#[test]
fn parts_of_the_pool_are_kept_for_short_buffers_and_for_requests() {
    let pool = BufferPool::new(16 * BUFFER_BYTES);
    let long: Vec<Buffer> = std::iter::from_fn(|| pool.get(BUFFER_BYTES)).collect();
    assert_eq!(long.len(), 14);
    assert!(pool.get(MAX_SHORT_BYTES).is_some());
    drop(long);
    let retained: Vec<MemoryCharge> =
        std::iter::from_fn(|| pool.charge_retained(SMALL_BUFFER_BYTES)).collect();
    assert_eq!(retained.len() * SMALL_BUFFER_BYTES, 4 * BUFFER_BYTES);
    drop(retained);
    assert!(pool.usage().used_bytes == 0 && pool.charge_retained(1).is_some());
}

#[test]
fn free_buffers_are_reused_up_to_a_bound() {
    let pool = BufferPool::new(usize::MAX);
    let buffers: Vec<Buffer> = (0..100).map(|_| pool.get(BUFFER_BYTES).expect("a buffer")).collect();
    drop(buffers);
    assert_eq!(pool.0.free_bytes.get(), MAX_FREE_BYTES);
    let reused = pool.get(BUFFER_BYTES).expect("a buffer");
    assert_eq!((reused.len(), pool.0.free_bytes.get()), (0, MAX_FREE_BYTES - BUFFER_BYTES));
}
