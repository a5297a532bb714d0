//! One online request under an idempotency key: it runs at most once, and a resend gets the first answer.
//!
//! The run goes on when its caller goes away, so that the answer is there for the resend. A streamed answer is passed
//! on as it comes and kept once it is complete; its run ends with its caller, and then counts as one that may have run.

use std::{sync::Arc, time::Instant};

use futures_channel::oneshot;
use http_body_util::BodyExt;
use hyper::{HeaderMap, Response, StatusCode, header};
use samphiredoor_core::{
    Name,
    dispatch::{Class, RequestSpec},
    keys::{KeptAnswer, KeyOutcome, KeyedRequest, MAX_BODY_BYTES, key_id},
    verdict::{MayHaveRunReason, Refusal, Verdict},
};
use samphiredoor_net::{Body, BoxError, pool::within};

use crate::{
    answers::{bad_request, verdict_answer},
    ask::{KEY_HEADER, header_text},
    keys_task::{KeyDecision, KeyTicket},
    online::Online,
    stream_end::StreamEnd,
    targets::Call,
};

const MAX_KEY_BYTES: usize = 256;
/// Header of an answer that was kept from an earlier sending.
pub const REPLAYED_HEADER: &str = "x-replayed";

/// The caller's key, if it sent one.
///
/// # Errors
///
/// An answer that says what is wrong with the key.
pub fn caller_key(headers: &HeaderMap) -> Result<Option<Name>, Response<Body>> {
    if !headers.contains_key(KEY_HEADER) {
        return Ok(None);
    }
    match header_text(headers, KEY_HEADER) {
        Some(key) if (1..=MAX_KEY_BYTES).contains(&key.len()) => Ok(Some(key.into())),
        _ => Err(bad_request(KEY_HEADER, "use 1 to 256 bytes of visible ASCII")),
    }
}

/// Answers a request under a key.
pub async fn answer(mut online: Online, mut ask: RequestSpec, key: Name) -> Response<Body> {
    // A run that outlived the memory of its key could meet a second one.
    let longest = online.door.config.remember_keys / 2;
    online.deadline = online.deadline.min(Instant::now() + longest);
    // A keyed request is never sent to a second target after doubt, also where its service may be called again.
    ask.repeatable = false;
    let arrival = KeyedRequest {
        request: ask.request,
        key: key_id(&ask.workspace, &key),
        digest: digest(&ask.service, &online.call),
        deadline_unix_ms: online.door.clock.now().unix_ms + online.time_left().as_millis() as u64,
    };
    let mut ticket = online.door.keys.arrive(arrival);
    let mut joined = false;
    loop {
        match within(online.time_left(), ticket.decision()).await {
            Some(KeyDecision::Run) => return run(online, ask, ticket).await,
            Some(KeyDecision::Joined) => joined = true,
            Some(KeyDecision::Replay(answer)) => return replay(&online, answer),
            Some(KeyDecision::Refused(verdict)) => return online.refused(verdict),
            None if joined => {
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

/// Runs in a task of its own: the caller may go away, the run and its record go on.
async fn run(online: Online, ask: RequestSpec, ticket: KeyTicket) -> Response<Body> {
    let (sender, receiver) = oneshot::channel();
    compio::runtime::spawn(async move {
        let response = record(online.run(ask).await, ticket);
        let _ = sender.send(response);
    })
    .detach();
    match receiver.await {
        Ok(response) => response,
        Err(_) => verdict_answer(Verdict::MayHaveRun { reason: MayHaveRunReason::ConnectionLost }),
    }
}

fn record(response: Response<Body>, ticket: KeyTicket) -> Response<Body> {
    if let Some(verdict) = response.extensions().get::<Verdict>() {
        match *verdict {
            Verdict::NotRun { retry_after_ms, reason } => {
                ticket.ended(KeyOutcome::NotRun { retry_after_ms, reason });
            }
            Verdict::MayHaveRun { reason } => ticket.ended(KeyOutcome::MayHaveRun(reason)),
            Verdict::Done => {}
        }
        return response;
    }
    let (parts, body) = response.into_parts();
    let content_type = header_text(&parts.headers, header::CONTENT_TYPE.as_str());
    let mut kept = KeptAnswer {
        status: parts.status.as_u16(),
        content_type: content_type.unwrap_or_default().into(),
        body: None,
    };
    let body = match body {
        Body::Full(content) => {
            let bytes = content.clone().unwrap_or_default();
            kept.body = (bytes.len() <= MAX_BODY_BYTES).then(|| bytes.as_ref().into());
            ticket.ended(KeyOutcome::Answered(kept));
            Body::Full(content)
        }
        Body::Stream(_) => record_stream(body, parts.extensions.get().cloned(), kept, ticket),
    };
    Response::from_parts(parts, body)
}

struct Recording {
    body: Body,
    end: Option<StreamEnd>,
    kept: KeptAnswer,
    bytes: Vec<u8>,
    ticket: KeyTicket,
}

fn record_stream(body: Body, end: Option<StreamEnd>, kept: KeptAnswer, ticket: KeyTicket) -> Body {
    let recording = Recording { body, end, kept, bytes: Vec::new(), ticket };
    Body::stream(futures_util::stream::unfold(Some(recording), Recording::next))
}

type Piece = Result<bytes::Bytes, BoxError>;

impl Recording {
    async fn next(recording: Option<Recording>) -> Option<(Piece, Option<Recording>)> {
        let mut this = recording?;
        match this.body.frame().await {
            Some(Ok(frame)) => {
                let piece = frame.into_data().unwrap_or_default();
                // One byte above the bound is enough to know that the answer is too large.
                let room = (MAX_BODY_BYTES + 1).saturating_sub(this.bytes.len());
                this.bytes.extend_from_slice(&piece[..piece.len().min(room)]);
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
                    self.kept.body = Some(self.bytes.into());
                }
                self.ticket.ended(KeyOutcome::Answered(self.kept));
            }
            Some(Verdict::MayHaveRun { reason }) => {
                self.ticket.ended(KeyOutcome::MayHaveRun(reason));
            }
            Some(Verdict::NotRun { .. }) | None => {
                self.ticket.ended(KeyOutcome::MayHaveRun(MayHaveRunReason::AnswerCut));
            }
        }
    }
}

fn replay(online: &Online, answer: KeptAnswer) -> Response<Body> {
    let Some(body) = answer.body else {
        return online.refused(Verdict::MayHaveRun { reason: MayHaveRunReason::AnswerNotKept });
    };
    let elapsed_s = online.started.elapsed().as_secs_f64();
    online.door.metrics.ended(Class::Online, Verdict::Done, elapsed_s);
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
