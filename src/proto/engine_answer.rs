//! Decodes the answers of the engines' protocol, each an array of the parts `ID WORD FIELDS BODY`.

use thiserror::Error;

/// Number of columns in each row of a result.
pub const COLUMNS: usize = 3;
/// Maximum number of pages of a result; the longest result that is accepted (48,000 bytes in complete rows)
/// needs far fewer.
const MAX_PAGES: usize = 64;
/// Placeholder for an empty list of fields.
const NO_FIELDS: &str = "-";

/// Names of the kinds of answers: the second part of an answer on the wire.
mod answer_name {
    /// The query has completed; fields and the first page follow.
    pub(super) const COMPLETED: &[u8] = b"served";
    /// The engine is overloaded; the query did not run.
    pub(super) const OVERLOADED: &[u8] = b"overload";
    /// The query failed at the engine; it may have run.
    pub(super) const CRASHED: &[u8] = b"crashed";
    /// The attempt was unknown or cancelled; the query did not run.
    pub(super) const NOT_RUN: &[u8] = b"nobody";
    /// A progress note of a query that is running.
    pub(super) const PROGRESS_NOTE: &[u8] = b"update";
    /// A further page of a result, which was requested with the command `page`.
    pub(super) const PAGE: &[u8] = b"rows";
    /// The answer to a health check.
    pub(super) const PONG: &[u8] = b"green";
}

/// Names of the fields of an answer on the wire.
mod field {
    /// Number of pages of a result, at least 1.
    pub(super) const PAGE_COUNT: &str = "batches";
    /// Index of a further page of a result, from 1; the first page has index 0 and comes with
    /// `answer_name::COMPLETED`.
    pub(super) const PAGE_NUMBER: &str = "batch";
    /// The engine's load report: `name:value;name:value`.
    pub(super) const LOAD_REPORT: &str = "stats";
    /// Work of the query, in milliseconds on one core.
    pub(super) const CPU_MS: &str = "cpu";
    /// Memory that the query used, in MB.
    pub(super) const MEMORY_MB: &str = "used";
    /// Value of a progress note; the note's topic defines its meaning and unit.
    pub(super) const NOTE_VALUE: &str = "num";
    /// Topic of a progress note.
    pub(super) const NOTE_TOPIC: &str = "how";
}

/// Values of the field [`field::NOTE_TOPIC`].
mod topic {
    /// Completed fraction of the work, from 0 to 1.
    pub(super) const PROGRESS: &str = "so_far";
    /// Memory that the query lacks, in MB.
    pub(super) const MISSING_MEMORY: &str = "lacking";
    /// Reason why the query waits: 1 for memory, 2 for a bulk load into its tables to end.
    pub(super) const WAITING: &str = "waiting";
}

/// Reason why an engine's answer cannot be used. The connection on which the answer arrived is closed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EngineAnswerError {
    /// The answer lacks this part, or this field, which answers of its kind require.
    #[error("field {0} is missing")]
    Missing(&'static str),
    /// The id does not have the format of a request's id.
    #[error("field id is not 16 hex digits")]
    InvalidId,
    /// The second part of the answer is not a known kind.
    #[error("field word is not known")]
    UnknownWord,
    /// The fields are not UTF-8.
    #[error("field fields are not text")]
    FieldsNotText,
    /// One of the fields, or of the values in the load report, is a name without a value.
    #[error("field fields hold one without a value")]
    FieldWithoutValue,
    /// The field is not a finite number of 0 or more.
    #[error("field {0} is not a number of 0 or more")]
    InvalidNumber(&'static str),
    /// The field is not a whole number from 1 to the maximum number of pages.
    #[error("field {0} is no number of a page")]
    InvalidPageNumber(&'static str),
    /// The page's index is not less than the number of pages of the result.
    #[error("field batch is out of place")]
    PageOutOfRange,
    /// The body is not UTF-8 text in complete rows, or is too long.
    #[error("field body is no page of whole rows")]
    InvalidPage,
    /// The result exceeds its maximum length with this page.
    #[error("field body makes the result longer than any may be")]
    ResultTooLong,
}

/// Kind of an engine's answer, with the values of that kind.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerKind {
    /// The query has completed; the body is the first page.
    Completed {
        /// Number of pages of the result, including the first; at least 1.
        pages: usize,
    },
    /// The engine is overloaded; the query did not run.
    Overloaded,
    /// The query failed; it may have run.
    Crashed,
    /// The attempt was unknown or cancelled; the query did not run.
    NotRun,
    /// A progress note: the query is still running.
    ProgressNote {
        /// Quantity that the note reports; `None` if the topic is unknown.
        topic: Option<NoteTopic>,
        /// Value of the quantity, in the unit of the topic.
        value: f64,
    },
    /// One more page of a result.
    Page {
        /// Number of the page in the result, from 0.
        number: usize,
    },
    /// The answer to a health check.
    Pong,
    /// An answer of an unknown kind, which cannot be used.
    Unknown,
}

/// Quantity that a progress note reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoteTopic {
    /// Completed fraction of the work, from 0 to 1.
    Progress,
    /// Memory that the query lacks, in MB.
    MissingMemory,
    /// Reason why the query waits: 1 for memory, 2 for a bulk load into its tables to end.
    Waiting,
}

