//! The calls that cordon and uncordon a target at this process.

use crate::cause::{Cause, CordonRequest};
use crate::cause_register::CauseState;
use crate::cordon_record::{sanitize_reason, CordonEntry};
use crate::error::CordonError;
use crate::outcome::CordonOutcome;
use crate::state::CordonState;
use crate::target::Target;
use crate::Timestamp;

impl CordonState {
    /// Cordons a target. It is not an error if the target is already cordoned. The reason is truncated to at
    /// most [`crate::MAX_REASON_BYTES`] bytes.
    ///
    /// # Errors
    /// If the target or the lease is invalid, the engine was never listed, or the bound on active cordons is
    /// reached. The rejection is counted; otherwise the state is unchanged.
    pub fn cordon(
        &mut self,
        now: Timestamp,
        target: &Target,
        request: CordonRequest,
        reason: &str,
    ) -> Result<CordonOutcome, CordonError> {
        self.validate_cordon(now, target, request).inspect_err(|error| self.count_rejection(*error))?;
        let was_cordoned = self.registers.is_cordoned(target);
        let entry = CordonEntry {
            version: self.clock.next_version(now),
            cordoned: true,
            lease_expires_at: request.lease_expires_at(),
            changed_at: now,
            reason: sanitize_reason(reason),
        };
        self.store(now, target, request.cause(), CauseState::new(now, entry));
        self.counters.cordons += 1;
        Ok(if was_cordoned { CordonOutcome::AlreadyCordoned } else { CordonOutcome::Cordoned })
    }

    /// Ends a cause on a target, no matter how often cordons were requested for this cause. The call is
    /// recorded for [`crate::TOMBSTONE_RETENTION`] even if the target was not cordoned, since another process
    /// may hold an older cordon.
    ///
    /// # Errors
    /// If the target is invalid or the engine was never listed. The rejection is counted; otherwise the state
    /// is unchanged.
    pub fn uncordon(
        &mut self,
        now: Timestamp,
        target: &Target,
        cause: Cause,
    ) -> Result<CordonOutcome, CordonError> {
        self.validate_target(target).inspect_err(|error| self.count_rejection(*error))?;
        let was_cordoned = self.registers.is_cordoned(target);
        let entry = CordonEntry {
            version: self.clock.next_version(now),
            cordoned: false,
            lease_expires_at: None,
            changed_at: now,
            reason: String::new(),
        };
        self.store(now, target, cause, CauseState::new(now, entry));
        self.evict_tombstones();
        self.counters.uncordons += 1;
        Ok(match self.registers.first_active(target) {
            Some(cause) => CordonOutcome::StillCordoned { cause },
            None if was_cordoned => CordonOutcome::Uncordoned,
            None => CordonOutcome::NotCordoned,
        })
    }

    fn validate_cordon(
        &self,
        now: Timestamp,
        target: &Target,
        request: CordonRequest,
    ) -> Result<(), CordonError> {
        self.validate_target(target)?;
        request.validate_lease(now)?;
        if self.registers.has_capacity(target, request.cause()) {
            Ok(())
        } else {
            Err(CordonError::TooManyCordons)
        }
    }

    fn validate_target(&self, target: &Target) -> Result<(), CordonError> {
        target.validate()?;
        match target {
            Target::Engine(id) if !self.was_ever_listed(id) => Err(CordonError::NeverListed),
            _ => Ok(()),
        }
    }

    fn count_rejection(&mut self, error: CordonError) {
        let counter = match error {
            CordonError::NeverListed => &mut self.counters.never_listed,
            CordonError::TooManyCordons => &mut self.counters.too_many_cordons,
            CordonError::InvalidTarget => &mut self.counters.invalid_target,
            CordonError::InvalidLease => &mut self.counters.invalid_lease,
        };
        *counter += 1;
    }
}
