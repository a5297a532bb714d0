//! Entries of gateways in the store, by which they find each other.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use samphiredoor_core::{
    Name,
    dispatch::Location,
    store::{Kind, Labels, ObjectKey, StoreAnswer, StoreOp, Stored, Value},
};
use serde_json::json;

use super::{LocalGateway, Roster};
use crate::{
    placement::PlacementHandle,
    platform_api::{Change, ObjectStore},
    watch::{StoreEvent, Watcher},
};

/// Wait of a process that was not registered before it looks for the others: those that start together have registered by
/// then, and are not seen one by one.
const FOLLOW_PAUSE: Duration = Duration::from_millis(1_200);
/// Pause before registering is tried again.
const REGISTER_PAUSE: Duration = Duration::from_millis(500);

/// Registers this process until the store has it.
async fn register(own: LocalGateway, store: Rc<dyn ObjectStore>, found: Found) {
    let key = ObjectKey::new(Kind::Door, Name::clone(&own.name));
    let value: Value = entry(&own);
    loop {
        let answer = match found {
            Found::Nothing => create(&*store, &key, &value).await,
            Found::Other => replace(&*store, &key, &value).await,
            Found::Same => return,
        };
        match answer {
            StoreAnswer::Object(_) => return,
            answer => log::warn!(answer:? = answer; "peers: not registered yet"),
        }
        compio::time::sleep(REGISTER_PAUSE).await;
    }
}

/// What a list has of the own entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Found {
    Nothing,
    /// An entry of an earlier start that tells something else.
    Other,
    Same,
}

fn find(own: &LocalGateway, all: &[Stored]) -> Found {
    match all.iter().find(|it| it.name == own.name) {
        None => Found::Nothing,
        Some(stored) if read_entry(&stored.value) == read_entry(&entry(own)) => Found::Same,
        Some(_) => Found::Other,
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
    // The store may have written it in another form.
    if read_entry(&stored.value) == read_entry(value) {
        return StoreAnswer::Object(stored);
    }
    let (key, version) = (key.clone(), stored.version);
    store.call(StoreOp::Update { key, version, labels: Labels::new(), value: value.clone() }).await
}

fn entry(own: &LocalGateway) -> Value {
    let entry = json!({
        "address": own.address.to_string(),
        "region": &*own.location.region,
        "availability_zone": &*own.location.availability_zone,
    });
    entry.to_string().into_bytes().into()
}

/// Registers this process if it is not registered yet, and follows the entries of all gateways: at once after a restart, when
/// the others are registered already.
pub async fn run(
    roster: Roster,
    placement: PlacementHandle,
    store: Rc<dyn ObjectStore>,
    mut watcher: Watcher,
) {
    let mut registering = false;
    loop {
        match watcher.next().await {
            StoreEvent::Snapshot(all) => {
                all.iter().for_each(|it| take_entry(&roster, it));
                let found = find(roster.local(), &all);
                if !std::mem::replace(&mut registering, true) && found != Found::Same {
                    let register = register(roster.local().clone(), Rc::clone(&store), found);
                    compio::runtime::spawn(register).detach();
                    compio::time::sleep(FOLLOW_PAUSE).await;
                    continue;
                }
            }
            StoreEvent::Changes(changes) => changes.iter().for_each(|it| match it {
                Change::Written(stored) => take_entry(&roster, stored),
                Change::Deleted(name) => roster.remove(name),
            }),
            StoreEvent::Lost | StoreEvent::Recovered => continue,
        }
        roster.listed();
        let own_targets = roster.own_cell_targets();
        let (cells, mates, targets) =
            (roster.cells().len(), roster.mates().len(), own_targets.len());
        log::info!(cells, mates, targets; "peers: cells worked out");
        placement.set_cell_targets(own_targets);
    }
}

/// Where a gateway listens, as it has registered in the store.
pub async fn registered_address(store: &dyn ObjectStore, name: &Name) -> Option<SocketAddr> {
    let key = ObjectKey::new(Kind::Door, Name::clone(name));
    match store.call(StoreOp::Get { key }).await {
        StoreAnswer::Object(stored) => Some(read_entry(&stored.value)?.0),
        _ => None,
    }
}

fn take_entry(roster: &Roster, stored: &Stored) {
    match read_entry(&stored.value) {
        Some((address, location)) => roster.register(Name::clone(&stored.name), address, location),
        None => log::warn!(peer = &*stored.name; "peers: entry ignored"),
    }
}

fn read_entry(value: &[u8]) -> Option<(SocketAddr, Location)> {
    let entry: serde_json::Value = serde_json::from_slice(value).ok()?;
    let text = |key: &str| entry.get(key)?.as_str();
    let location = Location {
        region: text("region")?.into(),
        availability_zone: text("availability_zone")?.into(),
    };
    Some((text("address")?.parse().ok()?, location))
}