/// The load report of an engine; values that the report omits are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLoadReport {
    /// Number of queries in flight at the engine.
    pub in_flight: Option<f64>,
    /// Number of queries that wait for memory.
    pub waiting_for_memory: Option<f64>,
    /// Fraction of the cores in use, from 0 to 1.
    pub cpu_utilization: Option<f64>,
    /// Fraction of the memory that is granted, from 0 to 1.
    pub memory_utilization: Option<f64>,
    /// Fraction of the disks in use, from 0 to 1.
    pub disk_utilization: Option<f64>,
}

/// Resources that a query used, as its engine reports them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueryCost {
    /// Work, in milliseconds on one core.
    pub work_ms: f64,
    /// Memory that the query used, in MB; 0 if the engine does not report it.
    pub memory_mb: f64,
}

/// One answer of an engine, decoded.
#[derive(Clone, Debug)]
pub struct EngineAnswer<'a> {
    /// Id of the request that the answer is for, as it was sent: 16 hexadecimal digits.
    pub id: &'a [u8],
    /// Kind of the answer, with the values of that kind.
    pub kind: AnswerKind,
    /// The engine's load report; empty if the answer has none.
    pub load_report: EngineLoadReport,
    /// Resources that the query used, if the engine reports them.
    pub cost: Option<QueryCost>,
    /// A page of the result; empty in answers without one.
    pub body: &'a [u8],
}

/// The known fields of an answer.
#[derive(Default)]
struct AnswerFields {
    page_count: Option<usize>,
    page_number: Option<usize>,
    note_topic: Option<NoteTopic>,
    note_value: f64,
    load_report: EngineLoadReport,
    cpu_ms: Option<f64>,
    memory_mb: Option<f64>,
}

/// Decodes the parts of an array as an engine's answer. Unknown fields are ignored.
///
/// # Errors
/// If a known field cannot be read. If it were ignored, a part of a result could pass for the complete
/// result.
pub fn read_answer<'a>(parts: &[&'a [u8]]) -> Result<EngineAnswer<'a>, EngineAnswerError> {
    let [id, name, rest @ ..] = parts else { return Err(EngineAnswerError::Missing("word")) };
    let text = rest.first().copied().unwrap_or(NO_FIELDS.as_bytes());
    let text = std::str::from_utf8(text).map_err(|_| EngineAnswerError::FieldsNotText)?;
    let body = rest.get(1).copied().unwrap_or(b"");
    let fields = read_fields(text)?;
    let kind = match *name {
        answer_name::COMPLETED => {
            let pages = fields.page_count.ok_or(EngineAnswerError::Missing(field::PAGE_COUNT))?;
            AnswerKind::Completed { pages }
        }
        answer_name::OVERLOADED => AnswerKind::Overloaded,
        answer_name::CRASHED => AnswerKind::Crashed,
        answer_name::NOT_RUN => AnswerKind::NotRun,
        answer_name::PROGRESS_NOTE => {
            AnswerKind::ProgressNote { topic: fields.note_topic, value: fields.note_value }
        }
        answer_name::PAGE => {
            let number = fields.page_number.ok_or(EngineAnswerError::Missing(field::PAGE_NUMBER))?;
            AnswerKind::Page { number }
        }
        answer_name::PONG => AnswerKind::Pong,
        _ => AnswerKind::Unknown,
    };
    let memory_mb = fields.memory_mb.unwrap_or(0.0);
    let cost = fields.cpu_ms.map(|work_ms| QueryCost { work_ms, memory_mb });
    Ok(EngineAnswer { id, kind, load_report: fields.load_report, cost, body })
}

/// Whether a page's body is UTF-8 text in complete rows of [`COLUMNS`] columns, as the engines' protocol
/// requires.
pub fn is_page(body: &[u8]) -> bool {
    let columns = |row: &[u8]| row.iter().filter(|byte| **byte == b'\t').count() + 1;
    let mut rows = body.split_inclusive(|byte| *byte == b'\n');
    let is_complete = rows.all(|row| row.ends_with(b"\n") && columns(row) == COLUMNS);
    is_complete && !body.contains(&0) && std::str::from_utf8(body).is_ok()
}

