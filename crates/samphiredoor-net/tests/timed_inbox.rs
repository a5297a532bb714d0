//! Tasks that act by time while messages come.

use std::time::Duration;

use samphiredoor_net::timed_inbox::{InboxEvent, TimedInbox};

/// A door under load forgets what it does by time: deadlines of queued requests pass unnoticed, and ejected targets never
/// come back. Its inbox was never empty, and ticks came only from an empty one.
#[test]
fn ticks_come_though_the_inbox_is_never_empty() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let (sender, receiver) = flume::unbounded();
        sender.send(()).expect("an open inbox");
        let mut inbox = TimedInbox::new(receiver, Duration::from_millis(5));
        loop {
            match inbox.next().await {
                InboxEvent::Message(()) => sender.send(()).expect("an open inbox"),
                InboxEvent::Tick => return,
                InboxEvent::Closed => panic!("the sender is alive"),
            }
        }
    });
}
