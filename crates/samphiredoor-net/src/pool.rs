//! Connection pool for one address.
//!
//! A connection carries one request at a time. It returns to the pool only after the response has ended by its framing; in
//! every other case it is closed, so that a late response is never taken for the response to another request, and the
//! server sees at once that the client has stopped waiting.

use std::{
    cell::RefCell,
    future::Future,
    net::SocketAddr,
    ops::RangeInclusive,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::{net::TcpStream, runtime::JoinHandle};
use futures_util::{FutureExt, select_biased};
use hyper::{
    Request, Response, StatusCode,
    body::{Body as HttpBody, Frame, Incoming, SizeHint},
    client::conn::http1::{Builder, SendRequest},
    header::{self, HeaderMap, HeaderName, HeaderValue},
    http::response,
};

use crate::{
    Body, BoxError,
    response_limits::ResponseLimits,
    socket::{self, SocketTimeouts},
    stream::Stream,
};

/// Maximum number of idle connections in a pool.
const MAX_IDLE: usize = 256;
const READ_BUFFER_BYTES: usize = 4_096;
/// Time before the end of the server's announced keep-alive timeout from which a connection is no longer reused. The server
/// closes it at about the end; if a request crosses the close, it is unknown whether it ran.
const CLOSE_MARGIN: Duration = Duration::from_millis(600);
/// Longest keep-alive timeout of a server that is believed. A number without bounds would overflow the time of its end.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(24 * 60 * 60);

/// Why a request got no response.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was written to a connection.
    NotSent(BoxError),
    /// The request may have arrived; its response did not.
    MayHaveRun(BoxError),
}

/// Meaning of the connection's close for a response that has neither a length nor chunked framing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseDelimited {
    /// The response is incomplete: a server that crashes during its response closes the connection, too.
    Incomplete,
    /// The response is complete after an orderly close, and incomplete after a reset.
    Complete,
}

/// Statuses of responses that end a request. An upgrade (101), which is never asked for, and statuses without a class are
/// what a faulty server sends.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// How the end of a response body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Framing {
    /// By its length, which the headers tell; also of bodies that are empty by their status.
    Length,
    /// By chunks.
    Chunked,
    /// By the close of the connection, which a server that fails also causes.
    Close,
}

impl Framing {
    /// Framing of a body, by the headers of its response.
    fn of(headers: &HeaderMap, body: &Incoming) -> Framing {
        if headers.contains_key(header::TRANSFER_ENCODING) {
            Framing::Chunked
        } else if headers.contains_key(header::CONTENT_LENGTH) || body.is_end_stream() {
            Framing::Length
        } else {
            Framing::Close
        }
    }

    /// Label in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Framing::Length => "length",
            Framing::Chunked => "chunked",
            Framing::Close => "close",
        }
    }
}

struct Connection {
    sender: SendRequest<Body>,
    // Dropping the handle cancels the task that drives the connection, which closes the socket.
    _driver: JoinHandle<()>,
    limits: ResponseLimits,
    /// Echoed header of the request that the connection carried last.
    carried: Option<HeaderValue>,
    /// When the connection must no longer be used, as the server may close it; `None` for no limit.
    usable_until: Option<Instant>,
}

impl Connection {
    fn is_usable(&self) -> bool {
        self.usable_until.is_none_or(|it| Instant::now() < it) && self.sender.is_ready()
    }

    /// Prepares the connection to carry a request.
    fn start(&mut self, request: &mut Request<Body>, echoed_value: Option<&HeaderValue>) {
        self.limits.start(request);
        self.carried = echoed_value.cloned();
    }
}

/// Pool of connections to one address. Clones share the connections.
#[derive(Clone)]
pub struct Pool {
    address: SocketAddr,
    connect_timeout: Duration,
    close_delimited: CloseDelimited,
    echoed: Option<HeaderName>,
    refused: Option<HeaderName>,
    idle_limit: Option<Duration>,
    socket_buffer_bytes: Option<usize>,
    idle: Rc<RefCell<Vec<Connection>>>,
}

impl Pool {
    /// Empty pool for `address`.
    pub fn new(address: SocketAddr) -> Pool {
        Pool {
            address,
            connect_timeout: Duration::from_millis(1_000),
            close_delimited: CloseDelimited::Incomplete,
            echoed: None,
            refused: None,
            idle_limit: None,
            socket_buffer_bytes: None,
            idle: Rc::default(),
        }
    }

    /// Sets the meaning of the connection's close for a response without a length.
    pub fn with_close_delimited(mut self, close_delimited: CloseDelimited) -> Pool {
        self.close_delimited = close_delimited;
        self
    }

    /// Sets a request header that responses echo. A response with another value belongs to an earlier request: HTTP/1.1
    /// matches responses to requests by order alone, so if a server responds twice to one request, the second response
    /// would be taken for the response to the next request. Attempts of one request share the value, so a connection is not
    /// reused for the value that it carried last.
    pub fn with_echoed_header(mut self, echoed: HeaderName) -> Pool {
        self.echoed = Some(echoed);
        self
    }

