//! Connections towards one address.
//!
//! A connection carries one request at a time. It goes back to the pool only when the answer's framing has ended; in
//! every other case it is closed, so that a late answer can never be taken for the answer to another request, and the
//! far side sees at once that nobody waits any more.

use std::{
    cell::RefCell,
    future::Future,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::{net::TcpStream, runtime::JoinHandle};
use hyper::{
    Request, Response,
    body::{Body as HttpBody, Frame, Incoming},
    client::conn::http1::{Builder, SendRequest},
    header::{self, HeaderMap, HeaderName, HeaderValue},
};

use crate::{
    Body, BoxError,
    socket::{self, SilenceLimits},
    stream::Stream,
};

const MAX_IDLE: usize = 256;
const READ_BUFFER_BYTES: usize = 4_096;
/// A far side that closes an idle connection does so about when its announced time is over; a request that is sent
/// shortly before would cross the close and be in doubt.
const CLOSE_MARGIN: Duration = Duration::from_millis(600);

/// Why a request got no answer.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request reached the connection.
    NotSent(BoxError),
    /// The request may have arrived; its answer did not.
    MayHaveRun(BoxError),
}

/// What the end of the connection means for an answer that has neither a length nor chunks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseDelimited {
    /// The answer was cut: a far side that dies in mid-answer closes as well.
    Incomplete,
    /// The answer is whole after an orderly close, and cut after a reset.
    Complete,
}

struct Connection {
    sender: SendRequest<Body>,
    // Dropping the handle cancels the driving task and closes the socket.
    _driver: JoinHandle<()>,
    /// When the far side may close it, if it has said so.
    usable_until: Option<Instant>,
}

/// Pool of connections towards one address.
#[derive(Clone)]
pub struct Pool {
    address: SocketAddr,
    connect_timeout: Duration,
    close_delimited: CloseDelimited,
    echoed: Option<HeaderName>,
    idle_limit: Option<Duration>,
    idle: Rc<RefCell<Vec<Connection>>>,
}

impl Pool {
    /// Empty pool towards `address`.
    pub fn new(address: SocketAddr) -> Pool {
        Pool {
            address,
            connect_timeout: Duration::from_millis(1_000),
            close_delimited: CloseDelimited::Incomplete,
            echoed: None,
            idle_limit: None,
            idle: Rc::default(),
        }
    }

    /// Sets what the end of a connection means for an answer without a length.
    pub fn with_close_delimited(mut self, close_delimited: CloseDelimited) -> Pool {
        self.close_delimited = close_delimited;
        self
    }

    /// Names a header that answers echo. An answer with another value belongs to an earlier request: HTTP pairs answers
    /// by order alone, and a far side that answers twice would have its second answer taken for the next one's.
    pub fn with_echoed_header(mut self, echoed: HeaderName) -> Pool {
        self.echoed = Some(echoed);
        self
    }

    /// Sets how long a connection is kept idle where the far side announces no time of its own.
    pub fn with_idle_limit(mut self, idle_limit: Duration) -> Pool {
        self.idle_limit = Some(idle_limit);
        self
    }

    /// Sets how long a connect may take.
    pub fn with_connect_timeout(mut self, connect_timeout: Duration) -> Pool {
        self.connect_timeout = connect_timeout;
        self
    }

    /// Address of the far side.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of idle connections.
    pub fn idle_len(&self) -> usize {
        self.idle.borrow().len()
    }

