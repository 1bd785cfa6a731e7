//! Parses lines.

use super::fields::Fields;
use super::names::{engine_state, field, note_kind, received, update_kind};
use super::{FieldError, Line, ListedEngine, WireError};
use sprucelink_policy::{
    Arrival, ClassId, EndpointUpdate, EngineEntry, EngineId, EngineState, Event, ProgressNote, TimeDelta,
    Timestamp,
};

/// Parses one line; `None` if its first field is unknown.
///
/// # Errors
/// The first field that is missing or invalid.
pub fn parse_line(line: &str) -> Result<Option<Line>, WireError> {
    let fields = Fields::split(line);
    let parsed = match fields.name() {
        received::BATCH_BEGIN => Line::BatchBegin {
            now: Timestamp::from_secs_f64(fields.number(1, field::NOW)?),
            batch: fields.text(2, field::BATCH)?.to_owned(),
        },
        received::BATCH_END => Line::BatchEnd,
        received::ENGINE_LIST => Line::ListBegin {
            list: fields.integer(1, field::LIST)? as usize,
            entries: fields.integer(2, field::LIST_ENTRIES)? as usize,
        },
        received::ENGINE => Line::ListEntry(parse_listed_engine(&fields)?),
        received::START => Line::Start {
            instance: fields.instance()?,
            seed: fields.integer(2, field::SEED)?,
            settings: Box::new(fields.settings()?),
        },
        received::STOP => Line::Stop { instance: fields.instance()? },
        received::ENDPOINTS_CHANGED => parse_endpoint_update(&fields)?,
        received::PROBE_COMPLETED => Line::ProbeCompleted {
            instance: fields.instance()?,
            engine: fields.text(2, field::ENGINE)?.to_owned(),
            outcome: fields.outcome(3)?,
            report: fields.report(5)?,
        },
        received::REQUEST_ARRIVED => parse_arrival(&fields)?,
        received::RESPONSE_STARTED => Line::Event {
            instance: fields.instance()?,
            event: Event::ResponseStarted { id: fields.request_id()? },
        },
        received::PROGRESS_REPORTED => return parse_progress_note(&fields),
        received::ATTEMPT_ENDED => parse_attempt_end(&fields)?,
        received::REQUEST_ABANDONED => Line::Event {
            instance: fields.instance()?,
            event: Event::RequestAbandoned { id: fields.request_id()? },
        },
        received::TIMER => Line::Event {
            instance: fields.instance()?,
            event: Event::Timer { token: fields.integer(2, field::TIMER_TOKEN)? },
        },
        received::PEER_MESSAGE => parse_peer_message(&fields)?,
        _ => return Ok(None),
    };
    Ok(Some(parsed))
}

fn parse_listed_engine(fields: &Fields) -> Result<ListedEngine, WireError> {
    let name = fields.text(1, field::ENGINE)?.to_owned();
    let entry = EngineEntry {
        engine: EngineId(0),
        zone: fields.optional_integer(2, field::ZONE)?.unwrap_or(0) as u32,
        kind: fields.optional_integer(3, field::MACHINE_KIND)?.unwrap_or(0) as u32,
        cell: fields.optional_integer(4, field::CELL)?.unwrap_or(0) as u32,
        // An engine with an unknown state is in the list, so it counts as ready.
        state: match fields.optional_text(5) {
            Some(engine_state::DRAINING) => EngineState::Draining,
            Some(engine_state::GONE) => EngineState::Gone,
            _ => EngineState::Ready,
        },
        since: fields
            .optional_number(7, field::STARTED_AT)?
            .filter(|seconds| *seconds > 0.0)
            .map(Timestamp::from_secs_f64),
    };
    Ok(ListedEngine { name, entry })
}

fn parse_endpoint_update(fields: &Fields) -> Result<Line, WireError> {
    let kind = match fields.text(2, field::UPDATE_KIND)? {
        update_kind::CHANGES => EndpointUpdate::Changes,
        update_kind::COMPLETE => EndpointUpdate::Complete,
        update_kind::REMEMBERED => EndpointUpdate::Remembered,
        update_kind::FAILED => EndpointUpdate::Failed,
        _ => return Err(fields.error(field::UPDATE_KIND, FieldError::UnknownWord)),
    };
    let list = if kind == EndpointUpdate::Failed { 0 } else { fields.integer(4, field::LIST)? as usize };
    Ok(Line::EndpointsChanged { instance: fields.instance()?, kind, list })
}

fn parse_arrival(fields: &Fields) -> Result<Line, WireError> {
    let instance = fields.instance()?;
    let arrival = Arrival {
        id: fields.request_id()?,
        tenant: fields.optional_integer(3, field::TENANT)?.unwrap_or(0) as usize,
        tables: fields.optional_integer(5, field::TABLES)?.unwrap_or(0),
        time_left: TimeDelta::from_secs_f64(fields.number(6, field::TIME_LEFT)?),
        class: ClassId(fields.integer(7, field::CLASS)? as usize),
        cost: fields.optional_number(8, field::ESTIMATED_COST)?.filter(|cost| *cost > 0.0),
        key: fields.optional_text(9).map(str::to_owned),
        memory_mb: fields.optional_number(11, field::ESTIMATED_MEMORY)?.filter(|memory| *memory > 0.0),
    };
    Ok(Line::Event { instance, event: Event::RequestArrived(arrival) })
}

/// Parses a progress note on an attempt; `None` if its kind is unknown.
fn parse_progress_note(fields: &Fields) -> Result<Option<Line>, WireError> {
    let value = fields.optional_number(6, field::NOTE_VALUE)?.unwrap_or(0.0);
    let note = match fields.integer(5, field::NOTE_KIND)? {
        note_kind::PROGRESS => ProgressNote::Progress(value),
        note_kind::MISSING_MEMORY => ProgressNote::Spills(value),
        note_kind::WAITING if value >= note_kind::MIN_WAITING_VALUE_FOR_LOAD => ProgressNote::WaitsForLoad,
        note_kind::WAITING => ProgressNote::WaitsForMemory,
        _ => return Ok(None),
    };
    let attempt = fields.integer(3, field::ATTEMPT)? as u32;
    let instance = fields.instance()?;
    let event = Event::ProgressReported { id: fields.request_id()?, attempt, note };
    Ok(Some(Line::Event { instance, event }))
}

fn parse_attempt_end(fields: &Fields) -> Result<Line, WireError> {
    let instance = fields.instance()?;
    let event = Event::AttemptEnded {
        id: fields.request_id()?,
        attempt: fields.integer(3, field::ATTEMPT)? as u32,
        outcome: fields.outcome(5)?,
        latency: TimeDelta::from_secs_f64(fields.optional_number(6, field::LATENCY)?.unwrap_or(0.0)),
        complete: fields.flag(7, field::REQUEST_COMPLETE)?,
        query_cost: fields.query_cost(8)?,
        report: fields.report(9)?,
    };
    Ok(Line::Event { instance, event })
}

fn parse_peer_message(fields: &Fields) -> Result<Line, WireError> {
    let message = fields.bytes(3, field::MESSAGE)?;
    let instance = fields.instance()?;
    let event = Event::PeerMessageReceived { from: fields.integer(2, field::SENDER)? as u32, message };
    Ok(Line::Event { instance, event })
}
