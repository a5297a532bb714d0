//! Waits for the next part of an answer, and decides what becomes of the attempt if its target is silent.
//!
//! See [`samphiredoor_core::silence`] for the rules. A request that runs once has no other target, so its attempt lasts until the
//! deadline; its silence still keeps other requests away from the target.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use samphiredoor_core::{
    Name,
    placement::{AttemptEnd, RequestSpec},
    silence::{NextRun, OtherTarget, SILENCE_LIMIT_MS, SilenceEnd},
    verdict::MayHaveRunReason,
};
use samphiredoor_net::pool::{within_or_late, within_or_ready};

use super::online::OnlineRequest;
use crate::{
    placement::{HeldSlot, Ticket},
    silence::{SilentTarget, WaitEnd},
};

const SILENCE_LIMIT: Duration = Duration::from_millis(SILENCE_LIMIT_MS);
/// Most silences of one request that are logged; metrics count all.
const MAX_LOGGED: u32 = 4;

/// Part of an answer that is awaited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Awaited {
    /// Its head.
    Head,
    /// The next whole event of its stream.
    Event,
}

impl Awaited {
    fn label(self) -> &'static str {
        match self {
            Awaited::Head => "head",
            Awaited::Event => "event",
        }
    }

    /// Runs a wait for at most `limit`. An event of a stream has to be there by then, as more of them may follow all the
    /// time.
    async fn within<F: Future>(self, limit: Duration, wait: F) -> Option<F::Output> {
        match self {
            Awaited::Head => within_or_late(limit, wait).await,
            Awaited::Event => within_or_ready(limit, wait).await,
        }
    }
}

/// How an attempt that may have run has ended without the rest of its answer.
pub struct Loss {
    /// Outcome of the attempt.
    pub end: AttemptEnd,
    /// Why it is unknown whether the request ran.
    pub cause: MayHaveRunReason,
    /// Slot that is held for the next attempt.
    pub held: Option<HeldSlot>,
}

impl Loss {
    /// The connection failed.
    pub fn lost(cause: MayHaveRunReason) -> Loss {
        Loss { end: AttemptEnd::Lost, cause, held: None }
    }

    /// The caller stops waiting.
    pub fn deadline() -> Loss {
        Loss { end: AttemptEnd::Cut, cause: MayHaveRunReason::DeadlinePassed, held: None }
    }

    /// The target is silent: the request goes on elsewhere, or the target is gone.
    fn silent(end: AttemptEnd, held: Option<HeldSlot>) -> Loss {
        Loss { end, cause: MayHaveRunReason::ConnectionLost, held }
    }
}

/// An attempt of a request at a target.
pub struct Attempt<'a> {
    /// Request.
    pub request: &'a OnlineRequest,
    /// Target that runs it.
    pub target: &'a Name,
    /// Address of the target.
    pub address: SocketAddr,
    /// Holds the slot at the target.
    pub ticket: &'a Ticket,
    /// Whether the request may be sent again after this attempt.
    pub next_run: NextRun,
}

/// A silence of a target.
struct Silence {
    since: Instant,
    awaited: Awaited,
    /// Whether another target had a free slot at the last check.
    other: OtherTarget,
}

impl Attempt<'_> {
    /// Waits for the next part of the answer; `is_progress` tells whether the target goes on with it, as opposed to a failure of
    /// the connection.
    ///
    /// # Errors
    ///
    /// The request is better off elsewhere than at the silent target, the target is gone, or the deadline has passed. The
    /// connection has to be dropped before the request is sent again.
    pub async fn receive<F: Future>(
        &self,
        awaited: Awaited,
        wait: F,
        is_progress: fn(&F::Output) -> bool,
    ) -> Result<F::Output, Loss> {
        let mut wait = std::pin::pin!(wait);
        let since = Instant::now();
        let remaining = self.request.remaining();
        let received = match remaining > SILENCE_LIMIT {
            true => within_or_late(SILENCE_LIMIT, wait.as_mut()).await,
            false => awaited.within(remaining, wait.as_mut()).await,
        };
        if let Some(received) = received {
            return Ok(received);
        }
        if remaining <= SILENCE_LIMIT {
            return Err(Loss::deadline());
        }
        let mut silence = Silence { since, awaited, other: OtherTarget::None };
        // Boxed, as it would make the future of each stream larger, and silences are rare.
        let received = Box::pin(self.wait_silent(&mut silence, wait)).await;
        let end = match &received {
            Ok(received) if is_progress(received) => SilenceEnd::Resumed,
            Ok(_) => SilenceEnd::Gone,
            Err(Loss { end: AttemptEnd::Cut, .. }) => SilenceEnd::Deadline,
            Err(Loss { end: AttemptEnd::Silent, .. }) => SilenceEnd::Moved,
            Err(_) => SilenceEnd::Gone,
        };
        if end == SilenceEnd::Resumed {
            self.request.front.placement.silence_ended(self.ticket.request());
        }
        self.note_end(end, &silence);
        received
    }

    /// Waits on at a silent target until there is a reason to leave it.
    async fn wait_silent<F: Future + Unpin>(
        &self,
        silence: &mut Silence,
        mut wait: F,
    ) -> Result<F::Output, Loss> {
        let front = &self.request.front;
        let silent = SilentTarget {
            placement: &front.placement,
            probes: &front.target_probes,
            request: self.ticket.request(),
            address: self.address,
            until: self.request.deadline(),
        };
        let (ended, other) = silent.wait(|| self.next(), &mut wait).await;
        silence.other = other;
        match ended {
            WaitEnd::Received(received) => Ok(received),
            WaitEnd::Move(held) => Err(Loss::silent(AttemptEnd::Silent, Some(held))),
            WaitEnd::Gone(sign) => {
                log::info!(
                    request = self.request.id, target = &**self.target, sign = sign.label();
                    "front: silent target is gone"
                );
                Err(Loss::silent(AttemptEnd::Gone, None))
            }
            WaitEnd::TimeUp => {
                let received = silence.awaited.within(Duration::ZERO, wait).await;
                received.ok_or_else(Loss::deadline)
            }
        }
    }

    /// The request as it would be sent to another target, and whether it may be.
    fn next(&self) -> (RequestSpec, NextRun) {
        let mut spec = self.request.request_spec();
        spec.tried_targets.push(Name::clone(self.target));
        let next_run = match self.next_run {
            NextRun::Allowed if !self.request.may_send() => NextRun::Late,
            next_run => next_run,
        };
        (spec, next_run)
    }

    /// Counts the end of a silence, and logs it unless the request has logged many.
    fn note_end(&self, end: SilenceEnd, silence: &Silence) {
        let OnlineRequest { front, id, logged_silences, .. } = self.request;
        front.metrics.silence_ended(end);
        if logged_silences.get() >= MAX_LOGGED {
            return;
        }
        logged_silences.set(logged_silences.get() + 1);
        let silence_ms = silence.since.elapsed().as_millis() as u64;
        let text = match end {
            SilenceEnd::Resumed => "front: target spoke again",
            SilenceEnd::Moved | SilenceEnd::Gone | SilenceEnd::Deadline => {
                "front: silent target given up"
            }
        };
        log::info!(
            request = id, target = &**self.target, silence_ms, end = end.label(),
            awaited = silence.awaited.label(), next_run = self.next_run.label(),
            other_target = silence.other.label();
            "{text}"
        );
    }
}