fn read_fields(text: &str) -> Result<AnswerFields, EngineAnswerError> {
    let mut fields = AnswerFields::default();
    for pair in split_pairs(text, ',', '=') {
        let (name, value) = pair?;
        match name {
            field::PAGE_COUNT => fields.page_count = Some(read_page_number(field::PAGE_COUNT, value)?),
            field::PAGE_NUMBER => fields.page_number = Some(read_page_number(field::PAGE_NUMBER, value)?),
            field::LOAD_REPORT => fields.load_report = read_load_report(value)?,
            field::CPU_MS => fields.cpu_ms = Some(read_number(field::CPU_MS, value)?),
            field::MEMORY_MB => fields.memory_mb = Some(read_number(field::MEMORY_MB, value)?),
            field::NOTE_VALUE => fields.note_value = read_number(field::NOTE_VALUE, value)?,
            field::NOTE_TOPIC => fields.note_topic = read_topic(value),
            _ => {}
        }
    }
    Ok(fields)
}

/// The topic of a progress note; `None` if it is unknown.
fn read_topic(value: &str) -> Option<NoteTopic> {
    match value {
        topic::PROGRESS => Some(NoteTopic::Progress),
        topic::MISSING_MEMORY => Some(NoteTopic::MissingMemory),
        topic::WAITING => Some(NoteTopic::Waiting),
        _ => None,
    }
}

/// Names of the values of a load report on the wire. One generation of engines writes the names, another
/// generation the aliases.
mod load_report {
    /// Queries in flight at the engine.
    pub(super) const IN_FLIGHT: &str = "inflight";
    /// Alias of [`IN_FLIGHT`].
    pub(super) const IN_FLIGHT_ALIAS: &str = "rif";
    /// Queries that wait for memory.
    pub(super) const WAITING_FOR_MEMORY: &str = "queue";
    /// Alias of [`WAITING_FOR_MEMORY`].
    pub(super) const WAITING_FOR_MEMORY_ALIAS: &str = "q";
    /// Fraction of the cores in use, from 0 to 1.
    pub(super) const CPU_UTILIZATION: &str = "util";
    /// Alias of [`CPU_UTILIZATION`].
    pub(super) const CPU_UTILIZATION_ALIAS: &str = "busy";
    /// Fraction of the memory that is granted, from 0 to 1.
    pub(super) const MEMORY_UTILIZATION: &str = "x0";
    /// Fraction of the disks in use, from 0 to 1.
    pub(super) const DISK_UTILIZATION: &str = "x1";
}

/// Reads a load report, `name:value;name:value`, in the names of both generations of engines.
fn read_load_report(text: &str) -> Result<EngineLoadReport, EngineAnswerError> {
    let mut report = EngineLoadReport::default();
    for pair in split_pairs(text, ';', ':') {
        let (name, value) = pair?;
        let target = match name {
            load_report::IN_FLIGHT | load_report::IN_FLIGHT_ALIAS => &mut report.in_flight,
            load_report::WAITING_FOR_MEMORY | load_report::WAITING_FOR_MEMORY_ALIAS => {
                &mut report.waiting_for_memory
            }
            load_report::CPU_UTILIZATION | load_report::CPU_UTILIZATION_ALIAS => &mut report.cpu_utilization,
            load_report::MEMORY_UTILIZATION => &mut report.memory_utilization,
            load_report::DISK_UTILIZATION => &mut report.disk_utilization,
            _ => continue,
        };
        *target = Some(read_number(field::LOAD_REPORT, value)?);
    }
    Ok(report)
}

/// Splits a list of `name=value` items, with the given separator and assignment characters, into names and
/// values.
fn split_pairs(
    text: &str,
    separator: char,
    assignment: char,
) -> impl Iterator<Item = Result<(&str, &str), EngineAnswerError>> {
    let is_empty = text.is_empty() || text == NO_FIELDS;
    let items = text.split(separator).filter(move |_| !is_empty);
    items.map(move |item| item.split_once(assignment).ok_or(EngineAnswerError::FieldWithoutValue))
}

fn read_number(field: &'static str, value: &str) -> Result<f64, EngineAnswerError> {
    let number = value.parse::<f64>().ok().filter(|number| number.is_finite() && *number >= 0.0);
    number.ok_or(EngineAnswerError::InvalidNumber(field))
}

fn read_page_number(field: &'static str, value: &str) -> Result<usize, EngineAnswerError> {
    let number = value.parse::<usize>().ok().filter(|number| (1..=MAX_PAGES).contains(number));
    number.ok_or(EngineAnswerError::InvalidPageNumber(field))
}
