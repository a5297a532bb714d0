//! A TCP relay between a gateway and one of its servers, through which a test can simulate a network partition.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

/// Relay to one address. While it is cut, existing and new connections are closed at once.
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
            for client in listener.incoming().flatten() {
                if cut.load(Ordering::SeqCst) {
                    continue;
                }
                if let Ok(server) = TcpStream::connect(to) {
                    forward(&client, &server, &open);
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

    pub fn restore(&self) {
        self.cut.store(false, Ordering::SeqCst);
    }
}

fn forward(client: &TcpStream, server: &TcpStream, open: &Mutex<Vec<TcpStream>>) {
    for (from, to) in [(client, server), (server, client)] {
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
