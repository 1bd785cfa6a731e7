//! The sub-commands that read captures: replay, explain, show, cut, verify. Each gives its exit status.

use super::cli::{Asked, CutOut, Replay, When};
use serde_json::{json, Value};
use sprucelink_capture::cut::{self, Cut};
use sprucelink_capture::explain::{explain, Line, Question};
use sprucelink_capture::reader::{self, End, Segment};
use sprucelink_capture::replay::{self, told_kind, Divergence, Outcome, Play};
use sprucelink_capture::rules::Checker;
use sprucelink_policy::Policy;
use sprucelink_policy::{TimeDelta, Timestamp};
use sprucelink_query_fingerprint::cache::Bounds;
use sprucelink_query_fingerprint::known::Shapes;
use std::collections::BTreeMap;
use std::io::Write;
use std::path::{Path, PathBuf};

/// A capture that was read whole.
struct Capture {
    segments: Vec<Segment>,
    damage: Vec<(PathBuf, usize, String)>,
}

impl Capture {
    /// Reads a file or a folder of them. What is damaged is named on standard error, and so is a file that is
    /// cut off before its first checkpoint; an error says that nothing can be used.
    fn read(path: &Path) -> Result<Capture, String> {
        let mut all = Capture { segments: Vec::new(), damage: Vec::new() };
        let (files, mut last) = (reader::files(path)?, None);
        for file in &files {
            match reader::read(file) {
                Ok(contents) => {
                    all.segments.extend(contents.segments);
                    all.damage.extend(contents.damage.into_iter().map(|(at, why)| (file.clone(), at, why)));
                }
                Err(why) => {
                    if files.len() > 1 {
                        eprintln!("sprucelink: passed over: {why}");
                    }
                    last = Some(why);
                }
            }
        }
        for (file, at, why) in &all.damage {
            eprintln!("sprucelink: {}: damaged at byte {at}: {why}", file.display());
        }
        for s in &all.segments {
            if let End::Cut { within } = s.end {
                let place = if within { "inside a frame" } else { "behind a whole frame" };
                let n = s.records.len();
                eprintln!(
                    "sprucelink: {}: segment {} is cut off {place}: {n} whole records are used",
                    s.file.display(),
                    s.head.segment
                );
            }
        }
        if all.segments.is_empty() {
            return Err(last.unwrap_or_else(|| "no segment can be used".into()));
        }
        Ok(all)
    }

    fn start(&self) -> Timestamp {
        self.segments.first().map_or(Timestamp::ZERO, |s| s.at)
    }
}

fn stamp(at: Timestamp) -> String {
    format!("{}.{:06}", at.as_micros().div_euclid(1_000_000), at.as_micros().rem_euclid(1_000_000))
}

/// Prints to standard output; where nobody reads any more there is nothing left to say.
fn say(text: &str) {
    let _ = writeln!(std::io::stdout().lock(), "{text}");
}

/// Changes settings by path, through their JSON form, so that names and types are checked.
fn change(pairs: &[(String, String)], module: &mut Policy) -> Result<(), String> {
    if pairs.is_empty() {
        return Ok(());
    }
    let mut json = serde_json::to_value(module.settings()).map_err(|e| e.to_string())?;
    for (path, value) in pairs {
        let mut place = &mut json;
        for part in path.split('.') {
            let next = match place {
                Value::Object(map) => map.get_mut(part),
                Value::Array(list) => part.parse().ok().and_then(|i: usize| list.get_mut(i)),
                _ => None,
            };
            place = next.ok_or_else(|| format!("--set: {path}: no setting {part:?} there"))?;
        }
        *place = serde_json::from_str(value).unwrap_or_else(|_| Value::String(value.clone()));
    }
    let set = serde_json::from_value(json).map_err(|e| format!("--set: {e}"))?;
    let taken = module.set_up_anew(set);
    taken.then_some(()).ok_or_else(|| "--set: classes and tenants stay as many as they are".into())
}

