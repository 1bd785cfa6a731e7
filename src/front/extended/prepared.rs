//! Prepared statements and portals.

use super::statement_kind::{classify, StatementKind};
use crate::core::buffer_pool::MemoryCharge;
use crate::core::result_buffer::{ResultSet, RowPosition};
use crate::core::MAX_STATEMENT_BYTES;
use crate::front::result_rows::COLUMNS;
use crate::proto::fields;
use crate::proto::literal::{self, Parameter};
use crate::proto::pg::{self, ErrorResponse};
use std::cell::Cell;
use std::rc::Rc;

/// Maximum number of parameters of a statement.
const MAX_PARAMETERS: usize = 1_000;

/// A prepared statement: the fields of its leading comment, the statement without the comment, and the types
/// of its parameters.
pub(crate) struct PreparedStatement {
    /// Fields of the statement's comment. A value that begins with `$` refers to a parameter by number.
    field_pairs: Vec<(String, String)>,
    statement: String,
    /// Object ids of the parameters' types.
    pub(super) types: Vec<u32>,
    pub(crate) kind: StatementKind,
    /// Whether a request was served with the idempotency key in the text; later requests get generated keys.
    is_key_used: Cell<bool>,
    /// The memory that the statement is charged for; `None` until the session keeps it.
    pub(super) memory: Option<MemoryCharge>,
}

/// Execution state of a portal.
pub(crate) enum PortalState {
    /// The portal has not been run.
    Ready,
    /// The row limit of an execution was reached, and some rows have not been sent.
    Suspended {
        /// The complete result.
        result: ResultSet,
        /// Position of the first row that was not sent.
        next: RowPosition,
        /// Charge for the result, which the session holds between requests.
        _memory: MemoryCharge,
    },
    /// All rows have been sent.
    Completed,
}

/// A portal: a prepared statement with its parameters.
pub(crate) struct Portal {
    pub(crate) prepared: Rc<PreparedStatement>,
    /// Fields of the statement's comment, with parameters substituted; `None` for NULL.
    field_pairs: Vec<(String, Option<String>)>,
    /// Text of the statement, with parameters substituted.
    pub(crate) statement: String,
    /// Format codes of the result's columns: none, one for all, or one per column.
    pub(super) formats: Vec<u16>,
    pub(crate) state: PortalState,
    /// The memory that the portal is charged for; `None` until the session keeps it.
    pub(super) memory: Option<MemoryCharge>,
}

impl PreparedStatement {
    /// Prepares a statement from its text and the types of its parameters.
    ///
    /// # Errors
    /// If the fields are invalid, the statement is not supported, or it has too many parameters.
    pub(super) fn new(sql: &str, mut types: Vec<u32>) -> Result<PreparedStatement, ErrorResponse> {
        let (comment, statement) = fields::split_comment(sql).map_err(ErrorResponse::from)?;
        // Values in the text are checked now, and values of parameters when they are bound.
        let text_pairs = fields::pairs(comment).filter(|(_, value)| !value.starts_with('$'));
        fields::read(text_pairs).map_err(ErrorResponse::from)?;
        let references = fields::pairs(comment).filter_map(|(_, value)| value.strip_prefix('$'));
        let max_reference = references.map(|number| number.parse::<usize>().unwrap_or(usize::MAX)).max();
        let count = literal::max_parameter(statement).max(max_reference.unwrap_or(0)).max(types.len());
        if count > MAX_PARAMETERS {
            let message = format!("a statement has at most {MAX_PARAMETERS} parameters");
            return Err(ErrorResponse::new("54000", message));
        }
        types.resize(count, 0);
        for unspecified in types.iter_mut().filter(|oid| **oid == 0) {
            *unspecified = pg::TEXT;
        }
        let kind = classify(statement)?;
        let statement = statement.to_owned();
        let field_pairs = used_pairs(comment);
        let is_key_used = Cell::new(false);
        Ok(PreparedStatement { field_pairs, statement, types, kind, is_key_used, memory: None })
    }

    /// Length in bytes of the statement's text, of its fields and of the types of its parameters.
    pub(super) fn size(&self) -> usize {
        let field_bytes = self.field_pairs.iter().map(|(name, value)| name.len() + value.len());
        self.statement.len() + field_bytes.sum::<usize>() + size_of_val(self.types.as_slice())
    }

