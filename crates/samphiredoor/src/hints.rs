//! Delivers hints, from peers or from this process, to the tasks that they concern.

use samphiredoor_core::{Name, dispatch::Input, hints::Hint, quarantine::Suspect};

use crate::door::Door;

/// Delivers one hint that `from` sent.
pub fn deliver(door: &Door, from: &Name, hint: Hint) {
    match hint {
        Hint::Cancelled(job) => door.jobs.cancel_hint(job),
        Hint::HandedOver(job) => door.jobs.job_handed_over(job),
        Hint::LeaseExpired { process, incarnation } => {
            door.jobs.lease_expired(Name::clone(&process), incarnation);
            door.keys.lease_expired(&process, incarnation);
            door.orders.lease_expired(process, incarnation);
        }
        Hint::Leaving(target) => door.dispatch.mark_leaving(target),
        // The members task handles revisions: it pulls the manifest over the link that the hint came from.
        Hint::Revision(_) => {}
        Hint::SlotGrant { target, batch_slots, epoch } => {
            let allocator = Name::clone(from);
            door.dispatch.input(Input::SlotGrant { target, allocator, slots: batch_slots, epoch });
        }
        Hint::Demand(load) => {
            door.dispatch.input(Input::Demand { gateway: Name::clone(from), load });
        }
        Hint::Suspect { fingerprint, deaths, lifted } => {
            door.quarantine.record_peer_report(Suspect { fingerprint, deaths, lifted });
        }
    }
}
