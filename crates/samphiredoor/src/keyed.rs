//! Handles an online request with an idempotency key: it runs at most once, and a resend gets the first answer.
//!
//! The run continues if its caller disconnects, so that the answer is available for the resend. A streamed answer is
//! forwarded as it arrives and stored once it is complete; its run ends if the caller disconnects, and is then recorded
//! as one that may have run.

use std::{sync::Arc, time::Instant};

use futures_channel::oneshot;
use http_body_util::BodyExt;
use hyper::{HeaderMap, Response, StatusCode, header};
use samphiredoor_core::{
    Name,
    dispatch::{Class, RequestSpec},
    idempotency::{KeyOutcome, KeyedRequest, MAX_BODY_BYTES, SavedAnswer, key_id},
    verdict::{MayHaveRunReason, Refusal, Verdict},
};
use samphiredoor_net::{Body, BoxError, pool::within};

use crate::{
    answers::{bad_request, verdict_response},
    keys_task::{KeyDecision, KeyedRequestHandle},
    online::OnlineRequest,
    request_spec::{KEY_HEADER, header_text},
    stream_end::StreamEnd,
    targets::Call,
};

const MAX_KEY_BYTES: usize = 256;
/// Header that marks the saved answer of an earlier send of the same request.
pub const REPLAYED_HEADER: &str = "x-replayed";

/// The caller's idempotency key, if it sent one.
///
/// # Errors
///
/// Returns the answer to the caller if the key is invalid.
pub fn caller_key(headers: &HeaderMap) -> Result<Option<Name>, Response<Body>> {
    if !headers.contains_key(KEY_HEADER) {
        return Ok(None);
    }
    match header_text(headers, KEY_HEADER) {
        Some(key) if (1..=MAX_KEY_BYTES).contains(&key.len()) => Ok(Some(key.into())),
        _ => Err(bad_request(KEY_HEADER, "use 1 to 256 bytes of visible ASCII")),
    }
}

/// Answers a request with an idempotency key.
pub async fn answer(mut online: OnlineRequest, mut spec: RequestSpec, key: Name) -> Response<Body> {
    // A run must end before its key is forgotten; otherwise a resend could start a second one.
    let max_run = online.door.config.remember_keys / 2;
    online.deadline = online.deadline.min(Instant::now() + max_run);
    // A keyed request that may have run is never sent to a second target, even if its service allows repeated calls.
    spec.repeatable = false;
    let request = KeyedRequest {
        request: spec.request,
        key: key_id(&spec.workspace, &key),
        digest: digest(&spec.service, &online.call),
        deadline_unix_ms: online.door.clock.now().unix_ms + online.time_left().as_millis() as u64,
    };
    let mut handle = online.door.keys.submit(request);
    let mut is_joined = false;
    loop {
        match within(online.time_left(), handle.decision()).await {
            Some(KeyDecision::Run) => return run(online, spec, handle).await,
            Some(KeyDecision::Joined) => is_joined = true,
            Some(KeyDecision::Replay(answer)) => return replay(&online, answer),
            Some(KeyDecision::Refused(verdict)) => return online.refused(verdict),
            None if is_joined => {
                let reason = MayHaveRunReason::StillRunning;
                return online.refused(Verdict::MayHaveRun { reason });
            }
            None => {
                let reason = Refusal::DeadlineTooShort;
                return online.refused(Verdict::NotRun { retry_after_ms: 0, reason });
            }
        }
    }
}

fn digest(service: &str, call: &Call) -> Name {
    let mut hasher = blake3::Hasher::new();
    for part in [service.as_bytes(), call.method.as_str().as_bytes()] {
        hasher.update(part);
        hasher.update(&[0]);
    }
    hasher.update(call.uri.path_and_query().map_or("", |it| it.as_str()).as_bytes());
    hasher.update(&[0]);
    hasher.update(&call.body);
    Arc::from(&hasher.finalize().to_hex()[..32])
}

/// Runs the request in a task of its own, so that the run is completed and recorded even if the caller disconnects.
async fn run(
    online: OnlineRequest,
    spec: RequestSpec,
    handle: KeyedRequestHandle,
) -> Response<Body> {
    let (sender, receiver) = oneshot::channel();
    compio::runtime::spawn(async move {
        let response = record(online.run(spec).await, handle);
        let _ = sender.send(response);
    })
    .detach();
    match receiver.await {
        Ok(response) => response,
        Err(_) => {
            verdict_response(Verdict::MayHaveRun { reason: MayHaveRunReason::ConnectionLost })
        }
    }
}