/// `sprucelink replay`.
pub fn replay(ask: &Replay) -> Result<i32, String> {
    let capture = Capture::read(&ask.file)?;
    let start = capture.start();
    let (from, until) = (ask.from.map(|w| w.at(start)), ask.until.map(|w| w.at(start)));
    let wanted = |s: &&Segment| from.is_none_or(|t| s.until() >= t) && until.is_none_or(|t| s.at <= t);
    let segments: Vec<&Segment> = capture.segments.iter().filter(wanted).collect();
    if segments.is_empty() {
        return Err("no segment lies in that span".into());
    }
    let changes = |m: &mut Policy| change(&ask.set, m);
    let play = Play { treatment: ask.treatment, until, explain: false, change: &changes };
    let mut total = Outcome::default();
    let (mut first, mut parted, mut span) = (None::<(u64, Divergence)>, 0, TimeDelta::ZERO);
    let began = std::time::Instant::now();
    let mut digests = Vec::new();
    for time in 0..ask.times {
        let mut digest = 0_u64;
        for s in &segments {
            let seen = replay::segment(s, &play, &mut |_| {})?;
            digest = digest.rotate_left(7) ^ seen.digest;
            if time == 0 {
                span = span + (s.until() - s.at);
                total.events += seen.events;
                total.differ += seen.differ;
                parted += usize::from(seen.differ > 0);
                for (kind, n) in seen.by_kind {
                    *total.by_kind.entry(kind).or_default() += n;
                }
                if let (None, Some(d)) = (&first, seen.first) {
                    first = Some((s.head.segment, d));
                }
                if let (None, Some(p)) = (&total.panicked, seen.panicked) {
                    total.panicked = Some(p);
                }
            }
        }
        digests.push(digest);
    }
    let took = began.elapsed().as_secs_f64() / f64::from(ask.times);
    let alike = digests.iter().all(|d| *d == digests[0]);
    let same = total.differ == 0 && alike && total.panicked.is_none();
    let differs = if first.is_some() { segments[0].differs() } else { Vec::new() };
    if ask.json {
        say(&json!({
            "same": same, "segments": segments.len(), "events": total.events, "differ": total.differ,
            "segments_differ": parted, "by_kind": total.by_kind, "first": first.as_ref().map(|f| &f.1),
            "digest": format!("{:016x}", digests[0]), "times": ask.times, "alike": alike,
            "panicked": total.panicked.as_ref().map(|p| &p.1), "treatment": ask.treatment,
            "span_s": span.as_secs_f64(), "took_s": took, "other_build": differs,
        })
        .to_string());
        return Ok(i32::from(!same));
    }
    say(&format!(
        "{} events in {} segments over {:.3} s, replayed {} times at {:.0} times real time; answers {:016x}",
        total.events,
        segments.len(),
        span.as_secs_f64(),
        ask.times,
        span.as_secs_f64() / took.max(1e-9),
        digests[0]
    ));
    if let Some((segment, d)) = &first {
        say(&format!(
            "diverged in segment {segment} at record {}, {}:\n  event    {}\n  expected {}\n  got      {}",
            d.record,
            stamp(Timestamp::from_micros(d.at_us)),
            d.event,
            d.expected,
            d.got
        ));
        differs.iter().for_each(|why| say(&format!("  {why}")));
        if ask.against {
            let by: Vec<String> = total.by_kind.iter().map(|(k, n)| format!("{k} {n}")).collect();
            let share = 100.0 * total.differ as f64 / total.events.max(1) as f64;
            say(&format!(
                "{} of {} answers differ ({share:.2}%), in {parted} of {} segments; by kind: {}",
                total.differ,
                total.events,
                segments.len(),
                by.join(", ")
            ));
        }
    }
    if let Some((record, why)) = &total.panicked {
        say(&format!("the module panicked at record {record}: {why}"));
    }
    if !alike {
        say("the replays differ among themselves");
    }
    if same {
        say("the same");
    }
    Ok(i32::from(!same))
}

/// `sprucelink explain`.
pub fn explain_why(file: &Path, asked: &Asked, as_json: bool) -> Result<i32, String> {
    let capture = Capture::read(file)?;
    let question = match asked {
        Asked::Of(question) => question.clone(),
        Asked::At(when) => Question::At(When::at(*when, capture.start())),
    };
    let mut print = |line: Line| {
        if as_json {
            say(&json!({"at_us": line.at_us, "text": line.text, "data": line.data}).to_string());
        } else {
            say(&format!("{} {}", stamp(Timestamp::from_micros(line.at_us)), line.text));
        }
    };
    match explain(&capture.segments, &question, &mut print)? {
        0 => Err("the capture tells nothing of that".into()),
        _ => Ok(0),
    }
}

