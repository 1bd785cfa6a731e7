//! Random election timeouts.

use raft::StateRole;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Draws election timeouts from the member's seed. The raft library draws its own from a generator that can't
/// be seeded, so its timeout is replaced by a timeout drawn here, which is drawn again whenever the term or
/// the role changes.
#[derive(Debug)]
pub(super) struct ElectionTimeout {
    rng: ChaCha8Rng,
    shortest: usize,
    longest: usize,
    drawn: Option<DrawnTimeout>,
}

#[derive(Debug, Clone, Copy)]
struct DrawnTimeout {
    term: u64,
    role: StateRole,
    ticks: usize,
}

impl ElectionTimeout {
    /// Draws timeouts between two inclusive bounds, in ticks.
    pub fn new(rng: ChaCha8Rng, shortest: usize, longest: usize) -> Self {
        ElectionTimeout { rng, shortest, longest, drawn: None }
    }

    /// The timeout for a term and role, in ticks; it stays the same until the term or the role changes.
    pub fn ticks(&mut self, term: u64, role: StateRole) -> usize {
        match self.drawn {
            Some(drawn) if drawn.term == term && drawn.role == role => drawn.ticks,
            _ => {
                let ticks = self.rng.gen_range(self.shortest..=self.longest);
                self.drawn = Some(DrawnTimeout { term, role, ticks });
                ticks
            }
        }
    }

    /// The shortest timeout, in ticks.
    pub fn shortest(&self) -> usize {
        self.shortest
    }

    /// The longest timeout, in ticks.
    pub fn longest(&self) -> usize {
        self.longest
    }
}
