//! Waits for the next part of an answer while its target may be silent.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use samphiredoor_core::{
    Name,
    placement::AttemptEnd,
    silence::{NextRun, OtherTarget, SILENCE_LIMIT_MS, SilenceEnd},
    verdict::MayHaveRunReason,
};
use samphiredoor_net::pool::{within_or_late, within_or_ready};

use super::online::OnlineRequest;

const SILENCE_LIMIT: Duration = Duration::from_millis(SILENCE_LIMIT_MS);
/// Most silences of one request that are logged; metrics count all.
const MAX_LOGGED: u32 = 4;

/// Part of an answer that is awaited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Awaited {
    /// Its head.
    Head,
    /// The next data of its event stream.
    Event,
}

impl Awaited {
    fn label(self) -> &'static str {
        match self {
            Awaited::Head => "head",
            Awaited::Event => "event",
        }
    }

    /// Runs a wait for at most `limit`. Data of a stream has to be there by then, as more of it may follow all the time.
    async fn within<F: Future>(self, limit: Duration, wait: F) -> Option<F::Output> {
        match self {
            Awaited::Head => within_or_late(limit, wait).await,
            Awaited::Event => within_or_ready(limit, wait).await,
        }
    }
}

/// How an attempt that may have run has ended without the rest of its answer.
#[derive(Debug)]
pub struct Loss {
    /// Outcome of the attempt.
    pub end: AttemptEnd,
    /// Why it is unknown whether the request ran.
    pub cause: MayHaveRunReason,
}

impl Loss {
    /// The caller stops waiting.
    pub fn deadline() -> Loss {
        Loss { end: AttemptEnd::Cut, cause: MayHaveRunReason::DeadlinePassed }
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
    /// Whether the request may be sent again after this attempt.
    pub next_run: NextRun,
}

impl Attempt<'_> {
    /// Waits for the next part of the answer.
    ///
    /// # Errors
    ///
    /// The target was silent for too long, or the deadline has passed. The caller drops the connection.
    pub async fn hear<F: Future>(&self, awaited: Awaited, wait: F) -> Result<F::Output, Loss> {
        let mut wait = std::pin::pin!(wait);
        let since = Instant::now();
        let limit = SILENCE_LIMIT.min(self.request.remaining());
        if let Some(heard) = awaited.within(limit, wait.as_mut()).await {
            return Ok(heard);
        }
        if self.request.remaining().is_zero() {
            return Err(Loss::deadline());
        }
        let other = self.other_target().await;
        match self.next_run {
            NextRun::RunsOnce => {}
            NextRun::Allowed | NextRun::AttemptsUsed | NextRun::NotResumable | NextRun::Late => {
                self.note_end(SilenceEnd::Moved, awaited, since, other);
                return Err(Loss {
                    end: AttemptEnd::Silent,
                    cause: MayHaveRunReason::ConnectionLost,
                });
            }
        }
        match awaited.within(self.request.remaining(), wait).await {
            Some(heard) => {
                self.note_end(SilenceEnd::Resumed, awaited, since, other);
                Ok(heard)
            }
            None => {
                self.note_end(SilenceEnd::Deadline, awaited, since, other);
                Err(Loss::deadline())
            }
        }
    }

    async fn other_target(&self) -> OtherTarget {
        let mut spec = self.request.request_spec();
        spec.tried_targets.push(Name::clone(self.target));
        self.request.front.placement.other_target(spec).await
    }

    /// Counts the end of a silence, and logs it unless the request has logged many.
    fn note_end(&self, end: SilenceEnd, awaited: Awaited, since: Instant, other: OtherTarget) {
        let OnlineRequest { front, id, logged_silences, .. } = self.request;
        front.metrics.silence_ended(end);
        if logged_silences.get() >= MAX_LOGGED {
            return;
        }
        logged_silences.set(logged_silences.get() + 1);
        let silence_ms = since.elapsed().as_millis() as u64;
        let text = match end {
            SilenceEnd::Resumed => "front: target spoke again",
            SilenceEnd::Moved | SilenceEnd::Gone | SilenceEnd::Deadline => {
                "front: silent target given up"
            }
        };
        log::info!(
            request = id, target = &**self.target, silence_ms, end = end.label(), awaited = awaited.label(),
            next_run = self.next_run.label(), other_target = other.label();
            "{text}"
        );
    }
}
