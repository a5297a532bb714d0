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
    time::Duration,
};

use bytes::Bytes;
use compio::{net::TcpStream, runtime::JoinHandle};
use hyper::{
    Request, Response,
    body::{Body as HttpBody, Frame, Incoming},
    client::conn::http1::{Builder, SendRequest},
    header,
};

use crate::{Body, BoxError, stream::Stream};

const MAX_IDLE: usize = 256;
const READ_BUFFER_BYTES: usize = 4_096;

/// Why a request got no answer.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request reached the connection.
    NotSent(BoxError),
    /// The request may have arrived; its answer did not.
    MayHaveRun(BoxError),
}

struct Connection {
    sender: SendRequest<Body>,
    // Dropping the handle cancels the driving task and closes the socket.
    _driver: JoinHandle<()>,
}

/// Pool of connections towards one address.
#[derive(Clone)]
pub struct Pool {
    address: SocketAddr,
    connect_timeout: Duration,
    idle: Rc<RefCell<Vec<Connection>>>,
}

impl Pool {
    /// Empty pool towards `address`.
    pub fn new(address: SocketAddr) -> Pool {
        Pool { address, connect_timeout: Duration::from_millis(1_000), idle: Rc::default() }
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

    /// Sends a request and waits for the head of its answer. Dropping the future or the answer's body closes the
    /// connection.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] only where no byte was written.
    pub async fn send(&self, request: Request<Body>) -> Result<Response<Answer>, SendError> {
        let mut request = request;
        // An idle connection may have been closed by the far side; hyper hands the request back if it wrote nothing.
        while let Some(mut connection) = self.take_idle() {
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok(self.answer(connection, response)),
                Err(mut err) => match err.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::MayHaveRun(err.into_error().into())),
                },
            }
        }
        let mut connection = self.connect().await.map_err(SendError::NotSent)?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok(self.answer(connection, response)),
            Err(mut err) => match err.take_message() {
                Some(_) => Err(SendError::NotSent(err.into_error().into())),
                None => Err(SendError::MayHaveRun(err.into_error().into())),
            },
        }
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            if connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    async fn connect(&self) -> Result<Connection, BoxError> {
        let stream =
            compio::time::timeout(self.connect_timeout, TcpStream::connect(self.address)).await??;
        stream.set_nodelay(true)?;
        let (sender, driver) = Builder::new()
            .read_buf_exact_size(Some(READ_BUFFER_BYTES))
            .handshake(Stream::new(stream))
            .await?;
        let driver = compio::runtime::spawn(async move {
            if let Err(err) = driver.await {
                log::debug!("pool: connection ended: {err}");
            }
        });
        Ok(Connection { sender, _driver: driver })
    }

    fn answer(&self, connection: Connection, response: Response<Incoming>) -> Response<Answer> {
        let (head, body) = response.into_parts();
        let ends_by_close = !head.headers.contains_key(header::CONTENT_LENGTH)
            && !head.headers.contains_key(header::TRANSFER_ENCODING);
        let (connection, idle) = (Some(connection), Rc::clone(&self.idle));
        let mut answer = Answer { body, connection, idle, ends_by_close };
        if answer.body.is_end_stream() {
            answer.release();
        }
        Response::from_parts(head, answer)
    }
}

/// Body of an answer, which holds its connection until the framing ends.
pub struct Answer {
    body: Incoming,
    connection: Option<Connection>,
    idle: Rc<RefCell<Vec<Connection>>>,
    /// Whether the body has neither a length nor chunks, so that only the connection's end ends it.
    ends_by_close: bool,
}

impl Answer {
    fn release(&mut self) {
        let Some(connection) = self.connection.take() else { return };
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE && !connection.sender.is_closed() {
            idle.push(connection);
        }
    }
}

impl HttpBody for Answer {
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
            Poll::Ready(None) if std::mem::take(&mut this.ends_by_close) => {
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
