//! The interface to the simulator: its codec. The adapter is the program `sprucelink-simhost`.

pub mod codec;