    /// Sets a header with which a server says that it did not run the request. Such a response without the echoed header ends
    /// its connection: a second copy of it, which comes late, would say so of the next request.
    pub fn with_refusal_header(mut self, refused: HeaderName) -> Pool {
        self.refused = Some(refused);
        self
    }

    /// Sets how long a connection is kept idle if the server announces no keep-alive timeout.
    pub fn with_idle_limit(mut self, idle_limit: Duration) -> Pool {
        self.idle_limit = Some(idle_limit);
        self
    }

    /// Limits the kernel's buffers of each connection, in each direction.
    pub fn with_socket_buffer_bytes(mut self, bytes: Option<usize>) -> Pool {
        self.socket_buffer_bytes = bytes;
        self
    }

    /// Sets the connect timeout.
    pub fn with_connect_timeout(mut self, connect_timeout: Duration) -> Pool {
        self.connect_timeout = connect_timeout;
        self
    }

    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of idle connections.
    pub fn idle_len(&self) -> usize {
        self.idle.borrow().len()
    }

    /// Closes all idle connections. Useful after a timeout: its cause may affect all of them, and each would cost another
    /// request its whole timeout.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Sends a request and waits for the head of its response. Dropping the future or the unread body of the response
    /// closes the connection.
    ///
    /// # Errors
    ///
    /// No response arrived; [`SendError::NotSent`] only if no byte of the request was written.
    pub async fn send(&self, request: Request<Body>) -> Result<Response<ResponseBody>, SendError> {
        let mut request = request;
        let echoed_value = self.echoed_value(&request);
        // The server may have closed an idle connection; hyper returns the request if it has written nothing of it.
        while let Some(mut connection) = self.take_idle(echoed_value.as_ref()) {
            connection.start(&mut request, echoed_value.as_ref());
            match connection.sender.try_send_request(request).await {
                Ok(response) => return self.response(connection, response, echoed_value.as_ref()),
                Err(mut err) => match err.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::MayHaveRun(err.into_error().into())),
                },
            }
        }
        let mut connection = self.connect().await.map_err(SendError::NotSent)?;
        connection.start(&mut request, echoed_value.as_ref());
        match connection.sender.try_send_request(request).await {
            Ok(response) => self.response(connection, response, echoed_value.as_ref()),
            Err(mut err) => match err.take_message() {
                Some(_) => Err(SendError::NotSent(err.into_error().into())),
                None => Err(SendError::MayHaveRun(err.into_error().into())),
            },
        }
    }

    /// Whether the server says that it did not run the request.
    fn is_refusal(&self, head: &response::Parts) -> bool {
        let has_header = self.refused.as_ref().is_some_and(|it| head.headers.contains_key(it));
        has_header || head.status == StatusCode::MISDIRECTED_REQUEST
    }

    fn echoed_value(&self, request: &Request<Body>) -> Option<HeaderValue> {
        request.headers().get(self.echoed.as_ref()?).cloned()
    }

    /// Takes the connection that was used last of those that can carry a request with this value, and drops the unusable ones
    /// that it finds before.
    fn take_idle(&self, echoed_value: Option<&HeaderValue>) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        for at in (0..idle.len()).rev() {
            if !idle[at].is_usable() {
                idle.remove(at);
            } else if echoed_value.is_none() || idle[at].carried.as_ref() != echoed_value {
                return Some(idle.remove(at));
            }
        }
        None
    }

    async fn connect(&self) -> Result<Connection, BoxError> {
        let stream =
            compio::time::timeout(self.connect_timeout, TcpStream::connect(self.address)).await??;
        socket::configure(&stream, SocketTimeouts::default())?;
        if let Some(bytes) = self.socket_buffer_bytes {
            socket::limit_buffers(&stream, bytes)?;
        }
        let limits = ResponseLimits::default();
        let stream = Stream::new(stream).with_limits(limits.clone());
        let budget = stream.read_budget();
        let (sender, driver) =
            Builder::new().read_buf_exact_size(Some(READ_BUFFER_BYTES)).handshake(stream).await?;
        let driver = compio::runtime::spawn(async move {
            if let Err(err) = budget.per_turn(driver).await {
                log::debug!("pool: connection ended: {err}");
            }
        });
        Ok(Connection { sender, _driver: driver, limits, carried: None, usable_until: None })
    }

    fn response(
        &self,
        connection: Connection,
        response: Response<Incoming>,
        echoed_value: Option<&HeaderValue>,
    ) -> Result<Response<ResponseBody>, SendError> {
        let (head, body) = response.into_parts();
        connection.limits.record_content();
        let mut is_reusable = true;
        if let (Some(name), Some(sent)) = (&self.echoed, echoed_value) {
            let echoed = head.headers.get(name);
            if echoed.is_some_and(|it| it != sent) {
                // Dropping the connection closes it and so cancels this request, whose own response has not arrived yet.
                return Err(SendError::MayHaveRun(
                    "the response belongs to another request".into(),
                ));
            }
            // A late copy of this refusal would prove that the next request did not run.
            is_reusable = echoed.is_some() || !self.is_refusal(&head);
        }
        if !FINAL_STATUSES.contains(&head.status.as_u16()) {
            let status = head.status.as_u16();
            return Err(SendError::MayHaveRun(format!("status {status} ends no request").into()));
        }
        let framing = Framing::of(&head.headers, &body);
        let announced = keep_alive_timeout(&head.headers).map(|it| it.saturating_sub(CLOSE_MARGIN));
        let idle_for = announced.or(self.idle_limit);
        let (connection, idle) = (Some(connection), Rc::clone(&self.idle));
        let is_cut_by_close =
            framing == Framing::Close && self.close_delimited == CloseDelimited::Incomplete;
        let mut response_body = ResponseBody {
            body,
            connection,
            idle,
            idle_for,
            framing,
            is_cut_by_close,
            is_reusable,
        };
        if response_body.body.is_end_stream() {
            response_body.release();
        }
        Ok(Response::from_parts(head, response_body))
    }
}

