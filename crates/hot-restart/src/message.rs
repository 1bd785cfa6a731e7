//! The content as protocol buffers (proto3 encoding, by prost). A field is never given another meaning or another
//! tag; new ones are added with new tags, which older builds pass over. What an older build would misread needs a new
//! [`crate::FORMAT`].

use crate::content::{
    ColdBucket, ColdSends, Content, Handover, Instance, Phase, Process, RationBucket, BUCKETS_MOST,
    COLD_MOST, NAME_MOST, ROOM_MOST,
};
use sprucelink_cordon::{Cause, CordonEntry, CordonRecord, Target};
use sprucelink_time::Timestamp;

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct File {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(string, tag = "2")]
    listen: String,
    #[prost(message, optional, tag = "3")]
    process: Option<ProcessMessage>,
    #[prost(string, tag = "4")]
    build: String,
    #[prost(int64, tag = "5")]
    written_at: i64,
    #[prost(uint64, tag = "6")]
    seq: u64,
    #[prost(uint32, tag = "7")]
    phase: u32,
    #[prost(int64, tag = "8")]
    phase_since: i64,
    #[prost(message, repeated, tag = "9")]
    room_for: Vec<ProcessMessage>,
    #[prost(message, repeated, tag = "10")]
    bans: Vec<BanMessage>,
    #[prost(fixed64, repeated, tag = "11")]
    pub(crate) ids: Vec<u64>,
    #[prost(message, repeated, tag = "12")]
    ration: Vec<RationMessage>,
    #[prost(message, repeated, tag = "13")]
    cold: Vec<ColdMessage>,
    #[prost(uint64, tag = "14")]
    last_event: u64,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct ProcessMessage {
    #[prost(uint64, tag = "1")]
    generation: u64,
    #[prost(int64, tag = "2")]
    started: i64,
    #[prost(uint32, tag = "3")]
    pid: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct BanMessage {
    /// Absent: this manager.
    #[prost(string, optional, tag = "1")]
    engine: Option<String>,
    /// Absent: the operator.
    #[prost(uint64, optional, tag = "2")]
    permit: Option<u64>,
    #[prost(uint64, tag = "3")]
    version: u64,
    #[prost(bool, tag = "4")]
    out: bool,
    #[prost(int64, optional, tag = "5")]
    until: Option<i64>,
    #[prost(int64, tag = "6")]
    at: i64,
    #[prost(string, tag = "7")]
    why: String,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct RationMessage {
    #[prost(int64, tag = "1")]
    at: i64,
    #[prost(uint32, tag = "2")]
    further: u32,
    #[prost(uint32, tag = "3")]
    taken: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct ColdMessage {
    #[prost(string, tag = "1")]
    engine: String,
    #[prost(int64, repeated, tag = "2")]
    at: Vec<i64>,
    #[prost(uint32, repeated, tag = "3")]
    work_ms: Vec<u32>,
}

/// Phases by number; numbers are part of the format.
const PHASES: [Phase; 6] =
    [Phase::Starting, Phase::Ready, Phase::Serving, Phase::Accompanied, Phase::Leaving, Phase::Gone];

impl From<Process> for ProcessMessage {
    fn from(p: Process) -> ProcessMessage {
        ProcessMessage { generation: p.generation, started: p.started.as_micros(), pid: p.pid }
    }
}

impl From<ProcessMessage> for Process {
    fn from(p: ProcessMessage) -> Process {
        Process { generation: p.generation, started: Timestamp::from_micros(p.started), pid: p.pid }
    }
}

impl From<&CordonRecord> for BanMessage {
    fn from(ban: &CordonRecord) -> BanMessage {
        BanMessage {
            engine: match &ban.target {
                Target::Manager => None,
                Target::Engine(id) => Some(id.clone()),
            },
            permit: match ban.cause {
                Cause::Operator => None,
                Cause::Fleet { permit } => Some(permit),
            },
            version: ban.entry.version,
            out: ban.entry.cordoned,
            until: ban.entry.lease_expires_at.map(|t| t.as_micros()),
            at: ban.entry.changed_at.as_micros(),
            why: ban.entry.reason.clone(),
        }
    }
}

impl From<BanMessage> for CordonRecord {
    fn from(ban: BanMessage) -> CordonRecord {
        CordonRecord {
            target: ban.engine.map_or(Target::Manager, Target::Engine),
            cause: ban.permit.map_or(Cause::Operator, |permit| Cause::Fleet { permit }),
            entry: CordonEntry {
                version: ban.version,
                cordoned: ban.out,
                lease_expires_at: ban.until.map(Timestamp::from_micros),
                changed_at: Timestamp::from_micros(ban.at),
                reason: ban.why,
            },
        }
    }
}

impl From<&Handover> for File {
    fn from(h: &Handover) -> File {
        let c = &h.content;
        let ration = c.ration.iter().map(|b| RationMessage {
            at: b.at.as_micros(),
            further: b.further,
            taken: b.taken,
        });
        let cold = c.cold.iter().map(|sends| ColdMessage {
            engine: sends.engine.clone(),
            at: sends.buckets.iter().map(|b| b.at.as_micros()).collect(),
            work_ms: sends.buckets.iter().map(|b| b.work_ms).collect(),
        });
        File {
            name: h.instance.name.clone(),
            listen: h.instance.listen.clone(),
            process: Some(h.process.into()),
            build: h.build.clone(),
            written_at: h.written_at.as_micros(),
            seq: h.seq,
            phase: PHASES.iter().position(|p| *p == h.phase).unwrap_or(0) as u32,
            phase_since: h.phase_since.as_micros(),
            room_for: h.room_for.iter().copied().map(ProcessMessage::from).collect(),
            bans: c.bans.iter().map(BanMessage::from).collect(),
            ids: c.ids.clone(),
            ration: ration.collect(),
            cold: cold.collect(),
            last_event: c.last_event,
        }
    }
}

/// Guards what reads the content against figures that no process of this format writes.
fn must(holds: bool, rule: &'static str) -> Result<(), String> {
    if holds {
        Ok(())
    } else {
        Err(rule.to_owned())
    }
}

impl TryFrom<File> for Handover {
    type Error = String;

    fn try_from(f: File) -> Result<Handover, String> {
        must(f.name.len() <= NAME_MOST, "name: at most 256 bytes")?;
        must(f.listen.len() <= NAME_MOST, "listen: at most 256 bytes")?;
        must(f.build.len() <= NAME_MOST, "build: at most 256 bytes")?;
        must(f.ration.len() <= BUCKETS_MOST, "ration: at most 64 buckets")?;
        must(f.room_for.len() <= ROOM_MOST, "room_for: at most 15 processes")?;
        must(f.cold.len() <= COLD_MOST, "cold: at most 64 engines")?;
        let process = f.process.ok_or("process: missing")?;
        let phase = PHASES.get(f.phase as usize).ok_or("phase: not known")?;
        let bans: Vec<CordonRecord> = f.bans.into_iter().map(CordonRecord::from).collect();
        for (i, ban) in bans.iter().enumerate() {
            ban.validate().map_err(|rule| format!("bans.{i}.{rule}"))?;
        }
        let mut cold = Vec::with_capacity(f.cold.len());
        for sends in f.cold {
            must(sends.engine.len() <= NAME_MOST, "cold.engine: at most 256 bytes")?;
            must(sends.at.len() <= BUCKETS_MOST, "cold.at: at most 64 buckets")?;
            must(sends.at.len() == sends.work_ms.len(), "cold: as many times as works")?;
            let buckets = sends.at.iter().zip(&sends.work_ms);
            let buckets = buckets
                .map(|(at, work_ms)| ColdBucket { at: Timestamp::from_micros(*at), work_ms: *work_ms });
            cold.push(ColdSends { buckets: buckets.collect(), engine: sends.engine });
        }
        let ration = f.ration.iter();
        let ration = ration
            .map(|b| RationBucket { at: Timestamp::from_micros(b.at), further: b.further, taken: b.taken })
            .collect();
        Ok(Handover {
            instance: Instance { name: f.name, listen: f.listen },
            process: process.into(),
            build: f.build,
            written_at: Timestamp::from_micros(f.written_at),
            seq: f.seq,
            phase: *phase,
            phase_since: Timestamp::from_micros(f.phase_since),
            room_for: f.room_for.into_iter().map(Process::from).collect(),
            content: Content { bans, ids: f.ids, ration, cold, last_event: f.last_event },
        })
    }
}
