//! The task that keeps the process's lease and observes the leases of others.

use std::{rc::Rc, time::Duration};

use samphiredoor_core::{
    Name,
    dispatch::Input,
    lease::{LeaseAction, LeaseConfig, LeaseInput, LeaseTable, OwnLease},
    ledger::CallId,
    store::{Kind, Labels, StoreAnswer, StoreOp},
};
use samphiredoor_net::pool::within;

use crate::process::Door;

const TICK: Duration = Duration::from_millis(50);
const LAPSE_MARGIN_MS: u64 = 500;
const LIST_PAGE: usize = 500;

/// Keeps the lease until the process ends.
pub async fn run(door: Rc<Door>) {
    let mut lease = OwnLease::new(lease_config(&door));
    let (answers, answered) = flume::unbounded::<(CallId, StoreAnswer)>();
    compio::runtime::spawn(observe(Rc::clone(&door))).detach();
    let mut actions = Vec::new();
    let mut told_stopping = false;
    loop {
        let input = match within(TICK, answered.recv_async()).await {
            Some(Ok((call, answer))) => LeaseInput::Stored { call, answer },
            Some(Err(_)) => return,
            None if door.stopping.get() && !told_stopping => {
                told_stopping = true;
                LeaseInput::Stopping
            }
            None => LeaseInput::Tick,
        };
        lease.handle(door.clock.now(), input, &mut actions);
        for action in actions.drain(..) {
            match action {
                LeaseAction::Store { call, op } => {
                    let (store, answers) = (door.store.clone(), answers.clone());
                    compio::runtime::spawn(async move {
                        let _ = answers.send((call, store.call(op).await));
                    })
                    .detach();
                }
                LeaseAction::Held { valid_until_ms } => door.jobs.lease(valid_until_ms),
                LeaseAction::Lost => {
                    log::error!("lease: a later process has this name; this one stops working");
                    door.jobs.lease(0);
                    door.stopping.set(true);
                }
            }
        }
    }
}

async fn observe(door: Rc<Door>) {
    let mut table = LeaseTable::default();
    loop {
        list(&door, &mut table).await;
        for (process, incarnation) in table.lapsed(door.clock.now(), LAPSE_MARGIN_MS) {
            if process != door.config.name {
                door.jobs.lapsed(process, incarnation);
            }
        }
        tell_live_doors(&door, &table);
        compio::time::sleep(door.config.renew / 2).await;
    }
}

/// Lending divides targets among the doors that live; a stopping one is left out, so that its part moves on in time.
fn tell_live_doors(door: &Door, table: &LeaseTable) {
    let lapsed = table.lapsed(door.clock.now(), LAPSE_MARGIN_MS);
    let lives = |name: &Name| !lapsed.iter().any(|(it, _)| it == name);
    let others =
        table.iter().filter(|(name, it)| **name != door.config.name && !it.stopping && lives(name));
    let mut live: Vec<Name> = others.map(|(name, _)| Name::clone(name)).collect();
    if !door.stopping.get() {
        live.push(door.config.name());
    }
    live.sort();
    door.live_doors.replace(live.clone());
    door.dispatch.input(Input::Doors { own_name: door.config.name(), live });
}

async fn list(door: &Door, table: &mut LeaseTable) {
    let mut after = None;
    loop {
        let op = StoreOp::List {
            kind: Kind::Process,
            prefix: Name::from(""),
            labels: Labels::new(),
            after,
            limit: LIST_PAGE,
        };
        let StoreAnswer::Page { items, next, .. } = door.store.call(op).await else { return };
        for stored in items {
            match serde_json::from_slice(&stored.value) {
                Ok(lease) => table.observe(door.clock.now(), &stored.name, lease),
                Err(err) => log::warn!("lease: {} cannot be read: {err}", stored.name),
            }
        }
        after = next;
        if after.is_none() {
            return;
        }
    }
}

fn lease_config(door: &Door) -> LeaseConfig {
    LeaseConfig {
        process: door.config.name(),
        incarnation: door.incarnation,
        lease_ms: door.config.lease.as_millis() as u64,
        renew_ms: door.config.renew.as_millis() as u64,
        peer_address: door.config.peers.to_string(),
        region: Name::clone(&door.config.region),
        availability_zone: Name::clone(&door.config.availability_zone),
    }
}
