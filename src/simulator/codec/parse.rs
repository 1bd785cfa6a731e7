//! Reads lines; the texts in quotes are the wire's.

use super::fields::Fields;
use super::{FieldError, Line, ListedEngine, WireError};
use sprucelink_policy::{
    Arrival, ClassId, EndpointUpdate, EngineEntry, EngineId, EngineState, Event, ProgressNote, TimeDelta,
    Timestamp,
};

/// Reads one line; `None` where its first field is unknown.
///
/// # Errors
/// The first field that is missing or invalid.
pub fn parse_line(line: &str) -> Result<Option<Line>, WireError> {
    let fields = Fields::of(line);
    let parsed = match fields.name() {
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
        "OPENED" => Line::Event {
            instance: fields.instance()?,
            event: Event::ResponseStarted { id: fields.request_id()? },
        },
        "UPDATE_OF" => return parse_note(&fields),
        "ENDED" => parse_ended(&fields)?,
        "ABANDONED" => Line::Event {
            instance: fields.instance()?,
            event: Event::RequestAbandoned { id: fields.request_id()? },
        },
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
        "changes" => EndpointUpdate::Changes,
        "all" => EndpointUpdate::Complete,
        "remembered" => EndpointUpdate::Remembered,
        "refused" => EndpointUpdate::Failed,
        _ => return Err(fields.error("form", FieldError::UnknownWord)),
    };
    let list = if kind == EndpointUpdate::Failed { 0 } else { fields.integer(4, "page")? as usize };
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
    Ok(Line::Event { instance, event: Event::RequestArrived(arrival) })
}

/// A note on an attempt; `None` where its topic is unknown.
fn parse_note(fields: &Fields) -> Result<Option<Line>, WireError> {
    let value = fields.optional_number(6, "value")?.unwrap_or(0.0);
    let note = match fields.integer(5, "topic")? {
        1 => ProgressNote::Progress(value),
        2 => ProgressNote::Spills(value),
        3 if value >= 2.0 => ProgressNote::WaitsForLoad,
        3 => ProgressNote::WaitsForMemory,
        _ => return Ok(None),
    };
    let attempt = fields.integer(3, "attempt")? as u32;
    let instance = fields.instance()?;
    let event = Event::ProgressReported { id: fields.request_id()?, attempt, note };
    Ok(Some(Line::Event { instance, event }))
}

fn parse_ended(fields: &Fields) -> Result<Line, WireError> {
    let instance = fields.instance()?;
    let event = Event::AttemptEnded {
        id: fields.request_id()?,
        attempt: fields.integer(3, "attempt")? as u32,
        outcome: fields.outcome(5)?,
        latency: TimeDelta::from_secs_f64(fields.optional_number(6, "lag")?.unwrap_or(0.0)),
        complete: fields.flag(7, "complete")?,
        query_cost: fields.query_cost(8)?,
        report: fields.report(9)?,
    };
    Ok(Line::Event { instance, event })
}

fn parse_gossip(fields: &Fields) -> Result<Line, WireError> {
    let message = fields.bytes(3, "blob")?;
    let instance = fields.instance()?;
    let event = Event::PeerMessageReceived { from: fields.integer(2, "src")? as u32, message };
    Ok(Line::Event { instance, event })
}
