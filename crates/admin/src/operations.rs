//! What the operators' address asks of the program.

/// The program, as operators' calls see it. All methods are called on the loop that serves requests and must return at
/// once: nothing is waited for, computed at length or read from outside.
pub trait Operations {
    /// Whether this process can serve.
    fn healthy(&self) -> bool;

    /// The figures, one line each; at most [`crate::MOST_ANSWER`] bytes, or the answer is 500.
    fn stats(&self) -> String;

    /// Leaves an engine out until it is put back.
    fn cordon(&self, target: &str) -> Result<Done, Refused>;

    /// Puts an engine back.
    fn uncordon(&self, target: &str) -> Result<Done, Refused>;

    /// A bound of the operators' address was reached. For counters: called once each time.
    fn bitten(&self, _bite: Bite) {}
}

/// What became of a call that was obeyed. Both are a yes: calls may come more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Done {
    /// It changed something.
    Changed,
    /// It was so already.
    Unchanged,
}

/// Why a call was not obeyed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// No engine of this id was ever listed: 404.
    Unknown,
    /// It cannot be done now, for this reason: 503. The reason goes to the caller.
    Unavailable(String),
}

/// A bound that was reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Bite {
    /// All seats were taken: the caller that mattered least went.
    Displaced,
    /// A call was not whole in time.
    CallLate,
    /// An answer was not taken in time.
    AnswerLate,
    /// A call's head or body was too long.
    TooLong,
    /// What came was no call.
    Malformed,
    /// The kernel had no descriptor or memory for a newcomer.
    Starved,
}

impl Bite {
    /// All, for making counters at the start.
    pub const ALL: [Bite; 6] =
        [Bite::Displaced, Bite::CallLate, Bite::AnswerLate, Bite::TooLong, Bite::Malformed, Bite::Starved];

    /// The figure's name.
    pub fn name(self) -> &'static str {
        match self {
            Bite::Displaced => "admin.displaced",
            Bite::CallLate => "admin.call_late",
            Bite::AnswerLate => "admin.answer_late",
            Bite::TooLong => "admin.too_long",
            Bite::Malformed => "admin.malformed",
            Bite::Starved => "admin.starved",
        }
    }
}
