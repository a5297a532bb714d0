//! One run of a batch item: waits for a slot at a target, sends the item and collects its output.
//!
//! The item may be preempted by online requests. After a preemption or a lost response it resumes after the last event
//! that it has received.

use std::{
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future::{Either, select};
use hyper::{
    Method, StatusCode, Uri,
    header::{self, HeaderValue},
};
use samphiredoor_core::{
    Name,
    crash_reports::{Content, Suspect},
    dispatch::{Class, RequestId},
    ordered::{Item, ItemEnd, JobName, PreemptionHold},
    overload::buffer_budget::Holder,
    placement::{AttemptEnd, CallerTerms, RequestSpec, Resumption, name_hash},
    routes::{Route, RouteKind, RouteTable},
    silence::NextRun,
    software_versions::StreamOrigin,
};
use samphiredoor_net::{
    Call,
    body::read_whole,
    pool::{Framing, ResponseBody, SendError, within, within_or_late},
};
use smallvec::SmallVec;

use super::{JobEnv, item_output::SharedOutput, send_permit::SendPermit};
use crate::{
    buffers::HeldMemory,
    event_sequence::EventSequence,
    event_stream::{BreakOff, EventStream, Received, StreamEnd},
    events::is_event_stream,
    peers::{Hex, RunEnd, SentRun},
    placement::{Decision, HeldSlot, Ticket},
    platform_api::ItemPrompt,
    silence::{SilentTarget, WaitEnd},
    target_client,
};

/// Time without a whole event after which a target counts as silent. Online requests that join a batch delay its events by a few
/// hundred milliseconds at most; an engine short of memory may delay one for longer.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_500);
/// Time limit for the body of a failure, whose status has arrived.
const FAILURE_BODY_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a run whose answer must not be missed goes on after its preemption or the handover of its job. A target that has
/// a slot for the item answers in some tens of milliseconds; meanwhile an online request may wait for that slot.
pub const ANSWER_WAIT: Duration = Duration::from_millis(1_000);
/// Shortest time for which an item waits for a target of the version that wrote its text, before it begins anew at another
/// one.
const MIN_VERSION_WAIT_MS: u64 = 1_000;
/// Longest time for which an item waits for another target than the one at which its answer was lost. That one may have the
/// only free slot, and may be sound again.
const OTHER_TARGET_WAIT: Duration = Duration::from_secs(2);
/// Pause before an item is sent again that was not run by the target, or got no target.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Interval at which an item that crashes targets, or a part of whose prompt does, checks whether it may be sent again.
const HELD_PAUSE: Duration = Duration::from_millis(500);
/// Interval at which an item checks for routes while this process has none that are recent enough.
const NO_ROUTES_PAUSE: Duration = Duration::from_millis(200);
/// Interval at which an item checks for memory for its request.
const NO_MEMORY_PAUSE: Duration = Duration::from_millis(500);
/// Size up to which the memory of an item's request is not counted.
const SMALL_REQUEST_BYTES: usize = 64 * 1024;
/// Memory of decoded headers, in multiples of their text: a short one takes about 150 bytes and a few bytes of text.
const HEADERS_FACTOR: usize = 16;
/// Upper limit of the deadline that is sent to a target with one attempt.
const MAX_ATTEMPT_TIME: Duration = Duration::from_secs(30);
/// Maximum size of an error body that is read so that the connection can be reused.
const MAX_ERROR_BYTES: usize = 64 * 1024;

/// An item to run, with what it shares with its job.
pub struct ItemRun {
    /// Handles shared by all jobs.
    pub env: Rc<JobEnv>,
    /// Job of the item, for logs.
    pub job: JobName,
    /// `Host` header of the submission, also used for the item's requests.
    pub host: String,
    /// Workspace of the job, if it has one.
    pub workspace: Option<String>,
    /// Path of the submission, which selects the route.
    pub route_path: String,
    /// Version of the routes under which the job was accepted.
    pub routes_version: u64,
    /// The item as it was submitted.
    pub item: Arc<Item>,
    /// When the job is due, on the monotonic clock.
    pub due_at_ms: u64,
    /// When the item is given up.
    pub give_up_at: Instant,
    /// Output received so far, also by earlier runs.
    pub output: SharedOutput,
    /// Permit that must be valid whenever the item is sent.
    pub permit: Rc<SendPermit>,
    /// For how long it is not preempted, as an earlier run of the item may have failed unread.
    pub preemption_hold: PreemptionHold,
}

/// Outcome of one attempt to run the item at a target.
enum Outcome {
    /// The run ends with this result.
    Finished(ItemEnd),
    /// The attempt was preempted after its target had answered, or not sent; the item can be sent again at once.
    Resume,
    /// The attempt was preempted before its target had answered.
    Preempted,
    /// The target did not run the item, or there was none; retry after a short pause.
    RetryLater,
    /// The item was not sent, as there is too little memory for its request.
    NoMemory,
    /// The item was not sent, as this crashes targets: the item or a part of its prompt.
    Held(Suspect),
    /// The response was cut off or did not arrive; the item may have run.
    ResponseLost,
}

/// There is too little memory for an item's request.
struct NoMemory;

/// How the wait for the head of a response ended.
struct Sent {
    head: Result<hyper::Response<ResponseBody>, NoResponse>,
    /// Whether the attempt was preempted meanwhile.
    is_preempted: bool,
}

/// An attempt at a target.
struct AtTarget<'a> {
    target: &'a Name,
    address: SocketAddr,
    service: &'a Name,
    prompt: &'a ItemPrompt,
    /// When the time that the target was given is up.
    until: Instant,
    run: SentRun,
    /// Slot at another target for which the item leaves this one. It keeps other items from leaving for the same slot until
    /// the attempt has ended; the next run is placed like any other.
    held: Option<HeldSlot>,
}

