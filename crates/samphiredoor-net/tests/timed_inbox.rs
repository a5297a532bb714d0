//! Tasks that do periodic work while messages arrive.

use std::time::Duration;

use samphiredoor_net::timed_inbox::{InboxEvent, TimedInbox};

/// Under load, a gateway did no periodic work: queued requests were not dropped at their deadlines, and ejected targets were
/// never restored. Its inbox was never empty, and ticks were given only by an empty inbox.
#[test]
fn ticks_are_given_even_if_the_inbox_is_never_empty() {
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
