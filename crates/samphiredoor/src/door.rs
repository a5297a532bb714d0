//! Handles to the tasks of the process, shared by its request handlers and tasks. State belongs to the tasks.

use std::{cell::Cell, rc::Rc};

use samphiredoor_core::{
    Name,
    membership::{Member, MemberState},
};
use samphiredoor_gateway::buffers::Buffers;
use samphiredoor_net::clock::Clock;

use crate::{
    config::DoorConfig, dispatch_task::DispatchHandle, jobs_task::JobsHandle,
    keys_task::KeysHandle, manifest_task::ManifestHandle, metrics::Metrics,
    orders_task::OrdersHandle, peers::Peers, quarantine_task::QuarantineHandle,
    store_client::StoreClient, targets::TargetPools,
};

/// Handles to all tasks of the process, and its settings, clock and connections.
pub struct Door {
    /// Checked settings.
    pub config: Rc<DoorConfig>,
    /// Clock of the process.
    pub clock: Clock,
    /// Incarnation of the process, which distinguishes it from an earlier one of the same name.
    pub incarnation: u64,
    /// Handle to the dispatcher task.
    pub dispatch: DispatchHandle,
    /// Handle to the jobs task, which owns the ledger.
    pub jobs: JobsHandle,
    /// Handle to the task of the idempotency keys.
    pub keys: KeysHandle,
    /// Handle to the manifest task.
    pub manifest: ManifestHandle,
    /// Handle to the members task.
    pub peers: Peers,
    /// Handle to the quarantine task.
    pub quarantine: QuarantineHandle,
    /// Client of the object API.
    pub store: StoreClient,
    /// Memory of callers' bodies.
    pub buffers: Buffers,
    /// Connection pools to targets.
    pub targets: TargetPools,
    /// Metrics of the process.
    pub metrics: Rc<Metrics>,
    /// Handle to the task that sends orders to targets.
    pub orders: OrdersHandle,
    /// Whether a graceful shutdown is in progress.
    pub stopping: Cell<bool>,
    /// Next value of [`Door::next_number`].
    pub next_unique: Cell<u64>,
}

impl Door {
    /// Returns a name that is unique across gateways, incarnations and calls.
    pub fn unique_name(&self, prefix: &str) -> String {
        let number = self.next_number();
        format!("{prefix}-{}-{:x}-{number}", self.config.name, self.incarnation)
    }

    /// Returns a number that is unique within the process.
    pub fn next_number(&self) -> u64 {
        let number = self.next_unique.get();
        self.next_unique.set(number + 1);
        number
    }

    /// This process as a member of the fleet.
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
