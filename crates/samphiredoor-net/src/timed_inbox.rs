//! Message queue of a task, with ticks for periodic work.

use std::time::{Duration, Instant};

use crate::pool::within;

/// Inbox that also gives ticks at an interval, even while messages are waiting: with ticks only from an empty inbox, a task
/// under load would never do its periodic work.
pub struct TimedInbox<T> {
    inbox: flume::Receiver<T>,
    tick: Duration,
    next_tick: Instant,
}

/// Next event of an inbox.
pub enum InboxEvent<T> {
    /// A message was received.
    Message(T),
    /// A tick is due.
    Tick,
    /// All senders were dropped.
    Closed,
}

impl<T> TimedInbox<T> {
    /// Inbox with `tick` between two ticks.
    pub fn new(inbox: flume::Receiver<T>, tick: Duration) -> TimedInbox<T> {
        TimedInbox { inbox, tick, next_tick: Instant::now() + tick }
    }

    /// Waits for the next message or tick; a tick that is due comes first.
    pub async fn next(&mut self) -> InboxEvent<T> {
        let left = self.next_tick.saturating_duration_since(Instant::now());
        let received = match left.is_zero() {
            true => None,
            false => within(left, self.inbox.recv_async()).await,
        };
        match received {
            Some(Ok(message)) => InboxEvent::Message(message),
            Some(Err(_)) => InboxEvent::Closed,
            None => {
                self.next_tick = Instant::now() + self.tick;
                InboxEvent::Tick
            }
        }
    }
}
