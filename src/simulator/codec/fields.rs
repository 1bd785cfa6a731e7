//! Parses single fields of a line.

use super::names::{field, load_report, outcome};
use super::{FieldError, WireError};
use sprucelink_policy::{LoadReport, Outcome, QueryCost, RequestId, Settings};

/// Maximum number of characters of a malformed line that the error quotes.
const MAX_QUOTED_CHARS: usize = 120;
/// Number of digits of a request id.
const REQUEST_ID_DIGITS: usize = 16;
/// Divisor of the number that encodes the cost of a query: the quotient is the work in thread-milliseconds,
/// and the remainder is the memory in units of [`COST_MEMORY_UNIT_MB`].
const COST_MEMORY_VALUES: u64 = 4096;
/// Unit of the memory in the cost of a query, in MB.
const COST_MEMORY_UNIT_MB: f64 = 4.0;
/// Thread-milliseconds in a thread-second.
const MILLIS_PER_SECOND: f64 = 1e3;
/// Index of the first field of an `INIT` line that holds a setting; all later fields hold settings, too.
const FIRST_SETTING: usize = 3;

/// The fields of a line. An empty field and `-` count as absent.
pub(super) struct Fields<'a> {
    line: &'a str,
    parts: Vec<&'a str>,
}

impl<'a> Fields<'a> {
    pub(super) fn split(line: &'a str) -> Fields<'a> {
        Fields { line, parts: line.split('\t').collect() }
    }

    /// The first field, which names the kind of line.
    pub(super) fn name(&self) -> &'a str {
        self.parts[0]
    }

    pub(super) fn error(&self, field: &str, reason: FieldError) -> WireError {
        let line = self.line.chars().take(MAX_QUOTED_CHARS).collect();
        WireError { field: field.to_owned(), reason, line }
    }

