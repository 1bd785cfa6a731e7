//! State that a session keeps from one message to the next: prepared statements, portals, and the time-out of
//! requests that set none.

use super::prepared::{Portal, PortalState, PreparedStatement};
use super::statement_kind::{classify, Setting, StatementKind};
use crate::core::buffer_pool::{BufferPool, MemoryCharge};
use crate::core::result_buffer::{ResultSet, RowPosition};
use crate::front::client_error::{no_buffer, quoted};
use crate::front::result_rows::COLUMNS;
use crate::proto::pg::{self, ErrorResponse, Message, ObjectKind};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Maximum total length of the names and texts of a session's statements and portals, in bytes.
const MAX_TEXT_BYTES: usize = 256 * 1024;
/// Maximum number of statements of a session; the number of its portals has the same limit.
const MAX_OBJECTS_PER_KIND: usize = 256;
/// Memory of a statement or portal beside its texts, in bytes: its fields and its entry in a map.
const OBJECT_BYTES: usize = 1024;
/// Maximum number of a session's suspended portals, each of which retains a result in memory.
const MAX_SUSPENDED_PORTALS: usize = 4;

/// Remaining work for a message of the extended query protocol that was parsed.
pub enum ExtendedAction {
    /// No further work.
    None,
    /// Run a portal.
    Execute {
        /// The portal's name; empty for the unnamed portal.
        portal: String,
        /// Maximum number of rows to send; 0 means all rows.
        max_rows: u32,
    },
}

/// Prepared statements, portals and settings of a session.
pub(crate) struct SessionObjects {
    /// Pool that the statements and portals are charged to.
    pool: BufferPool,
    statements: BTreeMap<String, Rc<PreparedStatement>>,
    pub(crate) portals: BTreeMap<String, Portal>,
    /// Time-out of requests that set none, in milliseconds; if `None`, the default of the request's class
    /// applies.
    pub(crate) statement_timeout_ms: Option<u64>,
}

impl SessionObjects {
    /// Creates the state of a session without statements and portals.
    pub(crate) fn new(pool: BufferPool, statement_timeout_ms: Option<u64>) -> SessionObjects {
        SessionObjects { pool, statements: BTreeMap::new(), portals: BTreeMap::new(), statement_timeout_ms }
    }

    /// Handles a message of the extended query protocol, and appends the answer to `reply`. Work that needs
    /// an engine is returned as an action.
    ///
    /// # Errors
    /// The error for the client.
    pub(crate) fn handle_message(
        &mut self,
        reply: &mut Vec<u8>,
        message: Message,
    ) -> Result<ExtendedAction, ErrorResponse> {
        match message {
            Message::Parse { name, sql, types } => {
                self.parse(name, sql, types)?;
                pg::write_empty_message(reply, pg::PARSE_COMPLETE);
            }
            Message::Bind { portal, statement, formats, values, result_formats } => {
                let bound = self.statement(statement)?.bind(&formats, &values, result_formats)?;
                self.add_portal(portal, bound)?;
                pg::write_empty_message(reply, pg::BIND_COMPLETE);
            }
            Message::Describe(ObjectKind::Statement, name) => self.describe_statement(reply, name)?,
            Message::Describe(ObjectKind::Portal, name) => self.describe_portal(reply, name)?,
            Message::Close(kind, name) => {
                self.close(kind, name);
                pg::write_empty_message(reply, pg::CLOSE_COMPLETE);
            }
            Message::Execute { portal, max_rows } => {
                self.portal(portal)?;
                return Ok(ExtendedAction::Execute { portal: portal.to_owned(), max_rows });
            }
            Message::Copy => return Err(ErrorResponse::new("0A000", "COPY is not supported")),
            Message::FunctionCall => {
                return Err(ErrorResponse::new("0A000", "function calls are not supported"))
            }
            Message::Password => {
                return Err(ErrorResponse::new(
                    "08P01",
                    "field type is out of place: no password was asked for",
                ))
            }
            Message::Query(_) | Message::Flush | Message::Sync | Message::Terminate => {}
        }
        Ok(ExtendedAction::None)
    }

    /// Answers a simple query that needs no engine; returns false for a query that needs an engine. As the
    /// protocol requires, a simple query closes the unnamed statement and portal.
    ///
    /// # Errors
    /// If the statement is not supported.
    pub(crate) fn answer_simple_query(
        &mut self,
        reply: &mut Vec<u8>,
        statement: &str,
    ) -> Result<bool, ErrorResponse> {
        self.statements.remove("");
        self.portals.remove("");
        match classify(statement)? {
            StatementKind::Set(setting) => {
                self.apply(setting);
                pg::write_command_complete(reply, "SET");
                Ok(true)
            }
            StatementKind::Empty => {
                pg::write_empty_message(reply, pg::EMPTY_QUERY);
                Ok(true)
            }
            StatementKind::Query => Ok(false),
        }
    }

    /// Applies the effect of a `SET` statement to the session.
    pub(crate) fn apply(&mut self, setting: Setting) {
        match setting {
            Setting::Ignored => {}
            Setting::StatementTimeout(timeout_ms) => self.statement_timeout_ms = timeout_ms,
        }
    }