fn record(response: Response<Body>, handle: KeyedRequestHandle) -> Response<Body> {
    if let Some(verdict) = response.extensions().get::<Verdict>() {
        match *verdict {
            Verdict::NotRun { retry_after_ms, reason } => {
                handle.ended(KeyOutcome::NotRun { retry_after_ms, reason });
            }
            Verdict::MayHaveRun { reason } => handle.ended(KeyOutcome::MayHaveRun(reason)),
            Verdict::Done => {}
        }
        return response;
    }
    let (parts, body) = response.into_parts();
    let content_type = header_text(&parts.headers, header::CONTENT_TYPE.as_str());
    let mut saved = SavedAnswer {
        status: parts.status.as_u16(),
        content_type: content_type.unwrap_or_default().into(),
        body: None,
    };
    let body = match body {
        Body::Full(content) => {
            let bytes = content.clone().unwrap_or_default();
            saved.body = (bytes.len() <= MAX_BODY_BYTES).then(|| bytes.as_ref().into());
            handle.ended(KeyOutcome::Answered(saved));
            Body::Full(content)
        }
        Body::Stream(_) | Body::ReadAhead(_) | Body::Early(_) => {
            record_stream(body, parts.extensions.get().cloned(), saved, handle)
        }
    };
    Response::from_parts(parts, body)
}

struct Recording {
    body: Body,
    end: Option<StreamEnd>,
    saved: SavedAnswer,
    bytes: Vec<u8>,
    handle: KeyedRequestHandle,
}

fn record_stream(
    body: Body,
    end: Option<StreamEnd>,
    saved: SavedAnswer,
    handle: KeyedRequestHandle,
) -> Body {
    let recording = Recording { body, end, saved, bytes: Vec::new(), handle };
    Body::stream(futures_util::stream::unfold(Some(recording), Recording::next))
}

type Piece = Result<bytes::Bytes, BoxError>;

impl Recording {
    async fn next(recording: Option<Recording>) -> Option<(Piece, Option<Recording>)> {
        let mut this = recording?;
        match this.body.frame().await {
            Some(Ok(frame)) => {
                let piece = frame.into_data().unwrap_or_default();
                // One byte above the limit is enough to detect that the answer is too large.
                let remaining = (MAX_BODY_BYTES + 1).saturating_sub(this.bytes.len());
                this.bytes.extend_from_slice(&piece[..piece.len().min(remaining)]);
                Some((Ok(piece), Some(this)))
            }
            Some(Err(err)) => Some((Err(err), None)),
            None => {
                this.ended();
                None
            }
        }
    }

    fn ended(mut self) {
        match self.end.and_then(|it| it.get()) {
            Some(Verdict::Done) => {
                if self.bytes.len() <= MAX_BODY_BYTES {
                    self.saved.body = Some(self.bytes.into());
                }
                self.handle.ended(KeyOutcome::Answered(self.saved));
            }
            Some(Verdict::MayHaveRun { reason }) => {
                self.handle.ended(KeyOutcome::MayHaveRun(reason));
            }
            Some(Verdict::NotRun { .. }) | None => {
                self.handle.ended(KeyOutcome::MayHaveRun(MayHaveRunReason::AnswerCut));
            }
        }
    }
}

fn replay(online: &OnlineRequest, answer: SavedAnswer) -> Response<Body> {
    let Some(body) = answer.body else {
        return online.refused(Verdict::MayHaveRun { reason: MayHaveRunReason::AnswerNotKept });
    };
    let elapsed_s = online.started.elapsed().as_secs_f64();
    online.door.metrics.count_outcome(Class::Online, Verdict::Done, elapsed_s);
    let mut response = Response::new(Body::full(body.to_vec()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    if let Ok(content_type) = header::HeaderValue::from_str(&answer.content_type)
        && !content_type.is_empty()
    {
        headers.insert(header::CONTENT_TYPE, content_type);
    }
    headers.insert(REPLAYED_HEADER, header::HeaderValue::from_static("true"));
    response
}
