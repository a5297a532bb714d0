//! One run of an item: it waits for a place, is recalled for online requests, and goes on after its last event.

use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::future::{Either, select};
use hyper::{
    HeaderMap, Method, StatusCode, Uri,
    header::{self, HeaderName, HeaderValue},
};
use samphiredoor_core::{
    Name,
    dispatch::Class,
    ordered::{Item, ItemEnd, JobName, OutputPart, PartialOutput},
    placement::{AttemptEnd, RequestSpec},
    routes::{Route, RouteKind, RouteTable},
};
use samphiredoor_net::{
    Call,
    body::read_whole,
    pool::{Answer, SendError, within},
};
use smallvec::SmallVec;

use super::{JobEnv, clearance::Clearance};
use crate::{
    events::{EventBuffer, is_event_stream},
    placement::{Decision, Ticket},
    target_client,
};

/// Silence after which an item is sent to another target. Online requests that join a batch hold up its events for some
/// hundred milliseconds at most; an engine short of memory may hold up one for longer.
const SILENCE: Duration = Duration::from_millis(2_500);
/// Pause before an item is sent again that did not run.
const NOT_RUN_PAUSE: Duration = Duration::from_millis(60);
/// Pause before looking again for routes that are not known yet.
const NO_ROUTES_PAUSE: Duration = Duration::from_millis(200);
/// Longest time that a target is asked to work on one send.
const LONGEST_SEND: Duration = Duration::from_secs(30);
/// Bytes of a failed answer that are read so that the connection can be kept.
const MAX_FAILURE_BYTES: usize = 64 * 1024;

/// An item to run.
pub struct ItemRun {
    /// Handles.
    pub env: Rc<JobEnv>,
    /// Job, for logs.
    pub job: JobName,
    /// Host under which it is sent.
    pub host: String,
    /// Path of the submission, by which the route is found.
    pub route_path: String,
    /// Version of the routes under which the job was accepted.
    pub routes_version: u64,
    /// The item.
    pub item: Arc<Item>,
    /// When the job is due, by the monotonic clock.
    pub due_at_ms: u64,
    /// When the item is of no use any more.
    pub give_up_at: Instant,
    /// What has arrived of it.
    pub output: SharedOutput,
    /// Whether it may be sent.
    pub clearance: Rc<Clearance>,
}

/// Output of an item as far as it has arrived.
#[derive(Debug, Default)]
pub struct Output {
    text: Vec<u8>,
    has_data: bool,
    last: Option<u64>,
    /// Bytes of the text that the job's log keeps, and the event up to which it does.
    kept_bytes: usize,
    kept_last: Option<u64>,
    /// How long the runs in this process took that put it out.
    ran_ms: u64,
}

/// Output that the run of an item fills, and that its job can hand over.
pub type SharedOutput = Rc<RefCell<Output>>;

/// What became of one send.
enum Sent {
    /// The item is over.
    Over(ItemEnd),
    /// It was cut and can go on at once.
    GoOn,
    /// It did not run; try another target a little later.
    Later,
    /// The answer was lost.
    Lost,
}

impl ItemRun {
    /// Runs the item until it is over or something went wrong on the way.
    pub async fn run(self) -> ItemEnd {
        let body = match self.env.platform.dialect.item_body(&self.item) {
            Ok(body) => body,
            Err(problem) => {
                log::warn!(job = &*self.job, item = &*self.item.id, problem; "item: cannot be read");
                return ItemEnd::Impossible;
            }
        };
        let Some(mut call) = self.call(body) else { return ItemEnd::Impossible };
        loop {
            self.clearance.wait().await;
            let Some(table) = self.routes() else {
                compio::time::sleep(NO_ROUTES_PAUSE).await;
                continue;
            };
            let Some(route) = self.route(&table) else { return self.ended(ItemEnd::NoRoute) };
            match self.send(&route, &mut call).await {
                Sent::Over(end) => return self.ended(end),
                Sent::GoOn => {}
                Sent::Later => compio::time::sleep(NOT_RUN_PAUSE).await,
                Sent::Lost if self.last().is_some() => {}
                Sent::Lost => return self.ended(ItemEnd::NoAnswer),
            }
        }
    }