    pub(super) fn optional_text(&self, index: usize) -> Option<&'a str> {
        self.parts.get(index).copied().filter(|text| *text != "-" && !text.is_empty())
    }

    pub(super) fn text(&self, index: usize, name: &str) -> Result<&'a str, WireError> {
        self.optional_text(index).ok_or_else(|| self.error(name, FieldError::Missing))
    }

    pub(super) fn optional_number(&self, index: usize, name: &str) -> Result<Option<f64>, WireError> {
        let Some(text) = self.optional_text(index) else { return Ok(None) };
        match parse_finite(text) {
            Some(number) => Ok(Some(number)),
            None => Err(self.error(name, FieldError::NotANumber)),
        }
    }

    pub(super) fn number(&self, index: usize, name: &str) -> Result<f64, WireError> {
        self.optional_number(index, name)?.ok_or_else(|| self.error(name, FieldError::Missing))
    }

    pub(super) fn optional_integer(&self, index: usize, name: &str) -> Result<Option<u64>, WireError> {
        let Some(text) = self.optional_text(index) else { return Ok(None) };
        text.parse().map(Some).map_err(|_| self.error(name, FieldError::NotAWholeNumber))
    }

    pub(super) fn integer(&self, index: usize, name: &str) -> Result<u64, WireError> {
        self.optional_integer(index, name)?.ok_or_else(|| self.error(name, FieldError::Missing))
    }

    pub(super) fn flag(&self, index: usize, name: &str) -> Result<bool, WireError> {
        match self.optional_text(index) {
            None | Some("0") | Some("false") => Ok(false),
            Some("1") | Some("true") => Ok(true),
            Some(_) => Err(self.error(name, FieldError::NotAFlag)),
        }
    }

    /// The instance, which is always the first field after the line's name.
    pub(super) fn instance(&self) -> Result<String, WireError> {
        self.text(1, field::INSTANCE).map(str::to_owned)
    }

    /// The request id, which always follows the instance.
    pub(super) fn request_id(&self) -> Result<RequestId, WireError> {
        let text = self.text(2, field::REQUEST_ID)?;
        let id = u64::from_str_radix(text, 16).ok().filter(|_| text.len() == REQUEST_ID_DIGITS);
        id.map(RequestId).ok_or_else(|| self.error(field::REQUEST_ID, FieldError::NotARequestId))
    }

    pub(super) fn outcome(&self, index: usize) -> Result<Outcome, WireError> {
        Ok(match self.text(index, field::OUTCOME)? {
            outcome::SUCCEEDED => Outcome::Succeeded,
            outcome::ENGINE_ERROR => Outcome::EngineError,
            outcome::REJECTED_BY_ENGINE => Outcome::RejectedByEngine,
            outcome::TIMED_OUT => Outcome::TimedOut,
            outcome::CONNECT_FAILED => Outcome::ConnectFailed,
            outcome::CONNECTION_LOST => Outcome::ConnectionLost,
            outcome::CANCELLED => Outcome::Cancelled,
            outcome::NEVER_SENT => Outcome::NeverSent,
            _ => return Err(self.error(field::OUTCOME, FieldError::UnknownWord)),
        })
    }

    /// A load report: `name:value` pairs separated by commas.
    pub(super) fn report(&self, index: usize) -> Result<LoadReport, WireError> {
        let mut report = LoadReport::default();
        let pairs = self.optional_text(index).unwrap_or("").split(',').filter(|pair| !pair.is_empty());
        for pair in pairs {
            let (name, value) =
                pair.split_once(':').ok_or_else(|| self.error(field::LOAD_REPORT, FieldError::NotAPair))?;
            let value = parse_finite(value)
                .ok_or_else(|| self.error(field::LOAD_REPORT, FieldError::ValueNotANumber))?;
            match name {
                load_report::QUERIES_IN_FLIGHT => report.queries_in_flight = Some(value),
                load_report::QUERIES_WAITING_FOR_MEMORY => report.queries_waiting_for_memory = Some(value),
                load_report::BUSY_CORE_FRACTION => report.busy_core_fraction = Some(value),
                load_report::GRANTED_MEMORY_FRACTION => report.granted_memory_fraction = Some(value),
                load_report::BUSY_DISK_FRACTION => report.busy_disk_fraction = Some(value),
                _ => {}
            }
        }
        Ok(report)
    }

    /// The cost that an engine reports for a query; `None` if it is absent or 0.
    pub(super) fn query_cost(&self, index: usize) -> Result<Option<QueryCost>, WireError> {
        let cost = self.optional_integer(index, field::QUERY_COST)?.filter(|cost| *cost > 0);
        Ok(cost.map(|cost| QueryCost {
            work: (cost / COST_MEMORY_VALUES) as f64 / MILLIS_PER_SECOND,
            memory_mb: (cost % COST_MEMORY_VALUES) as f64 * COST_MEMORY_UNIT_MB,
        }))
    }

    /// Bytes in hex; an absent field is an empty sequence.
    pub(super) fn bytes(&self, index: usize, name: &str) -> Result<Vec<u8>, WireError> {
        let hex = self.optional_text(index).unwrap_or("");
        let bytes: Option<Vec<u8>> = (0..hex.len())
            .step_by(2)
            .map(|start| hex.get(start..start + 2).and_then(|digits| u8::from_str_radix(digits, 16).ok()))
            .collect();
        bytes.ok_or_else(|| self.error(name, FieldError::NotHex))
    }

    /// The settings, given as pairs in the last fields of the line.
    pub(super) fn settings(&self) -> Result<Settings, WireError> {
        let pairs = self.parts.iter().skip(FIRST_SETTING).copied();
        match sprucelink_settings::pairs::parse(pairs) {
            Ok(settings) => Ok(settings.to_policy_settings()),
            Err(error) => Err(self.error(&error.place.path, FieldError::Setting(error.reason))),
        }
    }
}

fn parse_finite(text: &str) -> Option<f64> {
    text.parse::<f64>().ok().filter(|number| number.is_finite())
}
