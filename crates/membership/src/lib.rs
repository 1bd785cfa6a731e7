//! A view of the fleet that its managers keep themselves: who is alive, who is suspect, who is dead, and a small
//! summary of what each knows.
//!
//! The protocol is SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group
//! Membership Protocol", DSN 2002) with suspicion, incarnation numbers and piggybacked news, and the three
//! refinements of Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More Accurate Failure
//! Detection", DSN-W 2018): a member that has trouble itself probes more slowly, a suspicion that others confirm
//! ends sooner, and a suspect is told so first.
//!
//! [`swim::Swim`] is a pure state machine: time is an argument in microseconds, randomness comes from a seed, what
//! is to be sent is handed out. [`codec`] reads and writes its datagrams within bounds; [`facts`] merges summaries
//! by version; [`pool`] says what the fleet may still spend together. Nothing here does input or output, but for
//! [`ask`], by which somebody outside reads a running member's view.

pub mod ask;
pub mod codec;
pub mod facts;
pub mod pool;
pub mod swim;
pub mod terms;

pub use sprucelink_time::{TimeDelta, Timestamp};
