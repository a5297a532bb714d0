//! Waits for targets that are silent, see [`samphiredoor_core::silence`] for the rules. Online requests and items of jobs wait
//! alike.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use futures_util::future::{Either, select};
use samphiredoor_core::{
    dispatch::RequestId,
    placement::{AttemptEnd, RequestSpec, SilenceReport, SilentAttempt, SlotUse},
    silence::{
        CHECK_INTERVAL_MS, FailedProbes, GoneSign, Listing, NextRun, OtherTarget, Signs, Verdict,
        verdict,
    },
};
use samphiredoor_net::{
    pool::within_or_ready,
    probe::{ProbeResult, probe},
};

use crate::{
    placement::{Decision, HeldSlot, PlacementHandle},
    target_probes::TargetProbes,
};

const CHECK_INTERVAL: Duration = Duration::from_millis(CHECK_INTERVAL_MS);

/// An attempt whose target is silent.
pub struct SilentTarget<'a> {
    /// Placement of requests.
    pub placement: &'a PlacementHandle,
    /// Probes that all attempts share.
    pub probes: &'a TargetProbes,
    /// Request at the target.
    pub request: RequestId,
    /// Address of the target.
    pub address: SocketAddr,
    /// When the time of the attempt is up.
    pub until: Instant,
}

/// What the checks of a silent target have found.
struct Found {
    /// Whether another target had a free slot at the last check.
    other: OtherTarget,
    /// Since when no check has found the target listed.
    unlisted_since: Option<Instant>,
}

impl Found {
    /// Notes what a check has found, and returns for how long the target has not been listed.
    fn note(&mut self, report: SilenceReport) -> u64 {
        self.other = report.other;
        match report.listing {
            Listing::Unlisted => {
                let since = *self.unlisted_since.get_or_insert_with(Instant::now);
                since.elapsed().as_millis() as u64
            }
            Listing::Listed | Listing::Restarted => {
                self.unlisted_since = None;
                0
            }
        }
    }
}

/// How the wait for a silent target has ended.
pub enum WaitEnd<T> {
    /// The awaited part has arrived, or the connection failed.
    Received(T),
    /// Another target can take the request over, in the slot that is held there.
    Move(HeldSlot),
    /// The target is gone.
    Gone(GoneSign),
    /// The time is up.
    TimeUp,
}

impl SilentTarget<'_> {
    /// Waits for the next part of the answer, and checks at intervals whether to leave it. `next` is the request as it would be sent to
    /// another target, with the silent one among those tried, and whether it may be. The second value of the result is
    /// whether another target had a free slot at the last check.
    pub async fn wait<F: Future + Unpin>(
        &self,
        next: impl Fn() -> (RequestSpec, NextRun),
        mut wait: F,
    ) -> (WaitEnd<F::Output>, OtherTarget) {
        let mut found = Found { other: OtherTarget::None, unlisted_since: None };
        loop {
            let begun = Instant::now();
            let checked = {
                let (spec, next_run) = next();
                let check = std::pin::pin!(self.check(spec, next_run, &mut found));
                match select(&mut wait, check).await {
                    Either::Left((received, _)) => Err(received),
                    Either::Right((checked, _)) => Ok(checked),
                }
            };
            match checked {
                Err(received) => return (WaitEnd::Received(received), found.other),
                Ok((_, Some(held))) => return (WaitEnd::Move(held), found.other),
                Ok((Verdict::Gone(sign), None)) => return (WaitEnd::Gone(sign), found.other),
                Ok((Verdict::Wait | Verdict::Move, None)) => {}
            }
            let left = self.until.saturating_duration_since(Instant::now());
            let pause = CHECK_INTERVAL.saturating_sub(begun.elapsed()).min(left);
            if let Some(received) = within_or_ready(pause, &mut wait).await {
                return (WaitEnd::Received(received), found.other);
            }
            if Instant::now() >= self.until {
                return (WaitEnd::TimeUp, found.other);
            }
        }
    }

    /// Reports the silence, and finds out whether another target can take the request over or this one is gone.
    async fn check(
        &self,
        next: RequestSpec,
        next_run: NextRun,
        found: &mut Found,
    ) -> (Verdict, Option<HeldSlot>) {
        let slot_use = match next_run {
            NextRun::Allowed => SlotUse::Hold,
            NextRun::AttemptsUsed | NextRun::RunsOnce | NextRun::NotResumable | NextRun::Late => {
                SlotUse::Report
            }
        };
        let attempt = SilentAttempt { request: self.request, next, slot_use };
        let (report, held) = self.placement.silent(attempt).await;
        let unlisted_ms = found.note(report);
        if next_run == NextRun::RunsOnce {
            return (Verdict::Wait, None);
        }
        let held = match held {
            Some(held) => accepting(held).await,
            None => None,
        };
        let held_at = if held.is_some() { OtherTarget::FreeSlot } else { OtherTarget::None };
        let failed_probes = match held_at {
            OtherTarget::FreeSlot => FailedProbes::default(),
            OtherTarget::None => self.probes.failed(self.address).await,
        };
        let signs = Signs { listing: report.listing, unlisted_ms, failed_probes };
        (verdict(held_at, signs), held)
    }
}

/// The held slot if its target accepts connections, so that a silent target, which may go on, is not left for one that has
/// crashed; otherwise gives the slot back.
async fn accepting(mut held: HeldSlot) -> Option<HeldSlot> {
    let Decision::Dispatch { address, .. } = held.decision else { return None };
    match probe(address).await {
        ProbeResult::Accepted => Some(held),
        ProbeResult::Refused | ProbeResult::Unanswered => {
            held.ticket.report_end(AttemptEnd::Unreachable);
            None
        }
    }
}
