//! Configuration of a front.

use sprucelink_time::TimeDelta;

/// A request class, as far as the fronts need to know it.
#[derive(Clone, Debug)]
pub struct ClassConfig {
    /// The name that a request gives in its field `kind`.
    pub name: String,
    /// Requests of this class carry an idempotency key.
    pub has_idempotency_key: bool,
    /// How long a client waits when neither its request nor its session sets a time-out.
    pub default_timeout: TimeDelta,
}

/// Configuration of one front.
#[derive(Clone, Debug)]
pub struct FrontConfig {
    /// Request classes, by their index.
    pub classes: Vec<ClassConfig>,
    /// Names of the tenants, by their index.
    pub tenants: Vec<String>,
    /// Maximum number of connections that hold a slot and have not been evicted.
    pub max_sessions: usize,
    /// Maximum number of evicted connections, beyond `max_sessions`, that still finish what they had begun.
    pub max_evicted: usize,
    /// Maximum number of connections without a slot: those in the handshake, those that cancel a request, and those
    /// that are being closed.
    pub max_sessionless: usize,
    /// Accepts the extended query protocol and session settings, and generates request ids (the operator's front).
    pub extended: bool,
    /// Sessions without TLS are rejected.
    pub require_tls: bool,
    /// Class of a statement that names none.
    pub default_class: Option<String>,
    /// Tenant of a statement that names none.
    pub default_tenant: Option<String>,
}

impl FrontConfig {
    /// Maximum number of descriptors that the connections of the front hold; no connection is accepted beyond it.
    pub fn max_connections(&self) -> usize {
        self.max_sessions.saturating_add(self.max_evicted).saturating_add(self.max_sessionless)
    }
}