    fn ended(&self, end: ItemEnd) -> ItemEnd {
        let label = match end {
            ItemEnd::Completed { .. } => "completed",
            ItemEnd::Failed => "failed",
            ItemEnd::Impossible => "impossible",
            ItemEnd::NoAnswer => "no_answer",
            ItemEnd::NoRoute => "no_route",
        };
        self.env.metrics.item_ended(label);
        log::info!(job = &*self.job, item = &*self.item.id, end = label; "item: run ended");
        end
    }

    /// Routes that can tell the job's: a process that has just started may have none, or older ones than those under
    /// which the job was accepted elsewhere, and would give up items whose route it does not know yet.
    fn routes(&self) -> Option<Arc<RouteTable>> {
        self.env.routes.current().filter(|it| it.version >= self.routes_version)
    }

    /// Route of the job now; the operators may have moved it since the submission.
    fn route(&self, table: &RouteTable) -> Option<Arc<Route>> {
        let route = table.find(&self.host, &self.route_path)?;
        matches!(route.kind, RouteKind::Batch(_)).then(|| Arc::clone(route))
    }

    fn call(&self, body: Bytes) -> Option<Call> {
        let uri: Uri = self.item.path.parse().ok()?;
        let mut headers = HeaderMap::new();
        for (name, value) in &self.item.headers {
            headers.insert(name.parse::<HeaderName>().ok()?, HeaderValue::from_str(value).ok()?);
        }
        let names = self.env.platform.dialect.headers();
        headers.insert(names.request_id.clone(), HeaderValue::from_str(&self.item.id).ok()?);
        headers.insert(header::HOST, HeaderValue::from_str(&self.host).ok()?);
        Some(Call { method: Method::POST, uri, headers, body })
    }

    fn last(&self) -> Option<u64> {
        self.output.borrow().last
    }

    async fn send(&self, route: &Route, call: &mut Call) -> Sent {
        let Some(service) = route.service(rand::random()) else { return Sent::Later };
        let mut ticket = self.env.placement.request(self.ask(service, &call.headers));
        let (target, address) = match ticket.next_decision().await {
            Decision::Dispatch { target, address } => (target, address),
            Decision::Refused { .. } => return Sent::Later,
            Decision::Preempted => return Sent::GoOn,
        };
        if !self.clearance.holds() {
            return Sent::GoOn;
        }
        self.set_headers(call, &target);
        let (began_ms, before) = (self.env.clock.now().mono_ms, self.last());
        let sending = within(SILENCE, self.env.targets.send(&target, address, call));
        let (sent, end) = match or_recall(&mut ticket, sending).await {
            None => (Sent::GoOn, AttemptEnd::Cut),
            Some(Some(Ok(response))) => {
                if let Some(load) = self.env.platform.dialect.reported_load(response.headers()) {
                    self.env.placement.report_load(&target, load);
                }
                self.read(response, &mut ticket).await
            }
            Some(Some(Err(SendError::NotSent(_)))) => (Sent::Later, AttemptEnd::Unreachable),
            Some(Some(Err(SendError::MayHaveRun(_)))) => (Sent::Lost, AttemptEnd::Lost),
            Some(None) => (Sent::Lost, AttemptEnd::Silent),
        };
        if end != AttemptEnd::Answered {
            log::info!(
                job = &*self.job, item = &*self.item.id, target = &*target, end:? = end,
                after = self.last().unwrap_or(0);
                "item: attempt ended"
            );
        }
        if self.last() > before {
            let ran_ms = self.env.clock.now().mono_ms - began_ms;
            self.output.borrow_mut().ran_ms += ran_ms;
        }
        ticket.report_end(end);
        sent
    }

    fn ask(&self, service: &Name, headers: &HeaderMap) -> RequestSpec {
        RequestSpec {
            request: self.env.placement.next_request(),
            class: Class::Batch,
            service: Name::clone(service),
            priority: 0,
            affinity: self.env.platform.dialect.affinity(headers),
            tried_targets: SmallVec::new(),
            deadline_ms: self.due_at_ms,
            prior_run_ms: self.output.borrow().ran_ms,
        }
    }

