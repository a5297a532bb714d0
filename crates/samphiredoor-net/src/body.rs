//! Body type of all requests and responses.
//!
//! A body is either completely in memory or a stream. Streams are forwarded frame by frame, so that a first token is sent
//! in the same scheduler turn in which it arrived.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};

use crate::{
    permits::Permits,
    pool::{within, within_or_ready},
    read_ahead::{ReadAhead, ReadAheadBody, ReadAheadLimit},
};

/// Bytes of a dropped body that are read without a pause.
const DISCARDED_IN_TURN: usize = 8 * 1024;
/// Pause after them.
const DISCARD_PAUSE: Duration = Duration::from_millis(5);

/// Error of a body or connection; its text is written to logs.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

type BoxedBody = Pin<Box<dyn HttpBody<Data = Bytes, Error = BoxError>>>;

/// Body of a request or a response.
pub enum Body {
    /// Complete content; `None` if it is empty or already sent.
    Full(Option<Bytes>),
    /// Content that arrives in pieces.
    Stream(BoxedBody),
    /// Content that is read ahead of a slow reader.
    ReadAhead(ReadAheadBody),
    /// Content of a response that precedes the end of its request's body.
    Early(Box<(Body, UnreadBody)>),
}

/// Rest of a request's body whose response does not depend on it. It is read and dropped once the response has been sent: a
/// connection that closes before fails the client's write, and many clients read no response after that.
pub struct UnreadBody {
    body: Incoming,
    max_bytes: usize,
    timeout: Duration,
}

impl UnreadBody {
    /// Rest of a body that is read for at most this time and up to this size; the connection closes if it is longer.
    pub fn new(body: Incoming, max_bytes: usize, timeout: Duration) -> UnreadBody {
        UnreadBody { body, max_bytes, timeout }
    }

    /// Whether the whole body has arrived.
    pub(crate) fn is_complete(&self) -> bool {
        self.body.is_end_stream()
    }

    /// Reads the rest of the body. It waits for a turn after some bytes, so that many such bodies leave time for other
    /// connections.
    pub(crate) async fn discard(self, turns: Permits) {
        let UnreadBody { mut body, max_bytes, timeout } = self;
        let reading = async {
            let (mut read, mut read_in_turn) = (0, 0);
            while let Ok(Some(piece)) = read_piece(&mut body).await {
                read += piece.len();
                read_in_turn += piece.len();
                if read > max_bytes {
                    return;
                }
                if read_in_turn >= DISCARDED_IN_TURN {
                    read_in_turn = 0;
                    let _turn = turns.acquire().await;
                    compio::time::sleep(DISCARD_PAUSE).await;
                }
            }
        };
        // The body is dropped after the timeout, which closes the connection.
        let _ = within(timeout, reading).await;
    }
}

impl Body {
    /// Body without content.
    pub fn empty() -> Body {
        Body::Full(None)
    }

    /// Body with its complete content.
    pub fn full(content: impl Into<Bytes>) -> Body {
        let content = content.into();
        Body::Full((!content.is_empty()).then_some(content))
    }

    /// Body that forwards another body.
    pub fn boxed<B>(body: B) -> Body
    where
        B: HttpBody<Data = Bytes> + 'static,
        B::Error: Into<BoxError>,
    {
        Body::Stream(Box::pin(body.map_err(Into::into)))
    }

    /// Body that sends a stream of pieces. An error in the stream closes the connection, so that the reader gets an error
    /// instead of the end of the body.
    pub fn stream<S>(pieces: S) -> Body
    where
        S: Stream<Item = Result<Bytes, BoxError>> + 'static,
    {
        let frames = pieces.map(|piece| piece.map(Frame::data));
        Body::Stream(Box::pin(http_body_util::StreamBody::new(frames)))
    }

    /// Like [`Body::stream`]; pieces are read ahead of a slow reader as far as `limit` allows.
    pub fn read_ahead<S, L>(pieces: S, limit: L) -> Body
    where
        S: Stream<Item = Result<Bytes, BoxError>> + 'static,
        L: ReadAheadLimit + 'static,
    {
        Body::ReadAhead(ReadAheadBody::new(pieces, limit))
    }

    /// Body of a response that is sent before the end of its request's body has arrived.
    pub fn before_end_of(self, unread: UnreadBody) -> Body {
        Body::Early(Box::new((self, unread)))
    }

    /// Splits off the rest of the request's body that is still to be read.
    pub(crate) fn take_unread(&mut self) -> Option<UnreadBody> {
        match std::mem::replace(self, Body::empty()) {
            Body::Early(early) => {
                let (body, unread) = *early;
                *self = body;
                Some(unread)
            }
            body => {
                *self = body;
                None
            }
        }
    }

    /// Handle that reads the body ahead; does nothing for other bodies.
    pub fn read_ahead_handle(&self) -> ReadAhead {
        match self {
            Body::ReadAhead(body) => body.read_ahead(),
            Body::Early(early) => early.0.read_ahead_handle(),
            Body::Full(_) | Body::Stream(_) => ReadAhead::default(),
        }
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        match self.get_mut() {
            Body::Full(content) => Poll::Ready(content.take().map(|it| Ok(Frame::data(it)))),
            Body::Stream(body) => body.as_mut().poll_frame(cx),
            Body::ReadAhead(body) => Pin::new(body).poll_frame(cx),
            Body::Early(early) => Pin::new(&mut early.0).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Full(content) => content.is_none(),
            Body::Stream(body) => body.is_end_stream(),
            Body::ReadAhead(body) => body.is_end_stream(),
            Body::Early(early) => early.0.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Full(content) => {
                SizeHint::with_exact(content.as_ref().map_or(0, |it| it.len() as u64))
            }
            Body::Stream(body) => body.size_hint(),
            Body::ReadAhead(body) => body.size_hint(),
            Body::Early(early) => early.0.size_hint(),
        }
    }
}

/// Error of [`read_whole`].
#[derive(Debug)]
pub enum ReadError {
    /// The body has more bytes than allowed.
    TooLarge,
    /// The connection failed or was closed before the end of the body.
    Cut(BoxError),
}

/// Reads a complete body of at most `max_bytes`.
pub async fn read_whole<B>(body: B, max_bytes: usize) -> Result<Bytes, ReadError>
where
    B: HttpBody<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    match http_body_util::Limited::new(body, max_bytes).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(err) if err.is::<http_body_util::LengthLimitError>() => Err(ReadError::TooLarge),
        Err(err) => Err(ReadError::Cut(err)),
    }
}

/// Error of [`next_piece`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PieceError {
    /// The connection failed or was closed before the end of the body.
    Cut,
    /// Nothing arrived within the timeout.
    TimedOut,
}

/// Waits for the next piece of a body for at most `wait`; `None` at the end of the body. A piece that has already arrived
/// is returned even if `wait` is zero.
pub async fn next_piece<B>(body: &mut B, wait: Duration) -> Result<Option<Bytes>, PieceError>
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    within_or_ready(wait, read_piece(body)).await.unwrap_or(Err(PieceError::TimedOut))
}

async fn read_piece<B>(body: &mut B) -> Result<Option<Bytes>, PieceError>
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    loop {
        let frame = body.frame().await.transpose().map_err(|_| PieceError::Cut)?;
        match frame.map(Frame::into_data) {
            Some(Ok(piece)) => return Ok(Some(piece)),
            // Trailers are skipped.
            Some(Err(_)) => {}
            None => return Ok(None),
        }
    }
}
