//! Configuration of a front.

use sprucelink_time::TimeDelta;

/// The settings of a request class that the fronts use.
#[derive(Clone, Debug)]
pub struct ClassConfig {
    /// Name of the class, which a request gives in its field `kind`.
    pub name: String,
    /// Whether requests of this class carry an idempotency key.
    pub has_idempotency_key: bool,
    /// How long a client waits when neither its request nor its session sets a time-out.
    pub default_timeout: TimeDelta,
}

/// Limits, classes and protocol options of one front.
#[derive(Clone, Debug)]
pub struct FrontConfig {
    /// Request classes; the position is the class's index in the core.
    pub classes: Vec<ClassConfig>,
    /// Names of the tenants; the position is the tenant's index in the core.
    pub tenants: Vec<String>,
    /// Maximum number of connections that hold a slot and have not been evicted.
    pub max_sessions: usize,
    /// Maximum number of evicted connections, in addition to `max_sessions`, that still hold a slot to
    /// complete a request or a message that had begun before the eviction.
    pub max_evicted: usize,
    /// Maximum number of connections without a slot: those in the handshake, those that cancel a request, and
    /// those that are being closed.
    pub max_sessionless: usize,
    /// Whether the front accepts the extended query protocol and session settings, and generates request ids
    /// (the operator's front).
    pub allows_extended_queries: bool,
    /// Whether start-up messages outside TLS are rejected.
    pub require_tls: bool,
    /// Class of a statement whose comment names no class; such a statement is rejected if this is `None`.
    pub default_class: Option<String>,
    /// Tenant of a statement whose comment names no tenant; the first tenant if this is `None`.
    pub default_tenant: Option<String>,
}

impl FrontConfig {
    /// Maximum number of descriptors that the front's connections hold; no connection is accepted beyond it.
    pub fn max_connections(&self) -> usize {
        self.max_sessions.saturating_add(self.max_evicted).saturating_add(self.max_sessionless)
    }
}
