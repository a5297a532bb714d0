//! Messages of a task's inbox, with ticks between them.

use std::time::{Duration, Instant};

use crate::pool::within;

/// Inbox that also ticks. Ticks come in time under load too: a task that waited for an idle inbox would never get to
/// what it does by time.
pub struct TimedInbox<T> {
    inbox: flume::Receiver<T>,
    tick: Duration,
    next: Instant,
}

/// What comes next.
pub enum InboxEvent<T> {
    /// A message.
    Message(T),
    /// The time of a tick has come.
    Tick,
    /// All senders are gone.
    Closed,
}

impl<T> TimedInbox<T> {
    /// Inbox that ticks each `tick`.
    pub fn new(inbox: flume::Receiver<T>, tick: Duration) -> TimedInbox<T> {
        TimedInbox { inbox, tick, next: Instant::now() + tick }
    }

    /// Waits for the next message or tick.
    pub async fn next(&mut self) -> InboxEvent<T> {
        let left = self.next.saturating_duration_since(Instant::now());
        let received = match left.is_zero() {
            true => None,
            false => within(left, self.inbox.recv_async()).await,
        };
        match received {
            Some(Ok(message)) => InboxEvent::Message(message),
            Some(Err(_)) => InboxEvent::Closed,
            None => {
                self.next = Instant::now() + self.tick;
                InboxEvent::Tick
            }
        }
    }
}
