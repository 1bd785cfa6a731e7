//! The engines' protocol: the answers `ID WORD FIELDS BODY`.

use thiserror::Error;

/// Number of columns of a row.
pub const COLUMNS: usize = 3;
/// Maximum number of pages of a result; a result of 48,000 bytes in complete rows needs far fewer.
const MAX_PAGES: usize = 64;
/// Stands for an empty list of fields.
const NO_FIELDS: &str = "-";

/// Kinds of answers, the second part of an answer on the wire.
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
    pub(super) const UPDATE: &[u8] = b"update";
    /// A further page of a result.
    pub(super) const PAGE: &[u8] = b"rows";
    /// The answer to a health check.
    pub(super) const PONG: &[u8] = b"green";
}

/// Names of the fields of an answer on the wire.
mod field {
    /// Number of all pages of a result, from 1.
    pub(super) const PAGE_COUNT: &str = "batches";
    /// Number of a further page of a result, from 1; the first page comes with `answer_name::COMPLETED`.
    pub(super) const PAGE_NUMBER: &str = "batch";
    /// The engine's load report: `name:value;name:value`.
    pub(super) const LOAD_REPORT: &str = "stats";
    /// Work that the query took, in milliseconds on one core.
    pub(super) const CPU_MS: &str = "cpu";
    /// Memory that the query used, in MB.
    pub(super) const MEMORY_MB: &str = "used";
    /// Value of a progress note; its topic says what it measures.
    pub(super) const UPDATE_VALUE: &str = "num";
    /// Topic of a progress note.
    pub(super) const UPDATE_TOPIC: &str = "how";
}

/// Values of the field [`field::UPDATE_TOPIC`].
mod topic {
    /// Fraction of the work that is done, from 0 to 1.
    pub(super) const PROGRESS: &str = "so_far";
    /// Memory that the query lacks, in MB.
    pub(super) const MISSING_MEMORY: &str = "lacking";
    /// What the query waits for: 1 is memory, 2 a load.
    pub(super) const WAITING: &str = "waiting";
}

/// Why an engine's answer cannot be used. The connection is closed then.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EngineAnswerError {
    /// The answer lacks this part, or this field, which its kind requires.
    #[error("field {0} is missing")]
    Missing(&'static str),
    /// The id is not one that was sent.
    #[error("field id is not 16 hex digits")]
    InvalidId,
    /// The kind of the answer is unknown.
    #[error("field word is not known")]
    UnknownWord,
    /// The fields are not UTF-8.
    #[error("field fields are not text")]
    FieldsNotText,
    /// One of the fields has no value.
    #[error("field fields hold one without a value")]
    FieldWithoutValue,
    /// The field is not a finite number of 0 or more.
    #[error("field {0} is not a number of 0 or more")]
    InvalidNumber(&'static str),
    /// The field is not from 1 to the maximum number of pages.
    #[error("field {0} is no number of a page")]
    InvalidPageNumber(&'static str),
    /// The page is not one of the result's.
    #[error("field batch is out of place")]
    PageOutOfRange,
    /// The body is not UTF-8 text in complete rows, or is too long.
    #[error("field body is no page of whole rows")]
    InvalidPage,
    /// The result exceeds its maximum length with this page.
    #[error("field body makes the result longer than any may be")]
    ResultTooLong,
}

/// What an engine answers about an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerKind {
    /// The query has completed; the body is the first page.
    Completed {
        /// Number of all pages, the first included.
        pages: usize,
    },
    /// The engine is overloaded; the query did not run.
    Overloaded,
    /// The query failed; it may have run.
    Crashed,
    /// The attempt was unknown or cancelled; the query did not run.
    NotRun,
    /// A progress note: the query is still running.
    Update {
        /// What the update is about, if it is known.
        topic: Option<UpdateTopic>,
        /// Its value.
        value: f64,
    },
    /// One more page of a result.
    Page {
        /// The page's number; the first page has 0.
        number: usize,
    },
    /// The answer to a health check.
    Pong,
    /// A kind of answer that is not known here.
    Unknown,
}

/// What an update is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateTopic {
    /// The fraction of the work that is done.
    Progress,
    /// The megabytes of memory that are missing.
    MissingMemory,
    /// What the query waits for: 1 is memory, 2 a load.
    Waiting,
}

/// The load report of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadStats {
    /// Queries that are admitted.
    pub in_flight: Option<f64>,
    /// Queries that wait for memory.
    pub queued: Option<f64>,
    /// Fraction of the cores in use.
    pub cpu_utilization: Option<f64>,
    /// Fraction of the memory that is granted.
    pub memory_utilization: Option<f64>,
    /// Fraction of the disks in use.
    pub disk_utilization: Option<f64>,
}

