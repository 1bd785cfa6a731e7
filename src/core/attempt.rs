//! One attempt in flight.
//!
//! Input: the answers of its engine, and its cancellation. Output: commands to its engine, on its connection,
//! and the [`AnswerEffect`] of each answer. State: the result so far, the load report, and the progress of a
//! cancellation.

use super::buffer_pool::BufferPool;
use super::engine_connection::{EngineConnection, Withdrawal};
use super::request::format_request_id;
use super::result_buffer::{ResultSet, MAX_PAGE_BYTES, MAX_RESULT_BYTES};
use crate::proto::engine_answer::{
    is_page, AnswerKind, EngineAnswer, EngineAnswerError, EngineLoadReport, NoteTopic, QueryCost,
};
use crate::proto::engine_command as command;
use sprucelink_policy::{Outcome, TimeDelta, Timestamp};
use std::rc::Rc;

/// Time that a cancelled attempt stays in flight after its cancellation was sent. The cancellation has to
/// reach its engine before the next attempt reaches another one, or both would run.
pub(super) const CANCELLATION_GRACE: TimeDelta = TimeDelta::from_millis(10);
/// Time between two checks of whether the bytes of a cancellation were sent.
pub(super) const CANCELLATION_CHECK_INTERVAL: TimeDelta = TimeDelta::from_millis(1);

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The engine served the request, and the complete result was received.
    Served,
    /// The engine answered with an error.
    EngineError,
    /// The engine rejected the attempt because of its load; the attempt never ran.
    Overloaded,
    /// The client's deadline passed while the attempt was in flight. Attempts have no timeout of their own:
    /// one that makes no progress is cancelled by the policy (`cancellation::is_stuck`) and ends as
    /// [`AttemptOutcome::Cancelled`].
    Expired,
    /// No connection to the engine could be made; the attempt never ran.
    Unreachable,
    /// The connection broke after the attempt was sent; the attempt may have run. A broken connection counts
    /// as one fault of its engine: its other attempts end as [`AttemptOutcome::ConnectionClosed`].
    ConnectionBroken,
    /// The connection was closed by this process, or its break is counted for another attempt. The attempt
    /// may have run; the engine is not penalised.
    ConnectionClosed,
    /// The attempt was cancelled; it may have run.
    Cancelled,
    /// Withdrawn before it was sent, not sent because a limit was reached, or rejected by the engine as
    /// already ended.
    NeverRan,
}

impl AttemptOutcome {
    /// Whether it is certain that no engine ran any part of the attempt.
    pub fn never_ran(self) -> bool {
        Outcome::from(self).never_ran()
    }
}

impl From<AttemptOutcome> for Outcome {
    fn from(outcome: AttemptOutcome) -> Outcome {
        match outcome {
            AttemptOutcome::Served => Outcome::Succeeded,
            AttemptOutcome::EngineError => Outcome::EngineError,
            AttemptOutcome::Overloaded => Outcome::RejectedByEngine,
            AttemptOutcome::Expired => Outcome::TimedOut,
            AttemptOutcome::Unreachable => Outcome::ConnectFailed,
            AttemptOutcome::ConnectionBroken => Outcome::ConnectionLost,
            AttemptOutcome::Cancelled | AttemptOutcome::ConnectionClosed => Outcome::Cancelled,
            AttemptOutcome::NeverRan => Outcome::NeverSent,
        }
    }
}

/// The cancellation of an attempt, until it has taken effect.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cancellation {
    /// Offset in the connection's stream at which the cancellation command ends, in bytes.
    pub(super) stream_end: u64,
    /// Time at which a check first found that the cancellation was sent; `None` while it waits to be sent.
    pub(super) sent_at: Option<Timestamp>,
}

/// The effect of an engine's answer on an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AnswerEffect {
    /// The attempt is unchanged, or its result is still incomplete.
    None,
    /// The answer is a progress note, which the caller passes to the policy.
    Progress {
        /// Topic of the note.
        topic: NoteTopic,
        /// Value of the note; its meaning depends on the topic.
        value: f64,
    },
    /// The attempt has ended with this outcome.
    Ended(AttemptOutcome),
}

