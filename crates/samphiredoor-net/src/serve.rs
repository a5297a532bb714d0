//! HTTP server: accepts connections and responds to requests on them.
//!
//! Every wait is limited, so that slow clients and half-open connections do not occupy the server forever: connections
//! at `max_connections` the connection that has kept the server waiting for longest makes room for a new one, a connection
//! without a request is closed after `idle_timeout`, a client that sends its headers slowly is disconnected after
//! `header_read_timeout`, and one that does not read its response after `stall_timeout`.
//!
//! Requests that were sent before the answer to the last one on their connection are answered a few at a time: a client that
//! sends thousands ahead must not delay those that wait for their answers.

use std::{
    cell::{Cell, RefCell},
    future::{Future, poll_fn},
    net::SocketAddr,
    pin::{Pin, pin},
    rc::Rc,
    task::Poll,
    time::{Duration, Instant},
};

use compio::net::{TcpListener, TcpSocket, TcpStream};
use futures_util::{FutureExt, StreamExt, future::Either, select_biased};
use hyper::{
    Request, Response, Version,
    body::Incoming,
    header::{self, HeaderValue},
    server::conn::http1,
    service::service_fn,
};

use crate::{
    activity::{Activities, Activity, RecordedBody, Room, Wait},
    body::{Body, BoxError},
    metrics::ReasonCounters,
    permits::{Permit, Permits},
    pool::within,
    read_ahead::ReadAhead,
    socket::{self, SocketTimeouts},
    stall::{MonitoredStream, WriteStall},
    stream::{ReadBudget, Stream},
};

/// Backoff after a failed accept, and interval of the checks during a shutdown and while no connection can make room.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Connections that wait to be accepted. Beyond them the system drops the packets that open connections, and clients send
/// them again after a second or more.
const MAX_PENDING_CONNECTIONS: i32 = 1_024;
/// Connections that are accepted without a pause in each window.
const ACCEPT_BURST: u32 = 32;
const ACCEPT_WINDOW: Duration = Duration::from_millis(100);
/// Connections that are accepted in a row after that. Then those that are open have their turn: clients that connect again and
/// again would otherwise delay the requests of all.
const ACCEPT_BATCH: u32 = 4;
const ACCEPT_BATCH_PAUSE: Duration = Duration::from_millis(1);
/// Interval of the checks whether a connection has made room.
const ROOM_PAUSE: Duration = Duration::from_millis(1);
/// Part of the connections that make room at the same time. All have to be looked at for that.
const ROOM_DIVISOR: usize = 64;
/// How long callers may go on connecting after a stop. A load balancer may be as late to see the failed readiness.
const LATE_CALLERS_LIMIT: Duration = Duration::from_secs(1);
/// Most fields of a head of any size. Maps of headers panic at a few more.
const MAX_FIELDS: usize = 16_384;
/// Requests that were sent ahead and are answered at the same time.
const MAX_SENT_AHEAD: usize = 4;
/// Pause before each of them. Answers that need no wait would otherwise follow each other without a break, and leave no time for
/// other connections.
const SENT_AHEAD_PAUSE: Duration = Duration::from_millis(5);
/// Longest wait of a request that was sent ahead. Its connection closes after that, with the request unread.
const SENT_AHEAD_WAIT: Duration = Duration::from_secs(2);
/// Time after a stop during which idle connections stay open.
const LINGER: Duration = Duration::from_secs(1);

/// Limits on the connections of one listener.
#[derive(Debug, Clone)]
pub struct ServeLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// How long a connection may stay idle: from its start or the end of a response to the first byte of a request.
    pub idle_timeout: Duration,
    /// Limits the time from the first byte of a request to the end of its headers.
    pub header_read_timeout: Duration,
    /// Maximum size of a request's headers; at least 8192 bytes are allowed.
    pub max_header_bytes: usize,
    /// Limits the wait for a client to read what it is sent.
    pub stall_timeout: Duration,
    /// How soon an unreachable client is detected. A client that does not read counts as unreachable after
    /// `unacknowledged`, too: the kernel does not distinguish them.
    pub socket_timeouts: SocketTimeouts,
    /// Limit of the kernel's buffers of each connection, in each direction; `None` for the system's default.
    pub socket_buffer_bytes: Option<usize>,
    /// How long the listener stays open after a stop while clients still connect.
    pub late_callers: Duration,
}

impl Default for ServeLimits {
    fn default() -> ServeLimits {
        ServeLimits {
            max_connections: 8_192,
            idle_timeout: Duration::from_secs(60),
            header_read_timeout: Duration::from_secs(60),
            max_header_bytes: 32 * 1024,
            stall_timeout: Duration::from_secs(30),
            socket_timeouts: SocketTimeouts::default(),
            socket_buffer_bytes: None,
            late_callers: LATE_CALLERS_LIMIT,
        }
    }
}

