//! Adapter from compio's TCP streams to hyper's I/O traits, with small buffers.
//!
//! A gateway has two connections for each open stream, and writes to one at once what it reads from the other. Buffers of the
//! usual 8 KB in each direction would be most of a gateway's memory; with smaller ones, large bodies only take more reads.

use std::{
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use compio::{io::compat::AsyncStream, net::TcpStream};
use futures_util::{AsyncRead, AsyncWrite};
use hyper::rt::{Read, ReadBufCursor, Write};

use crate::activity::Activity;

const BUFFER_BYTES: usize = 2_048;
const SCRATCH_BYTES: usize = 2_048;

/// TCP connection that implements hyper's `Read` and `Write`.
pub struct Stream {
    socket: Pin<Box<AsyncStream<TcpStream>>>,
    activity: Option<Rc<Activity>>,
}

impl Stream {
    /// Wraps a connected socket.
    pub fn new(socket: TcpStream) -> Stream {
        let socket = Box::pin(AsyncStream::with_capacity(BUFFER_BYTES, socket));
        Stream { socket, activity: None }
    }

    /// Records reads in `activity`.
    pub fn with_activity(self, activity: Rc<Activity>) -> Stream {
        Stream { activity: Some(activity), ..self }
    }
}

impl Read for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut scratch = [0; SCRATCH_BYTES];
        let wanted = buf.remaining().min(SCRATCH_BYTES);
        let read = ready!(self.socket.as_mut().poll_read(cx, &mut scratch[..wanted]))?;
        buf.put_slice(&scratch[..read]);
        if let Some(activity) = self.activity.as_ref().filter(|_| read > 0) {
            activity.record_read();
        }
        Poll::Ready(Ok(()))
    }
}

impl Write for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.socket.as_mut().poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.socket.as_mut().poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket.as_mut().poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket.as_mut().poll_close(cx)
    }
}
