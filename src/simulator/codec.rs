//! The simulator's wire: lines of tab-separated fields to events, and actions to lines.
//!
//! It knows no more than how things are written; the words in quotes are the wire's. Unknown settings, load report
//! values and engine states are skipped; a malformed line is an error that names the field.

use sprucelink_policy::*;
use std::fmt::Write;

/// Characters of a malformed line that its error quotes.
const MAX_QUOTED_CHARS: usize = 120;
/// Digits of a request id.
const REQUEST_ID_DIGITS: usize = 16;
/// A bill's memory is counted in its lowest bits, up to this value, in units of [`BILL_MEMORY_UNIT_MB`]; its work in
/// milliseconds above them.
const BILL_MEMORY_VALUES: u64 = 4096;
/// Megabytes that a bill's memory is counted in.
const BILL_MEMORY_UNIT_MB: f64 = 4.0;
/// The first field of an `INIT` line that holds a setting.
const FIRST_SETTING: usize = 3;

/// A line that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("field {field} {reason} in line: {line}")]
pub struct WireError {
    /// The field's name.
    pub field: String,
    /// What is wrong with it.
    pub reason: FieldError,
    /// The beginning of the line.
    pub line: String,
}

/// What is wrong with a field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FieldError {
    /// It is absent or empty.
    #[error("is missing")]
    Missing,
    /// It is no finite number.
    #[error("is not a number")]
    NotANumber,
    /// It is no whole number of 0 or more.
    #[error("is not a whole number")]
    NotAWholeNumber,
    /// It is no truth value.
    #[error("is neither 1 nor 0")]
    NotAFlag,
    /// It is no request id.
    #[error("is not 16 hex digits")]
    NotARequestId,
    /// Its word has no meaning here.
    #[error("is unknown")]
    UnknownWord,
    /// An item of a list lacks its name or value.
    #[error("holds no name:value pair")]
    NotAPair,
    /// A value of a list is no finite number.
    #[error("holds no number")]
    ValueNotANumber,
    /// It is no sequence of bytes in hex.
    #[error("is not hex")]
    NotHex,
    /// A setting is invalid.
    #[error("{0}")]
    Setting(String),
}

/// An entry of an engine list, its engine still by name.
#[derive(Clone, Debug)]
pub struct ListedEngine {
    /// The engine's name.
    pub name: String,
    /// The rest of the entry; its engine number is not set yet.
    pub entry: EngineEntry,
}

/// One line of a batch.
#[derive(Clone, Debug)]
pub enum Line {
    /// A batch begins.
    Clock {
        /// The simulated time.
        now: Timestamp,
        /// The batch's number, as the reply repeats it.
        batch: String,
    },
    /// A batch ends.
    Commit,
    /// An engine list begins.
    ListBegin {
        /// Its number.
        list: usize,
        /// How many entries follow.
        entries: usize,
    },
    /// An entry of the list that began last.
    ListEntry(ListedEngine),
    /// An instance starts.
    Start {
        /// Its name.
        instance: String,
        /// Its seed.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// An instance ends.
    Stop {
        /// Its name.
        instance: String,
    },
    /// An instance is given an endpoint list.
    Members {
        /// The instance.
        instance: String,
        /// How the list came.
        kind: ListKind,
        /// The list's number.
        list: usize,
    },
    /// A load probe of an instance ended.
    Probed {
        /// The instance.
        instance: String,
        /// The engine's name.
        engine: String,
        /// How the probe ended.
        outcome: Outcome,
        /// What the engine reported.
        report: Report,
    },
    /// Any other event of an instance.
    Event {
        /// The instance.
        instance: String,
        /// The event.
        event: Event,
    },
}

/// The fields of a line. An empty field and `-` count as absent.
struct Fields<'a> {
    line: &'a str,
    parts: Vec<&'a str>,
}

impl<'a> Fields<'a> {
    fn error(&self, field: &str, reason: FieldError) -> WireError {
        let line = self.line.chars().take(MAX_QUOTED_CHARS).collect();
        WireError { field: field.to_owned(), reason, line }
    }

