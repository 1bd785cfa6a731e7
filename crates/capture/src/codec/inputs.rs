//! Converts the inputs of records to protobuf messages and back.

use super::values::{
    decode_report, decode_value, encode_report, encode_value, ENDPOINT_UPDATES, ENGINE_STATES, OUTCOMES,
};
use super::DecodeError;
use crate::input::RecordedInput;
use crate::pb;
use pb::noted::Note as ProgressNoteKind;
use pb::record::What as InputKind;
use sprucelink_policy::{
    Arrival, ClassId, EngineEntry, EngineId, Event, LoadReport, Outcome, ProgressNote, QueryCost, RequestId,
    TimeDelta, Timestamp,
};

/// Encodes an input as the part of a record that depends on the input's kind.
pub fn encode_input(input: &RecordedInput) -> InputKind {
    match input {
        RecordedInput::Event(event) => encode_event(event),
        RecordedInput::EngineNumbered { id, number, freed } => {
            InputKind::Numbered(pb::Numbered { id: id.clone(), number: *number, freed: *freed })
        }
    }
}

/// Encodes an event as [`encode_input`] does, without a copy of the event.
pub fn encode_event(event: &Event) -> InputKind {
    match event {
        Event::EndpointsChanged { kind, entries } => InputKind::List(pb::List {
            kind: encode_value(&ENDPOINT_UPDATES, kind),
            entries: entries.iter().map(encode_endpoint).collect(),
        }),
        Event::RequestArrived(arrival) => InputKind::Arrived(encode_arrival(arrival)),
        Event::ResponseStarted { id } => InputKind::Started(id.0),
        Event::ProgressReported { id, attempt, note } => InputKind::Noted(pb::Noted {
            id: id.0,
            attempt: *attempt,
            note: Some(encode_progress_note(note)),
        }),
        Event::AttemptEnded { id, attempt, outcome, latency, complete, query_cost, report } => {
            InputKind::Ended(pb::Ended {
                id: id.0,
                attempt: *attempt,
                outcome: encode_value(&OUTCOMES, outcome),
                latency_us: latency.as_micros(),
                complete: *complete,
                work: query_cost.map(|cost| cost.work),
                used_mb: query_cost.map(|cost| cost.memory_mb),
                report: encode_report(report),
            })
        }
        Event::RequestAbandoned { id } => InputKind::GivenUp(id.0),
        Event::Timer { token } => InputKind::Timer(*token),
        Event::ProbeCompleted { engine, outcome, report } => {
            InputKind::Probed(encode_probe_result(*engine, *outcome, report))
        }
        Event::ZoneWeightsChanged(weights) => InputKind::Zones(pb::Zones { weights: weights.clone() }),
        Event::FleetChanged { gateways, spare_retries } => {
            InputKind::Fleet(pb::Fleet { gateways: *gateways, spare: *spare_retries })
        }
        Event::PeerMessageReceived { from, message } => {
            InputKind::Heard(pb::Heard { from: *from, message: message.clone() })
        }
    }
}

fn encode_endpoint(entry: &EngineEntry) -> pb::Entry {
    pb::Entry {
        engine: entry.engine.0,
        zone: entry.zone,
        kind: entry.kind,
        cell: entry.cell,
        state: encode_value(&ENGINE_STATES, &entry.state),
        since_us: entry.since.map(Timestamp::as_micros),
    }
}

fn encode_arrival(arrival: &Arrival) -> pb::Arrived {
    pb::Arrived {
        id: arrival.id.0,
        class: arrival.class.0 as u32,
        tenant: arrival.tenant as u32,
        tables: arrival.tables,
        time_left_us: arrival.time_left.as_micros(),
        cost: arrival.cost,
        memory_mb: arrival.memory_mb,
        key: arrival.key.clone(),
    }
}

fn encode_progress_note(note: &ProgressNote) -> ProgressNoteKind {
    match note {
        ProgressNote::Progress(fraction) => ProgressNoteKind::Progress(*fraction),
        ProgressNote::Spills(missing_mb) => ProgressNoteKind::Spills(*missing_mb),
        ProgressNote::WaitsForMemory => ProgressNoteKind::WaitsForLoad(false),
        ProgressNote::WaitsForLoad => ProgressNoteKind::WaitsForLoad(true),
    }
}

