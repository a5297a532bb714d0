//! Registration of gateways in the store, through which they discover each other.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use samphiredoor_core::{
    Name,
    dispatch::Location,
    store::{Kind, Labels, ObjectKey, StoreAnswer, StoreOp, Stored, Value, Version},
};
use serde_json::json;

use super::{
    LocalGateway, Roster,
    presence::{self, Presence},
};
use crate::{
    lists::current_version,
    placement::PlacementHandle,
    platform_api::{Change, ObjectStore},
    watch::{StoreEvent, Watcher},
};

/// Time that a newly registered process waits before it reads changes of the other entries. Gateways that start
/// together have registered by then, so their entries arrive in one batch instead of one by one.
const STARTUP_SETTLE_TIME: Duration = Duration::from_millis(1_200);
/// Number of changes of the store since the first list of gateways up to which each gateway reads them at once. They take
/// some tens of kilobytes.
const FEW_CHANGES: u64 = 100;
/// Longest time that a process of a large fleet waits for a gateway that has read the list of gateways, and how often it
/// checks for one. The wait is random, so that a few gateways read the list first.
const MAX_INTRODUCTION_WAIT: Duration = Duration::from_secs(3);
const INTRODUCTION_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between attempts to register.
const REGISTER_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Writes this process's entry to the store, and retries until the store has it.
async fn register(local: LocalGateway, store: Rc<dyn ObjectStore>, found: OwnEntry) {
    let key = ObjectKey::new(Kind::Door, Name::clone(&local.name));
    let value: Value = encode_entry(&local);
    loop {
        let answer = match found {
            OwnEntry::Missing => create(&*store, &key, &value).await,
            OwnEntry::Outdated => replace(&*store, &key, &value).await,
            OwnEntry::Current => return,
        };
        match answer {
            StoreAnswer::Object(_) => return,
            answer => log::warn!(answer:? = answer; "peers: registration failed, will be retried"),
        }
        compio::time::sleep(REGISTER_RETRY_INTERVAL).await;
    }
}

/// State of this process's own entry in a list of all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OwnEntry {
    Missing,
    /// Written by an earlier incarnation with another address or location.
    Outdated,
    Current,
}

fn find_own_entry(local: &LocalGateway, all: &[Stored]) -> OwnEntry {
    match all.iter().find(|it| it.name == local.name) {
        None => OwnEntry::Missing,
        Some(stored) if parse_entry(&stored.value) == parse_entry(&encode_entry(local)) => {
            OwnEntry::Current
        }
        Some(_) => OwnEntry::Outdated,
    }
}

async fn create(store: &dyn ObjectStore, key: &ObjectKey, value: &Value) -> StoreAnswer {
    let (labels, value) = (Labels::new(), value.clone());
    let create = StoreOp::Create { key: key.clone(), labels, value: value.clone() };
    match store.call(create).await {
        StoreAnswer::Taken => replace(store, key, &value).await,
        answer => answer,
    }
}

async fn replace(store: &dyn ObjectStore, key: &ObjectKey, value: &Value) -> StoreAnswer {
    let found = store.call(StoreOp::Get { key: key.clone() }).await;
    let StoreAnswer::Object(stored) = found else { return found };
    // Parsed entries are compared because the store may return the same JSON in another form.
    if parse_entry(&stored.value) == parse_entry(value) {
        return StoreAnswer::Object(stored);
    }
    let (key, version) = (key.clone(), stored.version);
    store.call(StoreOp::Update { key, version, labels: Labels::new(), value: value.clone() }).await
}

fn encode_entry(local: &LocalGateway) -> Value {
    let entry = json!({
        "address": local.address.to_string(),
        "region": &*local.location.region,
        "availability_zone": &*local.location.availability_zone,
    });
    entry.to_string().into_bytes().into()
}

