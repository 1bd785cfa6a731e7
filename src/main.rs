//! The workload manager.
#![forbid(unsafe_code)]
#![deny(missing_docs)]
fn main() {}
