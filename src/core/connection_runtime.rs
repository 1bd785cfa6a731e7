//! The interface between the coordinator and the tasks that run connections and timers. Stateless.

use super::buffer_pool::BufferPool;
use super::engine_connection::{ConnectionLimits, EngineConnection};
use std::rc::Rc;

/// Starts and wakes the tasks of a coordinator, and provides the resources that they share.
pub(super) trait ConnectionRuntime {
    /// The pool from which commands and results take their buffers.
    fn pool(&self) -> &BufferPool;
    /// Limits and timeouts that apply to every connection.
    fn limits(&self) -> &ConnectionLimits;
    /// Starts the task that dials and serves a connection.
    fn start_connection(&self, connection: Rc<EngineConnection>);
    /// Wakes the task that calls `Coordinator::process_due`.
    fn wake(&self);
}
