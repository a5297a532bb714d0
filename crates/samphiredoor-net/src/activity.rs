//! What a server's connection waits for: a request, the rest of a request's head, or a response.
//!
//! One task of the server checks the waits of all its connections against the limits in force, and wakes those that exceed
//! one. So a change of a limit reaches open connections, and thousands of idle ones need no timers.
//!
//! If there are as many connections as allowed, the one that has kept the server waiting for longest makes room for a new
//! one. Clients that send slowly, or nothing, would otherwise shut out all others.

use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    pin::Pin,
    rc::{Rc, Weak},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, Waker, ready},
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

use crate::{
    Body, BoxError, ServeLimits,
    body::UnreadBody,
    permits::{Permit, Permits},
    stall::WriteStall,
};

/// Time between two checks of all connections. Limits are exceeded by up to this time.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a connection has kept the server waiting at least when it makes room for another one. Clients inside the
/// limits send their requests, and read their responses, in less.
const MIN_STANDSTILL: Duration = Duration::from_millis(500);

/// Bodies of which a piece is read at the same time after their responses.
const DISCARD_TURNS: usize = 8;
/// Size above which a head is large.
const LARGE_HEAD_BYTES: usize = 4 * 1024;
/// Large heads whose rest is read at the same time, and the pause before it.
const HEAD_TURNS: usize = 2;
const LARGE_HEAD_PAUSE: Duration = Duration::from_millis(20);

/// Wait of a connection for its client, which a limit applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// No byte of a request has arrived.
    Idle,
    /// A part of a request's head has arrived.
    Head,
    /// The connection makes room for another one.
    Crowded,
}

impl Wait {
    /// Label in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Wait::Idle => "idle",
            Wait::Head => "head",
            Wait::Crowded => "crowded",
        }
    }

    /// Limit that applies to the wait.
    pub fn limit(self, limits: &ServeLimits) -> Duration {
        match self {
            Wait::Idle => limits.idle_timeout,
            Wait::Head => limits.header_read_timeout,
            Wait::Crowded => Duration::ZERO,
        }
    }
}

/// Whether the body of a request is still arriving, in the extensions of the request. Its handler says when the body has
/// arrived; without that the connection is not closed for another one while the request is handled.
#[derive(Debug, Clone)]
pub struct BodyArrival(Arc<AtomicBool>);

impl BodyArrival {
    /// Marks the body as arriving until the guard is dropped.
    pub fn begin(&self) -> ArrivingBody {
        self.0.store(true, Ordering::Relaxed);
        ArrivingBody(self.clone())
    }
}

/// A body that is arriving.
#[derive(Debug)]
pub struct ArrivingBody(BodyArrival);

impl Drop for ArrivingBody {
    fn drop(&mut self) {
        self.0.0.store(false, Ordering::Relaxed);
    }
}

#[derive(Debug, Clone, Copy)]
enum Phase {
    Waiting(Wait, Instant),
    /// A request is handled, its response is sent, or the rest of its body arrives after that.
    Request(Instant),
}

/// What a connection that may make room for another one keeps the server waiting for. The first ones are closed first: clients
/// inside the limits send a whole head soon after they have connected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Standstill {
    /// The rest of a head.
    Head,
    /// The first request.
    FirstRequest,
    /// The rest of a body whose request was answered.
    AnsweredBody,
    /// The rest of a body whose request waits for it.
    Body,
    /// A further request.
    NextRequest,
    /// That the client reads its response.
    Reader,
}

/// Result of [`Activities::make_room`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room {
    /// A connection is being closed.
    SoonFree,
    /// All connections that could be closed have kept the server waiting only for a moment.
    Later,
    /// All connections are in use.
    None,
}

/// Turn of a large head that is arriving.
#[derive(Default)]
enum HeadTurn {
    #[default]
    None,
    Waiting(Pin<Box<dyn Future<Output = ()>>>),
    Had,
}

/// Current phase of a connection.
pub struct Activity {
    phase: Cell<Phase>,
    has_requests: Cell<bool>,
    body_arrival: BodyArrival,
    stall: WriteStall,
    /// Whether the connection has to make room for another one.
    is_crowded_out: Cell<bool>,
    /// Bytes of the head that is arriving.
    head_bytes: Cell<usize>,
    head_turn: RefCell<HeadTurn>,
    /// Reads the rest of a request's body whose response has been sent.
    discarding: RefCell<Option<Pin<Box<dyn Future<Output = ()>>>>>,
    turns: Turns,
    /// Task of the connection.
    waker: RefCell<Option<Waker>>,
}

