//! Waits for the next part of an answer, and decides what becomes of the attempt if its target is silent.
//!
//! See [`samphiredoor_core::silence`] for the rules. A request that runs once has no other target, so its attempt lasts until the
//! deadline; its silence still keeps other requests away from the target.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use futures_util::future::{Either, select};
use samphiredoor_core::{
    Name,
    placement::{AttemptEnd, SilentAttempt, SlotUse},
    silence::{
        CHECK_INTERVAL_MS, FailedProbes, NextRun, OtherTarget, SILENCE_LIMIT_MS, Signs, SilenceEnd,
        Verdict, verdict,
    },
    verdict::MayHaveRunReason,
};
use samphiredoor_net::pool::{within_or_late, within_or_ready};

use super::online::OnlineRequest;
use crate::placement::{Claim, Ticket};

const SILENCE_LIMIT: Duration = Duration::from_millis(SILENCE_LIMIT_MS);
const CHECK_INTERVAL: Duration = Duration::from_millis(CHECK_INTERVAL_MS);
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
pub struct Loss {
    /// Outcome of the attempt.
    pub end: AttemptEnd,
    /// Why it is unknown whether the request ran.
    pub cause: MayHaveRunReason,
    /// Slot that was claimed for the next attempt.
    pub claim: Option<Claim>,
}

impl Loss {
    /// The connection failed.
    pub fn lost(cause: MayHaveRunReason) -> Loss {
        Loss { end: AttemptEnd::Lost, cause, claim: None }
    }

    /// The caller stops waiting.
    pub fn deadline() -> Loss {
        Loss { end: AttemptEnd::Cut, cause: MayHaveRunReason::DeadlinePassed, claim: None }
    }

    /// The target is silent: the request goes on elsewhere, or the target is gone.
    fn silent(end: AttemptEnd, claim: Option<Claim>) -> Loss {
        Loss { end, cause: MayHaveRunReason::ConnectionLost, claim }
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

/// Result of a check of a silent target.
struct Checked {
    verdict: Verdict,
    claim: Option<Claim>,
}

impl Attempt<'_> {
    /// Waits for the next part of the answer; `is_data` tells whether it came from the target, as opposed to a failure of the
    /// connection.
    ///
    /// # Errors
    ///
    /// The request is better off elsewhere than at the silent target, the target is gone, or the deadline has passed. The
    /// connection has to be dropped before the request is sent again.
    pub async fn hear<F: Future>(
        &self,
        awaited: Awaited,
        wait: F,
        is_data: fn(&F::Output) -> bool,
    ) -> Result<F::Output, Loss> {
        let mut wait = std::pin::pin!(wait);
        let since = Instant::now();
        let remaining = self.request.remaining();
        let heard = match remaining > SILENCE_LIMIT {
            true => within_or_late(SILENCE_LIMIT, wait.as_mut()).await,
            false => awaited.within(remaining, wait.as_mut()).await,
        };
        if let Some(heard) = heard {
            return Ok(heard);
        }
        if remaining <= SILENCE_LIMIT {
            return Err(Loss::deadline());
        }
        let mut silence = Silence { since, awaited, other: OtherTarget::None };
        // Boxed, as it would make the future of each stream larger, and silences are rare.
        let heard = Box::pin(self.outlast(&mut silence, wait)).await;
        let end = match &heard {
            Ok(heard) if is_data(heard) => SilenceEnd::Resumed,
            Ok(_) => SilenceEnd::Gone,
            Err(Loss { end: AttemptEnd::Cut, .. }) => SilenceEnd::Deadline,
            Err(Loss { end: AttemptEnd::Silent, .. }) => SilenceEnd::Moved,
            Err(_) => SilenceEnd::Gone,
        };
        if end == SilenceEnd::Resumed {
            self.ticket.report_silence_ended();
        }
        self.note_end(end, &silence);
        heard
    }

    /// Waits on at a silent target, and checks at intervals whether to leave it.
    async fn outlast<F: Future + Unpin>(
        &self,
        silence: &mut Silence,
        mut wait: F,
    ) -> Result<F::Output, Loss> {
        loop {
            let begun = Instant::now();
            let checked = {
                let check = std::pin::pin!(self.check(silence));
                match select(&mut wait, check).await {
                    Either::Left((heard, _)) => return Ok(heard),
                    Either::Right((checked, _)) => checked,
                }
            };
            match checked.verdict {
                Verdict::Wait => {}
                Verdict::Move => return Err(Loss::silent(AttemptEnd::Silent, checked.claim)),
                Verdict::Gone(sign) => {
                    log::info!(
                        request = self.request.id, target = &**self.target, sign = sign.label();
                        "front: silent target is gone"
                    );
                    return Err(Loss::silent(AttemptEnd::Gone, None));
                }
            }
            let pause = CHECK_INTERVAL.saturating_sub(begun.elapsed());
            let pause = pause.min(self.request.remaining());
            if let Some(heard) = within_or_ready(pause, &mut wait).await {
                return Ok(heard);
            }
            if self.request.remaining().is_zero() {
                let heard = silence.awaited.within(Duration::ZERO, wait).await;
                return heard.ok_or_else(Loss::deadline);
            }
        }
    }

    /// Reports the silence, and finds out whether another target can take the request over or this one is gone.
    async fn check(&self, silence: &mut Silence) -> Checked {
        let slot_use = match self.next_run {
            NextRun::Allowed if !self.request.may_send() => SlotUse::Report,
            NextRun::Allowed => SlotUse::Claim,
            NextRun::AttemptsUsed | NextRun::RunsOnce | NextRun::NotResumable | NextRun::Late => {
                SlotUse::Report
            }
        };
        let mut next = self.request.request_spec();
        next.tried_targets.push(Name::clone(self.target));
        let front = &self.request.front;
        let attempt = SilentAttempt { request: self.ticket.request(), next, slot_use };
        let (report, claim) = front.placement.silent(attempt).await;
        silence.other = report.other;
        if self.next_run == NextRun::RunsOnce {
            return Checked { verdict: Verdict::Wait, claim: None };
        }
        let claimed = if claim.is_some() { OtherTarget::FreeSlot } else { OtherTarget::None };
        let failed_probes = match claimed {
            OtherTarget::FreeSlot => FailedProbes::default(),
            OtherTarget::None => front.target_probes.failed(self.address).await,
        };
        let signs = Signs {
            silence_ms: silence.since.elapsed().as_millis() as u64,
            listing: report.listing,
            failed_probes,
        };
        Checked { verdict: verdict(claimed, signs), claim }
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
