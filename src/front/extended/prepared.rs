//! Prepared statements and portals.

use super::statement_kind::{classify, StatementKind};
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

/// A prepared statement.
pub(crate) struct PreparedStatement {
    /// The fields of its comment. A value that begins with `$` is a parameter's number.
    pairs: Vec<(String, String)>,
    statement: String,
    /// Types of its parameters.
    pub(super) types: Vec<u32>,
    pub(crate) kind: StatementKind,
    /// A request was served with the idempotency key in its text; later requests get keys of their own.
    is_key_used: Cell<bool>,
}

/// Execution state of a portal.
pub(crate) enum PortalState {
    /// It has not been run.
    Ready,
    /// Its row limit was reached, and rows are left.
    Suspended {
        /// All rows.
        result: ResultSet,
        /// Position of the first that was not sent.
        next: RowPosition,
    },
    /// All rows have been sent.
    Completed,
}

/// A portal: a prepared statement with its parameters.
pub(crate) struct Portal {
    pub(crate) prepared: Rc<PreparedStatement>,
    /// The fields, with their parameters; `None` for NULL.
    pairs: Vec<(String, Option<String>)>,
    /// The statement's text, with its parameters.
    pub(crate) statement: String,
    /// Formats of the result's columns.
    pub(super) formats: Vec<u16>,
    pub(crate) state: PortalState,
}

impl PreparedStatement {
    /// Prepares a text.
    ///
    /// # Errors
    /// Where its fields are wrong, it is not supported, or it has too many parameters.
    pub(super) fn new(sql: &str, mut types: Vec<u32>) -> Result<PreparedStatement, ErrorResponse> {
        let (comment, statement) = fields::split_comment(sql).map_err(ErrorResponse::from)?;
        let pairs: Vec<(String, String)> =
            fields::pairs(comment).map(|(name, value)| (name.to_owned(), value.to_owned())).collect();
        // Values in the text are checked now, and parameters when they are bound.
        let in_text = pairs.iter().filter(|(_, value)| !value.starts_with('$'));
        fields::read(in_text.map(|(name, value)| (name.as_str(), value.as_str())))
            .map_err(ErrorResponse::from)?;
        let in_fields = pairs.iter().filter_map(|(_, value)| value.strip_prefix('$'));
        let in_fields = in_fields.map(|number| number.parse::<usize>().unwrap_or(usize::MAX)).max();
        let count = literal::max_parameter(statement).max(in_fields.unwrap_or(0)).max(types.len());
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
        Ok(PreparedStatement { pairs, statement, types, kind, is_key_used: Cell::new(false) })
    }

    /// Bytes of its text.
    pub(super) fn size(&self) -> usize {
        let pairs = self.pairs.iter().map(|(name, value)| name.len() + value.len());
        self.statement.len() + pairs.sum::<usize>()
    }

    /// A request was served with the idempotency key of its text.
    pub(super) fn set_key_used(&self) {
        self.is_key_used.set(true);
    }

    /// Creates a portal. Formats are none, one for all, or one each.
    ///
    /// # Errors
    /// Where a number does not fit the statement, a value not its type, or a field's value not the field.
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
        let pairs =
            self.pairs.iter().map(|(name, value)| (name.clone(), field_value(value, &parameters))).collect();
        let portal = Portal {
            prepared: Rc::clone(self),
            pairs,
            statement,
            formats: result_formats,
            state: PortalState::Ready,
        };
        portal.fields()?;
        Ok(portal)
    }
}

fn wrong_count(name: &str, count: usize, wanted: usize) -> ErrorResponse {
    ErrorResponse::malformed(format!("field {name} is {count}, but the statement wants {wanted}"))
}

/// A field's value: as in the text, or that of its parameter.
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
    /// Its fields; without the idempotency key of the text where that has served a request: engines would
    /// drop the next request as a duplicate of it.
    ///
    /// # Errors
    /// Where a value does not fit its field.
    pub(crate) fn fields(&self) -> Result<fields::Fields, ErrorResponse> {
        let present = self.pairs.iter().filter_map(|(name, value)| Some((name.as_str(), value.as_deref()?)));
        let mut fields = fields::read(present).map_err(ErrorResponse::from)?;
        let is_key_in_text = self
            .prepared
            .pairs
            .iter()
            .any(|(name, value)| name == fields::name::IDEMPOTENCY_KEY && !value.starts_with('$'));
        if is_key_in_text && self.prepared.is_key_used.get() {
            fields.idempotency_key = None;
        }
        Ok(fields)
    }

    /// Bytes of its text.
    pub(super) fn size(&self) -> usize {
        self.statement.len()
    }

    /// Takes the rows that are left. A portal that has not been run stays ready: it can be executed again
    /// after a rejection.
    pub(crate) fn take_state(&mut self) -> PortalState {
        match self.state {
            PortalState::Ready => PortalState::Ready,
            _ => std::mem::replace(&mut self.state, PortalState::Completed),
        }
    }
}