/// Why the head of a response did not arrive.
enum NoResponse {
    /// The item was not sent.
    NotSent,
    /// The connection failed after the item was sent.
    Lost,
    /// The target was silent, and has been left.
    Left(AttemptEnd),
    /// The attempt was preempted first.
    Preempted,
}

impl From<SendError> for NoResponse {
    fn from(err: SendError) -> NoResponse {
        match err {
            SendError::NotSent(_) => NoResponse::NotSent,
            SendError::MayHaveRun(_) => NoResponse::Lost,
        }
    }
}

impl ItemRun {
    /// Runs the item until it has a result, or until a response was lost.
    pub async fn run(self) -> ItemEnd {
        let prompt = self.env.platform.dialect.item_prompt(&self.item);
        let first_event = self.last_event();
        let mut was_held = false;
        loop {
            if self.output.borrow().is_stopping() {
                return self.finish(ItemEnd::Stopped);
            }
            self.permit.wait().await;
            let Some(table) = self.routes() else {
                compio::time::sleep(NO_ROUTES_PAUSE).await;
                continue;
            };
            let Some(route) = self.route(&table) else { return self.finish(ItemEnd::NoRoute) };
            match self.attempt(&route, &prompt).await {
                Outcome::Finished(end) => return self.finish(end),
                Outcome::Resume => {}
                Outcome::Preempted if self.last_event().is_some() => {}
                Outcome::Preempted => return self.finish(ItemEnd::Preempted),
                Outcome::RetryLater => compio::time::sleep(RETRY_PAUSE).await,
                Outcome::Held(suspect) => {
                    if !std::mem::replace(&mut was_held, true) {
                        self.log_held(suspect);
                    }
                    compio::time::sleep(HELD_PAUSE).await;
                }
                Outcome::NoMemory => compio::time::sleep(NO_MEMORY_PAUSE).await,
                Outcome::ResponseLost => {
                    let has_new_event = self.last_event() > first_event;
                    let end = if has_new_event { ItemEnd::Interrupted } else { ItemEnd::NoAnswer };
                    return self.finish(end);
                }
            }
        }
    }

