//! The interface to the simulator: [`codec`] encodes and decodes its line protocol, [`adapter`] hosts many
//! instances of the policy on it. The program is `sprucelink-simhost`.

pub mod adapter;
pub mod codec;
