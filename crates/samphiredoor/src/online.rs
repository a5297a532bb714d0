//! One online request, from the caller's bytes to the whole answer.

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
    answers::{bad_request, verdict_answer},
    ask::{DEADLINE_HEADER, header_text, is_engine, make_ask, passed_headers, read_head},
    dispatch_task::{Placement, Ticket},
    door::Door,
    keyed,
    metrics::Running,
    passing::{Passing, next_piece},
    quarantine_task::Pass,
    request_body::RequestBody,
    stream_end::{DoneMark, StreamEnd},
    targets::Call,
};

const MAX_WHOLE_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Reads, places and answers one online request.
pub async fn answer(door: Rc<Door>, request: Request<Incoming>) -> Response<Body> {
    let started = Instant::now();
    let (parts, body) = request.into_parts();
    let body = RequestBody::new(body, door.config.max_body_bytes, door.config.body_timeout);
    let body = match body.whole().await {
        Ok(body) => body,
        Err(err) => return err.answer(),
    };
    let head = match read_head(&parts.uri, &body) {
        Ok(head) => head,
        Err(problem) => return bad_request("model", &problem),
    };
    let key = match keyed::caller_key(&parts.headers) {
        Ok(key) => key,
        Err(answer) => return answer,
    };
    let (ask, deadline) = match make_ask(&door, &parts.headers, &head, &parts.uri, &body) {
        Ok(ask) => ask,
        Err(answer) => return answer,
    };
    let call = Call {
        method: parts.method,
        uri: parts.uri,
        headers: passed_headers(&parts.headers, &door, ask.request),
        body,
    };
    let running = door.metrics.running();
    let is_engine = is_engine(&door, &ask.service);
    let online = Online { door, call, is_engine, stream: head.stream, started, deadline, running };
    match key {
        Some(key) => keyed::answer(online, ask, key).await,
        None => online.run(ask).await,
    }
}

/// One online request with all that its attempts need.
pub struct Online {
    /// The door's tasks.
    pub door: Rc<Door>,
    /// Call to send.
    pub call: Call,
    is_engine: bool,
    stream: bool,
    /// When it arrived.
    pub started: Instant,
    /// When an answer is of no use any more.
    pub deadline: Instant,
    running: Running,
}

/// How an attempt ended for the caller.
enum Outcome {
    /// With a whole answer.
    Whole(Response<Body>, AttemptEnd),
    /// With the beginning of a stream.
    Begun(Box<response::Parts>, ResponseBody, Bytes),
    /// Without anything that the caller could get.
    Nothing(AttemptEnd),
}

