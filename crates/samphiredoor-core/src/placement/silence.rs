//! Requests whose targets are silent: the targets are avoided meanwhile, and other targets take the requests over if they have
//! free slots.
//!
//! A free slot at another target is found and held in one step. Otherwise all requests of a silent
//! target would leave it for the same slot, and those that do not get it would have lost their runs.

use super::{Action, Placement, RequestSpec};
use crate::{
    dispatch::RequestId,
    silence::{Listing, OtherTarget},
};

/// What is done with a slot that is found for a request whose target is silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotUse {
    /// The request is dispatched there.
    Hold,
    /// It is only reported.
    Report,
}

/// A request whose target is silent.
#[derive(Debug, Clone)]
pub struct SilentAttempt {
    /// Request at the silent target.
    pub request: RequestId,
    /// The request as it would be sent to another target, with the silent one among those tried.
    pub next: RequestSpec,
    /// What is done with a slot that is found.
    pub slot_use: SlotUse,
}

/// What is known of a silent target, and of others that could take a request over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilenceReport {
    /// Whether discovery lists the process that the request was sent to.
    pub listing: Listing,
    /// Whether another target has a free slot.
    pub other: OtherTarget,
}

impl Placement {
    /// Notes that the target of a request is silent, and dispatches the request to another target if it may and there is one.
    pub fn handle_silence(
        &mut self,
        now_ms: u64,
        attempt: &SilentAttempt,
        out: &mut Vec<Action>,
    ) -> SilenceReport {
        self.refresh_shares(now_ms);
        let listing = self.begin_silence(attempt.request);
        let Some(key) = self.free_other_target(now_ms, &attempt.next) else {
            return SilenceReport { listing, other: OtherTarget::None };
        };
        match attempt.slot_use {
            SlotUse::Hold => self.dispatch(now_ms, key, &attempt.next, out),
            SlotUse::Report => {}
        }
        SilenceReport { listing, other: OtherTarget::FreeSlot }
    }

    fn begin_silence(&mut self, request: RequestId) -> Listing {
        let Some(running) = self.running.get_mut(&request) else { return Listing::Unlisted };
        let Some(target) = self.targets.get_mut(&running.target) else { return Listing::Unlisted };
        if target.entry.started_unix_ms != running.target_started_unix_ms {
            return Listing::Restarted;
        }
        if !std::mem::replace(&mut running.is_silent, true) {
            target.begin_silence(request);
        }
        Listing::Listed
    }

    /// Notes that the target of a request has sent data.
    pub(super) fn end_silence(&mut self, request: RequestId) {
        let Some(running) = self.running.get_mut(&request) else { return };
        running.is_silent = false;
        if let Some(target) = self.targets.get_mut(&running.target) {
            target.end_silence();
        }
    }
}