/// Address of the client that has sent a request, in the extensions of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerAddress(pub SocketAddr);

/// HTTP server with one listener.
pub struct Server {
    listener: TcpListener,
    limits: Rc<RefCell<ServeLimits>>,
    open_connections: Rc<Cell<usize>>,
    activities: Activities,
    sent_ahead: Permits,
    draining: Rc<Cell<bool>>,
    close_counters: Option<ReasonCounters>,
    stop: flume::Receiver<()>,
    // Dropping it closes the channel `stop`, of which every connection holds a clone; they end after the current request.
    stop_guard: Option<flume::Sender<()>>,
}

/// Stops a [`Server`] gracefully when dropped.
pub struct StopHandle {
    _guard: flume::Sender<()>,
    draining: Rc<Cell<bool>>,
}

impl StopHandle {
    /// Closes each connection after its next response, while new connections are still accepted. The response announces
    /// the close, so that a client that reuses connections sends no request on one that is being closed.
    pub fn drain(&self) {
        self.draining.set(true);
    }
}

impl Server {
    /// Listens on `address`.
    ///
    /// # Errors
    ///
    /// Binding the address failed.
    pub async fn bind(address: SocketAddr, limits: ServeLimits) -> std::io::Result<Server> {
        let listener = listen(address, limits.socket_buffer_bytes).await?;
        let (stop_guard, stop) = flume::bounded(0);
        Ok(Server {
            listener,
            limits: Rc::new(RefCell::new(limits)),
            open_connections: Rc::default(),
            activities: Activities::default(),
            sent_ahead: Permits::new(MAX_SENT_AHEAD),
            draining: Rc::default(),
            close_counters: None,
            stop,
            stop_guard: Some(stop_guard),
        })
    }

    /// Address of the listener.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Shared limits. Changes of `idle_timeout` and `header_read_timeout` apply to open connections, too, those of the others
    /// to connections that are accepted afterwards.
    pub fn limits(&self) -> Rc<RefCell<ServeLimits>> {
        Rc::clone(&self.limits)
    }

    /// Counts connections that a limit on a wait closes, by [`Wait::label`].
    pub fn with_close_counters(self, counters: ReasonCounters) -> Server {
        Server { close_counters: Some(counters), ..self }
    }

    /// Handle that stops the server when dropped: no new connection is accepted, and each open one ends after its current
    /// request. `None` after the first call.
    pub fn stop_handle(&mut self) -> Option<StopHandle> {
        let guard = self.stop_guard.take()?;
        Some(StopHandle { _guard: guard, draining: Rc::clone(&self.draining) })
    }

