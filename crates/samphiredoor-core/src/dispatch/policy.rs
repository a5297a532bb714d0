//! Tunable bounds of the dispatcher.

/// Bounds on queues and retries of one process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Retries allowed for each hundred requests.
    pub retry_percent: u32,
    /// Longest expected wait of a request in a queue, in milliseconds.
    pub queue_wait_ms: u64,
    /// Most online requests in the queue of one service.
    pub max_queued: usize,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy { retry_percent: 10, queue_wait_ms: 500, max_queued: 1_024 }
    }
}

impl Policy {
    /// Sets the retries allowed for each hundred requests.
    pub fn with_retry_percent(mut self, retry_percent: u32) -> Policy {
        self.retry_percent = retry_percent;
        self
    }

    /// Sets the bounds of the queues.
    pub fn with_queue(mut self, queue_wait_ms: u64, max_queued: usize) -> Policy {
        self.queue_wait_ms = queue_wait_ms;
        self.max_queued = max_queued;
        self
    }
}