/// Registers this process unless its entry is current, and applies the entries of all gateways to the roster. A
/// restarted process whose entry is current does not wait, as the other gateways are registered already.
pub async fn run(
    roster: Roster,
    placement: PlacementHandle,
    store: Rc<dyn ObjectStore>,
    mut watcher: Watcher,
) {
    let mut registering = false;
    // Version up to which changes were applied; the watcher forgets it when it has to list anew.
    let mut newest = None;
    loop {
        newest = watcher.version().or(newest);
        match watcher.next().await {
            StoreEvent::Snapshot(all) => {
                // After the store has lost its history, a list holds changes that no watch has shown.
                let is_change = |it: &Stored| {
                    roster.is_listed() && newest.is_some_and(|newest| it.version > newest)
                };
                for entry in &all {
                    match is_change(entry) {
                        true => apply_change(&roster, &store, entry),
                        false => apply_entry(&roster, entry),
                    }
                }
                let found = find_own_entry(roster.local(), &all);
                if !std::mem::replace(&mut registering, true) && found != OwnEntry::Current {
                    let register = register(roster.local().clone(), Rc::clone(&store), found);
                    compio::runtime::spawn(register).detach();
                    wait_for_others(&roster, &*store, watcher.version()).await;
                    continue;
                }
            }
            StoreEvent::Changes(changes) => changes.iter().for_each(|it| match it {
                Change::Written(stored) => apply_change(&roster, &store, stored),
                Change::Deleted(name) => roster.remove(name),
            }),
            StoreEvent::FirstPart(_) | StoreEvent::Lost | StoreEvent::Recovered(_) => continue,
        }
        roster.mark_listed();
        let cell_targets = roster.own_cell_targets();
        // The log key `mates` is the number of other gateways of the own cell.
        let (cells, mates, targets) =
            (roster.cells().len(), roster.cell_peers().len(), cell_targets.len());
        log::info!(cells, mates, targets; "peers: cells computed");
        placement.set_cell_targets(cell_targets);
    }
}

/// Waits until gateways that started together have registered. If the store has changed so often since the first list of
/// gateways that there may be many, also waits until one that has read their entries sends its status, at most for a random
/// time. If all gateways of a region read many entries at the same moment, they would fill a link to another region, and every
/// other answer would be late.
async fn wait_for_others(roster: &Roster, store: &dyn ObjectStore, listed: Option<Version>) {
    compio::time::sleep(STARTUP_SETTLE_TIME).await;
    let current = current_version(store, Kind::Door).await;
    let changes = current.zip(listed).map(|(current, listed)| current.0.saturating_sub(listed.0));
    if changes.is_some_and(|it| it <= FEW_CHANGES) {
        return;
    }
    let until = Instant::now() + MAX_INTRODUCTION_WAIT.mul_f64(rand::random());
    while !roster.has_introducer() && Instant::now() < until {
        compio::time::sleep(INTRODUCTION_CHECK_INTERVAL).await;
    }
}

/// Address that a gateway has registered in the store.
pub async fn registered_address(store: &dyn ObjectStore, name: &Name) -> Option<SocketAddr> {
    let key = ObjectKey::new(Kind::Door, Name::clone(name));
    match store.call(StoreOp::Get { key }).await {
        StoreAnswer::Object(stored) => Some(parse_entry(&stored.value)?.0),
        _ => None,
    }
}

fn apply_entry(roster: &Roster, stored: &Stored) {
    match parse_entry(&stored.value) {
        Some((address, location)) => roster.register(Name::clone(&stored.name), address, location),
        None => log::warn!(peer = &*stored.name; "peers: invalid entry ignored"),
    }
}

/// Applies an entry that was written while this process watched, and answers the query that it may hold.
fn apply_change(roster: &Roster, store: &Rc<dyn ObjectStore>, stored: &Stored) {
    apply_entry(roster, stored);
    if stored.name == roster.local().name {
        return;
    }
    let presence = Presence::in_entry(&stored.value);
    roster.record_written(&stored.name, presence);
    if let Some(query) = presence.filter(|it| it.is_query) {
        let (store, roster, name) = (Rc::clone(store), roster.clone(), Name::clone(&stored.name));
        compio::runtime::spawn(presence::answer(store, roster, name, query)).detach();
    }
}

fn parse_entry(value: &[u8]) -> Option<(SocketAddr, Location)> {
    let entry: serde_json::Value = serde_json::from_slice(value).ok()?;
    let text = |key: &str| entry.get(key)?.as_str();
    let location = Location {
        region: text("region")?.into(),
        availability_zone: text("availability_zone")?.into(),
    };
    Some((text("address")?.parse().ok()?, location))
}
