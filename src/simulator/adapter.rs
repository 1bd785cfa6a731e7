//! Hosts many instances of the policy on the simulator's wire.
//!
//! Instances share nothing. The host reads batches of lines and answers each batch at once; it decides nothing.

use super::codec::{parse_line, print_action, print_batch_end, print_panic, Line, ListedEngine, WireError};
use sprucelink_capture::recorder::Recorder;
use sprucelink_capture::settings::Settings as RecorderSettings;
use sprucelink_policy::{
    Action, EndpointUpdate, EngineEntry, EngineId, Event, LoadReport, Outcome, Policy, Settings, Timestamp,
};
use std::any::Any;
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::PathBuf;

/// Kilobytes that a recorder's queue holds: simulated time runs far faster than the recorder's disk.
const RECORDER_QUEUE_KB: u64 = 65_536;
/// Kilobytes a second that a recorder writes, so high that it is no bound on simulated time.
const RECORDER_RATE_KB_S: u64 = 1_000_000;
/// Megabytes of an instance's capture.
const RECORDER_RING_MB: u64 = 1_000;

/// Why the host stopped.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// A line could not be read.
    #[error("line {line}")]
    Read {
        /// Its number, from 1.
        line: usize,
        /// The operating system's reason.
        source: io::Error,
    },
    /// A line is invalid, or does not fit those before it.
    #[error("line {line}")]
    Line {
        /// Its number, from 1.
        line: usize,
        /// What is wrong with it.
        source: LineError,
    },
    /// A reply could not be written.
    #[error("writing the reply")]
    Write(#[source] io::Error),
}

/// What is wrong with a line.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// It cannot be parsed.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// A list has fewer entries than it announced.
    #[error("field elements counts more ENGINE lines than follow")]
    ListIncomplete,
    /// An entry follows no list that is open.
    #[error("an ENGINE line stands outside any POOL")]
    EntryOutsideList,
    /// A list is named that was never sent.
    #[error("field page names no POOL: {0} in MEMBERS")]
    UnknownList(usize),
}

/// Reads batches until the input ends, and answers each. Every instance is recorded below `capture_dir`, if given.
///
/// # Errors
/// The first line that is invalid, or an input or output that fails.
pub fn run(
    input: impl BufRead,
    mut output: impl Write,
    capture_dir: Option<PathBuf>,
) -> Result<(), AdapterError> {
    let mut host = Host { capture_dir, ..Host::default() };
    for (index, line) in input.lines().enumerate() {
        let number = index + 1;
        let line = line.map_err(|source| AdapterError::Read { line: number, source })?;
        let step = host
            .handle_text(line.trim_end_matches('\r'))
            .map_err(|source| AdapterError::Line { line: number, source })?;
        if step == Step::BatchComplete {
            let reply = host.take_reply();
            output.write_all(reply.as_bytes()).and_then(|()| output.flush()).map_err(AdapterError::Write)?;
        }
    }
    Ok(())
}

/// What a line led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The batch goes on.
    Continue,
    /// The batch is complete: its reply is due.
    BatchComplete,
}

/// One instance of the policy, with the engine names that it has seen, in order of first sight.
struct Instance {
    policy: Policy,
    recorder: Option<Recorder>,
    engine_names: Vec<String>,
    engine_ids: BTreeMap<String, EngineId>,
}

impl Instance {
    fn new(policy: Policy, recorder: Option<Recorder>) -> Instance {
        Instance { policy, recorder, engine_names: Vec::new(), engine_ids: BTreeMap::new() }
    }

    /// The number of an engine; one that is new gets the next.
    fn engine_id(&mut self, name: &str) -> EngineId {
        if let Some(&id) = self.engine_ids.get(name) {
            return id;
        }
        let id = EngineId(self.engine_names.len() as u32);
        self.engine_names.push(name.to_owned());
        self.engine_ids.insert(name.to_owned(), id);
        id
    }

    /// The name of an engine as the wire has it.
    fn engine_name(&self, id: EngineId) -> &str {
        self.engine_names.get(id.0 as usize).map_or("-", String::as_str)
    }

    fn record_event(&mut self, now: Timestamp, event: &Event) {
        if let Some(recorder) = &mut self.recorder {
            let names = &self.engine_names;
            let engines = || names.iter().zip(0..).map(|(name, id)| (name.as_str(), id)).collect();
            recorder.record_event(now, &self.policy, event, engines);
        }
    }

    fn record_actions(&mut self, actions: &[Action]) {
        if let Some(recorder) = &mut self.recorder {
            recorder.record_answer(actions);
        }
    }
}

/// A list of engines that is being received.
#[derive(Clone, Copy)]
struct OpenList {
    list: usize,
    /// Entries that are still to come.
    remaining: usize,
}

#[derive(Default)]
struct Host {
    now: Timestamp,
    /// Number of the present batch.
    batch: String,
    instances: BTreeMap<String, Instance>,
    /// Lists of engines, by number.
    lists: BTreeMap<usize, Vec<ListedEngine>>,
    open_list: Option<OpenList>,
    /// The reply to the present batch so far.
    reply: String,
    capture_dir: Option<PathBuf>,
}

impl Host {
    /// Handles a line; empty and unknown ones are skipped.
    fn handle_text(&mut self, text: &str) -> Result<Step, LineError> {
        if text.is_empty() {
            return Ok(Step::Continue);
        }
        match parse_line(text)? {
            Some(line) => self.handle_line(line),
            None => Ok(Step::Continue),
        }
    }

