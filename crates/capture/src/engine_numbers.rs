//! The numbers that the policy uses for engines, with the engines' ids. The policy knows engines only by
//! number; explanations print their ids.

use crate::input::RecordedInput;

/// An engine's id in the endpoint list, and its number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineNumber {
    /// The engine's id in the endpoint list.
    pub id: String,
    /// Number by which the policy knows the engine ([`sprucelink_policy::EngineId`]).
    pub number: u32,
}

/// The numbers of all engines at a point of a capture.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineNumbers(Vec<EngineNumber>);

impl EngineNumbers {
    /// Iterates over the engines in the order in which they got their numbers.
    pub fn iter(&self) -> impl Iterator<Item = &EngineNumber> {
        self.0.iter()
    }

    /// Number of engines that have a number.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no engine has a number.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Applies a record in which an engine gets or frees its number; other inputs change nothing.
    pub fn apply(&mut self, input: &RecordedInput) {
        let RecordedInput::EngineNumbered { id, number, freed } = input else { return };
        self.0.retain(|engine| engine.id != *id);
        if !freed {
            self.0.push(EngineNumber { id: id.clone(), number: *number });
        }
    }

    /// The number of the engine with this id; `None` if it has none.
    pub fn number_of(&self, id: &str) -> Option<u32> {
        self.0.iter().find(|engine| engine.id == id).map(|engine| engine.number)
    }

    /// Text for an engine: its id and number, or the number alone if the id is unknown.
    pub fn describe(&self, number: u32) -> String {
        match self.0.iter().find(|engine| engine.number == number) {
            Some(engine) => format!("{} (#{number})", engine.id),
            None => format!("#{number}"),
        }
    }
}

impl FromIterator<EngineNumber> for EngineNumbers {
    fn from_iter<I: IntoIterator<Item = EngineNumber>>(engines: I) -> EngineNumbers {
        EngineNumbers(engines.into_iter().collect())
    }
}