    fn finish(&self, end: ItemEnd) -> ItemEnd {
        let label = match end {
            ItemEnd::Completed { .. } => "completed",
            ItemEnd::Failed => "failed",
            ItemEnd::Impossible => "impossible",
            ItemEnd::NoAnswer => "no_answer",
            ItemEnd::Interrupted => "interrupted",
            ItemEnd::NoRoute => "no_route",
            ItemEnd::Preempted => "preempted",
            ItemEnd::Stopped => "stopped",
        };
        self.env.metrics.item_ended(label);
        log::info!(job = &*self.job, item = &*self.item.id, end = label; "item: run ended");
        end
    }

    /// Current routes, if they are at least as new as those under which the job was accepted. A process that has just
    /// started may have none or older ones, and would give up items whose route it does not have yet.
    fn routes(&self) -> Option<Arc<RouteTable>> {
        self.env.routes.current().filter(|it| it.version >= self.routes_version)
    }

    /// Current batch route of the job; operators may have changed it since the submission.
    fn route(&self, table: &RouteTable) -> Option<Arc<Route>> {
        let route = table.find(&self.host, &self.route_path)?;
        matches!(route.kind, RouteKind::Batch(_)).then(|| Arc::clone(route))
    }

    /// Request of the item; `None` if it is invalid.
    fn build_call(&self) -> Option<Call> {
        let dialect = &self.env.platform.dialect;
        let decoded = dialect
            .item_body(&self.item)
            .and_then(|body| Ok((body, dialect.item_headers(&self.item)?)));
        let (body, mut headers) = match decoded {
            Ok(decoded) => decoded,
            Err(problem) => {
                log::warn!(job = &*self.job, item = &*self.item.id, problem; "item: cannot be read");
                return None;
            }
        };
        let uri: Uri = self.item.path.parse().ok()?;
        let names = dialect.headers();
        target_client::set_workspace(&mut headers, names, self.workspace.as_deref());
        headers.insert(names.request_id.clone(), HeaderValue::from_str(&self.item.id).ok()?);
        headers.insert(header::HOST, HeaderValue::from_str(&self.host).ok()?);
        Some(Call { method: Method::POST, uri, headers, body })
    }

    /// Memory of the item's request while it is sent, beyond what small ones take. Fails while there is too little.
    fn hold_request(&self) -> Result<Option<HeldMemory>, NoMemory> {
        let item = &self.item;
        let bytes = item.encoded_body.len() + item.encoded_headers.len() * HEADERS_FACTOR;
        if bytes <= SMALL_REQUEST_BYTES {
            return Ok(None);
        }
        self.env.client_memory.try_hold(Holder::ItemRequest, bytes).map(Some).ok_or(NoMemory)
    }