/// `sprucelink capture show`.
pub fn show(file: &Path, as_json: bool) -> Result<i32, String> {
    let capture = Capture::read(file)?;
    let mut all = Vec::new();
    for s in &capture.segments {
        let mut kinds: BTreeMap<&str, usize> = BTreeMap::new();
        s.records.iter().for_each(|r| *kinds.entry(told_kind(&r.told)).or_default() += 1);
        let (end, lost) = match &s.end {
            End::Closed { lost } => ("closed".to_owned(), *lost),
            End::Cut { within: true } => ("cut off inside a frame".to_owned(), 0),
            End::Cut { within: false } => ("open, or cut off behind a frame".to_owned(), 0),
            End::Damaged { offset, why } => (format!("damaged at byte {offset}: {why}"), 0),
        };
        if as_json {
            all.push(json!({
                "file": s.file, "offset": s.offset, "segment": s.head.segment, "format": s.head.format,
                "build": s.head.build, "module": format!("{:08x}", s.head.module), "from_us": s.at.as_micros(),
                "until_us": s.until().as_micros(), "records": s.records.len(), "events": kinds, "engines": s.engines.len(),
                "state_bytes": s.state.len(), "lost_before": s.head.lost_before, "lost_after": lost, "end": end,
                "holds": s.head.holds, "note": s.head.note, "other_build": s.differs(),
            }));
            continue;
        }
        if s.head.lost_before > 0 {
            say(&format!("gap: {} events lost", s.head.lost_before));
        }
        let by: Vec<String> = kinds.iter().map(|(k, n)| format!("{k} {n}")).collect();
        say(&format!(
            "{} segment {} at byte {}: {} to {} ({:.3} s), {} records ({}), checkpoint {} bytes, {} engines, {end}",
            s.file.display(),
            s.head.segment,
            s.offset,
            stamp(s.at),
            stamp(s.until()),
            (s.until() - s.at).as_secs_f64(),
            s.records.len(),
            by.join(", "),
            s.state.len(),
            s.engines.len(),
        ));
        say(&format!("  by {}, module {:08x}, format {}", s.head.build, s.head.module, s.head.format));
        s.differs().iter().for_each(|why| say(&format!("  {why}")));
        if !s.head.note.is_empty() {
            say(&format!("  case: {}", s.head.note));
        }
        s.head.holds.iter().for_each(|rule| say(&format!("  must hold: {rule}")));
    }
    if as_json {
        let damage: Vec<Value> = capture
            .damage
            .iter()
            .map(|(file, at, why)| json!({"file": file, "offset": at, "why": why}))
            .collect();
        say(&json!({"segments": all, "damage": damage}).to_string());
    }
    Ok(0)
}

/// `sprucelink capture cut`.
pub fn cut_out(ask: &CutOut) -> Result<i32, String> {
    let capture = Capture::read(&ask.file)?;
    let around = ask.around.at(capture.start());
    let holds = if ask.holds.is_empty() { Checker::service() } else { ask.holds.clone() };
    let (before, after) = (TimeDelta::from_secs_f64(ask.before), TimeDelta::from_secs_f64(ask.after));
    let case = cut::cut(&capture.segments, &Cut { around, before, after, holds, note: ask.note.clone() })?;
    let bytes = reader::write(&case)?;
    if let Some(dir) = ask.out.parent() {
        std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    }
    std::fs::write(&ask.out, &bytes).map_err(|e| format!("{}: {e}", ask.out.display()))?;
    say(&format!(
        "{}: {} bytes, {} records from {} to {}",
        ask.out.display(),
        bytes.len(),
        case.records.len(),
        stamp(case.at),
        stamp(case.until())
    ));
    report(&ask.out, &cut::check(&case)?, false);
    Ok(0)
}

