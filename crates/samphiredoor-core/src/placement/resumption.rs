//! Requests that go on with a stream: they need a target of the software version that began it.
//!
//! An online request never goes on at another version, and precedes new requests: the work that its stream has cost would be
//! lost. An item prefers the version, but begins anew at another one if there is no target of it, or none with a free slot
//! for about as long as it takes to do the work again.

use super::{Action, Class, Placement, RequestSpec, queue::Queue};
use crate::{
    Name,
    names::name_hash,
    software_versions::{RETRY_AFTER_MS, StreamOrigin},
    verdict::Refusal,
};

impl Placement {
    /// Places a request that goes on with a stream, or refuses it at once if no target can.
    pub(super) fn place_resumption(
        &mut self,
        now_ms: u64,
        spec: RequestSpec,
        out: &mut Vec<Action>,
    ) {
        let is_ambiguous = spec.resumes.as_ref().is_some_and(|it| self.is_ambiguous(&it.origin));
        let reason = match () {
            () if is_ambiguous => Refusal::VersionUnknown,
            () if !self.has_usable(now_ms, &spec) => Refusal::VersionGone,
            () => {
                match self.best_online(now_ms, &spec) {
                    Some(key) => self.dispatch(now_ms, key, &spec, out),
                    None => self.queues_of(&spec).online.push_resumption(spec),
                }
                return;
            }
        };
        let request = spec.request;
        out.push(Action::Refuse { request, reason, retry_after_ms: RETRY_AFTER_MS });
    }

    /// Dispatches waiting requests that go on with a stream, or refuses those that have waited for too long.
    pub(super) fn dispatch_resumptions(
        &mut self,
        now_ms: u64,
        queue: &mut Queue,
        out: &mut Vec<Action>,
    ) {
        for spec in queue.take_resumptions() {
            if let Some(key) = self.best_online(now_ms, &spec) {
                self.dispatch(now_ms, key, &spec, out);
            } else if now_ms >= spec.deadline_ms {
                self.refuse_full(&spec, out);
            } else {
                queue.push_resumption(spec);
            }
        }
    }

    /// Version at which the request has to run; `None` if any will do.
    pub(super) fn required_version<'a>(
        &self,
        now_ms: u64,
        spec: &'a RequestSpec,
    ) -> Option<&'a Name> {
        let resumption = spec.resumes.as_ref()?;
        let version = &resumption.origin.version;
        let is_required = match spec.class {
            Class::Online => true,
            Class::Batch => {
                now_ms < resumption.until_ms
                    && resumption.origin.is_of_service(name_hash(&spec.service))
                    && !self.is_ambiguous(&resumption.origin)
                    && self
                        .ready(&spec.service)
                        .any(|(_, it)| it.entry.software_version == *version)
            }
        };
        is_required.then_some(version)
    }

    /// Whether a request goes on with its stream at a target.
    pub(super) fn goes_on_at(&self, spec: &RequestSpec, target: &StreamOrigin) -> bool {
        spec.resumes.as_ref().is_some_and(|it| {
            it.origin.version == target.version
                && it.origin.is_of_service(target.service)
                && !self.is_ambiguous(&it.origin)
        })
    }

    /// Whether the target of an origin has started again at another version.
    fn is_ambiguous(&self, origin: &StreamOrigin) -> bool {
        let target = self.targets.get(&origin.target);
        target.is_some_and(|it| origin.is_ambiguous_after(&it.entry.stream_origin()))
    }
}
