//! Detection of clients that do not read what they are sent.
//!
//! A client that requests a long stream and never reads it would occupy its connection, and the target that serves it, for
//! ever: the socket's buffer is full, and no write completes. The stream records since when its writes have been pending, and
//! the task of the connection closes it after a limit.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use hyper::rt::{Read, ReadBufCursor, Write};

/// Time since when writes to a connection have been pending.
#[derive(Debug, Clone, Default)]
pub struct WriteStall {
    pending_since: Rc<Cell<Option<Instant>>>,
}

impl WriteStall {
    /// Completes when writes have been pending for `limit`.
    pub async fn reaches(&self, limit: Duration) {
        loop {
            let pending = self.pending_since.get().map(|it| it.elapsed()).unwrap_or_default();
            if pending >= limit {
                return;
            }
            compio::time::sleep(limit - pending).await;
        }
    }

    /// Since when writes have been pending.
    pub fn pending_since(&self) -> Option<Instant> {
        self.pending_since.get()
    }

    /// Whether writes are pending.
    pub fn is_pending(&self) -> bool {
        self.pending_since.get().is_some()
    }

    fn update<T>(&self, polled: &Poll<T>) {
        match polled {
            Poll::Ready(_) => self.pending_since.set(None),
            Poll::Pending if self.pending_since.get().is_none() => {
                self.pending_since.set(Some(Instant::now()))
            }
            Poll::Pending => {}
        }
    }
}

/// Stream that records in a [`WriteStall`] since when its writes have been pending.
pub struct MonitoredStream<S> {
    stream: S,
    stall: WriteStall,
}

impl<S> MonitoredStream<S> {
    /// Wraps `stream`; its pending writes are recorded in `stall`.
    pub fn new(stream: S, stall: WriteStall) -> MonitoredStream<S> {
        MonitoredStream { stream, stall }
    }
}

impl<S: Read + Unpin> Read for MonitoredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: Write + Unpin> Write for MonitoredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.stall.update(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.stall.update(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        self.stall.update(&polled);
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
