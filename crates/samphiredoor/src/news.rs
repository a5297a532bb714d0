//! Passes a peer's news on to the tasks that it concerns.

use samphiredoor_core::{Name, dispatch::Input, news::News, quarantine::Suspect};

use crate::door::Door;

/// Passes one piece of news on.
pub fn deliver(door: &Door, from: &Name, news: News) {
    match news {
        News::Cancelled(job) => door.jobs.cancel_hint(job),
        News::HandedOver(job) => door.jobs.offered(job),
        News::Lapsed { process, incarnation } => {
            door.jobs.lapsed(Name::clone(&process), incarnation);
            door.keys.lapsed(&process, incarnation);
            door.orders.lapsed(process, incarnation);
        }
        News::Leaving(target) => door.dispatch.leaving(target),
        // The members task handles revisions itself.
        News::Revision(_) => {}
        News::Recall { target, batch_slots, epoch } => {
            let allocator = Name::clone(from);
            door.dispatch.input(Input::SlotGrant { target, allocator, slots: batch_slots, epoch });
        }
        News::Need(load) => {
            door.dispatch.input(Input::Demand { gateway: Name::clone(from), load });
        }
        News::Suspect { fingerprint, deaths, lifted } => {
            door.quarantine.told(Suspect { fingerprint, deaths, lifted });
        }
    }
}
