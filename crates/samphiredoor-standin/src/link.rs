//! A TCP proxy on loopback that simulates network faults.
//!
//! It forwards bytes both ways between a client process and one server address. It never drops bytes from the middle of
//! a stream: once it has dropped a byte of one direction of a connection, it forwards nothing more in this direction,
//! as behind a router that has lost the connection's state. New connections work as soon as the fault is over.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, MutexGuard, Weak},
    thread,
    time::{Duration, Instant},
};

/// Delay of each chunk on a slow link.
const SLOW_DELAY: Duration = Duration::from_millis(150);
const BUFFER_BYTES: usize = 16 * 1024;

/// Fault of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LinkFault {
    /// No fault.
    #[default]
    None,
    /// Delays each chunk by 150 ms.
    Slow,
    /// Drops all data.
    Silent,
    /// Drops data from the client to the server.
    SilentThere,
    /// Drops data from the server to the client.
    SilentBack,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

impl LinkFault {
    fn drops(self, direction: Direction) -> bool {
        match self {
            LinkFault::None | LinkFault::Slow => false,
            LinkFault::Silent => true,
            LinkFault::SilentThere => direction == Direction::ToServer,
            LinkFault::SilentBack => direction == Direction::ToClient,
        }
    }
}

/// Sockets to the client and to the server of one proxied connection; closed when both directions have ended.
struct Connection {
    client: TcpStream,
    server: TcpStream,
}

impl Connection {
    fn sockets(&self, direction: Direction) -> (&TcpStream, &TcpStream) {
        match direction {
            Direction::ToServer => (&self.client, &self.server),
            Direction::ToClient => (&self.server, &self.client),
        }
    }
}

/// Bandwidth that several links share, as the hosts of a region share its uplink. Chunks are forwarded in order of
/// arrival, so that busy connections get equal shares.
#[derive(Clone)]
pub struct SharedBandwidth {
    bytes_per_s: u64,
    transfers: Arc<Mutex<Transfers>>,
}

struct Transfers {
    idle_at: Instant,
    transferred_bytes: usize,
}

impl SharedBandwidth {
    /// Shared bandwidth of this many bytes per second.
    pub fn new(bytes_per_s: u64) -> SharedBandwidth {
        let transfers = Transfers { idle_at: Instant::now(), transferred_bytes: 0 };
        SharedBandwidth { bytes_per_s, transfers: Arc::new(Mutex::new(transfers)) }
    }

    /// Bytes transferred so far.
    pub fn transferred_bytes(&self) -> usize {
        self.transfers().transferred_bytes
    }

    fn transfers(&self) -> MutexGuard<'_, Transfers> {
        self.transfers.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Waits until a chunk has been transferred.
    fn transfer(&self, bytes: usize) {
        let duration = Duration::from_secs(1).mul_f64(bytes as f64 / self.bytes_per_s as f64);
        let done_at = {
            let mut transfers = self.transfers();
            transfers.transferred_bytes += bytes;
            transfers.idle_at = transfers.idle_at.max(Instant::now()) + duration;
            transfers.idle_at
        };
        thread::sleep(done_at.saturating_duration_since(Instant::now()));
    }
}

#[derive(Default)]
struct State {
    fault: LinkFault,
    bandwidth: Option<SharedBandwidth>,
    open: Vec<Weak<Connection>>,
}

/// Handle to a link; the link itself runs until the process ends.
#[derive(Clone)]
pub struct Link {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Link {
    /// Starts a link to the server at `server`.
    ///
    /// # Errors
    ///
    /// No port can be listened on.
    pub fn start(server: SocketAddr) -> std::io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let link = Link { address: listener.local_addr()?, state: Arc::default() };
        let acceptor = link.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                acceptor.connect(client, server);
            }
        });
        Ok(link)
    }

    /// Address that clients connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault from now on, also for open connections.
    pub fn set_fault(&self, fault: LinkFault) {
        self.state().fault = fault;
    }

    /// Limits data from the server to the client to a bandwidth that is shared with other links.
    pub fn limit_bandwidth(&self, bandwidth: &SharedBandwidth) {
        self.state().bandwidth = Some(bandwidth.clone());
    }

    /// Closes all open connections.
    pub fn cut(&self) {
        for connection in self.state().open.drain(..).filter_map(|it| it.upgrade()) {
            // Errors are ignored: the connection may have ended already.
            let _ = connection.client.shutdown(Shutdown::Both);
            let _ = connection.server.shutdown(Shutdown::Both);
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn connect(&self, client: TcpStream, server: SocketAddr) {
        // If the server cannot be reached, the client's connection is closed by the drop.
        let Ok(server) = TcpStream::connect(server) else { return };
        let connection = Arc::new(Connection { client, server });
        {
            let mut state = self.state();
            state.open.retain(|it| it.strong_count() > 0);
            state.open.push(Arc::downgrade(&connection));
        }
        for direction in [Direction::ToServer, Direction::ToClient] {
            let (link, connection) = (self.clone(), Arc::clone(&connection));
            thread::spawn(move || link.forward(&connection, direction));
        }
    }

    /// Forwards bytes in one direction until the connection ends.
    fn forward(&self, connection: &Connection, direction: Direction) {
        let (mut from, mut to) = connection.sockets(direction);
        let mut chunk = vec![0; BUFFER_BYTES];
        let mut is_dropping = false;
        while let Ok(read @ 1..) = from.read(&mut chunk) {
            let (fault, bandwidth) = {
                let state = self.state();
                (state.fault, state.bandwidth.clone().filter(|_| direction == Direction::ToClient))
            };
            is_dropping |= fault.drops(direction);
            if let Some(bandwidth) = bandwidth {
                bandwidth.transfer(read);
            }
            if fault == LinkFault::Slow {
                thread::sleep(SLOW_DELAY);
            }
            if !is_dropping && to.write_all(&chunk[..read]).is_err() {
                break;
            }
        }
        is_dropping |= self.state().fault.drops(direction);
        if !is_dropping {
            // Errors are ignored: the connection may have ended already.
            let _ = to.shutdown(Shutdown::Write);
        }
    }
}
