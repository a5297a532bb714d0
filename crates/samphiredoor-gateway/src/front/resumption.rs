//! Resumptions of streams: what a caller says of the stream that it takes up, at which software version it may go on, and what
//! other gateways have to know of a stream that begins here.

use hyper::{HeaderMap, header::HeaderName};
use samphiredoor_core::{
    Name,
    placement::name_hash,
    routes::RouteKind,
    software_versions::{Found, RETRY_AFTER_MS, StreamOrigin},
    verdict::Refusal,
};

use super::{
    header_number,
    online::{NoAnswer, OnlineRequest},
};
use crate::platform_api::HeaderNames;

/// A stream that its caller takes up again after a broken connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TakenUp {
    /// Number of the last event that the caller received.
    pub after: u64,
    /// Id of the caller's attempt that brought the first event; `None` if the caller does not name it.
    pub first_attempt: Option<String>,
}

impl TakenUp {
    /// The stream that a request takes up; `None` if it begins a stream, or its route has no streams that can be resumed.
    pub fn of_request(
        kind: &RouteKind,
        names: &HeaderNames,
        headers: &HeaderMap,
    ) -> Option<TakenUp> {
        if !matches!(kind, RouteKind::Stream { resumable: true }) {
            return None;
        }
        let after = header_number(headers.get(&names.last_event_id))?;
        let first_attempt = text(headers, &names.resumes).map(str::to_owned);
        Some(TakenUp { after, first_attempt })
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().filter(|it| !it.is_empty())
}

/// Who has a stream go on after an interruption.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ResumedBy {
    /// The gateway, within its answer.
    Gateway,
    /// The caller, with another request.
    Caller,
}

impl ResumedBy {
    /// Label in logs and metrics.
    fn label(self) -> &'static str {
        match self {
            ResumedBy::Gateway => "gateway",
            ResumedBy::Caller => "caller",
        }
    }
}

/// Label in logs and metrics of the version at which a stream goes on, compared to the one that began it.
fn version_label(began: &StreamOrigin, goes_on: &StreamOrigin) -> &'static str {
    if began.version == goes_on.version { "same" } else { "other" }
}

impl OnlineRequest {
    /// Finds out at which version the stream was begun that the caller takes up, if it does.
    pub(super) async fn find_origin(&mut self) -> Result<(), NoAnswer> {
        let Some(taken_up) = &self.taken_up else { return Ok(()) };
        let service = self.service.as_deref().unwrap_or_default();
        let origins = &self.front.stream_origins;
        let found = match &taken_up.first_attempt {
            Some(first) => origins.find(first, service, self.route.timeout_ms).await,
            // The caller does not know of versions.
            None => origins.find_unnamed(&self.id, service, self.route.timeout_ms).await,
        };
        match found {
            Found::Origin(origin) => self.go_on_from(origin),
            Found::Unknown => {
                log::info!(
                    request = self.id, resumes = taken_up.first_attempt.as_deref().unwrap_or_default(),
                    after = taken_up.after;
                    "front: version of a stream is unknown"
                );
                Err(NoAnswer::Refused {
                    reason: Refusal::VersionUnknown,
                    retry_after_ms: RETRY_AFTER_MS,
                })
            }
        }
    }

    /// Sets the origin of the stream that is taken up, and chooses its service unless the route no longer sends requests there.
    fn go_on_from(&mut self, origin: StreamOrigin) -> Result<(), NoAnswer> {
        let chosen = self.service.as_deref().unwrap_or_default();
        if !origin.is_of_service(name_hash(chosen)) {
            let Some(service) = self.route.service_with_hash(origin.service) else {
                log::info!(request = self.id, chosen; "front: route of a stream has moved");
                return Err(NoAnswer::Refused {
                    reason: Refusal::VersionGone,
                    retry_after_ms: RETRY_AFTER_MS,
                });
            };
            self.service = Some(Name::clone(service));
        }
        self.origin = Some(origin);
        Ok(())
    }

    /// Notes the version at which a stream begins or goes on.
    pub(super) fn note_version(&mut self, target: &Name, origin: StreamOrigin) {
        let Some(began) = &self.origin else {
            self.remember_origin(&self.id, &origin);
            self.origin = Some(origin);
            return;
        };
        let resumed_by = match &self.taken_up {
            Some(taken_up) if !self.has_begun => {
                if let Some(first) = &taken_up.first_attempt {
                    self.remember_origin(first, began);
                }
                ResumedBy::Caller
            }
            _ => ResumedBy::Gateway,
        };
        let label = version_label(began, &origin);
        self.front.metrics.stream_resumed(resumed_by.label(), label);
        let taken_up = self.taken_up.as_ref();
        log::info!(
            request = self.id, target = &**target, by = resumed_by.label(), version = &*origin.version,
            began_at_version = &*began.version, compared = label,
            resumes = taken_up.and_then(|it| it.first_attempt.as_deref()).unwrap_or_default(),
            after = taken_up.map_or(0, |it| it.after), asked_after = self.asked_after().unwrap_or(0);
            "front: stream resumed"
        );
        self.has_begun = true;
    }

    /// Lets other gateways know at which version a stream was begun, so that its caller can take it up there.
    fn remember_origin(&self, first_attempt: &str, origin: &StreamOrigin) {
        if !matches!(self.route.kind, RouteKind::Stream { resumable: true }) {
            return;
        }
        let service = self.service.as_deref().unwrap_or_default();
        self.front.stream_origins.begun(first_attempt, service, origin, self.route.timeout_ms);
    }
}