    /// Service for the next run: the one that began the text, as long as the route sends items there.
    fn service<'a>(&self, route: &'a Route) -> Option<&'a Name> {
        let output = self.output.borrow();
        let began = output.origin().filter(|_| output.last_event().is_some());
        let began = began.and_then(|it| route.service_with_hash(it.service));
        began.or_else(|| route.service(rand::random()))
    }

    fn last_event(&self) -> Option<u64> {
        self.output.borrow().last_event()
    }

    async fn attempt(&self, route: &Route, prompt: &ItemPrompt) -> Outcome {
        if self.output.borrow_mut().drop_unresumable() {
            log::info!(job = &*self.job, item = &*self.item.id; "item: begun anew, as its last events have no numbers");
            self.env.metrics.job_event("item_begun_anew");
        }
        let Some(service) = self.service(route) else { return Outcome::RetryLater };
        let content = content_of(service, prompt);
        if let Some(suspect) = self.env.crash_reports.quarantined(&content) {
            return Outcome::Held(suspect);
        }
        let Ok(_memory) = self.hold_request() else { return Outcome::NoMemory };
        let mut ticket = self.env.placement.request(self.request_spec(service, prompt));
        let is_avoiding = self.output.borrow().avoided().is_some();
        let placing = self.place(&mut ticket, service);
        let placed = match is_avoiding {
            true => within(OTHER_TARGET_WAIT, placing).await,
            false => Some(placing.await),
        };
        let Some(placed) = placed else {
            self.output.borrow_mut().set_avoided(None);
            return Outcome::Resume;
        };
        let (target, address, origin, goes_on) = match placed {
            Some(Decision::Dispatch { target, address, origin, goes_on }) => {
                (target, address, origin, goes_on)
            }
            Some(Decision::Refused { .. }) => return Outcome::RetryLater,
            Some(Decision::Preempted) | None => return Outcome::Resume,
        };
        if !self.permit.is_valid() {
            return Outcome::Resume;
        }
        // It may have been quarantined while it waited.
        let trial = match self.env.crash_reports.clearance(&content).await {
            Ok(trial) => trial,
            Err(suspect) => return Outcome::Held(suspect),
        };
        if !self.permit.is_valid() || !self.env.targets.accepts_work(&target) {
            return Outcome::Resume;
        }
        // Not before there is a slot: all items of a job wait at the same time.
        let Some(mut call) = self.build_call() else {
            return Outcome::Finished(ItemEnd::Impossible);
        };
        self.begin_or_go_on(&target, origin, goes_on);
        let until = Instant::now() + self.set_headers(&mut call, &target);
        let (began_ms, before) = (self.env.clock.now().mono_ms, self.last_event());
        let run = self.env.crash_reports.sent(address, content.clone(), trial);
        // Logged before the run, as an owner that loses its job drops its runs.
        if let Some(asked_after) = before {
            log::info!(
                job = &*self.job, item = &*self.item.id, target = &*target, asked_after;
                "item: sent to go on"
            );
        }
        self.output.borrow_mut().begin_attempt();
        let mut at = AtTarget { target: &target, address, service, prompt, until, run, held: None };
        let sent = self.send(&mut ticket, &mut at, &call).await;
        let (outcome, end) = match sent.head {
            Ok(response) => {
                if let Some(load) = self.env.platform.dialect.reported_load(response.headers()) {
                    self.env.placement.report_load(&target, load);
                }
                let ended =
                    self.read_response(response, &mut at, &mut ticket, sent.is_preempted).await;
                self.output.borrow_mut().note_answered();
                ended
            }
            Err(NoResponse::NotSent) => {
                self.output.borrow_mut().note_answered();
                (Outcome::RetryLater, AttemptEnd::Unreachable)
            }
            Err(NoResponse::Lost) => (Outcome::ResponseLost, AttemptEnd::Lost),
            Err(NoResponse::Left(end)) => (Outcome::ResponseLost, end),
            Err(NoResponse::Preempted) => (Outcome::Preempted, AttemptEnd::Cut),
        };
        let was_answered = self.output.borrow_mut().end_attempt();
        if !was_answered {
            self.env.metrics.item_unanswered(unanswered_label(end));
        }
        let is_completed = matches!(outcome, Outcome::Finished(ItemEnd::Completed { .. }));
        if !is_completed {
            log::info!(
                job = &*self.job, item = &*self.item.id, target = &*target, end:? = end,
                asked_after = before.unwrap_or(0), after = self.last_event().unwrap_or(0), was_answered;
                "item: attempt ended"
            );
        }
        // A text that several runs make up proves nothing: the others may have crashed their targets.
        let run_end = match before.is_none() && is_completed {
            true => RunEnd::Sound,
            false => RunEnd::Other(end),
        };
        if run_end == RunEnd::Sound {
            self.env.crash_reports.answered(&content);
        }
        at.run.ended(run_end);
        if self.last_event() > before {
            let ran_ms = self.env.clock.now().mono_ms - began_ms;
            self.output.borrow_mut().add_run_time(ran_ms);
        }
        if matches!(end, AttemptEnd::Silent | AttemptEnd::Gone) {
            self.env.targets.close_idle(&target);
        }
        let is_lost = matches!(outcome, Outcome::ResponseLost);
        self.output.borrow_mut().set_avoided(is_lost.then_some(target));
        ticket.report_end(end);
        outcome
    }

    fn log_held(&self, suspect: Suspect) {
        log::info!(
            job = &*self.job, item = &*self.item.id, kind = suspect.kind.label(),
            fingerprint:% = Hex(suspect.hash);
            "item: held, as it is quarantined"
        );
        self.env.metrics.job_event("item_held");
    }

    /// Sends the item and waits for the head of its response. A preemption ends the wait, but not at once if an earlier run of
    /// the item may have failed unread.
    async fn send(&self, ticket: &mut Ticket, at: &mut AtTarget<'_>, call: &Call) -> Sent {
        let mut send = std::pin::pin!(self.env.targets.send(at.target, at.address, call));
        let request = ticket.request();
        let hold = match self.last_event() {
            Some(_) => PreemptionHold::None,
            None => self.preemption_hold,
        };
        let receiving = self.receive(request, at, send.as_mut(), Result::is_ok);
        let in_time = match hold {
            PreemptionHold::UntilAnswered => Some(receiving.await),
            PreemptionHold::None | PreemptionHold::Moment => or_preempted(ticket, receiving).await,
        };
        let is_preempted = in_time.is_none();
        let (head, missing) = match in_time {
            Some(Ok(head)) => (Some(head), NoResponse::NotSent),
            Some(Err(end)) => (None, NoResponse::Left(end)),
            None if hold == PreemptionHold::Moment => {
                (within(ANSWER_WAIT, send).await, NoResponse::Preempted)
            }
            None => (None, NoResponse::Preempted),
        };
        let head = head.map_or(Err(missing), |it| it.map_err(NoResponse::from));
        Sent { head, is_preempted }
    }

    /// Waits for a target; `None` if the operators have taken the service from the route meanwhile, whose targets may be gone.
    async fn place(&self, ticket: &mut Ticket, service: &Name) -> Option<Decision> {
        let mut decision = pin!(ticket.next_decision());
        loop {
            let changed = pin!(self.env.routes.changed());
            match select(decision.as_mut(), changed).await {
                Either::Left((decision, _)) => return Some(decision),
                Either::Right(_) if self.is_served_by(service) => {}
                Either::Right(_) => return None,
            }
        }
    }

    /// Whether the current route sends items to a service.
    fn is_served_by(&self, service: &Name) -> bool {
        let Some(table) = self.env.routes.current() else { return true };
        let Some(route) = self.route(&table) else { return false };
        route.splits.iter().any(|it| it.weight > 0 && it.service == *service)
    }

    fn request_spec(&self, service: &Name, prompt: &ItemPrompt) -> RequestSpec {
        RequestSpec {
            request: self.env.placement.next_request(),
            class: Class::Batch,
            service: Name::clone(service),
            priority: 0,
            affinity: prompt.affinity,
            tried_targets: self.output.borrow().avoided().cloned().into_iter().collect(),
            deadline_ms: self.due_at_ms,
            prior_run_ms: self.output.borrow().prior_run_ms(),
            terms: CallerTerms::default(),
            resumes: self.resumption(),
        }
    }

    /// The text with which the next run goes on. A target of its version is waited for about as long as it takes to do the work
    /// again.
    fn resumption(&self) -> Option<Resumption> {
        let output = self.output.borrow();
        let origin = output.origin().filter(|_| output.last_event().is_some())?.clone();
        let wait_ms = output.prior_run_ms().max(MIN_VERSION_WAIT_MS);
        Some(Resumption { origin, until_ms: self.env.clock.now().mono_ms + wait_ms })
    }

    /// Drops the text of an earlier run if the target is of another version or service than the one that wrote it.
    fn begin_or_go_on(&self, target: &Name, origin: StreamOrigin, goes_on: bool) {
        let mut output = self.output.borrow_mut();
        if let Some(after) = output.last_event().filter(|_| !goes_on) {
            let began = output.origin().map(|it| Name::clone(&it.version)).unwrap_or_default();
            log::info!(
                job = &*self.job, item = &*self.item.id, target = &**target, after,
                began_at_version = &*began, version = &*origin.version;
                "item: begun anew at another version or service"
            );
            self.env.metrics.job_event("item_begun_anew");
            output.drop_text();
        }
        output.begin_text(origin);
    }

    /// Returns the time that is given to the target.
    fn set_headers(&self, call: &mut Call, target: &Name) -> Duration {
        let names = self.env.platform.dialect.headers();
        let left = self.give_up_at.saturating_duration_since(Instant::now()).min(MAX_ATTEMPT_TIME);
        target_client::set_target_headers(call, names, target, left);
        match self.last_event() {
            Some(last) => {
                call.headers.insert(names.last_event_id.clone(), HeaderValue::from(last));
            }
            None => _ = call.headers.remove(&names.last_event_id),
        }
        left
    }

    async fn read_response(
        &self,
        response: hyper::Response<ResponseBody>,
        at: &mut AtTarget<'_>,
        ticket: &mut Ticket,
        is_preempted: bool,
    ) -> (Outcome, AttemptEnd) {
        if let Some(end) =
            target_client::not_run_reason(self.env.platform.dialect.headers(), &response)
        {
            return (Outcome::RetryLater, end);
        }
        let (parts, body) = response.into_parts();
        if parts.status.is_success() && is_event_stream(&parts.headers) {
            self.output.borrow_mut().note_answered();
            return match is_preempted || self.output.borrow().is_stopping() {
                true => (Outcome::Resume, AttemptEnd::Cut),
                false => {
                    let sequence = EventSequence::asked_with(self.last_event());
                    let stream = EventStream::new(body, at.address, sequence);
                    self.read_events(stream, at, ticket).await
                }
            };
        }
        let whole = within_or_late(FAILURE_BODY_TIMEOUT, read_whole(body, MAX_ERROR_BYTES)).await;
        let is_whole = matches!(whole, Some(Ok(_)));
        let end = if is_whole { AttemptEnd::Answered } else { AttemptEnd::Lost };
        let outcome = match parts.status {
            // The status suffices: an item whose failures break off would be sent without a bound.
            StatusCode::INTERNAL_SERVER_ERROR => Outcome::Finished(ItemEnd::Failed),
            StatusCode::UNPROCESSABLE_ENTITY => Outcome::Finished(ItemEnd::Impossible),
            _ if !is_whole => Outcome::ResponseLost,
            status => {
                log::warn!(job = &*self.job, item = &*self.item.id, status = status.as_u16(); "item: unexpected response");
                Outcome::Finished(ItemEnd::NoAnswer)
            }
        };
        (outcome, end)
    }

    /// Counts the end of a stream, and logs it if the stream has ended in order and nothing but that says that it is whole.
    fn note_stream_end(&self, stream: &EventStream, end: StreamEnd) {
        let framing = stream.framing();
        self.env.metrics.stream_ended(framing, end.label());
        let has_failed = end == StreamEnd::BrokenOff(BreakOff::ConnectionFailed);
        if !has_failed && (framing == Framing::Close || end != StreamEnd::Whole) {
            log::info!(
                job = &*self.job, item = &*self.item.id, framing = framing.label(), end = end.label(),
                after = self.last_event().unwrap_or(0), unfinished_bytes = stream.unfinished_bytes();
                "item: stream ended"
            );
        }
    }

    async fn read_events(
        &self,
        mut stream: EventStream,
        at: &mut AtTarget<'_>,
        ticket: &mut Ticket,
    ) -> (Outcome, AttemptEnd) {
        let request = ticket.request();
        loop {
            let received = {
                let receiving = std::pin::pin!(stream.receive());
                or_preempted(ticket, self.receive(request, at, receiving, Received::is_progress))
                    .await
            };
            match received {
                None => return (Outcome::Resume, AttemptEnd::Cut),
                Some(Err(end)) => return (Outcome::ResponseLost, end),
                Some(Ok(Received::Event)) => {
                    let mut output = self.output.borrow_mut();
                    if output.consume(&mut stream) {
                        at.run.note_event();
                    }
                    output.count(self.env.buffers.as_ref());
                }
                Some(Ok(Received::End(end))) => {
                    self.note_stream_end(&stream, end);
                    return match end {
                        StreamEnd::Whole => {
                            let complete = self.output.borrow().complete();
                            (Outcome::Finished(complete), AttemptEnd::Answered)
                        }
                        StreamEnd::BrokenOff(_) => (Outcome::ResponseLost, AttemptEnd::Lost),
                    };
                }
            }
        }
    }

    /// Waits for the next part of the response. If the target is silent, the item stays there unless another target has a free
    /// slot: a run that is broken off while its target works is done again.
    ///
    /// # Errors
    ///
    /// The target has been silent, and the item is better off elsewhere, the target is gone, or the time that it was given
    /// is up.
    async fn receive<F: Future + Unpin>(
        &self,
        request: RequestId,
        at: &mut AtTarget<'_>,
        mut wait: F,
        is_progress: fn(&F::Output) -> bool,
    ) -> Result<F::Output, AttemptEnd> {
        let since = Instant::now();
        if let Some(received) = within_or_late(SILENCE_LIMIT, &mut wait).await {
            return Ok(received);
        }
        let silent = SilentTarget {
            placement: &self.env.placement,
            probes: &self.env.target_probes,
            request,
            address: at.address,
            until: at.until,
        };
        let next = || (self.next_spec(at), NextRun::Allowed);
        let (ended, _) = Box::pin(silent.wait(next, wait)).await;
        match ended {
            WaitEnd::Received(received) => {
                if is_progress(&received) {
                    self.env.placement.silence_ended(request);
                    log::info!(
                        job = &*self.job, item = &*self.item.id, target = &**at.target,
                        silence_ms = since.elapsed().as_millis() as u64;
                        "item: target spoke again"
                    );
                }
                Ok(received)
            }
            WaitEnd::Move(held) => {
                at.held = Some(held);
                Err(AttemptEnd::Silent)
            }
            WaitEnd::Gone(_) => Err(AttemptEnd::Gone),
            WaitEnd::TimeUp => Err(AttemptEnd::Silent),
        }
    }

    /// The item as it would be sent to another target.
    fn next_spec(&self, at: &AtTarget<'_>) -> RequestSpec {
        let mut spec = self.request_spec(at.service, at.prompt);
        spec.tried_targets = SmallVec::from_iter([Name::clone(at.target)]);
        spec
    }
}

/// What may crash targets: parts of a prompt. An item itself is no suspect, as an item under which targets crash by chance is
/// still owed.
fn content_of(service: &Name, prompt: &ItemPrompt) -> Content {
    Content { service: name_hash(service), fingerprint: None, parts: prompt.parts.clone() }
}

/// Label in metrics of an attempt that ended before its target had answered.
fn unanswered_label(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Cut => "preempted",
        AttemptEnd::Silent => "silent",
        AttemptEnd::Gone => "gone",
        AttemptEnd::Lost
        | AttemptEnd::Unreachable
        | AttemptEnd::Refused
        | AttemptEnd::WrongTarget
        | AttemptEnd::Answered => "lost",
    }
}

/// Waits for a future or for the preemption of the attempt; `None` if it was preempted.
async fn or_preempted<F: Future>(ticket: &mut Ticket, future: F) -> Option<F::Output> {
    let future = std::pin::pin!(future);
    let preempted = std::pin::pin!(ticket.next_decision());
    match select(future, preempted).await {
        Either::Left((output, _)) => Some(output),
        Either::Right(_) => None,
    }
}
