//! What the parts of a door share: handles to its tasks, and no state of their own.

use std::{cell::Cell, rc::Rc};

use samphiredoor_core::{
    Name,
    membership::{Member, MemberState},
};
use samphiredoor_net::clock::Clock;

use crate::{
    config::DoorConfig, dispatch_task::DispatchHandle, jobs_task::JobsHandle,
    keys_task::KeysHandle, manifest_task::ManifestHandle, metrics::Metrics,
    orders_task::OrdersHandle, peers::Peers, quarantine_task::QuarantineHandle,
    store_client::StoreClient, targets::TargetPools,
};

/// Handles to all tasks of a door.
pub struct Door {
    /// Decided options.
    pub config: Rc<DoorConfig>,
    /// Clock of the process.
    pub clock: Clock,
    /// Start of the process, to tell it from an earlier one of the same name.
    pub incarnation: u64,
    /// The dispatcher's task.
    pub dispatch: DispatchHandle,
    /// The ledger's task.
    pub jobs: JobsHandle,
    /// The idempotency keys' task.
    pub keys: KeysHandle,
    /// The manifest's task.
    pub manifest: ManifestHandle,
    /// The members task.
    pub peers: Peers,
    /// The quarantine's task.
    pub quarantine: QuarantineHandle,
    /// The object API.
    pub store: StoreClient,
    /// Connections to targets.
    pub targets: TargetPools,
    /// Metrics.
    pub metrics: Rc<Metrics>,
    /// The task that gives orders to targets.
    pub orders: OrdersHandle,
    /// Whether a planned stop is under way.
    pub stopping: Cell<bool>,
    /// What [`Door::next_number`] gives next.
    pub next_unique: Cell<u64>,
}

impl Door {
    /// Name that no other door, and no other call, gives.
    pub fn unique_name(&self, prefix: &str) -> String {
        let number = self.next_number();
        format!("{prefix}-{}-{:x}-{number}", self.config.name, self.incarnation)
    }

    /// Number that no other call gives.
    pub fn next_number(&self) -> u64 {
        let number = self.next_unique.get();
        self.next_unique.set(number + 1);
        number
    }

    /// This door as a member of the fleet.
    pub fn own_member(&self) -> Member {
        Member {
            name: self.config.name(),
            address: self.peers.address().to_string().into(),
            incarnation: self.incarnation,
            counter: 0,
            state: if self.stopping.get() { MemberState::Stopping } else { MemberState::Live },
            region: Name::clone(&self.config.region),
            availability_zone: Name::clone(&self.config.availability_zone),
        }
    }
}