    /// Responds to requests until stopped; returns when the last connection has ended.
    pub async fn run<H, F>(self, handler: H)
    where
        H: Fn(Request<Incoming>) -> F + 'static,
        F: Future<Output = Response<Body>> + 'static,
    {
        let handler = Rc::new(handler);
        let checking = self.activities.clone().check(Rc::clone(&self.limits));
        // Dropping the handle cancels the task.
        let _checking = compio::runtime::spawn(checking);
        let mut stopped = pin!(wait_for_stop(self.stop.clone()).fuse());
        let mut pace = AcceptPace::new();
        loop {
            if pace.must_pause() {
                compio::time::sleep(ACCEPT_BATCH_PAUSE).await;
            }
            let accepted = {
                let accept = pin!(self.accept());
                match futures_util::future::select(accept, &mut stopped).await {
                    Either::Left((accepted, _)) => accepted,
                    Either::Right(_) => break,
                }
            };
            match accepted {
                Ok(accepted) => self.start_connection(accepted, &handler),
                Err(err) => {
                    log::warn!("serve: accept failed: {err}");
                    compio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        self.accept_pending(&handler).await;
        drop(self.listener);
        while self.open_connections.get() > 0 {
            compio::time::sleep(ACCEPT_PAUSE).await;
        }
    }

    /// Accepts a connection, and makes room for it. Meanwhile further ones wait in the kernel's queue.
    async fn accept(&self) -> std::io::Result<(TcpStream, SocketAddr)> {
        let accepted = self.listener.accept().await?;
        while self.is_full() {
            let batch = self.limits.borrow().max_connections.div_ceil(ROOM_DIVISOR);
            match self.activities.make_room(batch) {
                Room::SoonFree => self.wait_for_room().await,
                Room::Later => compio::time::sleep(ACCEPT_PAUSE).await,
                Room::None => break,
            }
        }
        Ok(accepted)
    }

    fn is_full(&self) -> bool {
        self.open_connections.get() >= self.limits.borrow().max_connections
    }

    async fn wait_for_room(&self) {
        let until = Instant::now() + ACCEPT_PAUSE;
        while self.is_full() && Instant::now() < until {
            compio::time::sleep(ROOM_PAUSE).await;
        }
    }

    // The kernel has completed handshakes of connections that are not accepted yet; closing the listener would reset them.
    // The time is limited, so that clients that keep connecting do not keep the listener open forever. Whatever is pending
    // at its end is accepted without another wait, as the listener closes right after that.
    async fn accept_pending<H, F>(&self, handler: &Rc<H>)
    where
        H: Fn(Request<Incoming>) -> F + 'static,
        F: Future<Output = Response<Body>> + 'static,
    {
        let until = Instant::now() + self.limits.borrow().late_callers;
        while Instant::now() < until
            && let Ok(Ok(accepted)) =
                compio::time::timeout(ACCEPT_PAUSE, self.listener.accept()).await
        {
            self.start_connection(accepted, handler);
        }
        while let Some(Ok(accepted)) = self.listener.accept().now_or_never() {
            self.start_connection(accepted, handler);
        }
    }

    fn start_connection<H, F>(&self, accepted: (TcpStream, SocketAddr), handler: &Rc<H>)
    where
        H: Fn(Request<Incoming>) -> F + 'static,
        F: Future<Output = Response<Body>> + 'static,
    {
        if self.is_full() {
            log::warn!("serve: connection limit reached, new connection closed");
            return;
        }
        let handler = Rc::clone(handler);
        let stall = WriteStall::default();
        let shared = Shared {
            limits: Rc::clone(&self.limits),
            activity: self.activities.start(stall.clone()),
            stall,
            sent_ahead: self.sent_ahead.clone(),
            draining: Rc::clone(&self.draining),
            close_counters: self.close_counters.clone(),
        };
        let stop = self.stop.clone();
        let guard = ConnectionGuard::new(&self.open_connections);
        compio::runtime::spawn(async move {
            let _guard = guard;
            if let Err(err) = serve_connection(accepted, shared, stop, handler).await {
                log::debug!("serve: connection ended: {err}");
            }
        })
        .detach();
    }
}

/// Decides when the server pauses between accepting connections.
struct AcceptPace {
    window_began: Instant,
    /// Connections accepted in the current window.
    accepted: u32,
}

impl AcceptPace {
    fn new() -> AcceptPace {
        AcceptPace { window_began: Instant::now(), accepted: 0 }
    }

    /// Counts the next connection, and returns whether a pause precedes it.
    fn must_pause(&mut self) -> bool {
        if self.window_began.elapsed() >= ACCEPT_WINDOW {
            *self = AcceptPace::new();
        }
        self.accepted += 1;
        self.accepted > ACCEPT_BURST && self.accepted.is_multiple_of(ACCEPT_BATCH)
    }
}

/// Listens on an address, with a limit of the kernel's buffers of each connection.
async fn listen(
    address: SocketAddr,
    socket_buffer_bytes: Option<usize>,
) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4().await?,
        SocketAddr::V6(_) => TcpSocket::new_v6().await?,
    };
    socket.set_reuseaddr(true)?;
    if let Some(bytes) = socket_buffer_bytes {
        socket::limit_buffers(&socket, bytes)?;
    }
    socket.bind(address).await?;
    socket.listen(MAX_PENDING_CONNECTIONS).await
}

/// What a connection shares with its server.
struct Shared {
    limits: Rc<RefCell<ServeLimits>>,
    activity: Rc<Activity>,
    stall: WriteStall,
    sent_ahead: Permits,
    draining: Rc<Cell<bool>>,
    close_counters: Option<ReasonCounters>,
}

impl Shared {
    /// Counts and logs that the connection is closed as a wait for its client has exceeded its limit.
    fn note_close(&self, wait: Wait) {
        if let Some(counters) = &self.close_counters {
            counters.count(wait.label());
        }
        let limit_ms = wait.limit(&self.limits.borrow()).as_millis() as u64;
        log::debug!(reason = wait.label(), limit_ms; "serve: connection closed");
    }
}

/// Counts a connection as open until it is dropped.
struct ConnectionGuard(Rc<Cell<usize>>);

impl ConnectionGuard {
    fn new(open_connections: &Rc<Cell<usize>>) -> ConnectionGuard {
        open_connections.set(open_connections.get() + 1);
        ConnectionGuard(Rc::clone(open_connections))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Drives a connection, and reads its response ahead while the client does not take it.
async fn or_aborted<C>(
    mut connection: Pin<&mut C>,
    current: &RefCell<ReadAhead>,
    stall: &WriteStall,
    budget: &ReadBudget,
) -> Result<(), BoxError>
where
    C: Future<Output = hyper::Result<()>>,
{
    poll_fn(|cx| {
        // At least one read per turn: a limit on a wait is checked at its end, and bytes that have arrived must count.
        budget.start_turn();
        loop {
            current.borrow().start_turn(stall.is_pending());
            if let Poll::Ready(ended) = connection.as_mut().poll(cx) {
                return Poll::Ready(ended.map_err(BoxError::from));
            }
            // The connection has sent everything in this turn after it was given no more data.
            if stall.is_pending() || !current.borrow().is_withheld() {
                return current.borrow().poll(cx).map(Err);
            }
        }
    })
    .await
}

async fn wait_for_stop(stop: flume::Receiver<()>) {
    let mut stop = stop.into_stream();
    while stop.next().await.is_some() {}
}

/// Most fields of a head of this size: the limit of heads is one of bytes, and the shortest field has four.
fn max_fields(max_header_bytes: usize) -> usize {
    (max_header_bytes.max(8_192) / 4).min(MAX_FIELDS)
}

/// Waits until a request that was sent ahead may be handled.
async fn wait_for_turn(sent_ahead: &Permits) -> Result<Permit, BoxError> {
    let turn = within(SENT_AHEAD_WAIT, sent_ahead.acquire()).await;
    let turn = turn.ok_or("too many requests are sent ahead")?;
    compio::time::sleep(SENT_AHEAD_PAUSE).await;
    Ok(turn)
}

async fn serve_connection<H, F>(
    (stream, peer): (TcpStream, SocketAddr),
    shared: Shared,
    stop: flume::Receiver<()>,
    handler: Rc<H>,
) -> Result<(), BoxError>
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let ServeLimits { socket_timeouts, max_header_bytes, stall_timeout, .. } =
        shared.limits.borrow().clone();
    socket::configure(&stream, socket_timeouts)?;
    let socket = stream.clone();
    let is_close_delimited = Rc::new(Cell::new(false));
    let by_close = Rc::clone(&is_close_delimited);
    let stream = Stream::new(stream).with_activity(Rc::clone(&shared.activity));
    let budget = stream.read_budget();
    let stall = shared.stall.clone();
    let stream = MonitoredStream::new(stream, stall.clone());
    let is_draining = Rc::clone(&shared.draining);
    let sent_ahead = shared.sent_ahead.clone();
    let current_activity = Rc::clone(&shared.activity);
    let read_ahead = Rc::new(RefCell::new(ReadAhead::default()));
    let current = Rc::clone(&read_ahead);
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(PeerAddress(peer));
        request.extensions_mut().insert(current_activity.body_arrival());
        by_close.set(request.version() == Version::HTTP_10);
        let is_ahead = current_activity.start_request();
        let sent_ahead = sent_ahead.clone();
        // Boxed, so that its memory is freed before the response body is streamed.
        let response = Box::pin(handler(request));
        let (draining, current) = (Rc::clone(&is_draining), Rc::clone(&current));
        let activity = Rc::clone(&current_activity);
        async move {
            let turn = match is_ahead {
                true => Some(wait_for_turn(&sent_ahead).await?),
                false => None,
            };
            let mut response = response.await;
            *current.borrow_mut() = response.body().read_ahead_handle();
            if draining.get() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, BoxError>(response.map(|body| RecordedBody::new(body, activity, turn)))
        }
    });
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(max_header_bytes.max(8_192))
        .max_headers(max_fields(max_header_bytes))
        .half_close(false)
        .serve_connection(stream, service);
    let mut connection = pin!(connection);
    let mut stalled = pin!(stall.reaches(stall_timeout).fuse());
    // A request may already be in transit on a new or idle connection; closing the connection at once would lose it.
    let closing = async {
        wait_for_stop(stop).await;
        shared.draining.set(true);
        compio::time::sleep(LINGER).await;
        // Otherwise a connection whose next request has begun to arrive would be closed as idle.
        shared.activity.no_head_arrives().await;
    };
    let mut closing = pin!(closing.fuse());
    let mut exceeded = pin!(shared.activity.limit_exceeded(&shared.limits).fuse());
    let ended = loop {
        select_biased! {
            ended = or_aborted(connection.as_mut(), &read_ahead, &stall, &budget).fuse() => break ended,
            wait = exceeded => {
                shared.note_close(wait);
                match wait {
                    Wait::Idle => connection.as_mut().graceful_shutdown(),
                    Wait::Head => break Err("the client sends its headers too slowly".into()),
                    Wait::Crowded => break Err("another connection needs the room".into()),
                }
            }
            () = closing => connection.as_mut().graceful_shutdown(),
            () = stalled => break Err("the client does not read its response".into()),
        }
    };
    // An orderly close would mark the end of the response, so that one that was cut would look complete.
    if ended.is_err() && is_close_delimited.get() {
        socket::reset_on_close(&socket)?;
    }
    ended
}
