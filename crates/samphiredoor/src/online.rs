//! Handles one online request: reads it, dispatches it to targets until one answers, and returns the answer.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::Incoming,
    header::{self, HeaderValue},
    http::response,
};
use samphiredoor_core::{
    dispatch::{AttemptEnd, Class, RequestSpec},
    ledger::service_in_path,
    verdict::{MayHaveRunReason, Refusal, Verdict},
};
use samphiredoor_net::{
    Body,
    body::read_whole,
    pool::{ResponseBody, SendError, within},
};

use crate::{
    answers::{bad_request, verdict_response},
    dispatch_task::{Decision, RequestHandle},
    door::Door,
    keyed,
    metrics::RunningGuard,
    quarantine_task::AdmittedAttempt,
    request_body::RequestBody,
    request_spec::{
        DEADLINE_HEADER, build_request_spec, forwarded_headers, header_text, is_engine,
        read_completion_params,
    },
    stream_end::{DoneDetector, StreamEnd},
    stream_forwarding::{ForwardedStream, next_piece},
    targets::Call,
};

const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Reads, dispatches and answers one online request.
pub async fn answer(door: Rc<Door>, request: Request<Incoming>) -> Response<Body> {
    let started = Instant::now();
    let (parts, body) = request.into_parts();
    let body = RequestBody::new(body, door.config.max_body_bytes, door.config.body_timeout);
    let body = match body.read_to_end(&door.buffers).await {
        Ok(body) => body,
        Err(err) => return err.answer(),
    };
    let params = match read_completion_params(&parts.uri, &body) {
        Ok(params) => params,
        Err(problem) => return bad_request("model", &problem),
    };
    let key = match keyed::caller_key(&parts.headers) {
        Ok(key) => key,
        Err(answer) => return answer,
    };
    let (spec, deadline) =
        match build_request_spec(&door, &parts.headers, &params, &parts.uri, &body) {
            Ok(spec) => spec,
            Err(answer) => return answer,
        };
    let call = Call {
        method: parts.method,
        uri: parts.uri,
        headers: forwarded_headers(&parts.headers, &door, spec.request),
        body,
    };
    let running = door.metrics.track_running();
    let is_engine = is_engine(&door, &spec.service);
    let online =
        OnlineRequest { door, call, is_engine, stream: params.stream, started, deadline, running };
    match key {
        Some(key) => keyed::answer(online, spec, key).await,
        None => online.run(spec).await,
    }
}

/// A parsed online request with everything that its attempts need.
pub struct OnlineRequest {
    /// Handles to the tasks of this process.
    pub door: Rc<Door>,
    /// Call that each attempt sends to a target.
    pub call: Call,
    is_engine: bool,
    stream: bool,
    /// When the request arrived.
    pub started: Instant,
    /// When the caller stops waiting for an answer.
    pub deadline: Instant,
    running: RunningGuard,
}

/// Result of one attempt, as far as the caller gets something from it.
enum Outcome {
    /// The complete answer was read.
    Complete(Response<Body>, AttemptEnd),
    /// The head and the first piece of a streamed answer were read.
    StreamStarted(Box<response::Parts>, ResponseBody, Bytes),
    /// Nothing that could be sent to the caller.
    NoAnswer(AttemptEnd),
}

impl OnlineRequest {
    /// Dispatches and sends the request until a target answers or a verdict ends it. The extensions of the response
    /// hold the [`Verdict`] if the gateway itself answers, and a [`StreamEnd`] if the answer is streamed.
    pub async fn run(mut self, spec: RequestSpec) -> Response<Body> {
        let mut handle = self.door.dispatch.submit(spec.clone());
        let mut may_have_run = None;
        loop {
            let address = match within(self.time_left(), handle.decision()).await {
                Some(Decision::Dispatch { address }) => address,
                Some(Decision::Abort) => continue,
                Some(Decision::Refused(verdict)) => return self.refused(verdict),
                None => return self.refused(deadline_verdict(may_have_run)),
            };
            let admission = self.door.quarantine.admit(spec.request, spec.fingerprint, address);
            let admitted = match within(self.time_left(), admission).await {
                Some(Some(admitted)) => admitted,
                Some(None) => return self.refused(quarantined_verdict(may_have_run)),
                None => return self.refused(deadline_verdict(may_have_run)),
            };
            match self.attempt(address).await {
                Outcome::Complete(response, end) => {
                    admitted.answered();
                    handle.ended(end);
                    self.record_verdict(Verdict::Done);
                    return response;
                }
                Outcome::StreamStarted(parts, body, first) => {
                    return self.forward_stream(*parts, body, first, handle, admitted);
                }
                Outcome::NoAnswer(end) => {
                    if let AttemptEnd::AnswerLost(reason) = end {
                        may_have_run.get_or_insert(reason);
                        if reason.is_loss() {
                            // The quarantine must decide first; otherwise a request that crashes targets would be sent
                            // to a second one before it is suspected.
                            admitted.connection_lost().await;
                        }
                    }
                    handle.ended(end);
                }
            }
        }
    }

