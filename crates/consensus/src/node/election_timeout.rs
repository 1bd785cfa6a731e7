//! The spread of election timeouts.

use raft::StateRole;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Draws election timeouts from the member's seed. The raft library draws its own from a generator that can't be
/// seeded; the timeout drawn here is set in its place, and drawn again whenever term or role change.
#[derive(Debug)]
pub(super) struct ElectionTimeout {
    rng: ChaCha8Rng,
    shortest: usize,
    longest: usize,
    drawn: Option<Drawn>,
}

#[derive(Debug, Clone, Copy)]
struct Drawn {
    term: u64,
    role: StateRole,
    ticks: usize,
}

impl ElectionTimeout {
    /// Timeouts between two bounds in ticks, both included.
    pub fn new(rng: ChaCha8Rng, shortest: usize, longest: usize) -> Self {
        ElectionTimeout { rng, shortest, longest, drawn: None }
    }

    /// The timeout of a term and role, in ticks.
    pub fn ticks(&mut self, term: u64, role: StateRole) -> usize {
        match self.drawn {
            Some(drawn) if drawn.term == term && drawn.role == role => drawn.ticks,
            _ => {
                let ticks = self.rng.gen_range(self.shortest..=self.longest);
                self.drawn = Some(Drawn { term, role, ticks });
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
