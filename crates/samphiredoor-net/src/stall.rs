//! A connection that notices when its far side does not take what it is sent.
//!
//! A client that asks for a long stream and never reads it would hold its connection, and the target behind it, for
//! ever: the socket's buffer is full, and no write ends. The time since when writes wait is kept where the
//! connection's task can see it, and the task closes the connection after a limit.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use hyper::rt::{Read, ReadBufCursor, Write};

/// Since when writes to a connection wait.
#[derive(Debug, Clone, Default)]
pub struct Stall {
    since: Rc<Cell<Option<Instant>>>,
}

impl Stall {
    /// Ends when writes have waited for `limit`.
    pub async fn over(&self, limit: Duration) {
        loop {
            let waited = self.since.get().map(|it| it.elapsed()).unwrap_or_default();
            if waited >= limit {
                return;
            }
            compio::time::sleep(limit - waited).await;
        }
    }

    fn note<T>(&self, polled: &Poll<T>) {
        match polled {
            Poll::Ready(_) => self.since.set(None),
            Poll::Pending if self.since.get().is_none() => self.since.set(Some(Instant::now())),
            Poll::Pending => {}
        }
    }
}

/// Stream that notes in a [`Stall`] since when its writes wait.
pub struct Watched<S> {
    stream: S,
    stall: Stall,
}

impl<S> Watched<S> {
    /// Watched stream, and what is noted of it.
    pub fn new(stream: S) -> (Watched<S>, Stall) {
        let stall = Stall::default();
        (Watched { stream, stall: stall.clone() }, stall)
    }
}

impl<S: Read + Unpin> Read for Watched<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: Write + Unpin> Write for Watched<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.stall.note(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.stall.note(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        self.stall.note(&polled);
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
