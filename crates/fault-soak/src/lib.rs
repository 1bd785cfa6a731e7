//! A soak test under overlapping faults: several processes of the program on loopback, stand-ins for their
//! clients, engines and control feeds, signals, and a library that makes system calls fail. The run is
//! checked from outside, by what the stand-ins observe on their sockets.
//!
//! - [`world`]: observations about every request, engine and manager during a run;
//! - [`engine`], [`feed`], [`client`]: the stand-ins;
//! - [`manager`]: the processes under test; [`manager_endpoint`]: a manager's address and state, for its clients;
//! - [`shim`]: the library in `shim/syscall_faults.c` and its settings;
//! - [`nemesis`]: the fault schedule, drawn from the seed;
//! - [`judge`]: the rules and their violations;
//! - [`soak`]: one run.
//!
//! The same seed draws the same faults; their effect differs between runs because processes are scheduled
//! differently.

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
