//! Limits on what a server may send before the head of its response and between the pieces of its body.
//!
//! A faulty server may send interim heads or parts of a chunk's framing without end. These are not content, so no limit on
//! the size of a body applies to them, and each part that arrives looks like progress.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use hyper::{Request, ext::on_informational};

use crate::Body;

/// Interim heads of one response. Servers send one 100 and a few 103.
const MAX_INTERIM_HEADS: usize = 16;
/// Bytes without a head or a piece of a body. A head may have 4 KB, and the parser accepts 16 KB each of chunk extensions and
/// trailers.
const MAX_BYTES_WITHOUT_CONTENT: usize = 32 * 1024;

#[derive(Default)]
struct Counts {
    interim_heads: AtomicUsize,
    bytes: AtomicUsize,
}

/// Limits of the response that arrives on a connection. Clones share their counts; these are atomic only as hyper requires it
/// of its callback.
#[derive(Clone, Default)]
pub struct ResponseLimits(Arc<Counts>);

impl ResponseLimits {
    /// Starts to count for the response to `request`.
    pub fn start(&self, request: &mut Request<Body>) {
        self.0.interim_heads.store(0, Ordering::Relaxed);
        self.record_content();
        let counts = Arc::clone(&self.0);
        on_informational(request, move |_| {
            counts.interim_heads.fetch_add(1, Ordering::Relaxed);
        });
    }

    /// Records that the head of the response or a piece of its body is complete.
    pub fn record_content(&self) {
        self.0.bytes.store(0, Ordering::Relaxed);
    }

    /// Records that bytes were read.
    pub fn record_read(&self, bytes: usize) {
        self.0.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Checks that more bytes may be read.
    ///
    /// # Errors
    ///
    /// The server exceeds a limit.
    pub fn check(&self) -> io::Result<()> {
        if self.0.interim_heads.load(Ordering::Relaxed) > MAX_INTERIM_HEADS {
            return Err(io::Error::other("the server sends too many interim heads"));
        }
        if self.0.bytes.load(Ordering::Relaxed) >= MAX_BYTES_WITHOUT_CONTENT {
            return Err(io::Error::other("the server sends too many bytes without content"));
        }
        Ok(())
    }
}
