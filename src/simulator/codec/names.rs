//! The names on the wire, each as a constant with its standard term. They are not used outside this codec.

/// Names of the lines that the simulator sends: the first field of each.
pub(super) mod received {
    /// A batch begins.
    pub(crate) const BATCH_BEGIN: &str = "CLOCK";
    /// A batch ends.
    pub(crate) const BATCH_END: &str = "COMMIT";
    /// An engine list begins.
    pub(crate) const ENGINE_LIST: &str = "POOL";
    /// An entry of an engine list.
    pub(crate) const ENGINE: &str = "ENGINE";
    /// An instance starts.
    pub(crate) const START: &str = "INIT";
    /// An instance ends.
    pub(crate) const STOP: &str = "HALT";
    /// An instance receives an update of the endpoint list.
    pub(crate) const ENDPOINTS_CHANGED: &str = "MEMBERS";
    /// A load probe ended.
    pub(crate) const PROBE_COMPLETED: &str = "PROBED";
    /// A request arrived.
    pub(crate) const REQUEST_ARRIVED: &str = "INCOMING";
    /// A streamed response began.
    pub(crate) const RESPONSE_STARTED: &str = "OPENED";
    /// A running attempt reported its progress.
    pub(crate) const PROGRESS_REPORTED: &str = "UPDATE_OF";
    /// An attempt ended.
    pub(crate) const ATTEMPT_ENDED: &str = "ENDED";
    /// A client cancelled or disconnected.
    pub(crate) const REQUEST_ABANDONED: &str = "ABANDONED";
    /// A timer is due.
    pub(crate) const TIMER: &str = "DUE";
    /// Another manager's message arrived.
    pub(crate) const PEER_MESSAGE: &str = "HEARD";
}

/// Names of the lines that the adapter sends: the first field of each.
pub(super) mod sent {
    /// Forward an attempt to an engine.
    pub(crate) const FORWARD_ATTEMPT: &str = "SEND";
    /// Set the memory grant and the priority level of an attempt.
    pub(crate) const EXECUTION_TERMS: &str = "TUNE";
    /// Cancel an attempt.
    pub(crate) const CANCEL: &str = "CALL_OFF";
    /// Reject a request.
    pub(crate) const REJECT: &str = "DECLINE";
    /// Fail a request.
    pub(crate) const FAIL: &str = "END_FAILED";
    /// Start a timer.
    pub(crate) const START_TIMER: &str = "REMIND";
    /// Send a load probe.
    pub(crate) const PROBE: &str = "TOUCH";
    /// Send a message to other managers.
    pub(crate) const BROADCAST: &str = "PUBLISH";
    /// The recipients of [`BROADCAST`]: all other managers.
    pub(crate) const TO_ALL_PEERS: &str = "all";
    /// Watch the endpoint list.
    pub(crate) const WATCH_ENDPOINTS: &str = "KEEP_INFORMED";
    /// Write a log line.
    pub(crate) const LOG: &str = "NOTE_DOWN";
    /// An instance panicked.
    pub(crate) const PANICKED: &str = "GIVE_IN";
    /// The reply to a batch is complete.
    pub(crate) const REPLY_END: &str = "EOR";
}