impl Activity {
    /// Activity of a connection that was just accepted, and whose writes are recorded in `stall`.
    fn new(stall: WriteStall, turns: Turns) -> Activity {
        Activity {
            phase: Cell::new(Phase::Waiting(Wait::Idle, Instant::now())),
            has_requests: Cell::new(false),
            body_arrival: BodyArrival(Arc::default()),
            stall,
            is_crowded_out: Cell::new(false),
            head_bytes: Cell::new(0),
            head_turn: RefCell::default(),
            discarding: RefCell::default(),
            turns,
            waker: RefCell::default(),
        }
    }

    /// Mark for the handlers of its requests.
    pub fn body_arrival(&self) -> BodyArrival {
        self.body_arrival.clone()
    }

    /// Completes when a wait has exceeded its limit, and reads the rests of bodies meanwhile. Must be polled after the
    /// connection, so that bytes which have arrived count.
    pub async fn limit_exceeded(&self, limits: &RefCell<ServeLimits>) -> Wait {
        poll_fn(|cx| {
            self.poll_discarding(cx);
            self.restart_wait_while(self.stall.is_pending());
            if let Some(wait) = self.exceeded(&limits.borrow()) {
                return Poll::Ready(wait);
            }
            let mut waker = self.waker.borrow_mut();
            if waker.as_ref().is_none_or(|it| !it.will_wake(cx.waker())) {
                *waker = Some(cx.waker().clone());
            }
            Poll::Pending
        })
        .await
    }

    /// Completes when no head of a request is arriving. Must be polled by the task of the connection, after it.
    pub async fn no_head_arrives(&self) {
        poll_fn(|_| match self.phase.get() {
            Phase::Waiting(Wait::Head, _) => Poll::Pending,
            Phase::Waiting(..) | Phase::Request(_) => Poll::Ready(()),
        })
        .await;
    }

    /// A client is not idle before it has read the end of its response.
    fn restart_wait_while(&self, is_sending: bool) {
        if let (true, Phase::Waiting(Wait::Idle, _)) = (is_sending, self.phase.get()) {
            self.phase.set(Phase::Waiting(Wait::Idle, Instant::now()));
        }
    }

    /// The wait that has exceeded its limit, if there is one.
    fn exceeded(&self, limits: &ServeLimits) -> Option<Wait> {
        // A request may have arrived since the connection was chosen.
        if self.is_crowded_out.get() {
            match self.standstill() {
                Some(_) => return Some(Wait::Crowded),
                None => self.is_crowded_out.set(false),
            }
        }
        let Phase::Waiting(wait, since) = self.phase.get() else { return None };
        (since.elapsed() >= wait.limit(limits)).then_some(wait)
    }

    fn wake_if_exceeded(&self, limits: &ServeLimits) {
        if self.exceeded(limits).is_some()
            && let Some(waker) = &*self.waker.borrow()
        {
            waker.wake_by_ref();
        }
    }

    /// What the connection keeps the server waiting for, and since when.
    fn standstill(&self) -> Option<(Standstill, Instant)> {
        if let Some(since) = self.stall.pending_since() {
            return Some((Standstill::Reader, since));
        }
        match self.phase.get() {
            Phase::Waiting(Wait::Head, since) => Some((Standstill::Head, since)),
            Phase::Waiting(_, since) if self.has_requests.get() => {
                Some((Standstill::NextRequest, since))
            }
            Phase::Waiting(_, since) => Some((Standstill::FirstRequest, since)),
            Phase::Request(since) if self.discarding.borrow().is_some() => {
                Some((Standstill::AnsweredBody, since))
            }
            Phase::Request(since) => {
                let is_arriving = self.body_arrival.0.load(Ordering::Relaxed);
                is_arriving.then_some((Standstill::Body, since))
            }
        }
    }

    fn crowd_out(&self) {
        self.is_crowded_out.set(true);
        if let Some(waker) = &*self.waker.borrow() {
            waker.wake_by_ref();
        }
    }

    /// Waits for a turn if the head that arrives is large. It takes longer to parse than a usual request to answer, so that many
    /// at once would delay all others.
    pub fn poll_read_allowed(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self.head_bytes.get() <= LARGE_HEAD_BYTES {
            return Poll::Ready(());
        }
        let mut turn = self.head_turn.borrow_mut();
        if let HeadTurn::None = &*turn {
            let turns = self.turns.heads.clone();
            *turn = HeadTurn::Waiting(Box::pin(async move {
                let _turn = turns.acquire().await;
                compio::time::sleep(LARGE_HEAD_PAUSE).await;
            }));
        }
        if let HeadTurn::Waiting(waiting) = &mut *turn {
            ready!(waiting.as_mut().poll(cx));
            *turn = HeadTurn::Had;
        }
        Poll::Ready(())
    }