    fn handle_line(&mut self, line: Line) -> Result<Step, LineError> {
        if self.open_list.is_some() && !matches!(line, Line::ListEntry(_)) {
            return Err(LineError::ListIncomplete);
        }
        match line {
            Line::Clock { now, batch } => {
                self.now = now;
                self.batch = batch;
            }
            Line::Commit => return Ok(Step::BatchComplete),
            Line::ListBegin { list, entries } => {
                self.lists.insert(list, Vec::new());
                self.open_list = (entries > 0).then_some(OpenList { list, remaining: entries });
            }
            Line::ListEntry(engine) => self.add_entry(engine)?,
            Line::Start { instance, seed, settings } => self.start_instance(instance, seed, *settings),
            Line::Stop { instance } => {
                self.instances.remove(&instance);
            }
            Line::Members { instance, kind: EndpointUpdate::Failed, .. } => {
                self.handle_event(
                    &instance,
                    Event::EndpointsChanged { kind: EndpointUpdate::Failed, entries: Vec::new() },
                );
            }
            Line::Members { instance, kind, list } => {
                if let Some(entries) = self.list_for(&instance, list)? {
                    self.handle_event(&instance, Event::EndpointsChanged { kind, entries });
                }
            }
            Line::Probed { instance, engine, outcome, report } => {
                self.handle_probe(&instance, &engine, outcome, report);
            }
            Line::Event { instance, event } => self.handle_event(&instance, event),
        }
        Ok(Step::Continue)
    }

    /// The reply to the batch that is complete.
    fn take_reply(&mut self) -> String {
        print_batch_end(&mut self.reply, &self.batch);
        std::mem::take(&mut self.reply)
    }

    fn add_entry(&mut self, engine: ListedEngine) -> Result<(), LineError> {
        let OpenList { list, remaining } = self.open_list.ok_or(LineError::EntryOutsideList)?;
        self.lists.entry(list).or_default().push(engine);
        self.open_list = (remaining > 1).then_some(OpenList { list, remaining: remaining - 1 });
        Ok(())
    }

    fn start_instance(&mut self, name: String, seed: u64, settings: Settings) {
        let now = self.now;
        match catch_unwind(AssertUnwindSafe(|| Policy::new(settings, seed, now))) {
            Ok(policy) => {
                let recorder = self.start_recorder(&name, seed);
                self.instances.insert(name, Instance::new(policy, recorder));
            }
            Err(cause) => self.reply_panic(&name, cause),
        }
    }

    /// A recorder for an instance that starts now, if there is to be one.
    fn start_recorder(&self, instance: &str, seed: u64) -> Option<Recorder> {
        let folder: String =
            instance.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '_' }).collect();
        let settings = RecorderSettings {
            queue_kb: RECORDER_QUEUE_KB,
            rate_kb_s: RECORDER_RATE_KB_S,
            ring_mb: RECORDER_RING_MB,
            ..RecorderSettings::in_dir(self.capture_dir.as_ref()?.join(folder))
        };
        let recorder = Recorder::start(&settings, seed, self.now);
        recorder.map_err(|e| eprintln!("sprucelink-simhost: not recording {instance}: {e}")).ok()
    }

    /// The entries of a list with an instance's own engine numbers; `None` where there is no such instance.
    fn list_for(&mut self, instance: &str, list: usize) -> Result<Option<Vec<EngineEntry>>, LineError> {
        let list = self.lists.get(&list).ok_or(LineError::UnknownList(list))?;
        let Some(instance) = self.instances.get_mut(instance) else { return Ok(None) };
        let numbered =
            |listed: &ListedEngine| EngineEntry { engine: instance.engine_id(&listed.name), ..listed.entry };
        Ok(Some(list.iter().map(numbered).collect()))
    }

    /// A probe of an engine that the instance has never seen is ignored.
    fn handle_probe(&mut self, instance: &str, engine: &str, outcome: Outcome, report: LoadReport) {
        let known = self.instances.get(instance).and_then(|instance| instance.engine_ids.get(engine));
        if let Some(&engine) = known {
            self.handle_event(instance, Event::ProbeCompleted { engine, outcome, report });
        }
    }

    /// Gives an event to an instance, and adds its actions to the reply.
    fn handle_event(&mut self, name: &str, event: Event) {
        let now = self.now;
        let Some(instance) = self.instances.get_mut(name) else { return };
        instance.record_event(now, &event);
        let mut actions: Vec<Action> = Vec::new();
        let policy = &mut instance.policy;
        match catch_unwind(AssertUnwindSafe(|| policy.handle(now, event, &mut actions))) {
            Ok(()) => {
                instance.record_actions(&actions);
                for action in &actions {
                    print_action(&mut self.reply, name, action, |engine| instance.engine_name(engine));
                }
            }
            Err(cause) => self.reply_panic(name, cause),
        }
    }

    /// Reports to the simulator that an instance's policy panicked.
    fn reply_panic(&mut self, instance: &str, cause: Box<dyn Any + Send>) {
        print_panic(&mut self.reply, instance, &panic_text(cause.as_ref()));
    }
}

/// The message of a panic.
fn panic_text(cause: &(dyn Any + Send)) -> String {
    if let Some(text) = cause.downcast_ref::<&str>() {
        return (*text).to_owned();
    }
    cause.downcast_ref::<String>().cloned().unwrap_or_else(|| "unknown panic".to_owned())
}
