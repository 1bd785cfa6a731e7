//! Inputs of records: events of the policy, and changes of the engines' numbers.

use sprucelink_policy::Event;

/// The input of a record.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordedInput {
    /// An event, as given to the policy.
    Event(Event),
    /// An engine was given a number, or its number was freed.
    EngineNumbered {
        /// The engine's id in the endpoint list.
        id: String,
        /// Number by which the policy knows the engine.
        number: u32,
        /// Whether the number was freed; otherwise it was assigned.
        freed: bool,
    },
}

impl RecordedInput {
    /// The event; `None` for a change of an engine's number.
    pub fn event(&self) -> Option<&Event> {
        match self {
            RecordedInput::Event(event) => Some(event),
            RecordedInput::EngineNumbered { .. } => None,
        }
    }

    /// Name of the input's kind, as `sprucelink capture show` prints it.
    pub fn kind_name(&self) -> &'static str {
        let RecordedInput::Event(event) = self else { return "numbered" };
        match event {
            Event::EndpointsChanged { .. } => "list",
            Event::RequestArrived(_) => "arrived",
            Event::ResponseStarted { .. } => "started",
            Event::ProgressReported { .. } => "noted",
            Event::AttemptEnded { .. } => "ended",
            Event::RequestAbandoned { .. } => "given_up",
            Event::Timer { .. } => "timer",
            Event::ProbeCompleted { .. } => "probed",
            Event::PeerMessageReceived { .. } => "heard",
            Event::FleetChanged { .. } => "fleet",
            Event::ZoneWeightsChanged(_) => "zones",
        }
    }
}