    fn optional_text(&self, index: usize) -> Option<&'a str> {
        self.parts.get(index).copied().filter(|text| *text != "-" && !text.is_empty())
    }

    fn text(&self, index: usize, name: &str) -> Result<&'a str, WireError> {
        self.optional_text(index).ok_or_else(|| self.error(name, FieldError::Missing))
    }

    fn optional_number(&self, index: usize, name: &str) -> Result<Option<f64>, WireError> {
        let Some(text) = self.optional_text(index) else { return Ok(None) };
        match parse_finite(text) {
            Some(number) => Ok(Some(number)),
            None => Err(self.error(name, FieldError::NotANumber)),
        }
    }

    fn number(&self, index: usize, name: &str) -> Result<f64, WireError> {
        self.optional_number(index, name)?.ok_or_else(|| self.error(name, FieldError::Missing))
    }

    fn optional_integer(&self, index: usize, name: &str) -> Result<Option<u64>, WireError> {
        let Some(text) = self.optional_text(index) else { return Ok(None) };
        text.parse().map(Some).map_err(|_| self.error(name, FieldError::NotAWholeNumber))
    }

    fn integer(&self, index: usize, name: &str) -> Result<u64, WireError> {
        self.optional_integer(index, name)?.ok_or_else(|| self.error(name, FieldError::Missing))
    }

    fn flag(&self, index: usize, name: &str) -> Result<bool, WireError> {
        match self.optional_text(index) {
            None | Some("0") | Some("false") => Ok(false),
            Some("1") | Some("true") => Ok(true),
            Some(_) => Err(self.error(name, FieldError::NotAFlag)),
        }
    }

    /// The instance, which always stands first.
    fn instance(&self) -> Result<String, WireError> {
        self.text(1, "who").map(str::to_owned)
    }

    /// The request id, which always stands behind the instance.
    fn request_id(&self) -> Result<RequestId, WireError> {
        let text = self.text(2, "id")?;
        let id = u64::from_str_radix(text, 16).ok().filter(|_| text.len() == REQUEST_ID_DIGITS);
        id.map(RequestId).ok_or_else(|| self.error("id", FieldError::NotARequestId))
    }

    fn outcome(&self, index: usize) -> Result<Outcome, WireError> {
        Ok(match self.text(index, "disposition")? {
            "delivered" => Outcome::Delivered,
            "app_error" => Outcome::Error,
            "shed" => Outcome::Shed,
            "expired" => Outcome::Expired,
            "dial_failed" => Outcome::DialFailed,
            "dropped" => Outcome::Dropped,
            "revoked" => Outcome::Revoked,
            "unused" => Outcome::Unused,
            _ => return Err(self.error("disposition", FieldError::UnknownWord)),
        })
    }

    /// A load report: `name:value` pairs with commas between them.
    fn report(&self, index: usize) -> Result<Report, WireError> {
        let mut report = Report::default();
        let pairs = self.optional_text(index).unwrap_or("").split(',').filter(|pair| !pair.is_empty());
        for pair in pairs {
            let (name, value) =
                pair.split_once(':').ok_or_else(|| self.error("pressure", FieldError::NotAPair))?;
            let value =
                parse_finite(value).ok_or_else(|| self.error("pressure", FieldError::ValueNotANumber))?;
            match name {
                "rif" => report.in_hand = Some(value),
                "q" => report.waiting = Some(value),
                "busy" => report.busy = Some(value),
                "x0" => report.memory = Some(value),
                "x1" => report.disks = Some(value),
                _ => {}
            }
        }
        Ok(report)
    }

    /// The cost that an engine bills; 0 is none.
    fn bill(&self, index: usize) -> Result<Option<Bill>, WireError> {
        let bill = self.optional_integer(index, "bill")?.filter(|bill| *bill > 0);
        Ok(bill.map(|bill| Bill {
            work: (bill / BILL_MEMORY_VALUES) as f64 / 1e3,
            memory_mb: (bill % BILL_MEMORY_VALUES) as f64 * BILL_MEMORY_UNIT_MB,
        }))
    }

    /// Bytes in hex; an absent field is no bytes.
    fn bytes(&self, index: usize, name: &str) -> Result<Vec<u8>, WireError> {
        let hex = self.optional_text(index).unwrap_or("");
        let bytes: Option<Vec<u8>> = (0..hex.len())
            .step_by(2)
            .map(|start| hex.get(start..start + 2).and_then(|digits| u8::from_str_radix(digits, 16).ok()))
            .collect();
        bytes.ok_or_else(|| self.error(name, FieldError::NotHex))
    }

    /// The settings of the pairs that a line ends with.
    fn settings(&self) -> Result<Settings, WireError> {
        let pairs = self.parts.iter().skip(FIRST_SETTING).copied();
        match sprucelink_settings::pairs::parse(pairs) {
            Ok(settings) => Ok(settings.to_policy_settings()),
            Err(error) => Err(self.error(&error.place.path, FieldError::Setting(error.reason.to_string()))),
        }
    }
}

