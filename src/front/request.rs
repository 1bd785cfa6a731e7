//! Builds a request of the core from a statement and its fields, and submits it.

use super::client_error::{cancelled, invalid_field, no_buffer};
use super::config::ClassConfig;
use super::Front;
use crate::core::buffer_pool::Buffer;
use crate::core::now;
use crate::core::{Request, RequestHandle, RequestSpec, MAX_STATEMENT_BYTES};
use crate::proto::fields::Fields;
use crate::proto::pg::ErrorResponse;
use crate::proto::tables;
use sprucelink_time::{TimeDelta, Timestamp};

/// A statement that a session submits.
pub(super) struct Submission<'a> {
    /// Fields of the statement's comment.
    pub(super) fields: &'a Fields,
    /// Text of the statement without the comment.
    pub(super) statement: &'a str,
    /// Time from which the statement's time-out counts.
    pub(super) started: Timestamp,
    /// The session's time-out in milliseconds, if it has one.
    pub(super) session_timeout_ms: Option<u64>,
    /// Whether the client cancelled the statement before it was submitted.
    pub(super) is_cancelled: bool,
}

impl Front {
    /// Submits a statement to the core.
    ///
    /// # Errors
    /// The error for the client: a field is missing or wrong, the client cancelled the request, the statement
    /// is too long, no buffer is free, or the request id is in use.
    pub(super) fn submit(&self, submission: Submission<'_>) -> Result<RequestHandle, ErrorResponse> {
        let Submission { fields, statement, started, session_timeout_ms, is_cancelled } = submission;
        let class = self.class_index(fields)?;
        let class_config = &self.config.classes[class];
        let tenant = self.tenant_index(fields)?;
        let id = self.request_id(fields)?;
        let idempotency_key = self.idempotency_key(fields, class_config)?;
        let timeout = match fields.timeout_ms.or(session_timeout_ms) {
            Some(millis) => TimeDelta::from_micros(millis as i64 * 1000),
            None => class_config.default_timeout,
        };
        let spec = RequestSpec {
            id,
            class,
            tenant,
            tables: tables::group(statement),
            time_left: started + timeout - now(),
            cost_ms: fields.work_ms,
            memory_mb: fields.memory_mb,
        };
        if is_cancelled {
            self.core.metrics().start_request(class).abort();
            return Err(cancelled());
        }
        let statement = self
            .copy_statement(statement)
            .inspect_err(|_| self.core.metrics().start_request(class).reject())?;
        let request = Request { spec, class_name: class_config.name.clone(), idempotency_key, statement };
        let handle = self.core.submit(request);
        handle.ok_or_else(|| {
            ErrorResponse::new("42710", format!("field req: {id:016x} was given to a request before"))
        })
    }

    fn class_index(&self, fields: &Fields) -> Result<usize, ErrorResponse> {
        let name = fields.class.as_deref().or(self.config.default_class.as_deref());
        let name = name.ok_or_else(|| invalid_field("kind", "the statement's comment must name a class"))?;
        let index = self.config.classes.iter().position(|class| class.name == name);
        index.ok_or_else(|| invalid_field("kind", "names no class that is configured"))
    }

    fn tenant_index(&self, fields: &Fields) -> Result<usize, ErrorResponse> {
        let name = fields.tenant.as_deref().or(self.config.default_tenant.as_deref());
        let Some(name) = name else { return Ok(0) };
        let index = self.config.tenants.iter().position(|tenant| tenant == name);
        index.ok_or_else(|| invalid_field("owner", "names no tenant that is configured"))
    }

    /// The request's id: the client's on the platform's front, a generated one on the `extended` front.
    fn request_id(&self, fields: &Fields) -> Result<u64, ErrorResponse> {
        if self.config.allows_extended_queries {
            return Ok(self.core.generate_id());
        }
        fields.request_id.ok_or_else(|| invalid_field("req", "is missing"))
    }

    /// The idempotency key, for classes that carry one. A request without one is rejected on the platform's
    /// front, since a client's retry could not be distinguished from a new request and would run twice. The
    /// `extended` front generates one.
    fn idempotency_key(&self, fields: &Fields, class: &ClassConfig) -> Result<Option<String>, ErrorResponse> {
        if !class.has_idempotency_key {
            return Ok(None);
        }
        match &fields.idempotency_key {
            Some(key) => Ok(Some(key.clone())),
            None if self.config.allows_extended_queries => {
                Ok(Some(format!("{:016x}{:016x}", self.core.generate_id(), self.core.generate_id())))
            }
            None => Err(invalid_field("opkey", "is missing: the class carries a key")),
        }
    }

    fn copy_statement(&self, statement: &str) -> Result<Buffer, ErrorResponse> {
        if statement.len() > MAX_STATEMENT_BYTES {
            return Err(ErrorResponse::new(
                "54000",
                format!("a statement holds at most {MAX_STATEMENT_BYTES} bytes"),
            ));
        }
        let mut buffer = self.core.pool().get().ok_or_else(no_buffer)?;
        buffer.extend_from_slice(statement.as_bytes());
        Ok(buffer)
    }
}