    /// Records that a request was served with the idempotency key in the text.
    pub(super) fn set_key_used(&self) {
        self.is_key_used.set(true);
    }

    /// Creates a portal. `formats` holds the format codes of the parameters, `result_formats` those of the
    /// result's columns: no code (all are text), one code for all, or one code each.
    ///
    /// # Errors
    /// If the number of values or formats does not fit the statement, a value does not fit its type, or a
    /// field's value does not fit the field.
    pub(super) fn bind(
        self: &Rc<Self>,
        formats: &[u16],
        values: &[Option<&[u8]>],
        result_formats: Vec<u16>,
    ) -> Result<Portal, ErrorResponse> {
        if values.len() != self.types.len() {
            return Err(wrong_count("parameter count", values.len(), self.types.len()));
        }
        if formats.len() > 1 && formats.len() != values.len() {
            return Err(wrong_count("parameter format count", formats.len(), values.len()));
        }
        if result_formats.len() > 1 && result_formats.len() != COLUMNS {
            return Err(wrong_count("result format count", result_formats.len(), COLUMNS));
        }
        let mut parameters = Vec::with_capacity(values.len());
        for (index, (value, oid)) in values.iter().zip(&self.types).enumerate() {
            let format = formats.get(index).or(formats.first()).copied().unwrap_or(0);
            parameters.push(literal::parse_parameter(index + 1, *oid, format, *value)?);
        }
        let statement = literal::substitute(&self.statement, &parameters, MAX_STATEMENT_BYTES)?;
        let field_pairs = self
            .field_pairs
            .iter()
            .map(|(name, value)| (name.clone(), field_value(value, &parameters)))
            .collect();
        let portal = Portal {
            prepared: Rc::clone(self),
            field_pairs,
            statement,
            formats: result_formats,
            state: PortalState::Ready,
            memory: None,
        };
        portal.request_fields()?;
        Ok(portal)
    }
}

/// The fields of a comment that a request uses. Others are dropped: each could refer to the same parameter,
/// and a portal would then hold a copy of its value for each.
fn used_pairs(comment: &str) -> Vec<(String, String)> {
    let used = fields::pairs(comment).filter(|(name, _)| fields::is_known(name));
    used.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}

fn wrong_count(name: &str, count: usize, expected: usize) -> ErrorResponse {
    ErrorResponse::malformed(format!("field {name} is {count}, but the statement wants {expected}"))
}

/// A field's value: the text itself, or the value of the parameter that it refers to.
fn field_value(value: &str, parameters: &[Parameter]) -> Option<String> {
    match value.strip_prefix('$').and_then(|number| number.parse::<usize>().ok()) {
        Some(number) => {
            let parameter = parameters.get(number.wrapping_sub(1));
            parameter.and_then(|parameter| parameter.text.clone())
        }
        None => Some(value.to_owned()),
    }
}

impl Portal {
    /// The fields of the portal's request. An idempotency key in the text is omitted if a request was already
    /// served with this key: engines would drop a further request as a duplicate.
    ///
    /// # Errors
    /// If a value does not fit its field.
    pub(crate) fn request_fields(&self) -> Result<fields::Fields, ErrorResponse> {
        let present =
            self.field_pairs.iter().filter_map(|(name, value)| Some((name.as_str(), value.as_deref()?)));
        let mut fields = fields::read(present).map_err(ErrorResponse::from)?;
        let is_key_in_text = self
            .prepared
            .field_pairs
            .iter()
            .any(|(name, value)| name == fields::name::IDEMPOTENCY_KEY && !value.starts_with('$'));
        if is_key_in_text && self.prepared.is_key_used.get() {
            fields.idempotency_key = None;
        }
        Ok(fields)
    }

    /// Length in bytes of the statement's text with its parameters, and of its fields.
    pub(super) fn size(&self) -> usize {
        let value_bytes = |value: &Option<String>| value.as_ref().map_or(0, String::len);
        let field_bytes = self.field_pairs.iter().map(|(name, value)| name.len() + value_bytes(value));
        self.statement.len() + field_bytes.sum::<usize>()
    }

    /// Takes the portal's state with the rows that were not sent, and marks the portal as completed. A portal
    /// that has not been run stays ready: it can be executed again after a rejection.
    pub(crate) fn take_state(&mut self) -> PortalState {
        match self.state {
            PortalState::Ready => PortalState::Ready,
            _ => std::mem::replace(&mut self.state, PortalState::Completed),
        }
    }
}
