//! Which number stands for which engine. The policy knows engines by numbers only; explanations name them.

use crate::input::RecordedInput;

/// An engine's id in the endpoint list, and its number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineNumber {
    /// The engine's id.
    pub id: String,
    /// Its number.
    pub number: u32,
}

/// The numbers of all engines at a point of a capture.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineNumbers(Vec<EngineNumber>);

impl EngineNumbers {
    /// The engines in the order in which they were numbered.
    pub fn iter(&self) -> impl Iterator<Item = &EngineNumber> {
        self.0.iter()
    }

    /// How many engines there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no engines.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Follows a record: an engine that is numbered, or whose number is freed.
    pub fn apply(&mut self, input: &RecordedInput) {
        let RecordedInput::EngineNumbered { id, number, freed } = input else { return };
        self.0.retain(|engine| engine.id != *id);
        if !freed {
            self.0.push(EngineNumber { id: id.clone(), number: *number });
        }
    }

    /// The number of an engine.
    pub fn number_of(&self, id: &str) -> Option<u32> {
        self.0.iter().find(|engine| engine.id == id).map(|engine| engine.number)
    }

    /// An engine in words: its id and number, or the number alone where no id is known.
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