/// What a query needed, as its engine reports it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueryCost {
    /// Work in milliseconds on one core.
    pub work_ms: f64,
    /// Memory in MB.
    pub memory_mb: f64,
}

/// One answer of an engine.
#[derive(Clone, Debug)]
pub struct EngineAnswer<'a> {
    /// The request's id, as it was sent.
    pub id: &'a [u8],
    /// What is answered.
    pub kind: AnswerKind,
    /// The load report.
    pub stats: LoadStats,
    /// What the query needed.
    pub cost: Option<QueryCost>,
    /// A page, or nothing.
    pub body: &'a [u8],
}

/// The fields of an answer.
#[derive(Default)]
struct AnswerFields {
    page_count: Option<usize>,
    page_number: Option<usize>,
    update_topic: Option<UpdateTopic>,
    update_value: f64,
    stats: LoadStats,
    cpu_ms: Option<f64>,
    memory_mb: Option<f64>,
}

/// Decodes the parts of an array as an engine's answer. Unknown fields are ignored.
///
/// # Errors
/// Where a known field cannot be read: a part of a result must not be taken for the complete one.
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
        answer_name::UPDATE => AnswerKind::Update { topic: fields.update_topic, value: fields.update_value },
        answer_name::PAGE => {
            let number = fields.page_number.ok_or(EngineAnswerError::Missing(field::PAGE_NUMBER))?;
            AnswerKind::Page { number }
        }
        answer_name::PONG => AnswerKind::Pong,
        _ => AnswerKind::Unknown,
    };
    let memory_mb = fields.memory_mb.unwrap_or(0.0);
    let cost = fields.cpu_ms.map(|work_ms| QueryCost { work_ms, memory_mb });
    Ok(EngineAnswer { id, kind, stats: fields.stats, cost, body })
}

/// Whether a page's body is UTF-8 text in complete rows of [`COLUMNS`] columns, as the engines' protocol demands.
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
            field::LOAD_REPORT => fields.stats = read_stats(value)?,
            field::CPU_MS => fields.cpu_ms = Some(read_number(field::CPU_MS, value)?),
            field::MEMORY_MB => fields.memory_mb = Some(read_number(field::MEMORY_MB, value)?),
            field::UPDATE_VALUE => fields.update_value = read_number(field::UPDATE_VALUE, value)?,
            field::UPDATE_TOPIC => fields.update_topic = read_topic(value),
            _ => {}
        }
    }
    Ok(fields)
}

/// The topic of an update; `None` if it is unknown.
fn read_topic(value: &str) -> Option<UpdateTopic> {
    match value {
        topic::PROGRESS => Some(UpdateTopic::Progress),
        topic::MISSING_MEMORY => Some(UpdateTopic::MissingMemory),
        topic::WAITING => Some(UpdateTopic::Waiting),
        _ => None,
    }
}

/// Names of the values of a load report on the wire. Engines of the other generation write the second names.
mod load_report {
    /// Queries in flight at the engine.
    pub(super) const IN_FLIGHT: &str = "inflight";
    /// Second name of [`IN_FLIGHT`].
    pub(super) const IN_FLIGHT_ALIAS: &str = "rif";
    /// Queries that wait for memory.
    pub(super) const QUEUED: &str = "queue";
    /// Second name of [`QUEUED`].
    pub(super) const QUEUED_ALIAS: &str = "q";
    /// Fraction of the cores in use, from 0 to 1.
    pub(super) const CPU_UTILIZATION: &str = "util";
    /// Second name of [`CPU_UTILIZATION`].
    pub(super) const CPU_UTILIZATION_ALIAS: &str = "busy";
    /// Fraction of the memory that is granted, from 0 to 1.
    pub(super) const MEMORY_UTILIZATION: &str = "x0";
    /// Fraction of the disks in use, from 0 to 1.
    pub(super) const DISK_UTILIZATION: &str = "x1";
}

/// Reads a load report, `name:value;name:value`, in the names of both generations of engines.
fn read_stats(text: &str) -> Result<LoadStats, EngineAnswerError> {
    let mut stats = LoadStats::default();
    for pair in split_pairs(text, ';', ':') {
        let (name, value) = pair?;
        let target = match name {
            load_report::IN_FLIGHT | load_report::IN_FLIGHT_ALIAS => &mut stats.in_flight,
            load_report::QUEUED | load_report::QUEUED_ALIAS => &mut stats.queued,
            load_report::CPU_UTILIZATION | load_report::CPU_UTILIZATION_ALIAS => &mut stats.cpu_utilization,
            load_report::MEMORY_UTILIZATION => &mut stats.memory_utilization,
            load_report::DISK_UTILIZATION => &mut stats.disk_utilization,
            _ => continue,
        };
        *target = Some(read_number(field::LOAD_REPORT, value)?);
    }
    Ok(stats)
}

/// Names and values of a list.
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