/// Keep-alive timeout that the server announces, if it does, up to a maximum.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let parameters = text.split(',').filter_map(|it| it.trim().split_once('='));
    let timeout = parameters.into_iter().find(|(name, _)| name.eq_ignore_ascii_case("timeout"));
    let seconds: u64 = timeout?.1.trim().parse().ok()?;
    Some(Duration::from_secs(seconds).min(MAX_KEEP_ALIVE))
}

/// Body of a response; holds the connection until the body has ended.
pub struct ResponseBody {
    body: Incoming,
    connection: Option<Connection>,
    idle: Rc<RefCell<Vec<Connection>>>,
    /// How long the connection may stay idle in the pool; `None` for no limit.
    idle_for: Option<Duration>,
    framing: Framing,
    /// Whether the body ends only by the close of the connection, and this counts as a truncation.
    is_cut_by_close: bool,
    /// Whether the connection may carry another request after the body.
    is_reusable: bool,
}

impl ResponseBody {
    /// How its end is marked.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns the connection to the pool.
    fn release(&mut self) {
        let Some(mut connection) = self.connection.take().filter(|_| self.is_reusable) else {
            return;
        };
        connection.usable_until = self.idle_for.map(|it| Instant::now() + it);
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE && !connection.sender.is_closed() {
            idle.push(connection);
        }
    }
}

impl HttpBody for ResponseBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.body).poll_frame(cx);
        match polled {
            // A target that crashes during its response also closes the connection: the end of the body cannot be
            // distinguished from a truncation, and a part would be taken for the complete body.
            Poll::Ready(None) if std::mem::take(&mut this.is_cut_by_close) => {
                this.connection = None;
                Poll::Ready(Some(Err(
                    "the response has neither a length nor chunked framing".into()
                )))
            }
            Poll::Ready(None) => {
                this.release();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Ok(frame))) => {
                if let Some(connection) = &this.connection {
                    connection.limits.record_content();
                }
                if this.body.is_end_stream() {
                    this.release();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(err))) => {
                this.connection = None;
                Poll::Ready(Some(Err(err.into())))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Time for which [`within_or_late`] still waits after its limit: long enough for the tasks of the connections to read what
/// their sockets hold.
const LATE_READ_TIME: Duration = Duration::from_millis(50);

/// Runs `future` for at most `limit`, and then on for as long as it takes to read what has arrived already; `None` if it timed
/// out. A process that was paused finds the end of the limit and the answer in its socket at the same moment, and would take
/// the answer for lost.
pub async fn within_or_late<F: Future>(limit: Duration, future: F) -> Option<F::Output> {
    let mut future = std::pin::pin!(future);
    match within(limit, future.as_mut()).await {
        Some(output) => Some(output),
        None => within(LATE_READ_TIME, future).await,
    }
}

/// Runs `future` for at most `limit`; `None` if it timed out. An output that is ready is returned even if `limit` is zero.
pub async fn within_or_ready<F: Future>(limit: Duration, future: F) -> Option<F::Output> {
    let mut future = std::pin::pin!(future.fuse());
    let mut timeout = std::pin::pin!(compio::time::sleep(limit).fuse());
    select_biased! {
        output = future => Some(output),
        () = timeout => None,
    }
}

/// Runs `future` for at most `limit`; `None` if it timed out.
pub async fn within<F: Future>(limit: Duration, future: F) -> Option<F::Output> {
    compio::time::timeout(limit, future).await.ok()
}
