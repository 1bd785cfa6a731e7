//! The drill wire's dialect: lines of tab-parted text to events, and actions to lines.
//!
//! It knows no more than how things are written. Unknown settings, report values and state words
//! are skipped; a malformed line is an error that names the line and the field.

use sprucelink_policy::*;
use std::fmt::Write;

/// Why a line could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError(pub String);

impl std::fmt::Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}
impl std::error::Error for WireError {}

/// An entry of a numbered engine list, its engine still by name.
#[derive(Clone, Debug)]
pub struct PoolEntry {
    /// The engine's name.
    pub name: String,
    /// The rest of the entry; its engine number is not set yet.
    pub entry: EngineEntry,
}

/// One line of a batch.
#[derive(Clone, Debug)]
pub enum Line {
    /// A batch begins: the time and the batch's number.
    Clock(Timestamp, String),
    /// A batch ends.
    Commit,
    /// A numbered list begins: its number and how many entries follow.
    Pool(usize, usize),
    /// An entry of the list just begun.
    Entry(PoolEntry),
    /// An instance starts: its name, seed and settings.
    Init(String, u64, Box<Settings>),
    /// An instance ends.
    Halt(String),
    /// List news for an instance, with the number of the list.
    Members(String, ListKind, usize),
    /// A probe's result for an instance, with the engine's name.
    Probed(String, String, Outcome, Report),
    /// Any other event for an instance.
    Event(String, Event),
}

struct Fields<'a> {
    line: &'a str,
    parts: Vec<&'a str>,
}

impl<'a> Fields<'a> {
    fn err(&self, field: &str, why: &str) -> WireError {
        let head: String = self.line.chars().take(120).collect();
        WireError(format!("field {field} {why} in line: {head}"))
    }
    fn opt(&self, i: usize) -> Option<&'a str> {
        self.parts.get(i).copied().filter(|s| *s != "-" && !s.is_empty())
    }
    fn text(&self, i: usize, name: &str) -> Result<&'a str, WireError> {
        self.opt(i).ok_or_else(|| self.err(name, "is missing"))
    }
    fn num(&self, i: usize, name: &str) -> Result<Option<f64>, WireError> {
        match self.opt(i) {
            None => Ok(None),
            Some(s) => match s.parse::<f64>() {
                Ok(v) if v.is_finite() => Ok(Some(v)),
                _ => Err(self.err(name, "is not a number")),
            },
        }
    }
    fn int(&self, i: usize, name: &str) -> Result<Option<u64>, WireError> {
        match self.opt(i) {
            None => Ok(None),
            Some(s) => s.parse().map(Some).map_err(|_| self.err(name, "is not a whole number")),
        }
    }
    fn need_num(&self, i: usize, name: &str) -> Result<f64, WireError> {
        self.num(i, name)?.ok_or_else(|| self.err(name, "is missing"))
    }
    fn need_int(&self, i: usize, name: &str) -> Result<u64, WireError> {
        self.int(i, name)?.ok_or_else(|| self.err(name, "is missing"))
    }
    fn flag(&self, i: usize, name: &str) -> Result<bool, WireError> {
        match self.opt(i) {
            None | Some("0") | Some("false") => Ok(false),
            Some("1") | Some("true") => Ok(true),
            Some(_) => Err(self.err(name, "is neither 1 nor 0")),
        }
    }
    fn id(&self, i: usize) -> Result<RequestId, WireError> {
        let s = self.text(i, "id")?;
        if s.len() != 16 {
            return Err(self.err("id", "is not 16 hex digits"));
        }
        u64::from_str_radix(s, 16).map(RequestId).map_err(|_| self.err("id", "is not 16 hex digits"))
    }
    fn outcome(&self, i: usize) -> Result<Outcome, WireError> {
        Ok(match self.text(i, "disposition")? {
            "delivered" => Outcome::Delivered,
            "app_error" => Outcome::Error,
            "shed" => Outcome::Shed,
            "expired" => Outcome::Expired,
            "dial_failed" => Outcome::DialFailed,
            "dropped" => Outcome::Dropped,
            "revoked" => Outcome::Revoked,
            "unused" => Outcome::Unused,
            _ => return Err(self.err("disposition", "is unknown")),
        })
    }
    fn report(&self, i: usize) -> Result<Report, WireError> {
        let mut r = Report::default();
        for pair in self.opt(i).unwrap_or("").split(',').filter(|p| !p.is_empty()) {
            let (name, value) =
                pair.split_once(':').ok_or_else(|| self.err("pressure", "holds no name:value pair"))?;
            let v = match value.parse::<f64>() {
                Ok(v) if v.is_finite() => Some(v),
                _ => return Err(self.err("pressure", "holds no number")),
            };
            match name {
                "rif" => r.in_hand = v,
                "q" => r.waiting = v,
                "busy" => r.busy = v,
                "x0" => r.memory = v,
                "x1" => r.disks = v,
                _ => {}
            }
        }
        Ok(r)
    }
}