impl Online {
    /// Places and sends the request until it has an answer or a verdict. An answer of the door itself has its verdict
    /// in its extensions, a stream its [`StreamEnd`].
    pub async fn run(mut self, ask: RequestSpec) -> Response<Body> {
        let mut ticket = self.door.dispatch.ask(ask.clone());
        let mut doubt = None;
        loop {
            let address = match within(self.time_left(), ticket.placement()).await {
                Some(Placement::Go { address }) => address,
                Some(Placement::Abort) => continue,
                Some(Placement::Refused(verdict)) => return self.refused(verdict),
                None => return self.refused(out_of_time(doubt)),
            };
            let entered = self.door.quarantine.enter(ask.request, ask.fingerprint, address);
            let pass = match within(self.time_left(), entered).await {
                Some(Some(pass)) => pass,
                Some(None) => return self.refused(quarantined(doubt)),
                None => return self.refused(out_of_time(doubt)),
            };
            match self.attempt(address).await {
                Outcome::Whole(response, end) => {
                    pass.answered();
                    ticket.ended(end);
                    self.count(Verdict::Done);
                    return response;
                }
                Outcome::Begun(parts, body, first) => {
                    return self.pass_on(*parts, body, first, ticket, pass);
                }
                Outcome::Nothing(end) => {
                    if let AttemptEnd::AnswerLost(reason) = end {
                        doubt.get_or_insert(reason);
                        if reason.is_loss() {
                            // Before another attempt, so that it is not sent to a second target unsuspected.
                            pass.lost().await;
                        }
                    }
                    ticket.ended(end);
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
            Some(Err(SendError::NotSent(_))) => return Outcome::Nothing(AttemptEnd::NotSent),
            Some(Err(SendError::MayHaveRun(_))) => {
                return Outcome::Nothing(AttemptEnd::AnswerLost(MayHaveRunReason::ConnectionLost));
            }
            None => {
                return Outcome::Nothing(AttemptEnd::AnswerLost(MayHaveRunReason::DeadlinePassed));
            }
        };
        let status = response.status();
        if let Some(pushback) = pushback(self.is_engine, &response) {
            return Outcome::Nothing(pushback);
        }
        if self.stream && status.is_success() {
            return self.begin(response).await;
        }
        let end = if status.is_server_error() { AttemptEnd::Failed } else { AttemptEnd::Completed };
        match self.read_answer(response).await {
            Ok(response) => Outcome::Whole(response, end),
            Err(doubt) => Outcome::Nothing(AttemptEnd::AnswerLost(doubt)),
        }
    }

    /// Waits for a stream's first piece. Until then nothing has reached the caller, so that a request that may run
    /// twice can still be sent to another target.
    async fn begin(&self, response: Response<ResponseBody>) -> Outcome {
        let (parts, mut body) = response.into_parts();
        match next_piece(&mut body, self.deadline).await {
            Ok(Some(first)) => Outcome::Begun(Box::new(parts), body, first),
            Ok(None) if self.is_engine => {
                Outcome::Nothing(AttemptEnd::AnswerLost(MayHaveRunReason::AnswerCut))
            }
            Ok(None) => {
                Outcome::Whole(Response::from_parts(parts, Body::empty()), AttemptEnd::Completed)
            }
            Err(doubt) => Outcome::Nothing(AttemptEnd::AnswerLost(doubt)),
        }
    }

    /// Time to the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn count(&self, verdict: Verdict) {
        self.door.metrics.ended(Class::Online, verdict, self.started.elapsed().as_secs_f64());
    }

    /// Counts a verdict and gives the answer that tells it.
    pub fn refused(&self, verdict: Verdict) -> Response<Body> {
        self.count(verdict);
        verdict_answer(verdict)
    }

    async fn read_answer(
        &self,
        response: Response<ResponseBody>,
    ) -> Result<Response<Body>, MayHaveRunReason> {
        let (mut parts, body) = response.into_parts();
        let read = read_whole(body, MAX_WHOLE_ANSWER_BYTES);
        match within(self.time_left(), read).await {
            Some(Ok(body)) => {
                strip_framing(&mut parts.headers);
                Ok(Response::from_parts(parts, Body::full(body)))
            }
            Some(Err(_)) => Err(MayHaveRunReason::AnswerCut),
            None => Err(MayHaveRunReason::DeadlinePassed),
        }
    }

    fn pass_on(
        self,
        mut parts: response::Parts,
        body: ResponseBody,
        first: Bytes,
        ticket: Ticket,
        pass: Pass,
    ) -> Response<Body> {
        strip_framing(&mut parts.headers);
        let end = StreamEnd::default();
        parts.extensions.insert(end.clone());
        let passing = Passing {
            body,
            first: Some(first),
            done: self.is_engine.then(DoneMark::default),
            end,
            ticket,
            pass: Some(pass),
            metrics: Rc::clone(&self.door.metrics),
            started: self.started,
            deadline: self.deadline,
            _running: self.running,
        };
        let pieces = futures_util::stream::unfold(Some(passing), Passing::next);
        Response::from_parts(parts, Body::stream(pieces))
    }
}

/// Verdict when the deadline passes while no target has the request: an earlier attempt may have run.
fn out_of_time(doubt: Option<MayHaveRunReason>) -> Verdict {
    match doubt {
        Some(reason) => Verdict::MayHaveRun { reason },
        None => Verdict::NotRun { retry_after_ms: 0, reason: Refusal::DeadlineTooShort },
    }
}

/// Verdict on a request that is blamed for the death of targets; final in either case.
fn quarantined(doubt: Option<MayHaveRunReason>) -> Verdict {
    match doubt {
        Some(_) => Verdict::MayHaveRun { reason: MayHaveRunReason::TargetsDied },
        None => Verdict::NotRun { retry_after_ms: 0, reason: Refusal::Quarantined },
    }
}

/// What an engine says by 503 or 429: that it refused the request without running it.
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

fn strip_framing(headers: &mut HeaderMap) {
    for name in [header::TRANSFER_ENCODING, header::CONTENT_LENGTH, header::CONNECTION] {
        headers.remove(name);
    }
}

/// Whether a path is for online requests.
pub fn is_online(method: &Method, path: &str) -> bool {
    let completion = matches!(path, "/v1/completions" | "/v1/chat/completions");
    (completion && method == Method::POST) || service_in_path(path).is_some()
}
