//! A link on loopback that misbehaves on demand.
//!
//! It stands between a process and one address, and passes bytes both ways. Bytes are never left out of a direction that
//! goes on: a direction that has lost a byte stays silent for as long as its connection lasts, as behind a router that
//! has forgotten it, while new connections work as soon as the fault is over.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, MutexGuard, Weak},
    thread,
    time::{Duration, Instant},
};

/// Time by which a slow link delays each piece.
const SLOW: Duration = Duration::from_millis(150);
const PIECE_BYTES: usize = 16 * 1024;

/// How a link misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LinkFault {
    /// It does not.
    #[default]
    None,
    /// Each piece is late.
    Slow,
    /// Nothing passes.
    Silent,
    /// Nothing passes towards the far side.
    SilentThere,
    /// Nothing passes back.
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

/// The two halves of a connection through the link; closed when nothing passes any more.
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

/// Bytes a second that several links share, as the hosts of a region share its line. Pieces pass in the order in which they
/// come, so that each busy connection gets an equal part.
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
    /// A line that carries so much.
    pub fn new(bytes_per_s: u64) -> SharedRate {
        let line = Line { free_at: Instant::now(), carried_bytes: 0 };
        SharedRate { bytes_per_s, line: Arc::new(Mutex::new(line)) }
    }

    /// Bytes that it has carried so far.
    pub fn carried_bytes(&self) -> usize {
        self.line().carried_bytes
    }

    fn line(&self) -> MutexGuard<'_, Line> {
        self.line.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Waits until the line has carried a piece.
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

/// Handle to a link; it lasts as long as the process.
#[derive(Clone)]
pub struct Link {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Link {
    /// Starts a link to `far`.
    ///
    /// # Errors
    ///
    /// Why it cannot listen.
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Has the link misbehave from now on.
    pub fn set_fault(&self, fault: LinkFault) {
        self.state().fault = fault;
    }

    /// Has the link share a line with others, for what comes back.
    pub fn share(&self, rate: &SharedRate) {
        self.state().rate = Some(rate.clone());
    }

    /// Ends all open connections.
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
        // A far side that is gone closes the near one, too.
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

    /// Passes bytes one way until the connection ends.
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
