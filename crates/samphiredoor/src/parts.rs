//! Creates the tasks of the process and passes each task its dependencies.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{SystemTime, UNIX_EPOCH},
};

use samphiredoor_core::{
    Name,
    dispatch::Location,
    hints::Hint,
    idempotency::{KeysConfig, holder_name},
    quarantine::QuarantineConfig,
};
use samphiredoor_net::clock::Clock;

use crate::{
    config::DoorConfig,
    dispatch_task::DispatchHandle,
    door::Door,
    hosts_task, item_run,
    jobs_task::{self, JobsEnv, JobsHandle, JobsInbox},
    keys_task::{self, KeysEnv, KeysHandle, KeysInbox},
    lease_task, lending_task, load_poll,
    manifest_task::{self, ManifestEnv, ManifestHandle, ManifestInbox},
    members_task,
    metrics::Metrics,
    orders_task::{self, OrdersEnv, OrdersHandle, OrdersInbox},
    peers::{Peers, PeersInbox},
    quarantine_task::{self, QuarantineEnv, QuarantineHandle, QuarantineInbox},
    request_body, request_spec,
    store_client::StoreClient,
    targets::TargetPools,
};

struct Inboxes {
    jobs: JobsInbox,
    keys: KeysInbox,
    quarantine: QuarantineInbox,
    manifest: ManifestInbox,
    peers: PeersInbox,
    orders: OrdersInbox,
    slot_hints: flume::Receiver<(Name, Hint)>,
}

/// Starts all tasks of a gateway that listens for peers on `peer_address`; returns their handles.
pub fn start(config: DoorConfig, peer_address: SocketAddr) -> Rc<Door> {
    let (door, inboxes) = new_door(config, peer_address);
    let runner = Rc::clone(&door);
    let run_item = move |work, stop| item_run::run(Rc::clone(&runner), work, stop);
    compio::runtime::spawn(jobs_task::run(jobs_env(&door, run_item), inboxes.jobs)).detach();
    compio::runtime::spawn(keys_task::run(keys_env(&door), inboxes.keys)).detach();
    compio::runtime::spawn(lease_task::run(Rc::clone(&door))).detach();
    compio::runtime::spawn(load_poll::run(Rc::clone(&door))).detach();
    compio::runtime::spawn(lending_task::run(Rc::clone(&door), inboxes.slot_hints)).detach();
    compio::runtime::spawn(manifest_task::run(manifest_env(&door), inboxes.manifest)).detach();
    compio::runtime::spawn(members_task::run(Rc::clone(&door), inboxes.peers)).detach();
    compio::runtime::spawn(orders_task::run(orders_env(&door), inboxes.orders)).detach();
    let quarantine = quarantine_task::run(quarantine_env(&door), inboxes.quarantine);
    compio::runtime::spawn(quarantine).detach();
    compio::runtime::spawn(hosts_task::run(Rc::clone(&door))).detach();
    door
}

fn new_door(config: DoorConfig, peer_address: SocketAddr) -> (Rc<Door>, Inboxes) {
    let clock = Clock::new();
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let incarnation = since.as_micros() as u64;
    let (jobs, jobs_inbox) = JobsHandle::new();
    let (keys, keys_inbox) = KeysHandle::new();
    let (quarantine, quarantine_inbox) = QuarantineHandle::new();
    let (manifest, manifest_inbox) = ManifestHandle::new();
    let (peers, peers_inbox) = Peers::new(peer_address);
    let (orders, orders_inbox) = OrdersHandle::new();
    let (slot_hints, slot_hints_inbox) = flume::unbounded();
    let location = Location {
        region: Name::clone(&config.region),
        availability_zone: Name::clone(&config.availability_zone),
    };
    let metrics = Metrics::new();
    // Derived from the name, so that a restarted gateway uses the same targets as before.
    let seed = request_spec::hash(config.name.as_bytes());
    let buffers = request_body::budget(config.max_body_bytes, clock);
    let door = Door {
        clock,
        incarnation,
        dispatch: DispatchHandle::start(clock, location, seed, Rc::clone(&metrics), slot_hints),
        jobs,
        keys,
        quarantine,
        manifest,
        peers,
        store: StoreClient::new(config.store, config.store_timeout),
        targets: TargetPools::default(),
        orders,
        metrics,
        stopping: Cell::new(false),
        next_unique: Cell::new(0),
        buffers,
        config: Rc::new(config),
    };
    let inboxes = Inboxes {
        jobs: jobs_inbox,
        keys: keys_inbox,
        quarantine: quarantine_inbox,
        manifest: manifest_inbox,
        peers: peers_inbox,
        orders: orders_inbox,
        slot_hints: slot_hints_inbox,
    };
    (Rc::new(door), inboxes)
}

fn jobs_env<R>(door: &Door, run_item: R) -> JobsEnv<R> {
    let writer = door.unique_name(&door.config.name).into();
    JobsEnv {
        config: jobs_task::ledger_config(&door.config, door.incarnation, writer),
        clock: door.clock,
        handle: door.jobs.clone(),
        peers: door.peers.clone(),
        store: door.store.clone(),
        metrics: Rc::clone(&door.metrics),
        run_item,
    }
}

fn keys_env(door: &Door) -> KeysEnv {
    let remember_ms = door.config.remember_keys.as_millis() as u64;
    KeysEnv {
        config: KeysConfig::new(holder(door), remember_ms),
        clock: door.clock,
        handle: door.keys.clone(),
        store: door.store.clone(),
        metrics: Rc::clone(&door.metrics),
    }
}

fn manifest_env(door: &Door) -> ManifestEnv {
    ManifestEnv {
        config: Rc::clone(&door.config),
        handle: door.manifest.clone(),
        dispatch: door.dispatch.clone(),
        peers: door.peers.clone(),
        store: door.store.clone(),
        metrics: Rc::clone(&door.metrics),
    }
}

fn orders_env(door: &Door) -> OrdersEnv {
    OrdersEnv {
        config: Rc::clone(&door.config),
        incarnation: door.incarnation,
        clock: door.clock,
        handle: door.orders.clone(),
        manifest: door.manifest.clone(),
        peers: door.peers.clone(),
        store: door.store.clone(),
        targets: door.targets.clone(),
    }
}

fn quarantine_env(door: &Door) -> QuarantineEnv {
    QuarantineEnv {
        config: QuarantineConfig::new(holder(door)),
        clock: door.clock,
        handle: door.quarantine.clone(),
        peers: door.peers.clone(),
        store: door.store.clone(),
        metrics: Rc::clone(&door.metrics),
    }
}

/// Name of this incarnation of the process in stored records.
fn holder(door: &Door) -> Name {
    holder_name(&door.config.name, door.incarnation)
}