    /// Records that bytes were read.
    pub fn record_read(&self, bytes: usize) {
        if let Phase::Waiting(..) = self.phase.get() {
            self.head_bytes.set(self.head_bytes.get() + bytes);
        }
        if let Phase::Waiting(Wait::Idle, _) = self.phase.get() {
            self.phase.set(Phase::Waiting(Wait::Head, Instant::now()));
        }
    }

    /// Records that the head of a request is complete, and thus the body of the one before. Returns whether it had arrived
    /// whole before the response to the last request ended. One that arrived only in part does not count: the rest may have
    /// been sent after that.
    pub fn start_request(&self) -> bool {
        *self.discarding.borrow_mut() = None;
        self.head_bytes.set(0);
        *self.head_turn.borrow_mut() = HeadTurn::None;
        let phase = self.phase.replace(Phase::Request(Instant::now()));
        let is_read = matches!(phase, Phase::Waiting(Wait::Idle, _));
        self.has_requests.replace(true) && is_read
    }

    fn end_response(&self, unread: Option<UnreadBody>) {
        match unread.filter(|it| !it.is_complete()) {
            Some(unread) => {
                let discarding = unread.discard(self.turns.discards.clone());
                *self.discarding.borrow_mut() = Some(Box::pin(discarding));
            }
            None => self.end_request(),
        }
    }

    fn end_request(&self) {
        self.phase.set(Phase::Waiting(Wait::Idle, Instant::now()));
    }

    fn poll_discarding(&self, cx: &mut Context<'_>) {
        let mut discarding = self.discarding.borrow_mut();
        if discarding.as_mut().is_some_and(|it| it.as_mut().poll(cx).is_ready()) {
            *discarding = None;
            self.end_request();
        }
    }
}

/// Turns that the connections of a server have for work that takes the time of others.
#[derive(Clone)]
struct Turns {
    /// To read a piece of an answered body.
    discards: Permits,
    /// To read the rest of a large head.
    heads: Permits,
}

/// Activities of the open connections of a server.
#[derive(Clone)]
pub struct Activities {
    open: Rc<RefCell<Vec<Weak<Activity>>>>,
    turns: Turns,
}

impl Default for Activities {
    fn default() -> Activities {
        let turns =
            Turns { discards: Permits::new(DISCARD_TURNS), heads: Permits::new(HEAD_TURNS) };
        Activities { open: Rc::default(), turns }
    }
}

impl Activities {
    /// Adds a connection that was just accepted.
    pub fn start(&self, stall: WriteStall) -> Rc<Activity> {
        let activity = Rc::new(Activity::new(stall, self.turns.clone()));
        self.open.borrow_mut().push(Rc::downgrade(&activity));
        activity
    }

    /// Closes connections that keep the server waiting, `most` at most.
    pub fn make_room(&self, most: usize) -> Room {
        let (activities, now) = (self.open.borrow(), Instant::now());
        let open = activities.iter().filter_map(Weak::upgrade);
        let mut waiting: Vec<_> = open.filter_map(|it| Some((it.standstill()?, it))).collect();
        if waiting.is_empty() {
            return Room::None;
        }
        waiting.retain(|((_, since), _)| now.duration_since(*since) >= MIN_STANDSTILL);
        if waiting.is_empty() {
            return Room::Later;
        }
        waiting.sort_unstable_by_key(|(standstill, _)| *standstill);
        waiting.iter().take(most).for_each(|(_, it)| it.crowd_out());
        Room::SoonFree
    }

    /// Wakes the connections that exceed a limit, for as long as the server runs.
    pub async fn check(self, limits: Rc<RefCell<ServeLimits>>) {
        loop {
            compio::time::sleep(CHECK_INTERVAL).await;
            let limits = limits.borrow();
            self.open.borrow_mut().retain(|it| {
                let Some(activity) = it.upgrade() else { return false };
                activity.wake_if_exceeded(&limits);
                true
            });
        }
    }
}

/// Body of a response; records the end of the response when it is dropped.
pub struct RecordedBody {
    body: Body,
    activity: Rc<Activity>,
    /// Held until the end of the response, if its request was sent ahead.
    _turn: Option<Permit>,
}

impl RecordedBody {
    /// Wraps the body of a response.
    pub fn new(body: Body, activity: Rc<Activity>, turn: Option<Permit>) -> RecordedBody {
        RecordedBody { body, activity, _turn: turn }
    }
}

impl Drop for RecordedBody {
    fn drop(&mut self) {
        self.activity.end_response(self.body.take_unread());
    }
}

impl HttpBody for RecordedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
