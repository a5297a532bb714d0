//! Stream wrapper that counts the bytes read and written.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use futures_util::io::{AsyncRead, AsyncWrite};
use prometheus_client::metrics::counter::Counter;

/// One half of a connection, with a counter of its bytes.
pub struct CountedStream<T> {
    inner: T,
    bytes: Counter,
}

impl<T> CountedStream<T> {
    /// Adds the bytes that pass through `inner` to `bytes`.
    pub fn new(inner: T, bytes: Counter) -> CountedStream<T> {
        CountedStream { inner, bytes }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for CountedStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        if let Poll::Ready(Ok(len)) = &polled {
            self.bytes.inc_by(*len as u64);
        }
        polled
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for CountedStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(len)) = &polled {
            self.bytes.inc_by(*len as u64);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
