//! The drill adapter: hosts many instances of the decision module on the drill wire.
//!
//! Instances share nothing. It reads batches on standard input and answers each on standard
//! output; it decides nothing. With `--capture DIR` it records each instance's module into a folder of its own
//! below DIR.

use sprucelink::simulator::codec::{parse_line, print_action, Line, PoolEntry, WireError};
use sprucelink_capture::recorder::Recorder;
use sprucelink_capture::settings::Settings as Capture;
use sprucelink_policy::Policy;
use sprucelink_policy::{Action, EngineId, Event, ListKind, Timestamp};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::PathBuf;

/// One instance, with the engine names it has seen, in order of first sight.
struct Instance {
    brain: Policy,
    recorder: Option<Recorder>,
    names: Vec<String>,
    numbers: BTreeMap<String, EngineId>,
}

impl Instance {
    fn number(&mut self, name: &str) -> EngineId {
        if let Some(&n) = self.numbers.get(name) {
            return n;
        }
        let n = EngineId(self.names.len() as u32);
        self.names.push(name.to_owned());
        self.numbers.insert(name.to_owned(), n);
        n
    }
}

fn panic_text(cause: Box<dyn std::any::Any + Send>) -> String {
    let text = cause.downcast_ref::<&str>().map(|s| (*s).to_owned());
    text.or_else(|| cause.downcast_ref::<String>().cloned()).unwrap_or_else(|| "unknown panic".into())
}

#[derive(Default)]
struct Host {
    now: Timestamp,
    batch: String,
    instances: BTreeMap<String, Instance>,
    pools: BTreeMap<usize, Vec<PoolEntry>>,
    filling: Option<(usize, usize)>,
    reply: String,
    capture: Option<PathBuf>,
}

/// Simulated time runs a hundred times as fast as the writer's, so the rate is no bound here and the queue is large.
const QUEUE_KB: u64 = 65_536;
const RATE_KB_S: u64 = 1_000_000;

