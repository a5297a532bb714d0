//! A TCP proxy on loopback that simulates network faults.
//!
//! It forwards bytes both ways between a client process and one server address. It never drops bytes from the middle of
//! a stream: once it has dropped a byte of one direction of a connection, it forwards nothing more in this direction,
//! as a router that has lost the connection's state. New connections work as soon as the fault is over.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, MutexGuard, Weak},
    thread,
    time::{Duration, Instant},
};

/// Delay of each chunk on a slow link.
const SLOW: Duration = Duration::from_millis(150);
const PIECE_BYTES: usize = 16 * 1024;

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
    There,
    Back,
}

impl LinkFault {
    fn silences(self, direction: Direction) -> bool {
        match self {
            LinkFault::None | LinkFault::Slow => false,
            LinkFault::Silent => true,
            LinkFault::SilentThere => direction == Direction::There,
            LinkFault::SilentBack => direction == Direction::Back,
        }
    }
}

/// Sockets to the client and to the server of one proxied connection; closed when both directions have ended.
struct Connection {
    near: TcpStream,
    far: TcpStream,
}

impl Connection {
    fn ends(&self, direction: Direction) -> (&TcpStream, &TcpStream) {
        match direction {
            Direction::There => (&self.near, &self.far),
            Direction::Back => (&self.far, &self.near),
        }
    }
}

/// Bandwidth that several links share, as the hosts of a region share its uplink. Chunks are forwarded in order of
/// arrival, so that busy connections get equal shares.
#[derive(Clone)]
pub struct SharedRate {
    bytes_per_s: u64,
    line: Arc<Mutex<Line>>,
}

struct Line {
    free_at: Instant,
    carried_bytes: usize,
}

impl SharedRate {
    /// Shared bandwidth of this many bytes per second.
    pub fn new(bytes_per_s: u64) -> SharedRate {
        let line = Line { free_at: Instant::now(), carried_bytes: 0 };
        SharedRate { bytes_per_s, line: Arc::new(Mutex::new(line)) }
    }

    /// Bytes transferred so far.
    pub fn carried_bytes(&self) -> usize {
        self.line().carried_bytes
    }

    fn line(&self) -> MutexGuard<'_, Line> {
        self.line.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Waits until a chunk has been transferred.
    fn carry(&self, bytes: usize) {
        let takes = Duration::from_secs(1).mul_f64(bytes as f64 / self.bytes_per_s as f64);
        let carried_at = {
            let mut line = self.line();
            line.carried_bytes += bytes;
            line.free_at = line.free_at.max(Instant::now()) + takes;
            line.free_at
        };
        thread::sleep(carried_at.saturating_duration_since(Instant::now()));
    }
}

#[derive(Default)]
struct State {
    fault: LinkFault,
    rate: Option<SharedRate>,
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
    pub fn start(far: SocketAddr) -> std::io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let link = Link { address: listener.local_addr()?, state: Arc::default() };
        let accepting = link.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                accepting.connect(near, far);
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
    pub fn share(&self, rate: &SharedRate) {
        self.state().rate = Some(rate.clone());
    }

    /// Closes all open connections.
    pub fn cut(&self) {
        for connection in self.state().open.drain(..).filter_map(|it| it.upgrade()) {
            // One that has ended already needs no end.
            let _ = connection.near.shutdown(Shutdown::Both);
            let _ = connection.far.shutdown(Shutdown::Both);
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn connect(&self, near: TcpStream, far: SocketAddr) {
        // If the server cannot be reached, the client's connection is closed by the drop.
        let Ok(far) = TcpStream::connect(far) else { return };
        let connection = Arc::new(Connection { near, far });
        {
            let mut state = self.state();
            state.open.retain(|it| it.strong_count() > 0);
            state.open.push(Arc::downgrade(&connection));
        }
        for direction in [Direction::There, Direction::Back] {
            let (link, connection) = (self.clone(), Arc::clone(&connection));
            thread::spawn(move || link.pass(&connection, direction));
        }
    }

    /// Forwards bytes in one direction until the connection ends.
    fn pass(&self, connection: &Connection, direction: Direction) {
        let (mut from, mut to) = connection.ends(direction);
        let mut piece = vec![0; PIECE_BYTES];
        let mut silent = false;
        while let Ok(read @ 1..) = from.read(&mut piece) {
            let (fault, rate) = {
                let state = self.state();
                (state.fault, state.rate.clone().filter(|_| direction == Direction::Back))
            };
            silent |= fault.silences(direction);
            if let Some(rate) = rate {
                rate.carry(read);
            }
            if fault == LinkFault::Slow {
                thread::sleep(SLOW);
            }
            if !silent && to.write_all(&piece[..read]).is_err() {
                break;
            }
        }
        silent |= self.state().fault.silences(direction);
        if !silent {
            // One that has ended already needs no end.
            let _ = to.shutdown(Shutdown::Write);
        }
    }
}
