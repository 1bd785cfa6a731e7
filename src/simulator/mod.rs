//! The interface to the simulator: [`codec`] encodes and decodes the simulator's line protocol, and
//! [`adapter`] runs the simulated managers, each an instance of the policy. The program is
//! `sprucelink-simhost`.

pub mod adapter;
pub mod codec;
