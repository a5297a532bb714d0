//! Bodies that are read ahead of a slow reader.
//!
//! A sender may abort a response that is not read for some time. So a response whose reader is slow is read into memory,
//! up to a limit. While the reader keeps up, it takes each piece directly from the source, and nothing is buffered or
//! copied. The task of the reader's connection reads ahead, so no other task is needed and everything ends with it.

use std::{
    cell::RefCell,
    collections::VecDeque,
    pin::Pin,
    rc::{Rc, Weak},
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use hyper::body::{Body as HttpBody, Frame};

use crate::body::BoxError;

/// Size of the chunks into which small pieces are collected; with one allocation for each piece, the overhead would be
/// larger than most events.
const CHUNK_BYTES: usize = 4_096;

/// Decides how much of a body is read ahead.
pub trait ReadAheadLimit {
    /// Ready with an error when the response has to be aborted. Wakes the task when that may have changed.
    fn poll_abort(&mut self, cx: &mut Context<'_>) -> Poll<BoxError>;

    /// Ready when one more piece may be read. Wakes the task when that may have changed.
    fn poll_allowed(&mut self, cx: &mut Context<'_>) -> Poll<()>;

    /// Counts bytes that were read ahead.
    fn hold(&mut self, bytes: usize);

    /// Wraps data that was counted, so that it is released when it has been sent.
    fn release_when_dropped(&mut self, data: Bytes) -> Bytes;
}

type Source = Pin<Box<dyn Stream<Item = Result<Bytes, BoxError>>>>;

struct State {
    /// `None` after its end.
    source: Option<Source>,
    limit: Box<dyn ReadAheadLimit>,
    chunks: VecDeque<Bytes>,
    /// Last chunk, which small pieces are appended to.
    tail: BytesMut,
    /// Error of the source, sent after the data.
    error: Option<BoxError>,
    /// Whether the reader itself waits for the source, so that there is nothing to read ahead.
    is_awaited: bool,
    /// Bytes that the connection took since it last had nothing left to send.
    unsent_bytes: usize,
    /// Whether the connection was given no data because it still has enough to send.
    is_withheld: bool,
}

/// Body that is read ahead.
pub struct ReadAheadBody(Rc<RefCell<State>>);

/// Reads a body ahead as long as the body exists.
#[derive(Default)]
pub struct ReadAhead(Weak<RefCell<State>>);

impl ReadAheadBody {
    /// Body with the data of `source`.
    pub fn new<S, L>(source: S, limit: L) -> ReadAheadBody
    where
        S: Stream<Item = Result<Bytes, BoxError>> + 'static,
        L: ReadAheadLimit + 'static,
    {
        ReadAheadBody(Rc::new(RefCell::new(State {
            source: Some(Box::pin(source)),
            limit: Box::new(limit),
            chunks: VecDeque::new(),
            tail: BytesMut::new(),
            error: None,
            is_awaited: false,
            unsent_bytes: 0,
            is_withheld: false,
        })))
    }

    /// Handle for the task of the reader's connection.
    pub fn read_ahead(&self) -> ReadAhead {
        ReadAhead(Rc::downgrade(&self.0))
    }
}

impl HttpBody for ReadAheadBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let mut state = self.0.borrow_mut();
        // The connection would buffer more than this, and not count it.
        state.is_withheld = state.unsent_bytes >= CHUNK_BYTES;
        if state.is_withheld {
            return Poll::Pending;
        }
        let polled = state.poll_next(cx);
        if let Poll::Ready(Some(Ok(data))) = &polled {
            state.unsent_bytes += data.len();
        }
        polled.map(|it| it.map(|piece| piece.map(Frame::data)))
    }
}

impl ReadAhead {
    /// Notes that the connection is about to be polled, and whether it still has data to send.
    pub fn start_turn(&self, has_unsent: bool) {
        let Some(state) = self.0.upgrade() else { return };
        let mut state = state.borrow_mut();
        state.is_awaited = false;
        state.is_withheld = false;
        if !has_unsent {
            state.unsent_bytes = 0;
        }
    }

    /// Whether the connection was given no data in this turn because it had enough to send.
    pub fn is_withheld(&self) -> bool {
        self.0.upgrade().is_some_and(|it| it.borrow().is_withheld)
    }

    /// Reads ahead as far as allowed, unless the reader waits for data itself; ready with an error when the response has
    /// to be aborted.
    pub fn poll(&self, cx: &mut Context<'_>) -> Poll<BoxError> {
        match self.0.upgrade() {
            Some(state) => state.borrow_mut().poll_read_ahead(cx),
            None => Poll::Pending,
        }
    }
}

impl State {
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BoxError>>> {
        if let Some(data) = self.take_buffered() {
            return Poll::Ready(Some(Ok(data)));
        }
        if let Some(err) = self.error.take() {
            return Poll::Ready(Some(Err(err)));
        }
        let polled = self.poll_source(cx);
        self.is_awaited = polled.is_pending();
        polled
    }

    fn poll_source(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BoxError>>> {
        let Some(source) = &mut self.source else { return Poll::Ready(None) };
        let polled = source.as_mut().poll_next(cx);
        if matches!(polled, Poll::Ready(None | Some(Err(_)))) {
            self.source = None;
        }
        polled
    }

    fn poll_read_ahead(&mut self, cx: &mut Context<'_>) -> Poll<BoxError> {
        if self.is_awaited {
            return Poll::Pending;
        }
        loop {
            if let Poll::Ready(err) = self.limit.poll_abort(cx) {
                return Poll::Ready(err);
            }
            if self.source.is_none() || self.limit.poll_allowed(cx).is_pending() {
                return Poll::Pending;
            }
            match self.poll_source(cx) {
                Poll::Ready(Some(Ok(piece))) => self.append(piece),
                Poll::Ready(Some(Err(err))) => self.error = Some(err),
                Poll::Ready(None) => {}
                Poll::Pending => return Poll::Pending,
            }
        }
    }

    fn append(&mut self, piece: Bytes) {
        self.limit.hold(piece.len());
        if self.tail.len() + piece.len() > CHUNK_BYTES {
            self.finish_chunk();
        }
        if piece.len() >= CHUNK_BYTES / 2 {
            self.finish_chunk();
            self.chunks.push_back(piece);
            return;
        }
        if self.tail.is_empty() {
            self.tail = BytesMut::with_capacity(CHUNK_BYTES);
        }
        self.tail.extend_from_slice(&piece);
    }

    fn finish_chunk(&mut self) {
        if !self.tail.is_empty() {
            self.chunks.push_back(std::mem::take(&mut self.tail).freeze());
        }
    }

    fn take_buffered(&mut self) -> Option<Bytes> {
        let data = self
            .chunks
            .pop_front()
            .or_else(|| (!self.tail.is_empty()).then(|| std::mem::take(&mut self.tail).freeze()))?;
        Some(self.limit.release_when_dropped(data))
    }
}