    /// Closes all idle connections, as when one of them went silent: what silenced it may have silenced the others, and
    /// each would cost another request its whole time limit.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Sends a request and waits for the head of its answer. Dropping the future or the answer's body closes the
    /// connection.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] only where no byte was written.
    pub async fn send(&self, request: Request<Body>) -> Result<Response<ResponseBody>, SendError> {
        let mut request = request;
        let echo = self.echo_of(&request);
        // An idle connection may have been closed by the far side; hyper hands the request back if it wrote nothing.
        while let Some(mut connection) = self.take_idle() {
            match connection.sender.try_send_request(request).await {
                Ok(response) => return self.answer(connection, response, echo.as_ref()),
                Err(mut err) => match err.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::MayHaveRun(err.into_error().into())),
                },
            }
        }
        let mut connection = self.connect().await.map_err(SendError::NotSent)?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => self.answer(connection, response, echo.as_ref()),
            Err(mut err) => match err.take_message() {
                Some(_) => Err(SendError::NotSent(err.into_error().into())),
                None => Err(SendError::MayHaveRun(err.into_error().into())),
            },
        }
    }

    fn echo_of(&self, request: &Request<Body>) -> Option<HeaderValue> {
        request.headers().get(self.echoed.as_ref()?).cloned()
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            let in_time = connection.usable_until.is_none_or(|it| Instant::now() < it);
            if in_time && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    async fn connect(&self) -> Result<Connection, BoxError> {
        let stream =
            compio::time::timeout(self.connect_timeout, TcpStream::connect(self.address)).await??;
        socket::prepare(&stream, SilenceLimits::default())?;
        let (sender, driver) = Builder::new()
            .read_buf_exact_size(Some(READ_BUFFER_BYTES))
            .handshake(Stream::new(stream))
            .await?;
        let driver = compio::runtime::spawn(async move {
            if let Err(err) = driver.await {
                log::debug!("pool: connection ended: {err}");
            }
        });
        Ok(Connection { sender, _driver: driver, usable_until: None })
    }

    fn answer(
        &self,
        connection: Connection,
        response: Response<Incoming>,
        echo: Option<&HeaderValue>,
    ) -> Result<Response<ResponseBody>, SendError> {
        let (head, body) = response.into_parts();
        if let (Some(name), Some(sent)) = (&self.echoed, echo)
            && head.headers.get(name).is_some_and(|it| it != sent)
        {
            // Dropping the connection ends the work on the own request, whose answer is still to come.
            return Err(SendError::MayHaveRun("the answer belongs to another request".into()));
        }
        let ends_by_close = !head.headers.contains_key(header::CONTENT_LENGTH)
            && !head.headers.contains_key(header::TRANSFER_ENCODING);
        let announced = keep_alive(&head.headers).map(|it| it.saturating_sub(CLOSE_MARGIN));
        let idle_for = announced.or(self.idle_limit);
        let (connection, idle) = (Some(connection), Rc::clone(&self.idle));
        let cut_by_close = ends_by_close && self.close_delimited == CloseDelimited::Incomplete;
        let mut answer = ResponseBody { body, connection, idle, idle_for, cut_by_close };
        if answer.body.is_end_stream() {
            answer.release();
        }
        Ok(Response::from_parts(head, answer))
    }
}

/// How long the far side keeps a connection open between requests, if it says so.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let parameters = text.split(',').filter_map(|it| it.trim().split_once('='));
    let timeout = parameters.into_iter().find(|(name, _)| name.eq_ignore_ascii_case("timeout"));
    Some(Duration::from_secs(timeout?.1.trim().parse().ok()?))
}

/// Body of an answer, which holds its connection until the framing ends.
pub struct ResponseBody {
    body: Incoming,
    connection: Option<Connection>,
    idle: Rc<RefCell<Vec<Connection>>>,
    /// How long the connection may be kept idle.
    idle_for: Option<Duration>,
    /// Whether only the connection's end ends the body, and does not make it whole.
    cut_by_close: bool,
}

impl ResponseBody {
    fn release(&mut self) {
        let Some(mut connection) = self.connection.take() else { return };
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
            // A target that dies in mid-answer closes the connection as well: such an end cannot be told from a cut,
            // and a part would be taken for the whole.
            Poll::Ready(None) if std::mem::take(&mut this.cut_by_close) => {
                this.connection = None;
                Poll::Ready(Some(Err("the answer has neither a length nor chunks".into())))
            }
            Poll::Ready(None) => {
                this.release();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Ok(frame))) => {
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
}

/// Runs `future` for at most `limit`; `None` if it did not end.
pub async fn within<F: Future>(limit: Duration, future: F) -> Option<F::Output> {
    compio::time::timeout(limit, future).await.ok()
}
