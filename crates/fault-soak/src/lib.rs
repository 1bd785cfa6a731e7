//! A soak test under overlapping faults: a few dozen real processes of the program on loopback, stand-ins for their
//! clients, engines and control feeds, signals, and a library that fails system calls. It is judged from outside, by what
//! the stand-ins see on their sockets.
//!
//! - [`world`]: what is known of every request, engine and manager while a run goes on;
//! - [`engine`], [`feed`], [`client`]: the stand-ins;
//! - [`manager`]: processes, by their own ids only; [`manager_endpoint`]: what clients know of one;
//! - [`shim`]: the library in `shim/syscall_faults.c`, and which calls it fails;
//! - [`nemesis`]: what goes wrong when, drawn from the seed;
//! - [`judge`]: the rules;
//! - [`soak`]: one run.
//!
//! The same seed draws the same faults; what they meet differs from run to run, as on any real machine.

pub mod client;
pub mod clock;
pub mod engine;
pub mod feed;
pub mod judge;
pub mod manager;
pub mod manager_endpoint;
pub mod nemesis;
pub mod shim;
pub mod soak;
pub mod world;
