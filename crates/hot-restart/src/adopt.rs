//! What of a file that was read is still of use.

use crate::content::{Handover, Process, BUCKET};
use sprucelink_cordon::CordonRecord;
use sprucelink_time::{TimeDelta, Timestamp};

/// A file from so far ahead of the reader's clock is of a clock that was set back since. What is less comes of
/// the order in which a clock is read and a file written.
pub const CLOCK_SLACK: TimeDelta = TimeDelta::from_micros(1_000_000);

/// Windows of the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spans {
    /// Of the ration of further attempts.
    pub ration: TimeDelta,
    /// Of the budget of cold engines.
    pub cold: TimeDelta,
}

/// How old a file is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Age {
    /// Within a window of the rules.
    Fresh,
    /// Older: bans and ids alone are of use.
    Old,
    /// From the future: the clock was set back since, so what it counted is taken to be as young as it can be.
    Future,
}

/// Work sent to a cold engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdSend {
    /// The engine's id.
    pub engine: String,
    /// When, at the latest.
    pub at: Timestamp,
    /// In milliseconds of one thread.
    pub work_ms: u32,
}

/// What to use of a file. Counts are the process's whole last seconds, not an increase: of one process only the last
/// file counts, and a reader puts it in the place of the one before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Adopted {
    /// Whose file it was.
    pub process: Process,
    /// How old.
    pub age: Age,
    /// For [`sprucelink_cordon::CordonState::merge_records`]: all of them, however old, for a ban holds until the call back; leases
    /// that have ended are seen there.
    pub bans: Vec<CordonRecord>,
    /// For [`sprucelink_cordon::CordonState::merge_known_ids`]: all of them.
    pub ids: Vec<u64>,
    /// Further attempts within the ration's window: when, at the latest, and how many.
    pub further: Vec<(Timestamp, u32)>,
    /// Requests taken within it: when, at the earliest, and how many. None of a file from the future: they widen the
    /// ration, and nothing is known of when they came.
    pub taken: Vec<(Timestamp, u32)>,
    /// Sends to cold engines within their window.
    pub cold: Vec<ColdSend>,
}

/// What to use of a file at `now`. Whatever is not known exactly is taken as the rules have it worst: what spends a
/// budget as late as it can have been, what widens one as early.
pub fn adopt(now: Timestamp, spans: Spans, read: Handover) -> Adopted {
    let ahead = (read.written_at - now).max(TimeDelta::ZERO);
    let longest = spans.ration.max(spans.cold);
    let age = match ahead {
        ahead if ahead > CLOCK_SLACK => Age::Future,
        _ if now - read.written_at > longest => Age::Old,
        _ => Age::Fresh,
    };
    let latest = |at: Timestamp| (at - ahead + BUCKET).min(now);
    let content = read.content;
    let further = content.ration.iter().map(|b| (latest(b.at), b.further));
    let taken = content.ration.iter().map(|b| (b.at, b.taken)).filter(|_| age != Age::Future);
    let within = |at: Timestamp, span: TimeDelta| at > now - span;
    let cold = content.cold.iter().flat_map(|sends| {
        let send = |at, work_ms| ColdSend { engine: sends.engine.clone(), at, work_ms };
        sends.buckets.iter().map(move |b| send(latest(b.at), b.work_ms))
    });
    Adopted {
        process: read.process,
        age,
        further: further.filter(|(at, n)| *n > 0 && within(*at, spans.ration)).collect(),
        taken: taken.filter(|(at, n)| *n > 0 && *at <= now && within(*at, spans.ration)).collect(),
        cold: cold.filter(|s| s.work_ms > 0 && within(s.at, spans.cold)).collect(),
        bans: content.bans,
        ids: content.ids,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::content::{ColdBucket, ColdSends, Content, Instance, Phase, RationBucket};

    const S: i64 = 1_000_000;
    const SPANS: Spans = Spans { ration: TimeDelta::from_micros(5 * S), cold: TimeDelta::from_micros(2 * S) };
    const WRITTEN: Timestamp = Timestamp::from_micros(100 * S);

    fn file() -> Handover {
        let at = |s: f64| Timestamp::from_micros(WRITTEN.as_micros() - (s * S as f64) as i64);
        let ration = [4.0, 1.5, 0.25].map(|s| RationBucket { at: at(s), further: 2, taken: 30 });
        let buckets = [1.5, 0.25].map(|s| ColdBucket { at: at(s), work_ms: 400 }).to_vec();
        Handover {
            instance: Instance { name: "n".into(), listen: "l".into() },
            process: Process { generation: 1, started: Timestamp::ZERO, pid: 1 },
            build: String::new(),
            written_at: WRITTEN,
            seq: 1,
            phase: Phase::Leaving,
            phase_since: WRITTEN,
            room_for: Vec::new(),
            content: Content {
                ids: vec![1, 2, 3],
                ration: ration.to_vec(),
                cold: vec![ColdSends { engine: "e".into(), buckets }],
                ..Content::default()
            },
        }
    }

    fn used(now: Timestamp) -> (Age, usize, usize, usize) {
        let a = adopt(now, SPANS, file());
        assert_eq!(a.ids, [1, 2, 3], "ids are of use at any age");
        assert!(a.further.iter().chain(&a.taken).all(|(at, _)| *at <= now));
        assert!(a.cold.iter().all(|s| s.at <= now));
        (a.age, a.further.len(), a.taken.len(), a.cold.len())
    }

    #[test]
    fn counts_leave_with_their_windows() {
        let after = |s: f64| Timestamp::from_micros(WRITTEN.as_micros() + (s * S as f64) as i64);
        assert_eq!(used(after(0.0)), (Age::Fresh, 3, 3, 2));
        // A bucket of 4 s ago may hold an attempt of 3.75 s ago; what was taken may be 4 s old.
        assert_eq!(used(after(1.1)), (Age::Fresh, 3, 2, 1));
        assert_eq!(used(after(1.3)), (Age::Fresh, 2, 2, 1));
        assert_eq!(used(after(4.9)), (Age::Fresh, 1, 0, 0));
        assert_eq!(used(after(5.1)), (Age::Old, 0, 0, 0));
        assert_eq!(used(after(1e6)), (Age::Old, 0, 0, 0));
    }

    #[test]
    fn a_file_from_the_future_spends_and_widens_nothing() {
        let before = |s: f64| Timestamp::from_micros(WRITTEN.as_micros() - (s * S as f64) as i64);
        assert_eq!(
            used(before(0.5)),
            (Age::Fresh, 3, 2, 2),
            "a step of a moment: what lies ahead widens nothing"
        );
        assert_eq!(used(before(3_600.0)), (Age::Future, 3, 0, 2));
    }
}
