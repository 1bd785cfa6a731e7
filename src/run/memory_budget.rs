//! Divides the memory that the process may use: everything that clients can make it hold is charged to the
//! pool of buffers, and the rest is set aside.

/// Memory of the process without connections, in bytes: the engines of the largest fleet, the policy's state,
/// the ids of recent requests, and the state files of a hot restart.
const OWN_BYTES: usize = 6 << 20;
/// Memory of one connection that is not charged to the pool, in bytes: its task, its state, and its two small
/// buffers.
const CONNECTION_BYTES: usize = 14 << 10;
/// The pool gets at most the memory limit divided by this: memory beyond half of the limit has a price.
const MAX_POOL_DIVISOR: usize = 2;
/// The pool gets at least the memory limit divided by this, however many descriptors there are.
const MIN_POOL_DIVISOR: usize = 8;

/// The bytes of the pool of buffers in a process that may use `memory_bytes` and hold `descriptors`.
pub fn pool_bytes(memory_bytes: usize, descriptors: usize) -> usize {
    let set_aside = OWN_BYTES.saturating_add(descriptors.saturating_mul(CONNECTION_BYTES));
    let remaining = memory_bytes.saturating_sub(set_aside);
    remaining.clamp(memory_bytes / MIN_POOL_DIVISOR, memory_bytes / MAX_POOL_DIVISOR)
}

#[cfg(test)]
mod tests;