fn parse_finite(text: &str) -> Option<f64> {
    text.parse::<f64>().ok().filter(|number| number.is_finite())
}

/// Reads one line; `None` where its first field is unknown.
///
/// # Errors
/// The first field that is missing or invalid.
pub fn parse_line(line: &str) -> Result<Option<Line>, WireError> {
    let fields = Fields { line, parts: line.split('\t').collect() };
    let parsed = match fields.parts[0] {
        "CLOCK" => Line::Clock {
            now: Timestamp::from_secs_f64(fields.number(1, "moment")?),
            batch: fields.text(2, "n")?.to_owned(),
        },
        "COMMIT" => Line::Commit,
        "POOL" => Line::ListBegin {
            list: fields.integer(1, "page")? as usize,
            entries: fields.integer(2, "elements")? as usize,
        },
        "ENGINE" => Line::ListEntry(parse_listed_engine(&fields)?),
        "INIT" => Line::Start {
            instance: fields.instance()?,
            seed: fields.integer(2, "randomSeed")?,
            settings: Box::new(fields.settings()?),
        },
        "HALT" => Line::Stop { instance: fields.instance()? },
        "MEMBERS" => parse_members(&fields)?,
        "PROBED" => Line::Probed {
            instance: fields.instance()?,
            engine: fields.text(2, "engine")?.to_owned(),
            outcome: fields.outcome(3)?,
            report: fields.report(5)?,
        },
        "INCOMING" => parse_arrival(&fields)?,
        "OPENED" => {
            Line::Event { instance: fields.instance()?, event: Event::Started { id: fields.request_id()? } }
        }
        "UPDATE_OF" => return parse_note(&fields),
        "ENDED" => parse_ended(&fields)?,
        "ABANDONED" => {
            Line::Event { instance: fields.instance()?, event: Event::GivenUp { id: fields.request_id()? } }
        }
        "DUE" => Line::Event {
            instance: fields.instance()?,
            event: Event::Timer { token: fields.integer(2, "handle")? },
        },
        "HEARD" => parse_gossip(&fields)?,
        _ => return Ok(None),
    };
    Ok(Some(parsed))
}

fn parse_listed_engine(fields: &Fields) -> Result<ListedEngine, WireError> {
    let name = fields.text(1, "engine")?.to_owned();
    let entry = EngineEntry {
        engine: EngineId(0),
        zone: fields.optional_integer(2, "site")?.unwrap_or(0) as u32,
        kind: fields.optional_integer(3, "machine")?.unwrap_or(0) as u32,
        cell: fields.optional_integer(4, "pod")?.unwrap_or(0) as u32,
        // An unknown state says no more than that the engine is listed.
        state: match fields.optional_text(5) {
            Some("draining") => EngineState::Draining,
            Some("gone") => EngineState::Gone,
            _ => EngineState::Ready,
        },
        since: fields
            .optional_number(7, "since")?
            .filter(|seconds| *seconds > 0.0)
            .map(Timestamp::from_secs_f64),
    };
    Ok(ListedEngine { name, entry })
}

fn parse_members(fields: &Fields) -> Result<Line, WireError> {
    let kind = match fields.text(2, "form")? {
        "changes" => ListKind::Changes,
        "all" => ListKind::Whole,
        "remembered" => ListKind::Remembered,
        "refused" => ListKind::Failed,
        _ => return Err(fields.error("form", FieldError::UnknownWord)),
    };
    let list = if kind == ListKind::Failed { 0 } else { fields.integer(4, "page")? as usize };
    Ok(Line::Members { instance: fields.instance()?, kind, list })
}

fn parse_arrival(fields: &Fields) -> Result<Line, WireError> {
    let instance = fields.instance()?;
    let arrival = Arrival {
        id: fields.request_id()?,
        tenant: fields.optional_integer(3, "billing")?.unwrap_or(0) as usize,
        tables: fields.optional_integer(5, "sourceSet")?.unwrap_or(0),
        time_left: TimeDelta::from_secs_f64(fields.number(6, "timeLeft")?),
        class: ClassId(fields.integer(7, "profile")? as usize),
        cost: fields.optional_number(8, "expected")?.filter(|cost| *cost > 0.0),
        key: fields.optional_text(9).map(str::to_owned),
        memory_mb: fields.optional_number(11, "memMb")?.filter(|memory| *memory > 0.0),
    };
    Ok(Line::Event { instance, event: Event::Arrived(arrival) })
}

