//! A relay between a door and what it talks to, that a test can cut and join.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

/// Relay towards one address; while it is cut, connections through it are closed and none is opened.
pub struct Relay {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Relay {
    pub fn start(to: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (cut, open) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let relay = Relay { address, cut: Arc::clone(&cut), open: Arc::clone(&open) };
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                if cut.load(Ordering::SeqCst) {
                    continue;
                }
                if let Ok(far) = TcpStream::connect(to) {
                    join(&near, &far, &open);
                }
            }
        });
        relay
    }

    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
        for stream in self.open.lock().expect("no panic").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn join(&self) {
        self.cut.store(false, Ordering::SeqCst);
    }
}

fn join(near: &TcpStream, far: &TcpStream, open: &Mutex<Vec<TcpStream>>) {
    for (from, to) in [(near, far), (far, near)] {
        let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else { return };
        if let Ok(clone) = from.try_clone() {
            open.lock().expect("no panic").push(clone);
        }
        thread::spawn(move || {
            let mut buffer = [0; 16 * 1024];
            while let Ok(len @ 1..) = from.read(&mut buffer) {
                if to.write_all(&buffer[..len]).is_err() {
                    break;
                }
            }
            let _ = to.shutdown(Shutdown::Both);
        });
    }
}
