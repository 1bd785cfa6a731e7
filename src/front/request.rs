//! Prepares a request of the core from a statement and its fields, and submits it.

use super::client_error::{cancelled, invalid_field, no_buffer};
use super::config::ClassConfig;
use super::Front;
use crate::core::buffer_pool::Buffer;
use crate::core::now;
use crate::core::{IdReservation, Request, RequestHandle, RequestSpec, MAX_STATEMENT_BYTES};
use crate::proto::fields::Fields;
use crate::proto::pg::ErrorResponse;
use crate::proto::tables;
use sprucelink_time::{TimeDelta, Timestamp};

/// A request whose fields and statement were read and checked. It holds a copy of the statement in a buffer of
/// the pool, so that the message need not be kept.
pub(super) struct PreparedRequest {
    id: u64,
    class: usize,
    tenant: usize,
    tables: u64,
    timeout: TimeDelta,
    cost_ms: Option<f64>,
    memory_mb: Option<f64>,
    idempotency_key: Option<String>,
    statement: Buffer,
}

/// What the fields of a statement's comment say, after they were checked.
struct CheckedFields {
    id: u64,
    class: usize,
    tenant: usize,
    idempotency_key: Option<String>,
}

impl Front {
    /// Checks the fields of a statement's comment, and copies the statement. `statement` is the text without
    /// the comment; `session_timeout_ms` is the session's time-out, if it has one.
    ///
    /// # Errors
    /// The error for the client: a field is missing or wrong, the statement is too long, or there is no
    /// memory for it.
    pub(super) fn prepare_request(
        &self,
        fields: &Fields,
        statement: &str,
        session_timeout_ms: Option<u64>,
    ) -> Result<PreparedRequest, ErrorResponse> {
        let CheckedFields { id, class, tenant, idempotency_key } = self.check_fields(fields)?;
        let class_config = &self.config.classes[class];
        let timeout = match fields.timeout_ms.or(session_timeout_ms) {
            Some(millis) => TimeDelta::from_micros(millis as i64 * 1000),
            None => class_config.default_timeout,
        };
        let tables = tables::group(statement);
        let statement = self
            .copy_statement(statement)
            .inspect_err(|_| self.core.metrics().start_request(class).reject())?;
        Ok(PreparedRequest {
            id,
            class,
            tenant,
            tables,
            timeout,
            cost_ms: fields.work_ms,
            memory_mb: fields.memory_mb,
            idempotency_key,
            statement,
        })
    }

    /// Reserves the id of a request that waits for its turn in its session; `None` if it cannot be reserved, or its
    /// request will be rejected.
    pub(super) fn reserve_waiting_id(&self, fields: &Fields, statement: &str) -> Option<IdReservation> {
        let id = self.check_fields(fields).ok()?.id;
        self.core.reserve_waiting_id(id, statement.as_bytes())
    }

    /// Submits a request to the core. Its time-out counts from `started`; `is_cancelled` tells whether the
    /// client has cancelled it already. `reservation`: that of its id, if there is one.
    ///
    /// # Errors
    /// The error for the client: it cancelled the request, or the request id is in use.
    pub(super) fn submit(
        &self,
        request: PreparedRequest,
        reservation: Option<IdReservation>,
        started: Timestamp,
        is_cancelled: bool,
    ) -> Result<RequestHandle, ErrorResponse> {
        let PreparedRequest { id, class, .. } = request;
        if is_cancelled {
            self.core.metrics().start_request(class).abort();
            return Err(cancelled());
        }
        let reservation = reservation.or_else(|| self.core.reserve_id(id, &request.statement));
        let Some(reservation) = reservation else {
            let message = format!("field req: {id:016x} was given to a request before");
            return Err(ErrorResponse::new("42710", message));
        };
        let spec = RequestSpec {
            id,
            class,
            tenant: request.tenant,
            tables: request.tables,
            time_left: started + request.timeout - now(),
            cost_ms: request.cost_ms,
            memory_mb: request.memory_mb,
        };
        let request = Request {
            spec,
            class_name: self.config.classes[class].name.clone(),
            idempotency_key: request.idempotency_key,
            statement: request.statement,
        };
        Ok(self.core.submit(request, reservation))
    }

    fn check_fields(&self, fields: &Fields) -> Result<CheckedFields, ErrorResponse> {
        let class = self.class_index(fields)?;
        let tenant = self.tenant_index(fields)?;
        let id = self.request_id(fields)?;
        let idempotency_key = self.idempotency_key(fields, &self.config.classes[class])?;
        Ok(CheckedFields { id, class, tenant, idempotency_key })
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
        let mut buffer = self.core.pool().get(statement.len()).ok_or_else(no_buffer)?;
        buffer.extend_from_slice(statement.as_bytes());
        Ok(buffer)
    }
}
