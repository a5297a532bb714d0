//! Answers that the gateway itself generates, as opposed to answers forwarded from targets.

use hyper::{Response, StatusCode, header};
use samphiredoor_core::verdict::{MayHaveRunReason, Refusal, Verdict};
use samphiredoor_net::{Body, answers};
use serde::Serialize;
use serde_json::json;

/// Response with a JSON body.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    answers::json(status, serde_json::to_vec(value).unwrap_or_default())
}

/// Answer to a malformed request; `field` names the header, field or line that is wrong.
pub fn bad_request(field: &str, problem: &str) -> Response<Body> {
    let value = json!({
        "error": {
            "type": Refusal::BadRequest.label(),
            "field": field,
            "message": format!("{field}: {problem}"),
            "ran": "not run",
        }
    });
    json_response(StatusCode::BAD_REQUEST, &value)
}

/// Answer for a path or object that does not exist.
pub fn not_found(what: &str) -> Response<Body> {
    let value = json!({ "error": { "type": "not_found", "message": what, "ran": "not run" } });
    json_response(StatusCode::NOT_FOUND, &value)
}

/// Answer to a request that got no answer from a target.
///
/// The response's extensions hold the verdict, so that the outcome of a keyed request can be recorded.
pub fn verdict_response(verdict: Verdict) -> Response<Body> {
    let mut response = match verdict {
        Verdict::NotRun { retry_after_ms, reason } => not_run(retry_after_ms, reason),
        Verdict::MayHaveRun { reason } => may_have_run(reason),
        Verdict::Done => json_response(StatusCode::OK, &json!({})),
    };
    response.extensions_mut().insert(verdict);
    response
}

/// JSON text of a verdict, for the error event of a stream.
pub fn verdict_json(verdict: Verdict) -> serde_json::Value {
    match verdict {
        Verdict::NotRun { retry_after_ms, reason } => json!({
            "error": {
                "type": reason.label(),
                "message": refusal_message(reason),
                "ran": "not run",
                "retry_after_ms": retry_after_ms,
            }
        }),
        Verdict::MayHaveRun { reason } => json!({
            "error": {
                "type": reason.label(),
                "message": may_have_run_message(reason),
                "ran": "may have run",
            }
        }),
        Verdict::Done => json!({}),
    }
}

fn not_run(retry_after_ms: u64, reason: Refusal) -> Response<Body> {
    let verdict = Verdict::NotRun { retry_after_ms, reason };
    let mut response = json_response(refusal_status(reason), &verdict_json(verdict));
    if retry_after_ms > 0 {
        let seconds = retry_after_ms.div_ceil(1_000);
        if let Ok(value) = header::HeaderValue::from_str(&seconds.to_string()) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

fn may_have_run(reason: MayHaveRunReason) -> Response<Body> {
    let status = match reason {
        MayHaveRunReason::StillRunning => StatusCode::CONFLICT,
        MayHaveRunReason::TargetsDied => StatusCode::UNPROCESSABLE_ENTITY,
        MayHaveRunReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        MayHaveRunReason::StoreAnswerLost => StatusCode::SERVICE_UNAVAILABLE,
        MayHaveRunReason::ConnectionLost
        | MayHaveRunReason::AnswerCut
        | MayHaveRunReason::IntentWithoutOutcome
        | MayHaveRunReason::AnswerNotKept => StatusCode::BAD_GATEWAY,
    };
    let mut response = json_response(status, &verdict_json(Verdict::MayHaveRun { reason }));
    if matches!(reason, MayHaveRunReason::StillRunning | MayHaveRunReason::StoreAnswerLost) {
        let soon = header::HeaderValue::from_static("1");
        response.headers_mut().insert(header::RETRY_AFTER, soon);
    }
    response
}

fn refusal_status(reason: Refusal) -> StatusCode {
    match reason {
        Refusal::BadRequest => StatusCode::BAD_REQUEST,
        Refusal::UnknownService => StatusCode::NOT_FOUND,
        Refusal::Unauthorized => StatusCode::UNAUTHORIZED,
        Refusal::WorkspaceLimit => StatusCode::TOO_MANY_REQUESTS,
        Refusal::KeyReused => StatusCode::CONFLICT,
        Refusal::KeysFull => StatusCode::SERVICE_UNAVAILABLE,
        Refusal::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        Refusal::NoTarget
        | Refusal::Overloaded
        | Refusal::DeadlineTooShort
        | Refusal::ConnectFailed
        | Refusal::StoreUnavailable
        | Refusal::Stopping
        | Refusal::NotReady
        | Refusal::JobTooLate
        | Refusal::VersionUnknown
        | Refusal::VersionGone => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn refusal_message(reason: Refusal) -> &'static str {
    match reason {
        Refusal::BadRequest => "the request is malformed",
        Refusal::UnknownService => "no such service is declared; check the model or path",
        Refusal::NoTarget => "no target of the service accepts requests now",
        Refusal::Overloaded => "all targets are busy; retry after the given time",
        Refusal::Unauthorized => "the request carries no API key of a workspace",
        Refusal::WorkspaceLimit => "the workspace has reached its limit",
        Refusal::DeadlineTooShort => "the answer would come after the deadline",
        Refusal::ConnectFailed => "no target accepted a connection",
        Refusal::StoreUnavailable => {
            "the object store is unreachable; this request was not run, an earlier one with the same key may have been"
        }
        Refusal::Quarantined => "the request is suspected of crashing targets; ask their owner",
        Refusal::KeyReused => "the idempotency key was used for another request",
        Refusal::KeysFull => "no more idempotency keys can be stored now",
        Refusal::Stopping => "this process is stopping; send the request again",
        Refusal::NotReady => "this process has no configuration yet",
        Refusal::JobTooLate => "the job could not be done by its due time",
        Refusal::VersionUnknown => "it is not known which software version began the stream",
        Refusal::VersionGone => "no target is left of the software version that began the stream",
    }
}

fn may_have_run_message(reason: MayHaveRunReason) -> &'static str {
    match reason {
        MayHaveRunReason::ConnectionLost => {
            "the connection to the target was lost before it answered"
        }
        MayHaveRunReason::AnswerCut => "the target's answer was cut off",
        MayHaveRunReason::DeadlinePassed => "the deadline passed before the answer came",
        MayHaveRunReason::IntentWithoutOutcome => {
            "an earlier run of this request has no recorded outcome"
        }
        MayHaveRunReason::StoreAnswerLost => {
            "the object store did not answer; sending again is safe"
        }
        MayHaveRunReason::StillRunning => "the same request is running; send again for its answer",
        MayHaveRunReason::AnswerNotKept => "the request ran; its answer was too large to be stored",
        MayHaveRunReason::TargetsDied => "targets died while the request ran; do not send it again",
    }
}
