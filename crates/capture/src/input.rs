//! What the policy was given: its events, and which number stands for which engine.

use sprucelink_policy::Event;

/// One input of a record.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordedInput {
    /// An event, as given to the policy.
    Event(Event),
    /// An engine's id got a number, or (`freed`) gave it back.
    EngineNumbered {
        /// The engine's id in the endpoint list.
        id: String,
        /// Its number.
        number: u32,
        /// The number was given back.
        freed: bool,
    },
}

impl RecordedInput {
    /// The event, unless the input is the numbering of an engine.
    pub fn event(&self) -> Option<&Event> {
        match self {
            RecordedInput::Event(event) => Some(event),
            RecordedInput::EngineNumbered { .. } => None,
        }
    }

    /// The name of the input's kind, as `sprucelink capture show` prints it.
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