    async fn attempt(&mut self, address: SocketAddr) -> Outcome {
        let left_ms = self.time_left().as_millis() as u64;
        self.call.headers.insert(DEADLINE_HEADER, HeaderValue::from(left_ms));
        let sent = self.door.targets.send(address, &self.call);
        let response = match within(self.time_left(), sent).await {
            Some(Ok(response)) => response,
            Some(Err(SendError::NotSent(_))) => return Outcome::NoAnswer(AttemptEnd::NotSent),
            Some(Err(SendError::MayHaveRun(_))) => {
                return Outcome::NoAnswer(AttemptEnd::AnswerLost(MayHaveRunReason::ConnectionLost));
            }
            None => {
                return Outcome::NoAnswer(AttemptEnd::AnswerLost(MayHaveRunReason::DeadlinePassed));
            }
        };
        let status = response.status();
        if let Some(pushback) = pushback(self.is_engine, &response) {
            return Outcome::NoAnswer(pushback);
        }
        if self.stream && status.is_success() {
            return self.start_stream(response).await;
        }
        let end = if status.is_server_error() { AttemptEnd::Failed } else { AttemptEnd::Completed };
        match self.read_answer(response).await {
            Ok(response) => Outcome::Complete(response, end),
            Err(reason) => Outcome::NoAnswer(AttemptEnd::AnswerLost(reason)),
        }
    }

    /// Waits for the first piece of a stream. Nothing has reached the caller before that, so a repeatable request can
    /// still be sent to another target.
    async fn start_stream(&self, response: Response<ResponseBody>) -> Outcome {
        let (parts, mut body) = response.into_parts();
        match next_piece(&mut body, self.deadline).await {
            Ok(Some(first)) => Outcome::StreamStarted(Box::new(parts), body, first),
            Ok(None) if self.is_engine => {
                Outcome::NoAnswer(AttemptEnd::AnswerLost(MayHaveRunReason::AnswerCut))
            }
            Ok(None) => {
                Outcome::Complete(Response::from_parts(parts, Body::empty()), AttemptEnd::Completed)
            }
            Err(reason) => Outcome::NoAnswer(AttemptEnd::AnswerLost(reason)),
        }
    }

    /// Time that is left until the deadline; zero once it has passed.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn record_verdict(&self, verdict: Verdict) {
        self.door.metrics.count_outcome(
            Class::Online,
            verdict,
            self.started.elapsed().as_secs_f64(),
        );
    }

    /// Counts a verdict in the metrics and returns it as an answer to the caller.
    pub fn refused(&self, verdict: Verdict) -> Response<Body> {
        self.record_verdict(verdict);
        verdict_response(verdict)
    }

    async fn read_answer(
        &self,
        response: Response<ResponseBody>,
    ) -> Result<Response<Body>, MayHaveRunReason> {
        let (mut parts, body) = response.into_parts();
        let read = read_whole(body, MAX_ANSWER_BYTES);
        match within(self.time_left(), read).await {
            Some(Ok(body)) => {
                strip_framing(&mut parts.headers);
                Ok(Response::from_parts(parts, Body::full(body)))
            }
            Some(Err(_)) => Err(MayHaveRunReason::AnswerCut),
            None => Err(MayHaveRunReason::DeadlinePassed),
        }
    }

    fn forward_stream(
        self,
        mut parts: response::Parts,
        body: ResponseBody,
        first: Bytes,
        handle: RequestHandle,
        admitted: AdmittedAttempt,
    ) -> Response<Body> {
        strip_framing(&mut parts.headers);
        let end = StreamEnd::default();
        parts.extensions.insert(end.clone());
        let forwarded = ForwardedStream {
            body,
            first: Some(first),
            done_detector: self.is_engine.then(DoneDetector::default),
            end,
            handle,
            admitted: Some(admitted),
            metrics: Rc::clone(&self.door.metrics),
            started: self.started,
            deadline: self.deadline,
            _running: self.running,
        };
        let pieces = futures_util::stream::unfold(Some(forwarded), ForwardedStream::next);
        Response::from_parts(parts, Body::stream(pieces))
    }
}

/// Verdict when the deadline passes while no target has the request. An earlier attempt may have run it.
fn deadline_verdict(may_have_run: Option<MayHaveRunReason>) -> Verdict {
    match may_have_run {
        Some(reason) => Verdict::MayHaveRun { reason },
        None => Verdict::NotRun { retry_after_ms: 0, reason: Refusal::DeadlineTooShort },
    }
}

/// Verdict on a quarantined request, one that is suspected of crashing targets. A retry cannot succeed in either case.
fn quarantined_verdict(may_have_run: Option<MayHaveRunReason>) -> Verdict {
    match may_have_run {
        Some(_) => Verdict::MayHaveRun { reason: MayHaveRunReason::TargetsDied },
        None => Verdict::NotRun { retry_after_ms: 0, reason: Refusal::Quarantined },
    }
}

/// Recognizes a refusal of an engine: 503 and 429 mean that it did not run the request. A plain service's 503 or 429 is
/// its answer, because it does not show whether the request ran.
pub fn pushback<B>(is_engine: bool, response: &Response<B>) -> Option<AttemptEnd> {
    let refuses = matches!(
        response.status(),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    (is_engine && refuses).then(|| {
        let after = header_text(response.headers(), header::RETRY_AFTER.as_str());
        let seconds: u64 = after.and_then(|it| it.parse().ok()).unwrap_or(0);
        AttemptEnd::Pushback { retry_after_ms: seconds.saturating_mul(1_000) }
    })
}

/// Removes the headers that describe the framing of the connection to the target.
fn strip_framing(headers: &mut HeaderMap) {
    for name in [header::TRANSFER_ENCODING, header::CONTENT_LENGTH, header::CONNECTION] {
        headers.remove(name);
    }
}

/// Whether a method and path belong to an online request.
pub fn is_online(method: &Method, path: &str) -> bool {
    let completion = matches!(path, "/v1/completions" | "/v1/chat/completions");
    (completion && method == Method::POST) || service_in_path(path).is_some()
}