/// An attempt that was queued to a connection and has not ended.
pub(super) struct InFlightAttempt {
    /// Number of the attempt among its request's attempts, from 0.
    pub(super) number: u32,
    /// Connection that carries the attempt.
    pub(super) connection: Rc<EngineConnection>,
    /// Time at which the attempt was queued to its connection.
    pub(super) queued_at: Timestamp,
    /// Time left until the deadline, as given to the engine in the command.
    pub(super) sent_time_left: TimeDelta,
    /// Whether the attempt was authorized to be sent; from then on a retry counts in the retry budget. Its
    /// first byte may still wait for a slow peer.
    pub(super) is_authorized: bool,
    /// The pages of the result that were received so far.
    pub(super) result: ResultSet,
    /// The cost of the query; `None` until the engine has reported it.
    pub(super) cost: Option<QueryCost>,
    /// The load report with which the engine rejected, failed or served the attempt; without values before.
    pub(super) load_report: EngineLoadReport,
    /// Whether the first page of the result was received.
    pub(super) is_served: bool,
    /// The cancellation in progress; `None` if the attempt is not cancelled.
    pub(super) cancellation: Option<Cancellation>,
    /// Outcome with which the attempt ends once its cancellation has taken effect.
    pub(super) cancelled_outcome: AttemptOutcome,
}

impl InFlightAttempt {
    /// Creates an attempt that was queued to a connection at `queued_at`, with a command whose deadline is
    /// `sent_time_left` away.
    pub(super) fn new(
        number: u32,
        connection: Rc<EngineConnection>,
        queued_at: Timestamp,
        sent_time_left: TimeDelta,
    ) -> InFlightAttempt {
        InFlightAttempt {
            number,
            connection,
            queued_at,
            sent_time_left,
            is_authorized: false,
            result: ResultSet::default(),
            cost: None,
            load_report: EngineLoadReport::default(),
            is_served: false,
            cancellation: None,
            cancelled_outcome: AttemptOutcome::Cancelled,
        }
    }

    /// Whether `connection` carries the attempt.
    pub(super) fn is_on(&self, connection: &EngineConnection) -> bool {
        std::ptr::eq(&*self.connection, connection)
    }

    /// Sends the engine a new priority level, 0 (lowest) to 3, unless the attempt is already served.
    pub(super) fn set_level(&self, pool: &BufferPool, id: u64, level: u8) {
        if self.is_served {
            return;
        }
        let id = format_request_id(id);
        let level = level.to_string();
        self.connection.command(pool, &[command::SET_PRIORITY, id.as_bytes(), level.as_bytes()]);
    }

    /// Records that the attempt was withdrawn before its first byte. It ends as [`AttemptOutcome::NeverRan`]
    /// at the next check: the engine does not know the attempt, so its cancellation counts as sent one
    /// [`CANCELLATION_GRACE`] ago.
    pub(super) fn mark_withdrawn(&mut self, now: Timestamp) {
        self.cancelled_outcome = AttemptOutcome::NeverRan;
        self.cancellation = Some(Cancellation { stream_end: 0, sent_at: Some(now - CANCELLATION_GRACE) });
    }

    /// Records that this process closed the connection: the attempt ends with `outcome` after
    /// [`CANCELLATION_GRACE`], by which time the close has reached the engine.
    pub(super) fn mark_closed(&mut self, outcome: AttemptOutcome, now: Timestamp) {
        self.cancelled_outcome = outcome;
        self.cancellation = Some(Cancellation { stream_end: 0, sent_at: Some(now) });
    }

    /// Cancels the attempt at its engine, or withdraws it if no byte of it was sent. Until the cancellation
    /// has taken effect, an answer of the engine may still end the attempt.
    pub(super) fn cancel(&mut self, pool: &BufferPool, id: u64, now: Timestamp) {
        if self.connection.withdraw(id) == Withdrawal::Complete {
            self.mark_withdrawn(now);
            return;
        }
        let name = if self.is_served { command::RELEASE_RESULT } else { command::CANCEL };
        self.connection.command(pool, &[name, format_request_id(id).as_bytes()]);
        self.cancellation = Some(Cancellation { stream_end: self.connection.queued_end(), sent_at: None });
    }

    /// Time until the cancellation has to be checked again; zero or less if it has taken effect, `None` if
    /// the attempt is not cancelled.
    ///
    /// The grace starts only once the cancellation was sent: the next attempt would overtake a cancellation
    /// that still waits for its connection, and both attempts would run.
    pub(super) fn cancellation_delay(&mut self, now: Timestamp) -> Option<TimeDelta> {
        let cancellation = self.cancellation.as_mut()?;
        let delay = match cancellation.sent_at {
            Some(sent_at) => sent_at + CANCELLATION_GRACE - now,
            None if self.connection.has_passed(cancellation.stream_end) => {
                cancellation.sent_at = Some(now);
                CANCELLATION_GRACE
            }
            None => CANCELLATION_CHECK_INTERVAL,
        };
        Some(delay)
    }

