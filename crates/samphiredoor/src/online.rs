//! One online request, from the caller's bytes to the whole answer.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::{FutureExt, select_biased};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri,
    body::Incoming,
    header::{self, HeaderValue},
    http::response,
};
use samphiredoor_core::{
    Name,
    dispatch::{Ask, AttemptEnd, Class, RequestId},
    ledger::service_in_path,
    manifest::ServiceKind,
    verdict::{Doubt, Refusal, Verdict},
};
use samphiredoor_net::{
    Body, BoxError,
    body::read_whole,
    pool::{Answer, SendError, within},
};
use serde::Deserialize;

use crate::{
    answers::{bad_request, verdict_answer, verdict_json},
    dispatch_task::{Placement, Ticket},
    keyed,
    metrics::{Metrics, Running},
    process::Door,
    quarantine_task::Pass,
    request_body::RequestBody,
    stream_end::{DoneMark, StreamEnd},
    targets::Call,
};

/// Header that names the workspace.
pub const WORKSPACE_HEADER: &str = "x-workspace";
/// Header that names the deadline, in milliseconds from now.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header that carries the caller's key.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header by which targets know a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

const DEFAULT_WORKSPACE: &str = "default";
const MAX_WHOLE_ANSWER_BYTES: usize = 16 * 1024 * 1024;
const LONGEST_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);
const PREFIX_BYTES: usize = 256;

#[derive(Debug, Default, Deserialize)]
struct Head {
    #[serde(default)]
    model: String,
    #[serde(default)]
    stream: bool,
}

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

fn read_head(uri: &Uri, body: &Bytes) -> Result<Head, String> {
    if let Some(service) = service_in_path(uri.path()) {
        return Ok(Head { model: service.to_owned(), stream: false });
    }
    let head: Head = serde_json::from_slice(body).map_err(|err| err.to_string())?;
    if head.model.is_empty() {
        return Err("name the service to ask".to_owned());
    }
    Ok(head)
}

fn make_ask(
    door: &Door,
    headers: &HeaderMap,
    head: &Head,
    uri: &Uri,
    body: &Bytes,
) -> Result<(Ask, Instant), Response<Body>> {
    let workspace: Name =
        header_text(headers, WORKSPACE_HEADER).unwrap_or(DEFAULT_WORKSPACE).into();
    let manifest = door.manifest.current();
    let service = manifest.services.get(head.model.as_str());
    let default = door.config.default_deadline;
    let deadline = match header_text(headers, DEADLINE_HEADER) {
        None => service.map_or(default, |it| default.min(Duration::from_millis(it.deadline_ms))),
        Some(text) => match text.parse() {
            Ok(deadline_ms) => Duration::from_millis(deadline_ms).min(LONGEST_DEADLINE),
            Err(_) => return Err(bad_request(DEADLINE_HEADER, "is no number of milliseconds")),
        },
    };
    let prefix = &body[..body.len().min(PREFIX_BYTES)];
    let ask = Ask {
        request: door.dispatch.next_request(),
        class: Class::Online,
        service: head.model.as_str().into(),
        workspace,
        deadline_ms: door.clock.now().mono_ms + deadline.as_millis() as u64,
        repeatable: service.is_none_or(|it| it.repeatable),
        prefix_hash: if is_engine(door, &head.model) { hash(prefix) } else { 0 },
        fingerprint: fingerprint(uri.path(), body),
        body_bytes: body.len() as u32,
        job: Name::from(""),
        due_unix_ms: None,
    };
    Ok((ask, Instant::now() + deadline))
}

/// Whether a service is a model engine.
pub fn is_engine(door: &Door, service: &str) -> bool {
    let manifest = door.manifest.current();
    manifest.services.get(service).is_none_or(|it| it.kind == ServiceKind::Engine)
}

/// Hash that is the same in every process.
pub fn hash(bytes: &[u8]) -> u64 {
    let digest = blake3::hash(bytes);
    let (first, _) = digest.as_bytes().split_at(8);
    first.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

/// Hash by which a request is known again if it crashes targets: its path and its body.
pub fn fingerprint(path: &str, body: &[u8]) -> u64 {
    hash(&[path.as_bytes(), &[0], body].concat())
}

/// Text of a header, if it stands and is text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|it| it.to_str().ok())
}

/// Headers of a call to a target: what the caller sent about the content, and an id that is unique among all doors.
pub fn passed_headers(headers: &HeaderMap, door: &Door, request: RequestId) -> HeaderMap {
    let mut passed = HeaderMap::new();
    for name in [header::CONTENT_TYPE, header::ACCEPT, header::AUTHORIZATION] {
        if let Some(value) = headers.get(&name) {
            passed.insert(name, value.clone());
        }
    }
    let id = match header_text(headers, REQUEST_ID_HEADER) {
        Some(id) => id.to_owned(),
        None => format!("{}-{:x}-{}", door.config.name, door.incarnation, request.0),
    };
    if let Ok(value) = header::HeaderValue::from_str(&id) {
        passed.insert(REQUEST_ID_HEADER, value);
    }
    passed
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
    Begun(Box<response::Parts>, Answer, Bytes),
    /// Without anything that the caller could get.
    Nothing(AttemptEnd),
}