fn report(file: &Path, breaches: &[sprucelink_capture::rules::Breach], as_json: bool) {
    if as_json {
        say(&json!({"case": file, "holds": breaches.is_empty(), "breaches": breaches}).to_string());
        return;
    }
    say(&format!("{}: {}", file.display(), if breaches.is_empty() { "holds" } else { "broken" }));
    for b in breaches {
        say(&format!("  {} {}: {}", stamp(Timestamp::from_micros(b.at_us)), b.rule, b.why));
    }
}

/// `sprucelink capture verify`.
pub fn verify(files: &[PathBuf], as_json: bool) -> Result<i32, String> {
    let mut broken = false;
    for path in files {
        for file in reader::files(path)? {
            let contents = reader::read(&file)?;
            if let Some((at, why)) = contents.damage.first() {
                return Err(format!("{}: damaged at byte {at}: {why}", file.display()));
            }
            for case in &contents.segments {
                let breaches = cut::check(case).map_err(|e| format!("{}: {e}", file.display()))?;
                broken |= !breaches.is_empty();
                report(&file, &breaches, as_json);
            }
        }
    }
    Ok(i32::from(broken))
}

/// `sprucelink shapes explain`.
pub fn shape(statement: &str, as_json: bool) {
    let shape = Shapes::new(Bounds { entries: 1, bytes: usize::MAX }).shape(statement);
    if as_json {
        return say(&json!(*shape).to_string());
    }
    let f = &shape.facts;
    let list = |names: &[String]| if names.is_empty() { "none".to_owned() } else { names.join(", ") };
    let marks = [
        (f.may_write, "may write"),
        (f.load, "may load"),
        (f.locks, "locks"),
        (f.aggregates, "aggregates"),
        (f.sorts, "sorts"),
        (f.limit, "limits its rows"),
    ];
    let marks: Vec<String> = marks.iter().filter(|m| m.0).map(|m| m.1.to_owned()).collect();
    say(&format!("fingerprint  {}", shape.fingerprint));
    say(&format!("normal form  {}", shape.text));
    say(&format!(
        "kind         {:?}{}",
        f.kind,
        if f.whole { "" } else { ", not read whole: what follows is certain, and there may be more" }
    ));
    say(&format!("reads        {}", list(&f.reads)));
    say(&format!("writes       {}", list(&f.writes)));
    say(&format!("data sets    {:?}", f.data_sets));
    say(&format!("calls        {}", list(&f.calls)));
    say(&format!("joins        {}", f.joins));
    say(&format!("it           {}", list(&marks)));
}

/// The recorder's settings that a start names: `None` where nothing is to be recorded.
pub fn recorder(
    dir: Option<&str>,
    file: Option<&str>,
) -> Result<Option<sprucelink_capture::settings::Settings>, String> {
    use sprucelink_capture::settings::Settings;
    let Some(file) = file else { return Ok(dir.map(Settings::in_dir)) };
    let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
    let mut set = Settings::parse(&text).map_err(|e| format!("{file}: {e}"))?;
    if let Some(dir) = dir {
        set.dir = dir.into();
    }
    Ok(Some(set))
}

/// `sprucelink fleet members`.
///
/// # Errors
/// Where nobody answers.
pub fn members(at: std::net::SocketAddr, as_json: bool) -> Result<(), String> {
    let all = sprucelink_membership::query_members(at).map_err(|e| format!("{at}: {e}"))?;
    if !as_json {
        println!(
            "{:<20} {:<8} {:<22} {:<10} {:<10} {:>14} {:>5}",
            "member", "state", "address", "zone", "region", "life", "inc"
        );
    }
    for m in all {
        let state = format!("{:?}", m.state).to_lowercase();
        if as_json {
            let (name, address, zone, region) = (m.name, m.address.to_string(), m.zone, m.region);
            let (life, incarnation) = (m.generation, m.incarnation);
            println!(
                "{}",
                serde_json::json!({"member": name, "state": state, "address": address, "zone": zone,
                    "region": region, "life": life, "incarnation": incarnation})
            );
        } else {
            let address = m.address.to_string();
            println!(
                "{:<20} {state:<8} {address:<22} {:<10} {:<10} {:>14} {:>5}",
                m.name, m.zone, m.region, m.generation, m.incarnation
            );
        }
    }
    Ok(())
}