    /// Applies an answer of the engine to this attempt.
    ///
    /// # Errors
    /// If the answer violates the protocol. The connection must then be closed, because no further byte on it
    /// can be trusted.
    pub(super) fn on_answer(
        &mut self,
        pool: &BufferPool,
        id: u64,
        answer: &EngineAnswer,
    ) -> Result<AnswerEffect, EngineAnswerError> {
        match answer.kind {
            AnswerKind::ProgressNote { topic: Some(topic), value } => {
                Ok(AnswerEffect::Progress { topic, value })
            }
            AnswerKind::ProgressNote { topic: None, .. } | AnswerKind::Pong => Ok(AnswerEffect::None),
            AnswerKind::Unknown => Err(EngineAnswerError::UnknownWord),
            AnswerKind::Overloaded => Ok(self.on_rejection(AttemptOutcome::Overloaded, answer)),
            AnswerKind::NotRun => Ok(self.on_rejection(AttemptOutcome::NeverRan, answer)),
            AnswerKind::Crashed => {
                self.load_report = answer.load_report;
                Ok(AnswerEffect::Ended(AttemptOutcome::EngineError))
            }
            AnswerKind::Completed { pages } => self.on_first_page(pool, id, pages, answer),
            AnswerKind::Page { number: page } => self.on_further_page(pool, id, page, answer),
        }
    }

    /// Applies a rejection by the engine. If the attempt is already served, this can only be the answer to a
    /// duplicate.
    fn on_rejection(&mut self, outcome: AttemptOutcome, answer: &EngineAnswer) -> AnswerEffect {
        if self.is_served {
            return AnswerEffect::None;
        }
        self.load_report = answer.load_report;
        AnswerEffect::Ended(outcome)
    }

    fn on_first_page(
        &mut self,
        pool: &BufferPool,
        id: u64,
        pages: usize,
        answer: &EngineAnswer,
    ) -> Result<AnswerEffect, EngineAnswerError> {
        if self.cancellation.is_some() && pages > 1 {
            // The result of a cancelled attempt is not needed: the engine may drop its pages.
            self.release_result(pool, id);
            return Ok(AnswerEffect::None);
        }
        if self.is_served {
            // A second first page answers a duplicate of the command.
            return Ok(AnswerEffect::None);
        }
        self.check_page(answer.body)?;
        self.is_served = true;
        self.load_report = answer.load_report;
        self.cost = answer.cost;
        self.result.expect_pages(pages);
        for page in 1..pages {
            let page = page.to_string();
            self.connection
                .command(pool, &[command::PAGE, format_request_id(id).as_bytes(), page.as_bytes()]);
        }
        Ok(self.store_page(pool, id, 0, answer.body))
    }

    fn on_further_page(
        &mut self,
        pool: &BufferPool,
        id: u64,
        page: usize,
        answer: &EngineAnswer,
    ) -> Result<AnswerEffect, EngineAnswerError> {
        if self.cancellation.is_some() || !self.is_served {
            return Ok(AnswerEffect::None);
        }
        match self.result.has_page(page) {
            Some(false) => {}
            Some(true) => return Ok(AnswerEffect::None),
            None => return Err(EngineAnswerError::PageOutOfRange),
        }
        self.check_page(answer.body)?;
        Ok(self.store_page(pool, id, page, answer.body))
    }

    /// Checks that a page has complete rows and that the result stays within [`MAX_RESULT_BYTES`].
    fn check_page(&self, body: &[u8]) -> Result<(), EngineAnswerError> {
        if body.len() > MAX_PAGE_BYTES || !is_page(body) {
            return Err(EngineAnswerError::InvalidPage);
        }
        if self.result.byte_count() + body.len() > MAX_RESULT_BYTES {
            return Err(EngineAnswerError::ResultTooLong);
        }
        Ok(())
    }

    fn store_page(&mut self, pool: &BufferPool, id: u64, page: usize, body: &[u8]) -> AnswerEffect {
        if !self.result.insert_page(pool, page, body) {
            self.release_result(pool, id);
            return AnswerEffect::Ended(AttemptOutcome::ConnectionClosed);
        }
        if self.result.is_complete() {
            AnswerEffect::Ended(AttemptOutcome::Served)
        } else {
            AnswerEffect::None
        }
    }

    fn release_result(&self, pool: &BufferPool, id: u64) {
        release_result(&self.connection, pool, id);
    }
}

/// Asks the engine to drop the result of a request, which it would otherwise keep until all pages were
/// fetched.
pub(super) fn release_result(connection: &EngineConnection, pool: &BufferPool, id: u64) {
    connection.command(pool, &[command::RELEASE_RESULT, format_request_id(id).as_bytes()]);
}