    /// Records that a portal was executed; `next` is the position of the first row that was not sent, `None`
    /// if all rows were sent.
    ///
    /// # Errors
    /// If too many portals are already suspended, or there is no memory for another. The rows that were not
    /// sent are then lost.
    pub(crate) fn finish_execution(
        &mut self,
        name: &str,
        result: ResultSet,
        next: Option<RowPosition>,
    ) -> Result<(), ErrorResponse> {
        let is_suspended = |portal: &&Portal| matches!(portal.state, PortalState::Suspended { .. });
        let suspended = self.portals.values().filter(is_suspended).count();
        let Some(portal) = self.portals.get_mut(name) else { return Ok(()) };
        portal.prepared.set_key_used();
        portal.state = PortalState::Completed;
        let Some(next) = next else { return Ok(()) };
        if suspended >= MAX_SUSPENDED_PORTALS {
            let error = ErrorResponse::new("53200", "too many portals of this session wait to be fetched");
            return Err(error.hint("Close some, or fetch all rows at once."));
        }
        let memory = self.pool.charge_retained(result.byte_count()).ok_or_else(no_buffer)?;
        portal.state = PortalState::Suspended { result, next, _memory: memory };
        Ok(())
    }

    fn parse(&mut self, name: &str, sql: &str, types: Vec<u32>) -> Result<(), ErrorResponse> {
        if !name.is_empty() && self.statements.contains_key(name) {
            return Err(ErrorResponse::new("42P05", format!("statement {} exists already", quoted(name))));
        }
        self.statements.remove(name);
        let mut prepared = PreparedStatement::new(sql, types)?;
        prepared.memory = Some(self.charge(self.statements.len(), name.len() + prepared.size())?);
        self.statements.insert(name.to_owned(), Rc::new(prepared));
        Ok(())
    }

    fn add_portal(&mut self, name: &str, mut portal: Portal) -> Result<(), ErrorResponse> {
        if !name.is_empty() && self.portals.contains_key(name) {
            return Err(ErrorResponse::new("42P03", format!("portal {} exists already", quoted(name))));
        }
        self.portals.remove(name);
        portal.memory = Some(self.charge(self.portals.len(), name.len() + portal.size())?);
        self.portals.insert(name.to_owned(), portal);
        Ok(())
    }

    /// Charges the memory of one more object, which has `added_bytes`; `count` is the number of existing
    /// objects of its kind.
    ///
    /// # Errors
    /// If the object exceeds the session's limits, or the memory that all sessions may hold.
    fn charge(&self, count: usize, added_bytes: usize) -> Result<MemoryCharge, ErrorResponse> {
        if count < MAX_OBJECTS_PER_KIND && self.total_bytes() + added_bytes <= MAX_TEXT_BYTES {
            return self.pool.charge_retained(OBJECT_BYTES + added_bytes).ok_or_else(no_buffer);
        }
        let error = ErrorResponse::new("53200", "this session holds too many statements and portals");
        Err(error.hint("Close some, or use the unnamed ones."))
    }

    fn total_bytes(&self) -> usize {
        let statements = self.statements.iter().map(|(name, prepared)| name.len() + prepared.size());
        let portals = self.portals.iter().map(|(name, portal)| name.len() + portal.size());
        statements.chain(portals).sum()
    }

    fn statement(&self, name: &str) -> Result<&Rc<PreparedStatement>, ErrorResponse> {
        let unknown = || ErrorResponse::new("26000", format!("there is no statement {}", quoted(name)));
        self.statements.get(name).ok_or_else(unknown)
    }

    fn portal(&self, name: &str) -> Result<&Portal, ErrorResponse> {
        let unknown = || ErrorResponse::new("34000", format!("there is no portal {}", quoted(name)));
        self.portals.get(name).ok_or_else(unknown)
    }

    fn describe_statement(&self, reply: &mut Vec<u8>, name: &str) -> Result<(), ErrorResponse> {
        let prepared = self.statement(name)?;
        pg::write_parameter_description(reply, &prepared.types);
        describe_result(reply, prepared.kind, &[]);
        Ok(())
    }

    fn describe_portal(&self, reply: &mut Vec<u8>, name: &str) -> Result<(), ErrorResponse> {
        let portal = self.portal(name)?;
        describe_result(reply, portal.prepared.kind, &portal.formats);
        Ok(())
    }

    /// Closes a statement with all of its portals, or a portal. A name that does not exist is not an error.
    fn close(&mut self, kind: ObjectKind, name: &str) {
        match kind {
            ObjectKind::Statement => {
                if let Some(closed) = self.statements.remove(name) {
                    self.portals.retain(|_, portal| !Rc::ptr_eq(&portal.prepared, &closed));
                }
            }
            ObjectKind::Portal => drop(self.portals.remove(name)),
        }
    }
}

/// Appends RowDescription if the statement has a result, else NoData.
fn describe_result(reply: &mut Vec<u8>, kind: StatementKind, formats: &[u16]) {
    if kind == StatementKind::Query {
        pg::write_row_description(reply, COLUMNS, formats);
    } else {
        pg::write_empty_message(reply, pg::NO_DATA);
    }
}
