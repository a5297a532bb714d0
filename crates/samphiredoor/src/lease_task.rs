//! The task that acquires and renews the lease of this process. The members task observes the leases of others.

use std::{rc::Rc, time::Duration};

use samphiredoor_core::{
    Name,
    lease::{LeaseAction, LeaseConfig, LeaseInput, OwnLease},
    ledger::CallId,
    membership::MembershipInput,
    store::StoreAnswer,
};
use samphiredoor_net::timed_inbox::{InboxEvent, TimedInbox};

use crate::door::Door;

const TICK: Duration = Duration::from_millis(50);

/// Runs the lease task until the process ends.
pub async fn run(door: Rc<Door>) {
    let mut lease = OwnLease::new(lease_config(&door));
    let (answers, inbox) = flume::unbounded::<(CallId, StoreAnswer)>();
    let mut actions = Vec::new();
    let mut stopping_reported = false;
    let mut inbox = TimedInbox::new(inbox, TICK);
    loop {
        let input = match inbox.next().await {
            InboxEvent::Message((call, answer)) => LeaseInput::Stored { call, answer },
            InboxEvent::Closed => return,
            InboxEvent::Tick if door.stopping.get() && !stopping_reported => {
                stopping_reported = true;
                LeaseInput::Stopping
            }
            InboxEvent::Tick => LeaseInput::Tick,
        };
        lease.handle(door.clock.now(), input, &mut actions);
        for action in actions.drain(..) {
            match action {
                LeaseAction::Store { call, op } => {
                    let answers = answers.clone();
                    door.store.spawn_call(op, move |answer| {
                        let _ = answers.send((call, answer));
                    });
                }
                LeaseAction::Held { valid_until_ms } => {
                    door.jobs.set_lease(valid_until_ms);
                    door.orders.set_lease(valid_until_ms);
                    door.peers.input(MembershipInput::LeaseRenewed(lease.renewals()));
                }
                LeaseAction::Lost => {
                    log::error!(
                        "lease: a newer process holds the lease of this name; this process stops working"
                    );
                    door.jobs.set_lease(0);
                    door.orders.set_lease(0);
                    door.stopping.set(true);
                }
            }
        }
    }
}

fn lease_config(door: &Door) -> LeaseConfig {
    LeaseConfig {
        process: door.config.name(),
        incarnation: door.incarnation,
        lease_ms: door.config.lease.as_millis() as u64,
        renew_ms: door.config.renew.as_millis() as u64,
        peer_address: door.peers.address().to_string(),
        region: Name::clone(&door.config.region),
        availability_zone: Name::clone(&door.config.availability_zone),
    }
}
