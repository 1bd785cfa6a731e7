//! Hosts many instances of the policy, driven by the simulator's line protocol.
//!
//! An instance is one simulated manager: a policy with its own settings. Instances share no state. The host
//! reads batches of lines and answers each batch before it reads the next; all decisions are the policy's.

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

/// Capacity of a recorder's queue in kilobytes, large because simulated time runs far faster than the
/// recorder's disk.
const RECORDER_QUEUE_KB: u64 = 65_536;
/// Maximum write rate of a recorder in kilobytes per second, so high that it does not limit simulated time.
const RECORDER_RATE_KB_S: u64 = 1_000_000;
/// Maximum size of an instance's capture in megabytes.
const RECORDER_RING_MB: u64 = 1_000;

/// Reason why the host stopped.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// A line could not be read.
    #[error("line {line}")]
    Read {
        /// Number of the line, from 1.
        line: usize,
        /// Error of reading the input.
        source: io::Error,
    },
    /// A line is invalid, or contradicts the lines before it.
    #[error("line {line}")]
    Line {
        /// Number of the line, from 1.
        line: usize,
        /// Reason why the line is rejected.
        source: LineError,
    },
    /// A reply could not be written.
    #[error("failed to write the reply")]
    Write(#[source] io::Error),
}

/// Reason why a line is rejected.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// The line cannot be parsed.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// An engine list has fewer entries than it announced.
    #[error("field elements announces more ENGINE lines than follow")]
    ListIncomplete,
    /// An engine list has more entries than it announced, or none began.
    #[error("an ENGINE line does not belong to a POOL")]
    EntryOutsideList,
    /// An endpoint update refers to an engine list that was never sent.
    #[error("field page names an unknown POOL: {0} in MEMBERS")]
    UnknownList(usize),
}

/// Reads and answers batches until the input ends. Every instance is recorded in a directory of its own below
/// `capture_dir`, if given.
///
/// # Errors
/// The first invalid line, or a failure of the input or output.
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

/// Result of handling a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The batch continues.
    Continue,
    /// The batch is complete: its reply is due.
    BatchComplete,
}

/// One instance of the policy, with the names of the engines that it knows. The id of an engine is the
/// position of its name in `engine_names`, in the order in which the names were received.
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

    /// Returns the number of an engine; an engine with a new name gets the next number.
    fn engine_id(&mut self, name: &str) -> EngineId {
        if let Some(&id) = self.engine_ids.get(name) {
            return id;
        }
        let id = EngineId(self.engine_names.len() as u32);
        self.engine_names.push(name.to_owned());
        self.engine_ids.insert(name.to_owned(), id);
        id
    }

    /// The name of an engine on the wire; `-` if the number is unknown.
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

/// An engine list that is being received.
#[derive(Clone, Copy)]
struct OpenList {
    list: usize,
    /// Number of entries that have not been received.
    remaining: usize,
}

#[derive(Default)]
struct Host {
    now: Timestamp,
    /// Number of the current batch.
    batch: String,
    instances: BTreeMap<String, Instance>,
    /// Engine lists that were received, by number.
    lists: BTreeMap<usize, Vec<ListedEngine>>,
    open_list: Option<OpenList>,
    /// The reply to the current batch so far.
    reply: String,
    capture_dir: Option<PathBuf>,
}

impl Host {
    /// Handles a line; empty lines and lines with unknown names are skipped.
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
            Line::BatchBegin { now, batch } => {
                self.now = now;
                self.batch = batch;
            }
            Line::BatchEnd => return Ok(Step::BatchComplete),
            Line::ListBegin { list, entries } => {
                self.lists.insert(list, Vec::new());
                self.open_list = (entries > 0).then_some(OpenList { list, remaining: entries });
            }
            Line::ListEntry(engine) => self.add_entry(engine)?,
            Line::Start { instance, seed, settings } => self.start_instance(instance, seed, *settings),
            Line::Stop { instance } => {
                self.instances.remove(&instance);
            }
            Line::EndpointsChanged { instance, kind: EndpointUpdate::Failed, .. } => {
                self.handle_event(
                    &instance,
                    Event::EndpointsChanged { kind: EndpointUpdate::Failed, entries: Vec::new() },
                );
            }
            Line::EndpointsChanged { instance, kind, list } => {
                if let Some(entries) = self.list_entries(&instance, list)? {
                    self.handle_event(&instance, Event::EndpointsChanged { kind, entries });
                }
            }
            Line::ProbeCompleted { instance, engine, outcome, report } => {
                self.handle_probe(&instance, &engine, outcome, report);
            }
            Line::Event { instance, event } => self.handle_event(&instance, event),
        }
        Ok(Step::Continue)
    }

    /// Completes and returns the reply to the current batch.
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

    /// Starts a recorder for a new instance, if captures are requested; a failure is printed and the instance
    /// is not recorded.
    fn start_recorder(&self, instance: &str, seed: u64) -> Option<Recorder> {
        let folder: String = instance
            .chars()
            .map(|character| if character.is_ascii_alphanumeric() { character } else { '_' })
            .collect();
        let settings = RecorderSettings {
            queue_kb: RECORDER_QUEUE_KB,
            rate_kb_s: RECORDER_RATE_KB_S,
            ring_mb: RECORDER_RING_MB,
            ..RecorderSettings::in_dir(self.capture_dir.as_ref()?.join(folder))
        };
        let recorder = Recorder::start(&settings, seed, self.now);
        recorder.map_err(|e| eprintln!("sprucelink-simhost: not recording {instance}: {e}")).ok()
    }

    /// The entries of a list with the engine numbers of `instance`; `None` if there is no such instance.
    fn list_entries(&mut self, instance: &str, list: usize) -> Result<Option<Vec<EngineEntry>>, LineError> {
        let list = self.lists.get(&list).ok_or(LineError::UnknownList(list))?;
        let Some(instance) = self.instances.get_mut(instance) else { return Ok(None) };
        let numbered =
            |listed: &ListedEngine| EngineEntry { engine: instance.engine_id(&listed.name), ..listed.entry };
        Ok(Some(list.iter().map(numbered).collect()))
    }

    /// Passes the outcome of a load probe to an instance; a probe of an engine that the instance does not
    /// know is ignored.
    fn handle_probe(&mut self, instance: &str, engine: &str, outcome: Outcome, report: LoadReport) {
        let known = self.instances.get(instance).and_then(|instance| instance.engine_ids.get(engine));
        if let Some(&engine) = known {
            self.handle_event(instance, Event::ProbeCompleted { engine, outcome, report });
        }
    }

    /// Passes an event to an instance, and appends the resulting actions to the reply.
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

    /// Appends to the reply that an instance's policy panicked.
    fn reply_panic(&mut self, instance: &str, cause: Box<dyn Any + Send>) {
        print_panic(&mut self.reply, instance, &panic_message(cause.as_ref()));
    }
}

/// The message of a panic, from the value that `catch_unwind` returns.
fn panic_message(cause: &(dyn Any + Send)) -> String {
    if let Some(text) = cause.downcast_ref::<&str>() {
        return (*text).to_owned();
    }
    cause.downcast_ref::<String>().cloned().unwrap_or_else(|| "unknown panic".to_owned())
}
