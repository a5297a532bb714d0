//! Permits for work of which only so much may go on at the same time.

/// A fixed number of permits. Clones share them; whoever has waited longest gets the next one.
#[derive(Clone)]
pub struct Permits {
    free: flume::Receiver<()>,
    returned: flume::Sender<()>,
}

/// Permit that is returned when dropped.
pub struct Permit {
    returned: flume::Sender<()>,
}

impl Permits {
    /// Creates `count` permits.
    pub fn new(count: usize) -> Permits {
        let (returned, free) = flume::bounded(count);
        let permits = Permits { free, returned };
        for _ in 0..count {
            permits.put_back();
        }
        permits
    }

    /// Waits for a permit.
    pub async fn acquire(&self) -> Permit {
        // Fails only without senders, and this holds one.
        let _ = self.free.recv_async().await;
        Permit { returned: self.returned.clone() }
    }

    /// A permit, if one is free.
    pub fn try_acquire(&self) -> Option<Permit> {
        self.free.try_recv().ok()?;
        Some(Permit { returned: self.returned.clone() })
    }

    fn put_back(&self) {
        // There is room for each permit.
        let _ = self.returned.try_send(());
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let _ = self.returned.try_send(());
    }
}