/// Names of fields, which errors quote.
pub(super) mod field {
    /// Name of the instance that a line concerns.
    pub(crate) const INSTANCE: &str = "who";
    /// A request's id: 16 hexadecimal digits.
    pub(crate) const REQUEST_ID: &str = "id";
    /// The simulated time, in seconds.
    pub(crate) const NOW: &str = "moment";
    /// A batch's number, which the reply repeats.
    pub(crate) const BATCH: &str = "n";
    /// Number of an engine list, by which endpoint updates refer to it.
    pub(crate) const LIST: &str = "page";
    /// Number of entries of an engine list.
    pub(crate) const LIST_ENTRIES: &str = "elements";
    /// Seed of an instance's random numbers.
    pub(crate) const SEED: &str = "randomSeed";
    /// An engine's name.
    pub(crate) const ENGINE: &str = "engine";
    /// Index of an engine's zone.
    pub(crate) const ZONE: &str = "site";
    /// Index of an engine's machine kind.
    pub(crate) const MACHINE_KIND: &str = "machine";
    /// Number of an engine's cell.
    pub(crate) const CELL: &str = "pod";
    /// Start time of an engine's process, in seconds.
    pub(crate) const STARTED_AT: &str = "since";
    /// The kind of an endpoint update: a value of [`super::update_kind`].
    pub(crate) const UPDATE_KIND: &str = "form";
    /// Index of a request's tenant.
    pub(crate) const TENANT: &str = "billing";
    /// Number of the group of tables that a request reads or writes.
    pub(crate) const TABLES: &str = "sourceSet";
    /// Time that a request's client will still wait, in seconds.
    pub(crate) const TIME_LEFT: &str = "timeLeft";
    /// Index of a request's class.
    pub(crate) const CLASS: &str = "profile";
    /// A request's estimated work, in thread-seconds.
    pub(crate) const ESTIMATED_COST: &str = "expected";
    /// A request's estimated memory, in MB.
    pub(crate) const ESTIMATED_MEMORY: &str = "memMb";
    /// The number of an attempt of a request.
    pub(crate) const ATTEMPT: &str = "attempt";
    /// The kind of a progress note: a value of [`super::note_kind`].
    pub(crate) const NOTE_KIND: &str = "topic";
    /// The value of a progress note; the kind of the note defines its meaning and unit.
    pub(crate) const NOTE_VALUE: &str = "value";
    /// Outcome of an attempt or a load probe: a value of [`super::outcome`].
    pub(crate) const OUTCOME: &str = "disposition";
    /// Latency of an attempt, in seconds.
    pub(crate) const LATENCY: &str = "lag";
    /// Whether the request is over: its client has the response or has disconnected.
    pub(crate) const REQUEST_COMPLETE: &str = "complete";
    /// The work and the memory that a query used, as one number: the work in thread-milliseconds times 4096,
    /// plus the memory in units of 4 MB.
    pub(crate) const QUERY_COST: &str = "bill";
    /// An engine's load report: `name:value` pairs separated by commas.
    pub(crate) const LOAD_REPORT: &str = "pressure";
    /// The number that identifies a timer: [`super::sent::START_TIMER`] carries it, and
    /// [`super::received::TIMER`] returns it.
    pub(crate) const TIMER_TOKEN: &str = "handle";
    /// Number of the manager that sent a message.
    pub(crate) const SENDER: &str = "src";
    /// A message's bytes, in hex.
    pub(crate) const MESSAGE: &str = "blob";
}

/// Values of an engine's state.
pub(super) mod engine_state {
    /// The engine completes its requests and accepts no others.
    pub(crate) const DRAINING: &str = "draining";
    /// The engine is removed.
    pub(crate) const GONE: &str = "gone";
}

/// Values of an endpoint update's kind.
pub(super) mod update_kind {
    /// Only the entries that changed.
    pub(crate) const CHANGES: &str = "changes";
    /// The complete list.
    pub(crate) const COMPLETE: &str = "all";
    /// The complete list as last cached.
    pub(crate) const REMEMBERED: &str = "remembered";
    /// The request for the list failed.
    pub(crate) const FAILED: &str = "refused";
}

/// Values of a progress note's kind.
pub(super) mod note_kind {
    /// Completed fraction of the work, from 0 to 1.
    pub(crate) const PROGRESS: u64 = 1;
    /// Memory that the query lacks, in MB.
    pub(crate) const MISSING_MEMORY: u64 = 2;
    /// The query waits; the note's value gives the reason.
    pub(crate) const WAITING: u64 = 3;
    /// Minimum value of a [`WAITING`] note that means a wait for a bulk load into the query's tables to end;
    /// a lower value means a wait for memory.
    pub(crate) const MIN_WAITING_VALUE_FOR_LOAD: f64 = 2.0;
}

/// Values of an outcome.
pub(super) mod outcome {
    /// The query was served.
    pub(crate) const SUCCEEDED: &str = "delivered";
    /// The engine responded with an error.
    pub(crate) const ENGINE_ERROR: &str = "app_error";
    /// The engine rejected the query because it was at its limit.
    pub(crate) const REJECTED_BY_ENGINE: &str = "shed";
    /// No response arrived in time.
    pub(crate) const TIMED_OUT: &str = "expired";
    /// No connection could be established.
    pub(crate) const CONNECT_FAILED: &str = "dial_failed";
    /// The connection was lost.
    pub(crate) const CONNECTION_LOST: &str = "dropped";
    /// The attempt was cancelled.
    pub(crate) const CANCELLED: &str = "revoked";
    /// The attempt was never sent.
    pub(crate) const NEVER_SENT: &str = "unused";
}

/// Names of the values in a load report.
pub(super) mod load_report {
    /// Number of queries in flight.
    pub(crate) const QUERIES_IN_FLIGHT: &str = "rif";
    /// Number of queries that wait for memory.
    pub(crate) const QUERIES_WAITING_FOR_MEMORY: &str = "q";
    /// Fraction of the cores in use, 0 to 1.
    pub(crate) const BUSY_CORE_FRACTION: &str = "busy";
    /// Fraction of the memory granted, 0 to 1.
    pub(crate) const GRANTED_MEMORY_FRACTION: &str = "x0";
    /// Fraction of the disks in use, 0 to 1.
    pub(crate) const BUSY_DISK_FRACTION: &str = "x1";
}
