//! The operators' address: what their calls do in this program. `sprucelink_admin` speaks HTTP and holds callers to
//! their bounds.

use super::hot_restart_driver::Upgrade;
use crate::core::Core;
use sprucelink_admin::{Bite, Done, Limits, Operations, Refused};
use sprucelink_cordon::{Cause, CordonError, CordonOutcome, CordonRequest};
use sprucelink_metrics::Counter;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tracing::{info, warn};

/// What callers are held to, of a process that may hold so many descriptors. Operators, checks and scrapers are a
/// handful, and each seat is a descriptor that clients and engines go without.
pub fn limits(sockets: usize) -> Limits {
    Limits {
        callers: (sockets / 16).clamp(4, 32),
        call_due: Duration::from_secs(2),
        answer_due: Duration::from_secs(2),
        linger: Duration::from_millis(500),
        accepts_per_second: 500,
        accept_burst: 256,
    }
}

/// What a ban says of who wanted it.
const BY_HAND: &str = "by the operators' address";

/// The program, as operators' calls see it.
pub struct Desk {
    core: Rc<Core>,
    ready: Cell<bool>,
    /// This process's side of an upgrade, where there may be one.
    upgrade: Option<Rc<Upgrade>>,
    bitten: Vec<(Bite, Counter)>,
}

impl Desk {
    /// A desk over this core, that says no to health checks until [`Desk::ready`].
    pub fn new(core: Rc<Core>, upgrade: Option<Rc<Upgrade>>) -> Rc<Desk> {
        let counter = |bite: &Bite| {
            let counter = core.metrics().counter(bite.name());
            (*bite, counter.unwrap_or_else(|_| Counter::noop()))
        };
        let bitten = Bite::ALL.iter().map(counter).collect();
        Rc::new(Desk { core, ready: Cell::new(false), upgrade, bitten })
    }

    /// From now on this process can serve.
    pub fn ready(&self) {
        self.ready.set(true);
    }

    /// Listens for operators on an address, and holds them to these limits.
    ///
    /// # Errors
    /// An address that cannot be listened on.
    pub async fn open(self: &Rc<Self>, address: &str, limits: Limits) -> Result<(), String> {
        let failed = |e: std::io::Error| format!("operators: listen on {address}: {e}");
        let listener = TcpListener::bind(address).await.map_err(failed)?;
        let at = listener.local_addr().map_err(failed)?;
        spawn_local(sprucelink_admin::serve(listener, Rc::clone(self), limits));
        info!("operators on {at}");
        Ok(())
    }

    fn obeyed(&self, id: &str, outcome: Result<CordonOutcome, CordonError>) -> Result<Done, Refused> {
        if let (Ok(_), Some(upgrade)) = (&outcome, &self.upgrade) {
            // On record before the yes: it has to hold in the process that comes next.
            let unrecorded = |why| Refused::Unavailable(format!("it holds here and is not on record: {why}"));
            upgrade.record().map_err(unrecorded)?;
        }
        match outcome {
            Ok(CordonOutcome::Cordoned | CordonOutcome::Uncordoned) => Ok(Done::Changed),
            Ok(
                CordonOutcome::AlreadyCordoned
                | CordonOutcome::NotCordoned
                | CordonOutcome::StillCordoned { .. },
            ) => Ok(Done::Unchanged),
            Err(error) => {
                warn!(engine = %id, "operators: engine {id}: {error}");
                match error {
                    CordonError::NeverListed | CordonError::InvalidTarget => Err(Refused::Unknown),
                    CordonError::TooManyCordons | CordonError::InvalidLease => {
                        Err(Refused::Unavailable(error.to_string()))
                    }
                }
            }
        }
    }
}

impl Operations for Desk {
    fn healthy(&self) -> bool {
        self.ready.get() && self.upgrade.as_ref().is_none_or(|u| u.says_yes())
    }

    fn stats(&self) -> String {
        let (listed, avoided) = self.core.listed_and_avoided();
        let figures = self.core.metrics();
        figures.discovered(listed);
        figures.ejected(avoided);
        figures.render()
    }

    fn cordon(&self, target: &str) -> Result<Done, Refused> {
        self.obeyed(target, self.core.cordon_engine(target, CordonRequest::Operator, BY_HAND))
    }

    fn uncordon(&self, target: &str) -> Result<Done, Refused> {
        self.obeyed(target, self.core.uncordon_engine(target, Cause::Operator))
    }

    fn bitten(&self, bite: Bite) {
        if let Some((_, counter)) = self.bitten.iter().find(|(b, _)| *b == bite) {
            counter.increment(1);
        }
    }
}
