//! Resumptions of streams: what a caller says of the stream that it takes up, and what is logged of each.

use hyper::{HeaderMap, header::HeaderName};
use samphiredoor_core::{routes::RouteKind, software_versions::StreamOrigin};

use super::header_number;
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
pub enum ResumedBy {
    /// The gateway, within its answer.
    Gateway,
    /// The caller, with another request.
    Caller,
}

impl ResumedBy {
    /// Label in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            ResumedBy::Gateway => "gateway",
            ResumedBy::Caller => "caller",
        }
    }
}

/// Label in logs and metrics of the version at which a stream goes on, compared to the one that began it.
pub fn version_label(began: Option<&StreamOrigin>, goes_on: &StreamOrigin) -> &'static str {
    match began {
        None => "unknown",
        Some(began) if began.version == goes_on.version => "same",
        Some(_) => "other",
    }
}