fn encode_probe_result(engine: EngineId, outcome: Outcome, report: &LoadReport) -> pb::Probed {
    pb::Probed { engine: engine.0, outcome: encode_value(&OUTCOMES, &outcome), report: encode_report(report) }
}

/// Decodes the input of a record.
///
/// # Errors
/// A field is missing or holds an unknown value; the error names the first one.
pub fn decode_input(input: InputKind) -> Result<RecordedInput, DecodeError> {
    let event = match input {
        InputKind::List(list) => decode_endpoint_update(list)?,
        InputKind::Arrived(arrived) => Event::RequestArrived(decode_arrival(arrived)),
        InputKind::Started(id) => Event::ResponseStarted { id: RequestId(id) },
        InputKind::Noted(noted) => Event::ProgressReported {
            id: RequestId(noted.id),
            attempt: noted.attempt,
            note: decode_progress_note(noted.note.ok_or(DecodeError { field: "noted.note" })?),
        },
        InputKind::Ended(ended) => decode_attempt_end(ended)?,
        InputKind::GivenUp(id) => Event::RequestAbandoned { id: RequestId(id) },
        InputKind::Timer(token) => Event::Timer { token },
        InputKind::Probed(probed) => Event::ProbeCompleted {
            engine: EngineId(probed.engine),
            outcome: decode_value(&OUTCOMES, probed.outcome, "probed.outcome")?,
            report: decode_report(probed.report),
        },
        InputKind::Heard(heard) => Event::PeerMessageReceived { from: heard.from, message: heard.message },
        InputKind::Zones(zones) => Event::ZoneWeightsChanged(zones.weights),
        InputKind::Fleet(fleet) => {
            Event::FleetChanged { gateways: fleet.gateways, spare_retries: fleet.spare }
        }
        InputKind::Numbered(pb::Numbered { id, number, freed }) => {
            return Ok(RecordedInput::EngineNumbered { id, number, freed })
        }
    };
    Ok(RecordedInput::Event(event))
}

fn decode_endpoint_update(list: pb::List) -> Result<Event, DecodeError> {
    let entries = list.entries.into_iter().map(decode_endpoint).collect::<Result<_, _>>()?;
    Ok(Event::EndpointsChanged { kind: decode_value(&ENDPOINT_UPDATES, list.kind, "list.kind")?, entries })
}

fn decode_endpoint(entry: pb::Entry) -> Result<EngineEntry, DecodeError> {
    Ok(EngineEntry {
        engine: EngineId(entry.engine),
        zone: entry.zone,
        kind: entry.kind,
        cell: entry.cell,
        state: decode_value(&ENGINE_STATES, entry.state, "entries.state")?,
        since: entry.since_us.map(Timestamp::from_micros),
    })
}

fn decode_arrival(arrived: pb::Arrived) -> Arrival {
    Arrival {
        id: RequestId(arrived.id),
        class: ClassId(arrived.class as usize),
        tenant: arrived.tenant as usize,
        tables: arrived.tables,
        time_left: TimeDelta::from_micros(arrived.time_left_us),
        cost: arrived.cost,
        memory_mb: arrived.memory_mb,
        key: arrived.key,
    }
}

fn decode_progress_note(note: ProgressNoteKind) -> ProgressNote {
    match note {
        ProgressNoteKind::Progress(fraction) => ProgressNote::Progress(fraction),
        ProgressNoteKind::Spills(missing_mb) => ProgressNote::Spills(missing_mb),
        ProgressNoteKind::WaitsForLoad(false) => ProgressNote::WaitsForMemory,
        ProgressNoteKind::WaitsForLoad(true) => ProgressNote::WaitsForLoad,
    }
}

fn decode_attempt_end(ended: pb::Ended) -> Result<Event, DecodeError> {
    let query_cost = ended.work.zip(ended.used_mb).map(|(work, memory_mb)| QueryCost { work, memory_mb });
    Ok(Event::AttemptEnded {
        id: RequestId(ended.id),
        attempt: ended.attempt,
        outcome: decode_value(&OUTCOMES, ended.outcome, "ended.outcome")?,
        latency: TimeDelta::from_micros(ended.latency_us),
        complete: ended.complete,
        query_cost,
        report: decode_report(ended.report),
    })
}