    fn set_headers(&self, call: &mut Call, target: &Name) {
        let names = self.env.platform.dialect.headers();
        let left = self.give_up_at.saturating_duration_since(Instant::now()).min(LONGEST_SEND);
        target_client::set_target_headers(call, names, target, left);
        if let Some(last) = self.last() {
            call.headers.insert(names.last_event_id.clone(), HeaderValue::from(last));
        }
    }

    async fn read(
        &self,
        response: hyper::Response<Answer>,
        ticket: &mut Ticket,
    ) -> (Sent, AttemptEnd) {
        if let Some(end) =
            target_client::not_run_reason(self.env.platform.dialect.headers(), &response)
        {
            return (Sent::Later, end);
        }
        let (parts, body) = response.into_parts();
        if parts.status.is_success() && is_event_stream(&parts.headers) {
            return self.read_events(body, ticket).await;
        }
        let whole = within(SILENCE, read_whole(body, MAX_FAILURE_BYTES)).await;
        if !matches!(whole, Some(Ok(_))) {
            return (Sent::Lost, AttemptEnd::Lost);
        }
        let sent = match parts.status {
            StatusCode::INTERNAL_SERVER_ERROR => Sent::Over(ItemEnd::Failed),
            StatusCode::UNPROCESSABLE_ENTITY => Sent::Over(ItemEnd::Impossible),
            status => {
                log::warn!(job = &*self.job, item = &*self.item.id, status = status.as_u16(); "item: unexpected answer");
                Sent::Over(ItemEnd::NoAnswer)
            }
        };
        (sent, AttemptEnd::Answered)
    }

    async fn read_events(&self, mut body: Answer, ticket: &mut Ticket) -> (Sent, AttemptEnd) {
        use http_body_util::BodyExt;
        let mut events = EventBuffer::default();
        loop {
            let piece = within(SILENCE, body.frame());
            match or_recall(ticket, piece).await {
                None => return (Sent::GoOn, AttemptEnd::Cut),
                Some(None) => return (Sent::Lost, AttemptEnd::Silent),
                Some(Some(Some(Ok(frame)))) => {
                    events.push(&frame.into_data().unwrap_or_default());
                    self.output.borrow_mut().take(&mut events);
                }
                Some(Some(Some(Err(_)))) => return (Sent::Lost, AttemptEnd::Lost),
                Some(Some(None)) if events.take_rest().is_empty() => {
                    return (Sent::Over(self.output.borrow().complete()), AttemptEnd::Answered);
                }
                Some(Some(None)) => return (Sent::Lost, AttemptEnd::Lost),
            }
        }
    }
}

impl Output {
    fn take(&mut self, events: &mut EventBuffer) {
        while let Some(event) = events.next() {
            if event.id.is_some() && event.id <= self.last {
                continue;
            }
            self.last = event.id.or(self.last);
            event.append_data(&mut self.text, !self.has_data);
            self.has_data |= event.has_data();
        }
    }

    /// Output that the job's log has kept.
    pub fn kept(partial: PartialOutput) -> Output {
        let (last, kept_bytes) = (Some(partial.last), partial.text.len());
        Output {
            text: partial.text.into_bytes(),
            has_data: kept_bytes > 0,
            last,
            kept_bytes,
            kept_last: last,
            ran_ms: 0,
        }
    }

    /// What has come since the last part that was taken.
    pub fn take_part(&mut self, item: u32) -> Option<OutputPart> {
        let last = self.last.filter(|it| Some(*it) > self.kept_last)?;
        let text = String::from_utf8_lossy(&self.text[self.kept_bytes..]).into_owned();
        let after = self.kept_last.replace(last);
        self.kept_bytes = self.text.len();
        Some(OutputPart { item, after, last, text })
    }

    fn complete(&self) -> ItemEnd {
        let text = String::from_utf8_lossy(&self.text);
        ItemEnd::Completed { text: Arc::from(&*text) }
    }
}

/// Waits for something, or for the recall of the place; `None` after a recall.
async fn or_recall<F: Future>(ticket: &mut Ticket, future: F) -> Option<F::Output> {
    let future = std::pin::pin!(future);
    let recall = std::pin::pin!(ticket.next_decision());
    match select(future, recall).await {
        Either::Left((output, _)) => Some(output),
        Either::Right(_) => None,
    }
}
