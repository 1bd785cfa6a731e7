//! The interface to the simulator: [`codec`] is its wire, [`adapter`] the host that runs many instances of the policy
//! on it. The program is `sprucelink-simhost`.

pub mod adapter;
pub mod codec;
