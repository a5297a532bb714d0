//! Accepting connections and answering requests on them.
//!
//! Every wait has a bound: a client that sends its headers slowly is cut after `header_read_timeout`, and connections
//! above `max_connections` are closed at once, and one whose client does not read is closed after `stall_timeout`, so
//! that slow and half-open clients cannot hold a place for ever.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::net::{TcpListener, TcpStream};
use cyper_core::CompioTimer;
use futures_util::{FutureExt, StreamExt, future::Either, select_biased};
use hyper::{
    Request, Response,
    body::Incoming,
    header::{self, HeaderValue},
    server::conn::http1,
    service::service_fn,
};

use crate::{
    body::{Body, BoxError},
    socket::{self, SilenceLimits},
    stall::Watched,
    stream::Stream,
};

const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
const PENDING_LIMIT: Duration = Duration::from_millis(200);
const LINGER: Duration = Duration::from_secs(1);

/// Bounds on the connections of one listener.
#[derive(Debug, Clone)]
pub struct ServeLimits {
    /// Connections held at once.
    pub max_connections: usize,
    /// Longest wait for a request's headers, also between two requests.
    pub header_read_timeout: Duration,
    /// Bytes of a request's headers.
    pub max_header_bytes: usize,
    /// Longest wait for a client to take what it is sent.
    pub stall_timeout: Duration,
}

impl Default for ServeLimits {
    fn default() -> ServeLimits {
        ServeLimits {
            max_connections: 8_192,
            header_read_timeout: Duration::from_secs(60),
            max_header_bytes: 32 * 1024,
            stall_timeout: Duration::from_secs(30),
        }
    }
}

/// Listener with its connections.
pub struct Server {
    listener: TcpListener,
    limits: Rc<RefCell<ServeLimits>>,
    open: Rc<Cell<usize>>,
    draining: Rc<Cell<bool>>,
    stop: flume::Receiver<()>,
    // Every connection holds a clone; dropping this one tells them all to end after the request in hand.
    stop_guard: Option<flume::Sender<()>>,
}

/// Ends a [`Server`] gracefully when dropped or told to.
pub struct StopHandle {
    _guard: flume::Sender<()>,
    draining: Rc<Cell<bool>>,
}

impl StopHandle {
    /// Has each connection close after its next answer, while new ones are still taken. A client that keeps its
    /// connections is told so in the answer, and none of its requests meets a connection that closes under it.
    pub fn drain(&self) {
        self.draining.set(true);
    }
}

impl Server {
    /// Listens on `address`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn bind(address: SocketAddr, limits: ServeLimits) -> std::io::Result<Server> {
        let listener = TcpListener::bind(address).await?;
        let (stop_guard, stop) = flume::bounded(0);
        Ok(Server {
            listener,
            limits: Rc::new(RefCell::new(limits)),
            open: Rc::default(),
            draining: Rc::default(),
            stop,
            stop_guard: Some(stop_guard),
        })
    }

    /// Address that was bound.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Bounds of the connections that are taken from now on.
    pub fn limits(&self) -> Rc<RefCell<ServeLimits>> {
        Rc::clone(&self.limits)
    }

    /// Handle that ends the server when dropped: no new connection is taken, each open one ends after the request in
    /// hand. Can be taken once.
    pub fn stop_handle(&mut self) -> Option<StopHandle> {
        let guard = self.stop_guard.take()?;
        Some(StopHandle { _guard: guard, draining: Rc::clone(&self.draining) })
    }

    /// Answers requests until stopped; returns when the last connection has ended.
    pub async fn run<H, F>(self, handler: H)
    where
        H: Fn(Request<Incoming>) -> F + 'static,
        F: Future<Output = Response<Body>> + 'static,
    {
        let handler = Rc::new(handler);
        let mut stopped = pin!(wait_for_stop(self.stop.clone()).fuse());
        loop {
            let accepted = {
                let accept = pin!(self.listener.accept());
                match futures_util::future::select(accept, &mut stopped).await {
                    Either::Left((accepted, _)) => accepted,
                    Either::Right(_) => break,
                }
            };
            match accepted {
                Ok((stream, _)) => self.take_connection(stream, &handler),
                Err(err) => {
                    log::warn!("serve: accept failed: {err}");
                    compio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        self.take_pending(&handler).await;
        drop(self.listener);
        while self.open.get() > 0 {
            compio::time::sleep(ACCEPT_PAUSE).await;
        }
    }

    // The system has completed connects that were not yet accepted; closing the listener would reset them. Clients that
    // connect again and again must not keep it open for ever.
    async fn take_pending<H, F>(&self, handler: &Rc<H>)
    where
        H: Fn(Request<Incoming>) -> F + 'static,
        F: Future<Output = Response<Body>> + 'static,
    {
        let until = Instant::now() + PENDING_LIMIT;
        while Instant::now() < until
            && let Ok(Ok((stream, _))) =
                compio::time::timeout(ACCEPT_PAUSE, self.listener.accept()).await
        {
            self.take_connection(stream, handler);
        }
    }

    fn take_connection<H, F>(&self, stream: TcpStream, handler: &Rc<H>)
    where
        H: Fn(Request<Incoming>) -> F + 'static,
        F: Future<Output = Response<Body>> + 'static,
    {
        let limits = self.limits.borrow().clone();
        if self.open.get() >= limits.max_connections {
            log::warn!("serve: closed a connection above the limit");
            return;
        }
        let handler = Rc::clone(handler);
        let stop = self.stop.clone();
        let draining = Rc::clone(&self.draining);
        let place = Place::new(&self.open);
        compio::runtime::spawn(async move {
            let _place = place;
            if let Err(err) = answer_connection(stream, limits, stop, draining, handler).await {
                log::debug!("serve: connection ended: {err}");
            }
        })
        .detach();
    }
}

struct Place(Rc<Cell<usize>>);

impl Place {
    fn new(open: &Rc<Cell<usize>>) -> Place {
        open.set(open.get() + 1);
        Place(Rc::clone(open))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn wait_for_stop(stop: flume::Receiver<()>) {
    let mut stop = stop.into_stream();
    while stop.next().await.is_some() {}
}

async fn answer_connection<H, F>(
    stream: TcpStream,
    limits: ServeLimits,
    stop: flume::Receiver<()>,
    draining: Rc<Cell<bool>>,
    handler: Rc<H>,
) -> Result<(), BoxError>
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    socket::prepare(&stream, SilenceLimits::default())?;
    let (stream, stall) = Watched::new(Stream::new(stream));
    let drained = Rc::clone(&draining);
    let service = service_fn(move |request| {
        // Boxed, so that its memory is free while its answer is being streamed.
        let answer = Box::pin(handler(request));
        let draining = Rc::clone(&drained);
        async move {
            let mut answer = answer.await;
            if draining.get() {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, BoxError>(answer)
        }
    });
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.header_read_timeout)
        .max_buf_size(limits.max_header_bytes.max(8_192))
        .half_close(false)
        .serve_connection(stream, service);
    let mut connection = pin!(connection);
    let mut stalled = pin!(stall.over(limits.stall_timeout).fuse());
    // A request may be on its way on a connection that is new or idle; to close it now would cut that request.
    let closing = async {
        wait_for_stop(stop).await;
        draining.set(true);
        compio::time::sleep(LINGER).await;
    };
    let mut closing = pin!(closing.fuse());
    loop {
        select_biased! {
            ended = connection.as_mut().fuse() => return Ok(ended?),
            () = closing => connection.as_mut().graceful_shutdown(),
            () = stalled => return Err("the client does not read".into()),
        }
    }
}