/// Reads one line. A line whose first part is unknown gives `None`.
pub fn parse_line(line: &str) -> Result<Option<Line>, WireError> {
    let f = Fields { line, parts: line.split('\t').collect() };
    let who = || f.text(1, "who").map(str::to_owned);
    let parsed = match f.parts[0] {
        "CLOCK" => {
            Line::Clock(Timestamp::from_secs_f64(f.need_num(1, "moment")?), f.text(2, "n")?.to_owned())
        }
        "COMMIT" => Line::Commit,
        "POOL" => Line::Pool(f.need_int(1, "page")? as usize, f.need_int(2, "elements")? as usize),
        "ENGINE" => Line::Entry(PoolEntry {
            name: f.text(1, "engine")?.to_owned(),
            entry: EngineEntry {
                engine: EngineId(0),
                zone: f.int(2, "site")?.unwrap_or(0) as u32,
                kind: f.int(3, "machine")?.unwrap_or(0) as u32,
                cell: f.int(4, "pod")?.unwrap_or(0) as u32,
                // A state word that is not known says that the engine is listed, no more.
                state: match f.opt(5) {
                    Some("draining") => EngineState::Draining,
                    Some("gone") => EngineState::Gone,
                    _ => EngineState::Ready,
                },
                since: f.num(7, "since")?.filter(|s| *s > 0.0).map(Timestamp::from_secs_f64),
            },
        }),
        "INIT" => Line::Init(who()?, f.need_int(2, "randomSeed")?, Box::new(parse_settings(&f)?)),
        "HALT" => Line::Halt(who()?),
        "MEMBERS" => {
            let kind = match f.text(2, "form")? {
                "changes" => ListKind::Changes,
                "all" => ListKind::Whole,
                "remembered" => ListKind::Remembered,
                "refused" => ListKind::Failed,
                _ => return Err(f.err("form", "is unknown")),
            };
            let page = if kind == ListKind::Failed { 0 } else { f.need_int(4, "page")? as usize };
            Line::Members(who()?, kind, page)
        }
        "INCOMING" => Line::Event(
            who()?,
            Event::Arrived(Arrival {
                id: f.id(2)?,
                tenant: f.int(3, "billing")?.unwrap_or(0) as usize,
                tables: f.int(5, "sourceSet")?.unwrap_or(0),
                time_left: TimeDelta::from_secs_f64(f.need_num(6, "timeLeft")?),
                class: ClassId(f.need_int(7, "profile")? as usize),
                cost: f.num(8, "expected")?.filter(|c| *c > 0.0),
                key: f.opt(9).map(str::to_owned),
                memory_mb: f.num(11, "memMb")?.filter(|m| *m > 0.0),
            }),
        ),
        "OPENED" => Line::Event(who()?, Event::Started { id: f.id(2)? }),
        "UPDATE_OF" => {
            let value = f.num(6, "value")?.unwrap_or(0.0);
            let note = match (f.need_int(5, "topic")?, value) {
                (1, v) => Note::Progress(v),
                (2, v) => Note::Spills(v),
                (3, v) if v >= 2.0 => Note::WaitsForLoad,
                (3, _) => Note::WaitsForMemory,
                _ => return Ok(None),
            };
            let attempt = f.need_int(3, "attempt")? as u32;
            Line::Event(who()?, Event::Noted { id: f.id(2)?, attempt, note })
        }
        "ENDED" => Line::Event(
            who()?,
            Event::Ended {
                id: f.id(2)?,
                attempt: f.need_int(3, "attempt")? as u32,
                outcome: f.outcome(5)?,
                latency: TimeDelta::from_secs_f64(f.num(6, "lag")?.unwrap_or(0.0)),
                complete: f.flag(7, "complete")?,
                bill: f
                    .int(8, "bill")?
                    .filter(|b| *b > 0)
                    .map(|b| Bill { work: (b / 4096) as f64 / 1e3, memory_mb: (b % 4096) as f64 * 4.0 }),
                report: f.report(9)?,
            },
        ),
        "ABANDONED" => Line::Event(who()?, Event::GivenUp { id: f.id(2)? }),
        "DUE" => Line::Event(who()?, Event::Timer { token: f.need_int(2, "handle")? }),
        "PROBED" => Line::Probed(who()?, f.text(2, "engine")?.to_owned(), f.outcome(3)?, f.report(5)?),
        "HEARD" => {
            let hex = f.opt(3).unwrap_or("");
            let bytes: Option<Vec<u8>> = (0..hex.len())
                .step_by(2)
                .map(|i| hex.get(i..i + 2).and_then(|h| u8::from_str_radix(h, 16).ok()))
                .collect();
            let message = bytes.ok_or_else(|| f.err("blob", "is not hex"))?;
            Line::Event(who()?, Event::Heard { from: f.need_int(2, "src")? as u32, message })
        }
        _ => return Ok(None),
    };
    Ok(Some(parsed))
}

