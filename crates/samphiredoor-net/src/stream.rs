//! Adapter from compio's TCP streams to hyper's I/O traits, with small buffers.
//!
//! A gateway has two connections for each open stream, and writes to one at once what it reads from the other. Buffers of the
//! usual 8 KB in each direction would be most of a gateway's memory; with smaller ones, large bodies only take more reads.
//!
//! A task that finds bytes at each read would never return to the runtime, and all other tasks and timers would wait for as
//! long as its peer sends. So the stream makes its task yield after a number of reads.

use std::{
    cell::Cell,
    future::{Future, poll_fn},
    io,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll, ready},
};

use compio::{io::compat::AsyncStream, net::TcpStream};
use futures_util::{AsyncRead, AsyncWrite};
use hyper::rt::{Read, ReadBufCursor, Write};

use crate::{activity::Activity, response_limits::ResponseLimits};

const BUFFER_BYTES: usize = 2_048;
/// Most bytes that a buffer grows to. By default it would hold a copy of a whole body that the peer does not read.
const MAX_BUFFER_BYTES: usize = 16 * 1024;
const SCRATCH_BYTES: usize = 2_048;
/// Reads of one turn of a task, of at most 2 KB each: a whole head of the largest size that clients accept, and as much
/// again. The runtime polls tasks up to 61 times before it looks at sockets and timers again, so floods delay them by at
/// most half a megabyte of parsing.
const READS_PER_TURN: u32 = 4;

/// Count of a stream's reads in the current turn of its task.
#[derive(Debug, Clone, Default)]
pub struct ReadBudget(Rc<Cell<u32>>);

impl ReadBudget {
    /// Starts a turn of the task that drives the connection. A pending read does so, too.
    pub fn start_turn(&self) {
        self.0.set(0);
    }

    /// Drives a connection, with a turn for each poll.
    pub async fn per_turn<C: Future>(self, connection: C) -> C::Output {
        let mut connection = pin!(connection);
        poll_fn(|cx| {
            self.start_turn();
            connection.as_mut().poll(cx)
        })
        .await
    }

    /// Counts a read; `Pending` if the task has to yield before it, which also wakes the task and starts its next turn.
    fn poll_spend(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self.0.get() == READS_PER_TURN {
            self.start_turn();
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.0.set(self.0.get() + 1);
        Poll::Ready(())
    }
}

/// TCP connection that implements hyper's `Read` and `Write`.
pub struct Stream {
    socket: Pin<Box<AsyncStream<TcpStream>>>,
    activity: Option<Rc<Activity>>,
    limits: Option<ResponseLimits>,
    budget: ReadBudget,
}

impl Stream {
    /// Wraps a connected socket.
    pub fn new(socket: TcpStream) -> Stream {
        let socket = AsyncStream::with_limits(BUFFER_BYTES, MAX_BUFFER_BYTES, socket);
        let socket = Box::pin(socket);
        Stream { socket, activity: None, limits: None, budget: ReadBudget::default() }
    }

    /// Budget of its reads, for the task that drives the connection.
    pub fn read_budget(&self) -> ReadBudget {
        self.budget.clone()
    }

    /// Records reads in `activity`.
    pub fn with_activity(self, activity: Rc<Activity>) -> Stream {
        Stream { activity: Some(activity), ..self }
    }

    /// Fails reads that exceed `limits`.
    pub fn with_limits(self, limits: ResponseLimits) -> Stream {
        Stream { limits: Some(limits), ..self }
    }
}

impl Read for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(limits) = &self.limits {
            limits.check()?;
        }
        if let Some(activity) = &self.activity {
            ready!(activity.poll_read_allowed(cx));
        }
        let mut scratch = [0; SCRATCH_BYTES];
        let wanted = buf.remaining().min(SCRATCH_BYTES);
        ready!(self.budget.poll_spend(cx));
        let Poll::Ready(read) = self.socket.as_mut().poll_read(cx, &mut scratch[..wanted]) else {
            self.budget.start_turn();
            return Poll::Pending;
        };
        let read = read?;
        buf.put_slice(&scratch[..read]);
        if let Some(limits) = &self.limits {
            limits.record_read(read);
        }
        if let Some(activity) = self.activity.as_ref().filter(|_| read > 0) {
            activity.record_read(read);
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