impl Host {
    /// A recorder for an instance that starts now, if there is to be one.
    fn recorder(&self, who: &str, seed: u64) -> Option<Recorder> {
        let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '_' };
        let dir = self.capture.as_ref()?.join(who.chars().map(plain).collect::<String>());
        let set =
            Capture { queue_kb: QUEUE_KB, rate_kb_s: RATE_KB_S, ring_mb: 1_000, ..Capture::in_dir(dir) };
        let recorder = Recorder::start(&set, seed, self.now);
        recorder.map_err(|e| eprintln!("sprucelink-simhost: not recording {who}: {e}")).ok()
    }

    /// Gives one event to an instance and prints what it wants done.
    fn give(&mut self, who: &str, event: Event) {
        let Some(inst) = self.instances.get_mut(who) else { return };
        let mut actions: Vec<Action> = Vec::new();
        if let Some(r) = &mut inst.recorder {
            let names = &inst.names;
            let engines = || names.iter().zip(0..).map(|(name, n)| (name.as_str(), n)).collect();
            r.asked(self.now, &inst.brain, &event, engines);
        }
        let (now, brain) = (self.now, &mut inst.brain);
        match catch_unwind(AssertUnwindSafe(|| brain.handle(now, event, &mut actions))) {
            Ok(()) => {
                if let Some(r) = &mut inst.recorder {
                    r.answered(&actions);
                }
                let names = &inst.names;
                for action in &actions {
                    print_action(&mut self.reply, who, action, |e| {
                        names.get(e.0 as usize).map_or("-", String::as_str)
                    });
                }
            }
            Err(cause) => self.give_in(who, cause),
        }
    }

    fn give_in(&mut self, who: &str, cause: Box<dyn std::any::Any + Send>) {
        let text = panic_text(cause).replace(['\n', '\t'], " ");
        self.reply.push_str(&format!("GIVE_IN\t{who}\t{text}\n"));
    }

    /// Takes one line; true at the end of a batch.
    fn take(&mut self, line: Line) -> Result<bool, WireError> {
        if self.filling.is_some() && !matches!(line, Line::Entry(_)) {
            return Err(WireError("field elements counts more ENGINE lines than follow".into()));
        }
        match line {
            Line::Clock(now, batch) => {
                self.now = now;
                self.batch = batch;
            }
            Line::Commit => return Ok(true),
            Line::Pool(page, count) => {
                self.pools.insert(page, Vec::new());
                self.filling = (count > 0).then_some((page, count));
            }
            Line::Entry(entry) => {
                let Some((page, left)) = self.filling else {
                    return Err(WireError("an ENGINE line stands outside any POOL".into()));
                };
                self.pools.entry(page).or_default().push(entry);
                self.filling = (left > 1).then_some((page, left - 1));
            }
            Line::Init(who, seed, settings) => {
                let now = self.now;
                match catch_unwind(AssertUnwindSafe(|| Policy::new(*settings, seed, now))) {
                    Ok(brain) => {
                        let recorder = self.recorder(&who, seed);
                        let inst = Instance { brain, recorder, names: Vec::new(), numbers: BTreeMap::new() };
                        self.instances.insert(who, inst);
                    }
                    Err(cause) => self.give_in(&who, cause),
                }
            }
            Line::Halt(who) => {
                self.instances.remove(&who);
            }
            Line::Members(who, kind, page) => {
                let mut entries = Vec::new();
                if kind != ListKind::Failed {
                    let pool = self.pools.get(&page).cloned();
                    let pool = pool
                        .ok_or_else(|| WireError(format!("field page names no POOL: {page} in MEMBERS")))?;
                    let Some(inst) = self.instances.get_mut(&who) else { return Ok(false) };
                    for listed in pool {
                        let mut entry = listed.entry;
                        entry.engine = inst.number(&listed.name);
                        entries.push(entry);
                    }
                }
                self.give(&who, Event::List { kind, entries });
            }
            Line::Probed(who, engine, outcome, report) => {
                let known = self.instances.get(&who).and_then(|i| i.numbers.get(&engine)).copied();
                if let Some(engine) = known {
                    self.give(&who, Event::Probed { engine, outcome, report });
                }
            }
            Line::Event(who, event) => self.give(&who, event),
        }
        Ok(false)
    }
}

/// The arguments: `--capture DIR`, or none.
fn capture() -> Result<Option<PathBuf>, lexopt::Error> {
    let (mut parser, mut dir) = (lexopt::Parser::from_env(), None);
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Long("capture") => dir = Some(parser.value()?.into()),
            other => return Err(other.unexpected()),
        }
    }
    Ok(dir)
}

fn run() -> Result<(), String> {
    let capture = capture().map_err(|e| e.to_string())?;
    let mut host = Host { capture, ..Host::default() };
    let mut out = io::stdout().lock();
    for (i, line) in io::stdin().lock().lines().enumerate() {
        let line = line.map_err(|e| format!("line {}: {e}", i + 1))?;
        let line = line.trim_end_matches('\r');
        if line.is_empty() {
            continue;
        }
        let parsed = parse_line(line).map_err(|e| format!("line {}: {e}", i + 1))?;
        let Some(parsed) = parsed else { continue };
        if host.take(parsed).map_err(|e| format!("line {}: {e}", i + 1))? {
            host.reply.push_str(&format!("EOR\t{}\n", host.batch));
            let written = out.write_all(host.reply.as_bytes()).and_then(|()| out.flush());
            written.map_err(|e| format!("writing the reply: {e}"))?;
            host.reply.clear();
        }
    }
    Ok(())
}

fn main() {
    std::panic::set_hook(Box::new(|info| eprintln!("sprucelink-simhost: {info}")));
    if let Err(why) = run() {
        eprintln!("sprucelink-simhost: {why}");
        std::process::exit(2);
    }
}
