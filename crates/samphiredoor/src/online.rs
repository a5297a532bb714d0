//! One online request, from the caller's bytes to the whole answer.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::{FutureExt, select_biased};
use hyper::{HeaderMap, Method, Request, Response, Uri, body::Incoming, header};
use samphiredoor_core::{
    Name,
    dispatch::{Ask, AttemptEnd, Class, RequestId},
    ledger::service_in_path,
    verdict::{Doubt, Refusal, Verdict},
};
use samphiredoor_net::{
    Body, BoxError,
    body::{ReadError, read_whole},
    pool::{Answer, SendError, within},
};
use serde::Deserialize;

use crate::{
    answers::{bad_request, verdict_answer, verdict_json},
    dispatch_task::{Placement, Ticket},
    metrics::{Metrics, Running},
    process::Door,
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
    let body = match read_whole(body, door.config.max_body_bytes).await {
        Ok(body) => body,
        Err(ReadError::TooLarge) => return bad_request("body", "is larger than this door takes"),
        Err(ReadError::Cut(_)) => return bad_request("body", "was cut"),
    };
    let head = match read_head(&parts.uri, &body) {
        Ok(head) => head,
        Err(problem) => return bad_request("model", &problem),
    };
    let (ask, deadline) = match make_ask(&door, &parts.headers, &head, &body) {
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
    let online = Online { door, call, stream: head.stream, started, deadline, running };
    online.run(ask).await
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
    body: &Bytes,
) -> Result<(Ask, Instant), Response<Body>> {
    let workspace: Name =
        header_text(headers, WORKSPACE_HEADER).unwrap_or(DEFAULT_WORKSPACE).into();
    let deadline = match header_text(headers, DEADLINE_HEADER) {
        None => door.config.default_deadline,
        Some(text) => match text.parse() {
            Ok(deadline_ms) => Duration::from_millis(deadline_ms),
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
        repeatable: true,
        prefix_hash: hash(prefix),
        fingerprint: hash(body),
        body_bytes: body.len() as u32,
        job: Name::from(""),
        due_unix_ms: None,
    };
    Ok((ask, Instant::now() + deadline))
}

fn hash(bytes: &[u8]) -> u64 {
    let digest = blake3::hash(bytes);
    let (first, _) = digest.as_bytes().split_at(8);
    first.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte))
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

struct Online {
    door: Rc<Door>,
    call: Call,
    stream: bool,
    started: Instant,
    deadline: Instant,
    running: Running,
}

impl Online {
    async fn run(self, ask: Ask) -> Response<Body> {
        let mut ticket = self.door.dispatch.ask(ask);
        loop {
            match within(self.time_left(), ticket.placement()).await {
                Some(Placement::Go { address }) => {
                    let sent = self.door.targets.send(address, &self.call);
                    match within(self.time_left(), sent).await {
                        Some(Ok(response)) if self.stream => {
                            return self.pass_on(response, ticket);
                        }
                        Some(Ok(response)) => match self.read_answer(response).await {
                            Ok(response) => {
                                ticket.ended(AttemptEnd::Done);
                                self.count(Verdict::Done);
                                return response;
                            }
                            Err(doubt) => ticket.ended(AttemptEnd::Lost(doubt)),
                        },
                        Some(Err(SendError::NotSent(_))) => ticket.ended(AttemptEnd::NotSent),
                        Some(Err(SendError::MayHaveRun(_))) => {
                            ticket.ended(AttemptEnd::Lost(Doubt::ConnectionLost));
                        }
                        None => ticket.ended(AttemptEnd::Lost(Doubt::DeadlinePassed)),
                    }
                }
                Some(Placement::Abort) => {}
                Some(Placement::Refused(verdict)) => return self.refused(verdict),
                None => {
                    let reason = Refusal::DeadlineTooShort;
                    return self.refused(Verdict::NotRun { retry_after_ms: 0, reason });
                }
            }
        }
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn count(&self, verdict: Verdict) {
        self.door.metrics.ended(Class::Online, verdict, self.started.elapsed().as_secs_f64());
    }

    fn refused(&self, verdict: Verdict) -> Response<Body> {
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

    fn pass_on(self, response: Response<Answer>, ticket: Ticket) -> Response<Body> {
        let (mut parts, body) = response.into_parts();
        strip_framing(&mut parts.headers);
        let passing = Passing {
            body,
            ticket,
            metrics: Rc::clone(&self.door.metrics),
            started: self.started,
            deadline: self.deadline,
            _running: self.running,
        };
        let pieces = futures_util::stream::unfold(Some(passing), Passing::next);
        Response::from_parts(parts, Body::stream(pieces))
    }
}

fn strip_framing(headers: &mut HeaderMap) {
    for name in [header::TRANSFER_ENCODING, header::CONTENT_LENGTH, header::CONNECTION] {
        headers.remove(name);
    }
}

/// A stream on its way to the caller. Dropping it (the caller has gone) closes the connection to the target.
struct Passing {
    body: Answer,
    ticket: Ticket,
    metrics: Rc<Metrics>,
    started: Instant,
    deadline: Instant,
    _running: Running,
}

type Piece = Result<Bytes, BoxError>;

impl Passing {
    async fn next(passing: Option<Passing>) -> Option<(Piece, Option<Passing>)> {
        let mut this = passing?;
        match this.next_piece().await {
            Ok(Some(piece)) => Some((Ok(piece), Some(this))),
            Ok(None) => {
                this.ticket.ended(AttemptEnd::Done);
                this.count(Verdict::Done);
                None
            }
            Err(reason) => {
                this.ticket.ended(AttemptEnd::Lost(reason));
                let verdict = Verdict::MayHaveRun { reason };
                this.count(verdict);
                // The caller is told that its answer is cut: an error event, and no `[DONE]` after it.
                let event = format!("event: error\ndata: {}\n\n", verdict_json(verdict));
                Some((Ok(event.into()), None))
            }
        }
    }

    async fn next_piece(&mut self) -> Result<Option<Bytes>, Doubt> {
        use http_body_util::BodyExt;
        let left = self.deadline.saturating_duration_since(Instant::now());
        let mut timeout = std::pin::pin!(compio::time::sleep(left).fuse());
        let mut frame = self.body.frame().fuse();
        select_biased! {
            frame = frame => match frame {
                Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
                Some(Err(_)) => Err(Doubt::AnswerCut),
                None => Ok(None),
            },
            () = timeout => Err(Doubt::DeadlinePassed),
        }
    }

    fn count(&self, verdict: Verdict) {
        self.metrics.ended(Class::Online, verdict, self.started.elapsed().as_secs_f64());
    }
}

/// Whether a path is for online requests.
pub fn is_online(method: &Method, path: &str) -> bool {
    let completion = matches!(path, "/v1/completions" | "/v1/chat/completions");
    (completion && method == Method::POST) || service_in_path(path).is_some()
}
