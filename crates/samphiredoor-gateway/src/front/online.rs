//! One online request: its attempts at targets, and the answer to its caller.

use std::{
    cell::Cell,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{
    HeaderMap, Response,
    header::{self, HeaderName, HeaderValue},
    http::{request, response},
};
use samphiredoor_core::{
    Name,
    dispatch::Class,
    placement::{AttemptEnd, RequestSpec},
    routes::Route,
    verdict::{MayHaveRunReason, Refusal},
};
use samphiredoor_net::{Body, Call};
use smallvec::SmallVec;

use super::{
    Front,
    answers::{in_doubt, refusal_response},
    attempt::{Attempt, Begun, Patience, attempt},
    header_number,
    passing::Passing,
};
use crate::placement::{Decision, Ticket};

/// Deadline of a caller that names none.
const DEFAULT_DEADLINE_MS: u64 = 60_000;
/// Part of the objective that a request may wait for room: one that is refused by then is still served in time by the
/// next attempt of its caller.
const QUEUE_PART: u64 = 5;
/// Shortest time that makes a send worth while; a target needs about as long for the first piece.
const SHORTEST_SEND: Duration = Duration::from_millis(30);
/// Sends of one request that no target ran; a guard against targets that all refuse.
const MAX_SENDS: u32 = 8;
/// Silence after which a repeatable request is sent to another target. Pieces come each 25 ms, and a full target begins
/// within 300 ms, so this is long past what a working target takes.
const SILENCE: Duration = Duration::from_millis(1_000);

/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// One online request.
pub struct Online {
    pub(super) front: Rc<Front>,
    pub(super) route: Arc<Route>,
    pub(super) id: String,
    pub(super) started: Instant,
    pub(super) runs: u32,
    call: Call,
    service: Option<Name>,
    affinity: u64,
    deadline: Instant,
    sends: u32,
    tried: SmallVec<[Name; 2]>,
    doubt: Option<MayHaveRunReason>,
    /// What a target answered that ran it and failed.
    failed: Option<(Box<response::Parts>, Bytes)>,
    _open: Open,
}

/// Counts a request as open until it is dropped.
struct Open(Rc<Cell<usize>>);

impl Open {
    fn new(open: &Rc<Cell<usize>>) -> Open {
        open.set(open.get() + 1);
        Open(Rc::clone(open))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A stream that a target has begun, with the place that it holds there.
pub(super) struct Streaming {
    pub(super) begun: Begun,
    pub(super) ticket: Ticket,
    pub(super) target: Name,
}

enum Next {
    Stream(Box<response::Parts>, Streaming),
    Whole(Box<response::Parts>, Bytes),
    /// No target has it any more; final.
    Over(Over),
}

/// Why a request ends without an answer of a target.
#[derive(Debug, Clone, Copy)]
pub(super) enum Over {
    Refused { reason: Refusal, retry_after_ms: u64 },
    Doubt(MayHaveRunReason),
}

impl Online {
    /// Request as it was read, with its route.
    pub fn new(
        front: Rc<Front>,
        route: Arc<Route>,
        mut parts: request::Parts,
        body: Bytes,
    ) -> Online {
        let names = front.dialect.headers();
        let id = parts.headers.get(&names.request_id).and_then(|it| it.to_str().ok());
        let id = id.unwrap_or_default().to_owned();
        let deadline_ms = header_number(parts.headers.get(&names.deadline_ms));
        let deadline_ms = deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS).min(route.timeout_ms);
        let affinity = front.dialect.affinity(&parts.headers);
        strip_hop_headers(&mut parts.headers);
        parts.headers.remove(header::CONTENT_LENGTH);
        let started = Instant::now();
        Online {
            service: route.service(rand::random()).cloned(),
            call: Call { method: parts.method, uri: parts.uri, headers: parts.headers, body },
            _open: Open::new(&front.open),
            front,
            route,
            id,
            started,
            runs: 0,
            affinity,
            deadline: started + Duration::from_millis(deadline_ms),
            sends: 0,
            tried: SmallVec::new(),
            doubt: None,
            failed: None,
        }
    }

    /// Serves the request.
    pub async fn answer(mut self) -> Response<Body> {
        match self.next().await {
            Next::Stream(mut parts, streaming) => {
                strip_hop_headers(&mut parts.headers);
                parts.headers.remove(header::CONTENT_LENGTH);
                self.front.metrics.first_piece(self.started.elapsed());
                let pieces = Passing::new(self, streaming).into_stream();
                Response::from_parts(*parts, Body::stream(pieces))
            }
            Next::Whole(mut parts, body) => {
                strip_hop_headers(&mut parts.headers);
                parts.headers.remove(header::CONTENT_LENGTH);
                self.log_end("answered", parts.status.as_u16());
                self.front.metrics.whole(self.started.elapsed());
                Response::from_parts(*parts, Body::full(body))
            }
            Next::Over(over) => self.give_up(over),
        }
    }

    fn give_up(&self, over: Over) -> Response<Body> {
        let response = match over {
            Over::Refused { reason, retry_after_ms } => {
                self.front.metrics.refused(reason);
                refusal_response(reason, retry_after_ms)
            }
            Over::Doubt(doubt) => in_doubt(doubt),
        };
        let outcome = match over {
            Over::Refused { reason, .. } => reason.label(),
            Over::Doubt(doubt) => doubt.label(),
        };
        self.log_end(outcome, response.status().as_u16());
        response
    }

    /// Writes the line that tells what became of the request.
    pub(super) fn log_end(&self, outcome: &'static str, status: u16) {
        self.front.metrics.ended(outcome);
        log::info!(
            request = self.id, route = &*self.route.name, outcome, status, runs = self.runs, sends = self.sends,
            elapsed_ms = self.started.elapsed().as_millis() as u64;
            "front: request ended"
        );
    }

    /// How long the target in hand may be silent.
    pub(super) fn patience(&self) -> Patience {
        let silence =
            if self.route.kind.is_repeatable() { SILENCE } else { Duration::from_secs(3_600) };
        Patience { deadline: self.deadline, silence }
    }

    /// Continues a stream that was cut after an event at another target.
    pub(super) async fn resume(
        &mut self,
        after: u64,
        doubt: MayHaveRunReason,
    ) -> Result<Streaming, Over> {
        self.doubt = Some(doubt);
        if !self.may_run_again() {
            return Err(Over::Doubt(doubt));
        }
        self.front.metrics.retried("stream_cut");
        let name = self.front.dialect.headers().last_event_id.clone();
        self.call.headers.insert(name, HeaderValue::from(after));
        match self.next().await {
            Next::Stream(_, streaming) => Ok(streaming),
            // Headers are with the caller already: any other answer cannot be told any more.
            Next::Whole(..) => Err(Over::Doubt(doubt)),
            Next::Over(over) => Err(over),
        }
    }

    fn may_run_again(&self) -> bool {
        self.route.kind.is_repeatable() && self.runs < self.route.attempts
    }

    /// Attempts until a target answers or none is left to try.
    async fn next(&mut self) -> Next {
        loop {
            if self.sends >= MAX_SENDS || self.patience().left() < SHORTEST_SEND {
                let over = self.no_more(Refusal::DeadlineTooShort);
                return self.over(over);
            }
            let mut ticket = self.front.placement.request(self.ask());
            let (target, address) = match ticket.next_decision().await {
                Decision::Dispatch { target, address } => (target, address),
                Decision::Refused { reason, retry_after_ms } => {
                    let over = match self.doubt {
                        Some(doubt) => Over::Doubt(doubt),
                        None => Over::Refused { reason, retry_after_ms },
                    };
                    return self.over(over);
                }
                // Only items of jobs are recalled.
                Decision::Preempted => continue,
            };
            self.sends += 1;
            let names = self.front.dialect.headers();
            let patience = self.patience();
            let at = (&target, address);
            let attempt = attempt(&self.front.targets, names, at, &mut self.call, patience).await;
            match self.learn(attempt, ticket, target) {
                Some(next) => return next,
                None => continue,
            }
        }
    }

    /// Takes the outcome of an attempt; `None` if the request can be sent again.
    fn learn(&mut self, attempt: Attempt, mut ticket: Ticket, target: Name) -> Option<Next> {
        match attempt {
            Attempt::Stream(parts, begun) => {
                self.runs += 1;
                self.report_load(&target, &parts.headers);
                Some(Next::Stream(parts, Streaming { begun, ticket, target }))
            }
            Attempt::Whole(parts, body) => {
                self.runs += 1;
                ticket.report_end(AttemptEnd::Answered);
                self.report_load(&target, &parts.headers);
                if parts.status.is_server_error() && self.may_run_again() {
                    self.front.metrics.retried("target_failed");
                    self.tried.push(target);
                    self.failed = Some((parts, body));
                    return None;
                }
                Some(Next::Whole(parts, body))
            }
            Attempt::NotRun(end) => {
                ticket.report_end(end);
                self.log_retry(&target, end);
                self.tried.push(target);
                None
            }
            Attempt::Doubt(end, doubt) => {
                self.runs += 1;
                ticket.report_end(end);
                self.doubt = Some(doubt);
                self.log_retry(&target, end);
                self.tried.push(target);
                (!self.may_run_again()).then_some(Next::Over(Over::Doubt(doubt)))
            }
        }
    }

    fn log_retry(&self, target: &Name, end: AttemptEnd) {
        let label = match end {
            AttemptEnd::Answered => "answered",
            AttemptEnd::Refused => "refused",
            AttemptEnd::WrongTarget => "wrong_target",
            AttemptEnd::Unreachable => "unreachable",
            AttemptEnd::Lost => "lost",
            AttemptEnd::Silent => "silent",
            AttemptEnd::Cut => "deadline",
        };
        self.front.metrics.retried(label);
        log::info!(
            request = self.id, target = &**target, end = label, sends = self.sends, runs = self.runs;
            "front: attempt ended"
        );
    }

    fn report_load(&self, target: &Name, headers: &HeaderMap) {
        if let Some(load) = self.front.dialect.reported_load(headers) {
            self.front.placement.report_load(target, load);
        }
    }

    /// End of a request that no target has any more. One that ran and failed is told so: it is no longer true that it did
    /// not run.
    fn over(&mut self, over: Over) -> Next {
        match self.failed.take() {
            Some((parts, body)) => Next::Whole(parts, body),
            None => Next::Over(over),
        }
    }

    fn no_more(&self, reason: Refusal) -> Over {
        match self.doubt {
            Some(doubt) => Over::Doubt(doubt),
            None => Over::Refused { reason, retry_after_ms: 0 },
        }
    }

    fn ask(&self) -> RequestSpec {
        let queue_ms = self.route.objective_ms / QUEUE_PART;
        RequestSpec {
            request: self.front.placement.next_request(),
            class: Class::Online,
            service: self.service.clone().unwrap_or_else(|| Name::from("")),
            priority: self.route.priority,
            affinity: self.affinity,
            tried_targets: self.tried.clone(),
            deadline_ms: self.front.clock.now().mono_ms + queue_ms,
            prior_run_ms: 0,
        }
    }
}

fn strip_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| it.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
}