/// A note on an attempt; `None` where its topic is unknown.
fn parse_note(fields: &Fields) -> Result<Option<Line>, WireError> {
    let value = fields.optional_number(6, "value")?.unwrap_or(0.0);
    let note = match fields.integer(5, "topic")? {
        1 => Note::Progress(value),
        2 => Note::Spills(value),
        3 if value >= 2.0 => Note::WaitsForLoad,
        3 => Note::WaitsForMemory,
        _ => return Ok(None),
    };
    let attempt = fields.integer(3, "attempt")? as u32;
    let instance = fields.instance()?;
    let event = Event::Noted { id: fields.request_id()?, attempt, note };
    Ok(Some(Line::Event { instance, event }))
}

fn parse_ended(fields: &Fields) -> Result<Line, WireError> {
    let instance = fields.instance()?;
    let event = Event::Ended {
        id: fields.request_id()?,
        attempt: fields.integer(3, "attempt")? as u32,
        outcome: fields.outcome(5)?,
        latency: TimeDelta::from_secs_f64(fields.optional_number(6, "lag")?.unwrap_or(0.0)),
        complete: fields.flag(7, "complete")?,
        bill: fields.bill(8)?,
        report: fields.report(9)?,
    };
    Ok(Line::Event { instance, event })
}

fn parse_gossip(fields: &Fields) -> Result<Line, WireError> {
    let message = fields.bytes(3, "blob")?;
    let instance = fields.instance()?;
    let event = Event::Heard { from: fields.integer(2, "src")? as u32, message };
    Ok(Line::Event { instance, event })
}

/// Appends a span as seconds with six decimals.
fn write_seconds(out: &mut String, span: TimeDelta) {
    let micros = span.as_micros().unsigned_abs();
    let sign = if span.as_micros() < 0 { "-" } else { "" };
    let _ = write!(out, "{sign}{}.{:06}", micros / 1_000_000, micros % 1_000_000);
}

/// Appends a span as seconds; an absent one is `0`.
fn write_optional_seconds(out: &mut String, span: Option<TimeDelta>) {
    match span {
        Some(span) => write_seconds(out, span),
        None => out.push('0'),
    }
}

/// Replaces control characters, which would break the line.
fn without_control_characters(text: &str) -> String {
    text.chars().map(|c| if c.is_control() { ' ' } else { c }).collect()
}

/// Appends an action of an instance as a line; `engine_name` gives an engine's name on the wire.
pub fn print_action<'a>(
    out: &mut String,
    instance: &str,
    action: &Action,
    engine_name: impl Fn(EngineId) -> &'a str,
) {
    // Writing to a string cannot fail.
    let _ = match action {
        Action::Send { id, timeout, engine } => {
            let _ = write!(out, "SEND\t{instance}\t{:016x}\t", id.0);
            write_optional_seconds(out, *timeout);
            write!(out, "\t{}", engine_name(*engine))
        }
        Action::Terms { id, grant_mb, level } => {
            write!(out, "TUNE\t{instance}\t{:016x}\t{}\t{}", id.0, grant_mb.unwrap_or(0.0), level.0)
        }
        Action::Cancel { id, attempt } => write!(out, "CALL_OFF\t{instance}\t{:016x}\t{attempt}", id.0),
        Action::Refuse { id, retry_after } => {
            let _ = write!(out, "DECLINE\t{instance}\t{:016x}\t", id.0);
            write_optional_seconds(out, *retry_after);
            Ok(())
        }
        Action::Fail { id, .. } => write!(out, "END_FAILED\t{instance}\t{:016x}", id.0),
        Action::Timer { delay, token } => {
            let _ = write!(out, "REMIND\t{instance}\t");
            write_seconds(out, *delay);
            write!(out, "\t{token}")
        }
        Action::Probe { engine } => write!(out, "TOUCH\t{instance}\t{}", engine_name(*engine)),
        Action::Tell { message } => {
            let _ = write!(out, "PUBLISH\t{instance}\tall\t");
            if message.is_empty() {
                out.push('-');
            }
            message.iter().try_for_each(|byte| write!(out, "{byte:02x}"))
        }
        // The wire has no line for diagnostics.
        Action::Why(_) => return,
        Action::Watch => write!(out, "KEEP_INFORMED\t{instance}\t1"),
        Action::Log(text) => {
            write!(out, "NOTE_DOWN\t{instance}\t{}", without_control_characters(text))
        }
    };
    out.push('\n');
}