/// The settings of the pairs that a line ends with.
fn parse_settings(f: &Fields) -> Result<Settings, WireError> {
    let told = sprucelink_settings::pairs::parse(f.parts.iter().skip(3).copied());
    told.map(|t| t.to_policy_settings()).map_err(|e| f.err(&e.place.path, &e.reason.to_string()))
}

fn secs(out: &mut String, t: TimeDelta) {
    let us = t.as_micros().unsigned_abs();
    let sign = if t.as_micros() < 0 { "-" } else { "" };
    let _ = write!(out, "{sign}{}.{:06}", us / 1_000_000, us % 1_000_000);
}

/// Appends one action of an instance as a line; `name` gives an engine's wire name.
pub fn print_action<'a>(out: &mut String, who: &str, action: &Action, name: impl Fn(EngineId) -> &'a str) {
    let _ = match action {
        Action::Send { id, timeout, engine } => {
            let _ = write!(out, "SEND\t{who}\t{:016x}\t", id.0);
            match timeout {
                Some(t) => secs(out, *t),
                None => out.push('0'),
            }
            write!(out, "\t{}", name(*engine))
        }
        Action::Terms { id, grant_mb, level } => {
            write!(out, "TUNE\t{who}\t{:016x}\t{}\t{}", id.0, grant_mb.unwrap_or(0.0), level.0)
        }
        Action::Cancel { id, attempt } => write!(out, "CALL_OFF\t{who}\t{:016x}\t{attempt}", id.0),
        Action::Refuse { id, retry_after } => {
            let _ = write!(out, "DECLINE\t{who}\t{:016x}\t", id.0);
            match retry_after {
                Some(t) => secs(out, *t),
                None => out.push('0'),
            }
            Ok(())
        }
        Action::Fail { id, .. } => write!(out, "END_FAILED\t{who}\t{:016x}", id.0),
        Action::Timer { delay, token } => {
            let _ = write!(out, "REMIND\t{who}\t");
            secs(out, *delay);
            write!(out, "\t{token}")
        }
        Action::Probe { engine } => write!(out, "TOUCH\t{who}\t{}", name(*engine)),
        Action::Tell { message } => {
            let _ = write!(out, "PUBLISH\t{who}\tall\t");
            if message.is_empty() {
                out.push('-');
            }
            message.iter().try_for_each(|b| write!(out, "{b:02x}"))
        }
        // Nobody listens to reasons here.
        Action::Why(_) => return,
        Action::Watch => write!(out, "KEEP_INFORMED\t{who}\t1"),
        Action::Log(text) => {
            let plain: String = text.chars().map(|c| if c.is_control() { ' ' } else { c }).collect();
            write!(out, "NOTE_DOWN\t{who}\t{plain}")
        }
    };
    out.push('\n');
}
