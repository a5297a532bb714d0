//! Online requests: retries at other targets until one answers, and the answer to the caller.
//!
//! A request that may have run is sent again only on a repeatable route.

use std::{
    cell::{Cell, OnceCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{
    HeaderMap, Response,
    header::{self, HeaderValue},
    http::{request, response},
};
use samphiredoor_core::{
    Name,
    access::Workspace,
    crash_reports::{Content, Suspect},
    dispatch::Class,
    overload::{
        admission::Rejection,
        fair_share::{caller_key, workspace_key},
    },
    placement::{AttemptEnd, CallerTerms, RequestSpec, Resumption, name_hash},
    quarantine,
    routes::{Route, RouteKind},
    silence::NextRun,
    software_versions::StreamOrigin,
    verdict::{MayHaveRunReason, Refusal},
};
use samphiredoor_net::{Body, Call, PeerAddress, permits::Permit};
use smallvec::SmallVec;

use super::{
    Front,
    answers::{may_have_run_response, refusal_response},
    attempt::{AttemptOutcome, run_attempt},
    forwarded_stream::ForwardedStream,
    header_number,
    hop_by_hop::strip_hop_by_hop_headers,
    resumption::TakenUp,
    silence::{Attempt, Loss},
};
use crate::{
    event_sequence::EventSequence,
    event_stream::EventStream,
    events::is_event_stream,
    metrics::Stage,
    peers::{Hex, OverLimit, RunEnd, RunPermit, SentRun, Trial},
    placement::{Decision, HeldSlot, Ticket},
    target_client::set_target_headers,
};

/// Deadline of a request that has no deadline header.
const DEFAULT_DEADLINE_MS: u64 = 60_000;
/// A request may wait for a free slot for the route's latency objective divided by this: a caller that is refused then
/// can still be served within the objective when it retries.
const QUEUE_WAIT_DIVISOR: u64 = 5;
/// A request is not sent when less time than this is left: a target takes about as long to produce its first output.
const MIN_TIME_TO_SEND: Duration = Duration::from_millis(30);
/// Most times that one request is sent, in case every target refuses it.
const MAX_SENDS: u32 = 8;
/// A request that goes on with a stream may wait for a slot at a target of its version for this time: the work that the
/// stream has cost would be lost, and callers bear a pause of about this length.
const RESUMPTION_WAIT_MS: u64 = 500;

/// Longest time after which a caller whose request is quarantined may come again. An answer elsewhere may have ended the
/// quarantine by then.
const MAX_QUARANTINE_RETRY_MS: u64 = 2_000;

/// An online request and the state of its retries.
pub struct OnlineRequest {
    pub(super) front: Rc<Front>,
    pub(super) route: Arc<Route>,
    pub(super) id: String,
    pub(super) started: Instant,
    /// Version of the routes under which the request came.
    routes_version: u64,
    /// Silences of its targets that were logged.
    pub(super) logged_silences: Cell<u32>,
    /// Number of targets that ran the request or may have run it.
    pub(super) runs: u32,
    /// Time spent in each stage so far.
    pub(super) stages: StageTimes,
    call: Call,
    pub(super) service: Option<Name>,
    affinity: u64,
    deadline: Instant,
    /// 0 is the highest.
    priority: u32,
    /// Key of its fair share: of the caller's workspace, or without one, of its address block.
    share_key: u64,
    /// Permission by the rate limit of its workspace, if there is one.
    permit: Option<RunPermit>,
    /// Number of times that the request was sent.
    sends: u32,
    tried: SmallVec<[Name; 2]>,
    /// Slot for the next attempt, if one is held since the target of the last one was silent.
    held: Option<HeldSlot>,
    /// Why it is unknown whether an earlier attempt ran, if one may have.
    may_have_run: Option<MayHaveRunReason>,
    /// What stays the same when the request comes again, once it was needed.
    content: OnceCell<Content>,
    /// The stream that the caller takes up, if it does.
    pub(super) taken_up: Option<TakenUp>,
    /// Origin of the answer's stream, once it is known.
    pub(super) origin: Option<StreamOrigin>,
    /// Whether another run has begun the answer's stream.
    is_resumed: bool,
    /// Whether the stream that the caller takes up has gone on here.
    pub(super) has_begun: bool,
    /// The last 5xx answer of a target; it becomes the answer if no other target answers.
    server_error: Option<(Box<response::Parts>, Bytes)>,
    /// Permit of a request whose head has many fields.
    _large_head: Option<Permit>,
    _open: OpenRequestGuard,
}

/// Time that a request has spent in each stage, see [`Stage`].
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct StageTimes {
    limit: Duration,
    queue: Duration,
    first_event: Duration,
}

/// Counts the request among those in progress until it is dropped.
struct OpenRequestGuard(Rc<Cell<usize>>);

impl OpenRequestGuard {
    fn new(open: &Rc<Cell<usize>>) -> OpenRequestGuard {
        open.set(open.get() + 1);
        OpenRequestGuard(Rc::clone(open))
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A stream in progress, and the slot that it holds at its target.
pub(super) struct ActiveStream {
    pub(super) stream: EventStream,
    pub(super) ticket: Ticket,
    pub(super) target: Name,
    pub(super) address: SocketAddr,
    /// The run that makes the stream.
    pub(super) run: SentRun,
}

/// Result of sending a request to one target after another.
enum Outcome {
    Stream(Box<response::Parts>, Box<ActiveStream>),
    Whole(Box<response::Parts>, Bytes),
    /// No target answered, and the request is not sent again.
    NoAnswer(NoAnswer),
}

/// Why a request ends without an answer from a target.
#[derive(Debug, Clone, Copy)]
pub(super) enum NoAnswer {
    Refused { reason: Refusal, retry_after_ms: u64 },
    MayHaveRun(MayHaveRunReason),
}

impl NoAnswer {
    /// Label in metrics and logs.
    pub(super) fn label(self) -> &'static str {
        match self {
            NoAnswer::Refused { reason, .. } => reason.label(),
            NoAnswer::MayHaveRun(cause) => cause.label(),
        }
    }
}

impl OnlineRequest {
    /// Creates a request from its parts as received; hop-by-hop headers are removed.
    pub fn new(
        front: Rc<Front>,
        (route, routes_version): (Arc<Route>, u64),
        mut parts: request::Parts,
        body: Bytes,
    ) -> OnlineRequest {
        let names = front.dialect.headers();
        let id = parts.headers.get(&names.request_id).and_then(|it| it.to_str().ok());
        let id = id.unwrap_or_default().to_owned();
        let deadline_ms = header_number(parts.headers.get(&names.deadline_ms));
        let deadline_ms = deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS).min(route.timeout_ms);
        let affinity = front.dialect.affinity(&parts.headers);
        let taken_up = TakenUp::of_request(&route.kind, names, &parts.headers);
        let taken_up_before = taken_up.is_some();
        let caller = parts.extensions.get::<PeerAddress>().map(|it| it.0.ip());
        strip_hop_by_hop_headers(&mut parts.headers);
        parts.headers.remove(header::CONTENT_LENGTH);
        let started = Instant::now();
        OnlineRequest {
            service: route.service(rand::random()).cloned(),
            call: Call { method: parts.method, uri: parts.uri, headers: parts.headers, body },
            _open: OpenRequestGuard::new(&front.open_requests),
            front,
            priority: route.priority,
            share_key: caller_key(caller),
            permit: None,
            route,
            id,
            started,
            routes_version,
            logged_silences: Cell::new(0),
            runs: 0,
            stages: StageTimes::default(),
            affinity,
            deadline: started + Duration::from_millis(deadline_ms),
            sends: 0,
            tried: SmallVec::new(),
            held: None,
            may_have_run: None,
            content: OnceCell::new(),
            taken_up,
            origin: None,
            is_resumed: taken_up_before,
            has_begun: false,
            server_error: None,
            _large_head: None,
        }
    }

    /// Holds the permit of a request with a large head until the request has ended.
    pub fn with_large_head(self, large_head: Option<Permit>) -> OnlineRequest {
        OnlineRequest { _large_head: large_head, ..self }
    }

    /// Sets the priority of the caller's workspace, and waits until its rate limit allows the request to run.
    ///
    /// # Errors
    ///
    /// The request exceeds the limit.
    pub async fn with_workspace(
        mut self,
        workspace: &Workspace,
        routes_version: u64,
    ) -> Result<OnlineRequest, OverLimit> {
        self.priority = workspace.priority.unwrap_or(self.priority);
        self.share_key = workspace_key(&workspace.name);
        let names = self.front.metrics.workspace_names();
        names.borrow_mut().add(self.share_key, &workspace.name);
        let asked = Instant::now();
        let admission = self.front.run_limits.request(workspace, routes_version).await;
        self.stages.limit = asked.elapsed();
        self.front.metrics.stage(Stage::Limit, self.stages.limit);
        match admission {
            Ok(permit) => {
                self.permit = permit;
                Ok(self)
            }
            Err(over) => {
                self.front.metrics.refused(Refusal::WorkspaceLimit);
                log::info!(
                    request = self.id, workspace = &*workspace.name, routes_version,
                    retry_after_ms = over.retry_after_ms;
                    "front: over the rate limit"
                );
                self.log_end(Refusal::WorkspaceLimit.label(), 429);
                Err(over)
            }
        }
    }

    /// Sends the request to targets and returns the answer for the caller.
    pub async fn answer(mut self) -> Response<Body> {
        let outcome = match self.find_origin().await {
            Ok(()) => {
                if matches!(self.route.kind, RouteKind::Stream { resumable: true }) {
                    self.front.stream_origins.wait_until_recorded().await;
                }
                self.try_targets().await
            }
            Err(why) => Outcome::NoAnswer(why),
        };
        self.front.metrics.stage(Stage::Queue, self.stages.queue);
        self.front.metrics.stage(Stage::FirstEvent, self.stages.first_event);
        match outcome {
            Outcome::Stream(mut parts, stream) => {
                strip_hop_by_hop_headers(&mut parts.headers);
                parts.headers.remove(header::CONTENT_LENGTH);
                self.front.metrics.first_piece(self.started.elapsed());
                Response::from_parts(*parts, ForwardedStream::new(self, *stream).into_body())
            }
            Outcome::Whole(mut parts, body) => {
                strip_hop_by_hop_headers(&mut parts.headers);
                parts.headers.remove(header::CONTENT_LENGTH);
                self.log_end("answered", parts.status.as_u16());
                self.front.metrics.answer_completed(self.started.elapsed());
                Response::from_parts(*parts, Body::full(body))
            }
            Outcome::NoAnswer(why) => self.give_up(why),
        }
    }

    /// Refuses the request, as it may last longer than this process. The caller may try another gateway at once.
    pub fn refuse_stopping(&self) -> Response<Body> {
        self.give_up(NoAnswer::Refused { reason: Refusal::Stopping, retry_after_ms: 0 })
    }

    fn give_up(&self, why: NoAnswer) -> Response<Body> {
        let response = match why {
            NoAnswer::Refused { reason, retry_after_ms } => {
                self.front.metrics.refused(reason);
                refusal_response(reason, retry_after_ms)
            }
            NoAnswer::MayHaveRun(cause) => may_have_run_response(cause),
        };
        self.log_end(why.label(), response.status().as_u16());
        response
    }

    /// Counts and logs the outcome of the request. `status` is 0 if the answer was cut after its headers.
    pub(super) fn log_end(&self, outcome: &'static str, status: u16) {
        self.front.metrics.ended(outcome);
        log::info!(
            request = self.id, route = &*self.route.name, outcome, status, runs = self.runs, sends = self.sends,
            elapsed_ms = self.started.elapsed().as_millis() as u64,
            limit_ms = self.stages.limit.as_millis() as u64, queue_ms = self.stages.queue.as_millis() as u64,
            first_event_ms = self.stages.first_event.as_millis() as u64,
            routes_version = self.routes_version, routes_version_at_end = self.front.routes.version();
            "front: request ended"
        );
    }

    /// When the caller stops waiting.
    pub(super) fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Time until the deadline.
    pub(super) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Resumes an interrupted stream at another target, after the event with number `after`. `None` if that was the last event:
    /// the other target has sent a whole stream without a further one.
    pub(super) async fn resume(
        &mut self,
        after: u64,
        cause: MayHaveRunReason,
    ) -> Result<Option<ActiveStream>, NoAnswer> {
        self.may_have_run = Some(cause);
        self.is_resumed = true;
        if !self.may_run_again() {
            return Err(NoAnswer::MayHaveRun(cause));
        }
        self.front.metrics.retried("stream_cut");
        let name = self.front.dialect.headers().last_event_id.clone();
        self.call.headers.insert(name, HeaderValue::from(after));
        match self.try_targets().await {
            Outcome::Stream(_, stream) => Ok(Some(*stream)),
            Outcome::Whole(parts, _)
                if parts.status.is_success() && is_event_stream(&parts.headers) =>
            {
                Ok(None)
            }
            // The headers of the stream have been sent to the caller, so another answer cannot be forwarded.
            Outcome::Whole(..) => Err(NoAnswer::MayHaveRun(cause)),
            Outcome::NoAnswer(why) => Err(why),
        }
    }

    /// Number of the event after which the targets are asked to go on.
    pub(super) fn asked_after(&self) -> Option<u64> {
        header_number(self.call.headers.get(&self.front.dialect.headers().last_event_id))
    }

    /// What the events of the next run have to be. Only those of stream routes have numbers with a meaning, and only those of
    /// resumable ones follow the `Last-Event-Id` that is sent.
    pub(super) fn event_sequence(&self) -> EventSequence {
        match self.route.kind {
            RouteKind::Stream { resumable: true } => EventSequence::asked_with(self.asked_after()),
            RouteKind::Stream { resumable: false } => EventSequence::asked_with(None),
            RouteKind::Repeatable | RouteKind::Once | RouteKind::Batch(_) => {
                EventSequence::Unchecked
            }
        }
    }

    fn may_run_again(&self) -> bool {
        self.route.kind.is_repeatable() && self.runs < self.route.attempts
    }

    /// Whether the request may be sent again once the attempt that is being sent has ended.
    fn next_run(&self) -> NextRun {
        // That attempt counts as a run when it ends.
        self.next_run_after_runs(self.runs + 1)
    }

    /// Whether another target can go on with the answer's stream after this event.
    pub(super) fn next_run_after(&self, last_event: Option<u64>) -> NextRun {
        match (self.route.kind, last_event) {
            (RouteKind::Stream { resumable: true }, Some(_)) => self.next_run_after_runs(self.runs),
            (RouteKind::Stream { resumable: true }, None) | (RouteKind::Repeatable, _) => {
                NextRun::NotResumable
            }
            (RouteKind::Stream { resumable: false } | RouteKind::Once | RouteKind::Batch(_), _) => {
                NextRun::RunsOnce
            }
        }
    }

    fn next_run_after_runs(&self, runs: u32) -> NextRun {
        if !self.route.kind.is_repeatable() {
            NextRun::RunsOnce
        } else if runs >= self.route.attempts {
            NextRun::AttemptsUsed
        } else if self.may_send() {
            NextRun::Allowed
        } else {
            NextRun::Late
        }
    }

    /// Whether there is time to send the request, and it was not sent too often.
    pub(super) fn may_send(&self) -> bool {
        self.sends < MAX_SENDS && self.remaining() >= MIN_TIME_TO_SEND
    }

    /// Sends the request to one target after another until one answers or a limit is reached.
    async fn try_targets(&mut self) -> Outcome {
        loop {
            if !self.may_send() {
                return self.final_outcome(Refusal::DeadlineTooShort, 0);
            }
            if let Some(suspect) = self.quarantined() {
                return self.refuse_quarantined(suspect);
            }
            let (ticket, decision) = self.next_target().await;
            let (target, address, origin) = match decision {
                Decision::Dispatch { target, address, origin, .. } => (target, address, origin),
                Decision::Refused { reason, retry_after_ms, rejection } => {
                    if let Some(rejection) = rejection {
                        self.log_rejection(&rejection, retry_after_ms);
                    }
                    return self.final_outcome(reason, retry_after_ms);
                }
                // Not reached: only items of batch jobs are preempted.
                Decision::Preempted => continue,
            };
            // It may have been quarantined while it waited.
            let trial = match self.clearance().await {
                Ok(trial) => trial,
                Err(suspect) => return self.refuse_quarantined(suspect),
            };
            if !self.front.targets.accepts_work(&target) {
                self.note_departure(&target);
                continue;
            }
            self.sends += 1;
            self.note_run(true);
            let names = self.front.dialect.headers();
            let remaining = self.remaining();
            set_target_headers(&mut self.call, names, &target, remaining);
            let sent = Instant::now();
            let run = self.front.crash_reports.sent(address, self.content().clone(), trial);
            let attempt = Attempt {
                request: self,
                target: &target,
                address,
                ticket: &ticket,
                next_run: self.next_run(),
            };
            let outcome = run_attempt(&self.front, names, &self.call, &attempt).await;
            self.stages.first_event += sent.elapsed();
            match self.handle_attempt(outcome, ticket, (target, address, run), origin) {
                Some(outcome) => return outcome,
                None => continue,
            }
        }
    }

    /// Notes that a target has left since the request was placed there. Its slot is freed with the ticket.
    fn note_departure(&self, target: &Name) {
        self.front.metrics.retried("target_left");
        log::info!(request = self.id, target = &**target; "front: target left before the request was sent");
    }

    /// Waits for a target, unless a slot is held already.
    async fn next_target(&mut self) -> (Ticket, Decision) {
        if let Some(HeldSlot { ticket, decision }) = self.held.take() {
            return (ticket, decision);
        }
        let mut ticket = self.front.placement.request(self.request_spec());
        let queued = Instant::now();
        let decision = ticket.next_decision().await;
        self.stages.queue += queued.elapsed();
        (ticket, decision)
    }

    /// Records the outcome of an attempt; `None` if the request can be sent to another target.
    fn handle_attempt(
        &mut self,
        outcome: AttemptOutcome,
        mut ticket: Ticket,
        (target, address, mut run): (Name, SocketAddr, SentRun),
        origin: StreamOrigin,
    ) -> Option<Outcome> {
        match outcome {
            AttemptOutcome::Stream(parts, stream) => {
                self.runs += 1;
                ticket.report_first_event();
                self.report_load(&target, &parts.headers);
                self.note_version(&target, origin);
                run.note_event();
                let active = ActiveStream { stream, ticket, target, address, run };
                Some(Outcome::Stream(parts, Box::new(active)))
            }
            AttemptOutcome::Whole(parts, body) => {
                self.runs += 1;
                ticket.report_end(AttemptEnd::Answered);
                // A target may fail a request that it does not run, so a failure proves nothing of the request.
                self.note_answer(run, parts.status.is_success());
                self.report_load(&target, &parts.headers);
                if parts.status.is_server_error() && self.may_run_again() {
                    self.front.metrics.retried("target_failed");
                    self.tried.push(target);
                    self.server_error = Some((parts, body));
                    return None;
                }
                Some(Outcome::Whole(parts, body))
            }
            AttemptOutcome::NotRun(end) => {
                ticket.report_end(end);
                self.note_run_end(run, end);
                self.note_run(self.runs > 0);
                self.log_attempt_end(&target, end);
                self.tried.push(target);
                None
            }
            AttemptOutcome::MayHaveRun(Loss { end, cause, held }) => {
                self.runs += 1;
                ticket.report_end(end);
                self.may_have_run = Some(cause);
                self.log_attempt_end(&target, end);
                self.note_run_end(run, end);
                self.note_left(end, &target, held);
                (!self.may_run_again()).then_some(Outcome::NoAnswer(NoAnswer::MayHaveRun(cause)))
            }
        }
    }

    /// Counts and logs a rejection by overload control with what it was based on. Unknown values are logged as -1.
    fn log_rejection(&self, rejection: &Rejection, retry_after_ms: u64) {
        let Rejection { reason, inputs } = rejection;
        self.front.metrics.rejected(*reason);
        let known = |value: Option<u64>| value.map_or(-1, |it| it as i64);
        let whole = |value: Option<f64>| value.map_or(-1, |it| it as i64);
        let names = self.front.metrics.workspace_names().borrow();
        log::info!(
            request = self.id, workspace = names.label(self.share_key),
            reason = reason.label(), standing = inputs.standing.label(),
            ahead = inputs.ahead, used_percent = inputs.used_percent,
            completions_per_s = whole(inputs.completions_per_ms.map(|it| it * 1_000.0)),
            run_ms = whole(inputs.run_ms), capacity_age_ms = known(inputs.capacity_age_ms),
            load_age_ms = known(inputs.load_age_ms), retry_after_ms;
            "front: rejected by overload control"
        );
    }

    /// Notes for the rate limit whether the request may have run.
    fn note_run(&mut self, may_have_run: bool) {
        if let Some(permit) = &mut self.permit {
            permit.set_may_have_run(may_have_run);
        }
    }

    fn log_attempt_end(&self, target: &Name, end: AttemptEnd) {
        let label = match end {
            AttemptEnd::Answered => "answered",
            AttemptEnd::Refused => "refused",
            AttemptEnd::WrongTarget => "wrong_target",
            AttemptEnd::Unreachable => "unreachable",
            AttemptEnd::Lost => "lost",
            AttemptEnd::Silent => "silent",
            AttemptEnd::Gone => "gone",
            AttemptEnd::Cut => "deadline",
        };
        self.front.metrics.retried(label);
        // Finds all requests with the same content, which each have an id of their own.
        let fingerprint = match end {
            AttemptEnd::Lost | AttemptEnd::Silent | AttemptEnd::Gone => {
                Hex(self.fingerprint()).to_string()
            }
            _ => String::new(),
        };
        log::info!(
            request = self.id, target = &**target, end = label, sends = self.sends, runs = self.runs,
            attempts = self.route.attempts, fingerprint;
            "front: attempt ended"
        );
    }

    /// What stays the same when the caller sends the request again, or others send a part of its prompt.
    fn content(&self) -> &Content {
        self.content.get_or_init(|| Content {
            service: name_hash(self.service.as_deref().unwrap_or_default()),
            fingerprint: Some(self.fingerprint()),
            parts: self.front.dialect.shared_parts(&self.call.headers),
        })
    }

    /// What stays the same when the caller sends the request again.
    fn fingerprint(&self) -> u64 {
        let header = |name| self.call.headers.get(name).map_or(&[][..], HeaderValue::as_bytes);
        let workspace = header(&self.front.dialect.headers().workspace);
        let (path, host) = (self.call.uri.path().as_bytes(), header(&header::HOST));
        quarantine::fingerprint([workspace, host, path, &self.call.body])
    }

    /// Why the request must not be sent, if it or a part of its prompt is quarantined and no trial is due.
    fn quarantined(&self) -> Option<Suspect> {
        let reports = &self.front.crash_reports;
        if reports.has_suspects() { reports.quarantined(self.content()) } else { None }
    }

    /// Whether the request may be sent now that it has a slot.
    async fn clearance(&self) -> Result<Option<Trial>, Suspect> {
        let reports = &self.front.crash_reports;
        if reports.has_suspects() { reports.clearance(self.content()).await } else { Ok(None) }
    }

    /// Ends the request, which may be sent again when the next trial is due.
    fn refuse_quarantined(&mut self, suspect: Suspect) -> Outcome {
        let next_trial_ms = self.front.crash_reports.next_trial_in_ms(suspect);
        let retry_after_ms = next_trial_ms.min(MAX_QUARANTINE_RETRY_MS);
        log::info!(
            request = self.id, kind = suspect.kind.label(), fingerprint:% = Hex(suspect.hash),
            retry_after_ms;
            "front: request is quarantined"
        );
        self.final_outcome(Refusal::Quarantined, retry_after_ms)
    }

    /// Notes the end of a run with a whole answer. One with success to which several runs have contributed proves nothing of
    /// the request: the others may have crashed their targets.
    pub(super) fn note_answer(&self, run: SentRun, is_success: bool) {
        if !is_success || self.is_resumed {
            return self.note_run_end(run, AttemptEnd::Answered);
        }
        run.ended(RunEnd::Sound);
        if self.front.crash_reports.answered(self.content()) {
            log::info!(
                request = self.id, fingerprint:% = Hex(self.fingerprint());
                "front: suspected request was answered"
            );
        }
    }

    /// Notes the end of a run without a whole answer that shows that the request is sound.
    pub(super) fn note_run_end(&self, run: SentRun, end: AttemptEnd) {
        run.ended(RunEnd::Other(end));
    }

    /// Notes the end of an attempt without a whole answer, and the slot that is held for the next one if the target was silent.
    pub(super) fn note_left(&mut self, end: AttemptEnd, target: &Name, held: Option<HeldSlot>) {
        self.held = held;
        if matches!(end, AttemptEnd::Silent | AttemptEnd::Gone) {
            self.front.targets.close_idle(target);
        }
        if !self.tried.contains(target) {
            self.tried.push(Name::clone(target));
        }
    }

    fn report_load(&self, target: &Name, headers: &HeaderMap) {
        if let Some(load) = self.front.dialect.reported_load(headers) {
            self.front.placement.report_load(target, load);
        }
    }

    /// Outcome of a request that is not sent again. If a target ran it and failed, the caller gets that answer: a refusal
    /// would claim that the request did not run. It is not refused either if an earlier attempt may have run.
    fn final_outcome(&mut self, reason: Refusal, retry_after_ms: u64) -> Outcome {
        match (self.server_error.take(), self.may_have_run) {
            (Some((parts, body)), _) => Outcome::Whole(parts, body),
            (None, Some(cause)) => Outcome::NoAnswer(NoAnswer::MayHaveRun(cause)),
            (None, None) => Outcome::NoAnswer(NoAnswer::Refused { reason, retry_after_ms }),
        }
    }

    fn terms(&self, now_ms: u64) -> CallerTerms {
        let elapsed_ms = self.started.elapsed().as_millis() as u64;
        CallerTerms {
            share_key: self.share_key,
            arrived_ms: now_ms.saturating_sub(elapsed_ms),
            objective_ms: self.route.objective_ms,
            deadline_ms: now_ms + self.remaining().as_millis() as u64,
            full_wait_ms: self.route.timeout_ms,
            is_repeatable: self.route.kind.is_repeatable(),
        }
    }

    pub(super) fn request_spec(&self) -> RequestSpec {
        let resumes = self.origin.clone().map(|origin| Resumption { origin, until_ms: u64::MAX });
        let queue_ms = match resumes {
            Some(_) => RESUMPTION_WAIT_MS.min(self.remaining().as_millis() as u64),
            None => self.route.objective_ms / QUEUE_WAIT_DIVISOR,
        };
        let now = self.front.clock.now();
        RequestSpec {
            request: self.front.placement.next_request(),
            class: Class::Online,
            service: self.service.clone().unwrap_or_else(|| Name::from("")),
            priority: self.priority,
            affinity: self.affinity,
            tried_targets: self.tried.clone(),
            deadline_ms: now.mono_ms + queue_ms,
            prior_run_ms: 0,
            terms: self.terms(now.mono_ms),
            resumes,
        }
    }
}