impl Online {
    /// Places and sends the request until it has an answer or a verdict. An answer of the door itself has its verdict
    /// in its extensions, a stream its [`StreamEnd`].
    pub async fn run(mut self, ask: Ask) -> Response<Body> {
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
                    if let AttemptEnd::Lost(reason) = end {
                        doubt.get_or_insert(reason);
                        if is_loss(reason) {
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
                return Outcome::Nothing(AttemptEnd::Lost(Doubt::ConnectionLost));
            }
            None => return Outcome::Nothing(AttemptEnd::Lost(Doubt::DeadlinePassed)),
        };
        let status = response.status();
        if let Some(pushback) = pushback(self.is_engine, &response) {
            return Outcome::Nothing(pushback);
        }
        if self.stream && status.is_success() {
            return self.begin(response).await;
        }
        let end = if status.is_server_error() { AttemptEnd::Failed } else { AttemptEnd::Done };
        match self.read_answer(response).await {
            Ok(response) => Outcome::Whole(response, end),
            Err(doubt) => Outcome::Nothing(AttemptEnd::Lost(doubt)),
        }
    }

    /// Waits for a stream's first piece. Until then nothing has reached the caller, so that a request that may run
    /// twice can still be sent to another target.
    async fn begin(&self, response: Response<Answer>) -> Outcome {
        let (parts, mut body) = response.into_parts();
        match next_piece(&mut body, self.deadline).await {
            Ok(Some(first)) => Outcome::Begun(Box::new(parts), body, first),
            Ok(None) if self.is_engine => Outcome::Nothing(AttemptEnd::Lost(Doubt::AnswerCut)),
            Ok(None) => {
                Outcome::Whole(Response::from_parts(parts, Body::empty()), AttemptEnd::Done)
            }
            Err(doubt) => Outcome::Nothing(AttemptEnd::Lost(doubt)),
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

    async fn read_answer(&self, response: Response<Answer>) -> Result<Response<Body>, Doubt> {
        let (mut parts, body) = response.into_parts();
        let read = read_whole(body, MAX_WHOLE_ANSWER_BYTES);
        match within(self.time_left(), read).await {
            Some(Ok(body)) => {
                strip_framing(&mut parts.headers);
                Ok(Response::from_parts(parts, Body::full(body)))
            }
            Some(Err(_)) => Err(Doubt::AnswerCut),
            None => Err(Doubt::DeadlinePassed),
        }
    }

    fn pass_on(
        self,
        mut parts: response::Parts,
        body: Answer,
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
fn out_of_time(doubt: Option<Doubt>) -> Verdict {
    match doubt {
        Some(reason) => Verdict::MayHaveRun { reason },
        None => Verdict::NotRun { retry_after_ms: 0, reason: Refusal::DeadlineTooShort },
    }
}

/// Verdict on a request that is blamed for the death of targets; final in either case.
fn quarantined(doubt: Option<Doubt>) -> Verdict {
    match doubt {
        Some(_) => Verdict::MayHaveRun { reason: Doubt::TargetsDied },
        None => Verdict::NotRun { retry_after_ms: 0, reason: Refusal::Quarantined },
    }
}

/// Whether a doubt comes from a connection that was lost, as by a target's death.
pub fn is_loss(reason: Doubt) -> bool {
    matches!(reason, Doubt::ConnectionLost | Doubt::AnswerCut)
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

/// A stream on its way to the caller. Dropping it (the caller has gone) closes the connection to the target.
struct Passing {
    body: Answer,
    first: Option<Bytes>,
    /// Looks for the last event; only an engine's stream has one.
    done: Option<DoneMark>,
    end: StreamEnd,
    ticket: Ticket,
    pass: Option<Pass>,
    metrics: Rc<Metrics>,
    started: Instant,
    deadline: Instant,
    _running: Running,
}

type Piece = Result<Bytes, BoxError>;

impl Passing {
    async fn next(passing: Option<Passing>) -> Option<(Piece, Option<Passing>)> {
        let mut this = passing?;
        let piece = match this.first.take() {
            Some(first) => Ok(Some(first)),
            None => next_piece(&mut this.body, this.deadline).await,
        };
        let is_whole = this.done.as_ref().is_none_or(DoneMark::is_seen);
        match piece {
            Ok(Some(piece)) => {
                if let Some(done) = &mut this.done {
                    done.push(&piece);
                }
                Some((Ok(piece), Some(this)))
            }
            Ok(None) if is_whole => {
                if let Some(pass) = this.pass.take() {
                    pass.answered();
                }
                this.ticket.ended(AttemptEnd::Done);
                this.count(Verdict::Done);
                None
            }
            cut => {
                let reason = cut.err().unwrap_or(Doubt::AnswerCut);
                if let Some(pass) = this.pass.take_if(|_| is_loss(reason)) {
                    pass.lost_at_the_end();
                }
                this.ticket.ended(AttemptEnd::Cut(reason));
                let verdict = Verdict::MayHaveRun { reason };
                this.count(verdict);
                // The caller is told that its answer is cut: an error event, and no `[DONE]` after it.
                let event = format!("event: error\ndata: {}\n\n", verdict_json(verdict));
                Some((Ok(event.into()), None))
            }
        }
    }

    fn count(&self, verdict: Verdict) {
        self.end.set(verdict);
        self.metrics.ended(Class::Online, verdict, self.started.elapsed().as_secs_f64());
    }
}

/// Next piece of an answer; `None` at the end of its framing.
async fn next_piece(body: &mut Answer, deadline: Instant) -> Result<Option<Bytes>, Doubt> {
    use http_body_util::BodyExt;
    let left = deadline.saturating_duration_since(Instant::now());
    let mut timeout = std::pin::pin!(compio::time::sleep(left).fuse());
    let mut frame = body.frame().fuse();
    select_biased! {
        frame = frame => match frame {
            Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
            Some(Err(_)) => Err(Doubt::AnswerCut),
            None => Ok(None),
        },
        () = timeout => Err(Doubt::DeadlinePassed),
    }
}

/// Whether a path is for online requests.
pub fn is_online(method: &Method, path: &str) -> bool {
    let completion = matches!(path, "/v1/completions" | "/v1/chat/completions");
    (completion && method == Method::POST) || service_in_path(path).is_some()
}
