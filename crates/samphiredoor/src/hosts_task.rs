//! The task that reads the platform's host list and has all doors told which targets leave.
//!
//! A few processes of the whole fleet do this for all. They tell again and again while a host leaves, so that doors
//! that start later learn of it too, and a host that stays after all is forgotten by itself. The list lags; a target
//! that refuses connections is noticed by those who use it, and whichever says first that a target leaves is believed.

use std::{collections::HashSet, net::IpAddr, rc::Rc, time::Duration};

use samphiredoor_core::{
    Name,
    hints::Hint,
    membership::rendezvous_select,
    store::{Kind, Labels, StoreAnswer, StoreOp, Stored, Version},
};
use samphiredoor_net::pool::within;
use samphiredoor_schema::objects::HostEntry;

use crate::{door::Door, metrics::PeerRefusal};

const READERS: usize = 2;
const PAGE: usize = 500;
// Doors forget what they were told after 30 s.
const RETELL: Duration = Duration::from_secs(10);
const CHECK_PAUSE: Duration = Duration::from_secs(1);

/// Reads the host list until the process ends, whenever this process is one of its readers.
pub async fn run(door: Rc<Door>) {
    loop {
        if !is_reader(&door) {
            compio::time::sleep(CHECK_PAUSE).await;
            continue;
        }
        let version = match leaving_hosts(&door).await {
            Some((leaving, version)) => {
                tell(&door, &leaving);
                version
            }
            None => {
                compio::time::sleep(CHECK_PAUSE).await;
                continue;
            }
        };
        match door.store.watch(Kind::Hosts, version).await {
            Some(mut watch) => {
                let ended = within(RETELL, watch.next()).await.is_some_and(|it| it.is_none());
                if ended {
                    compio::time::sleep(CHECK_PAUSE).await;
                }
            }
            None => compio::time::sleep(CHECK_PAUSE).await,
        }
    }
}

fn is_reader(door: &Door) -> bool {
    let live = door.peers.live();
    rendezvous_select("hosts", live.iter().map(|it| &it.name), READERS).contains(&door.config.name)
}

async fn leaving_hosts(door: &Door) -> Option<(HashSet<IpAddr>, Version)> {
    let mut leaving = HashSet::new();
    let mut after = None;
    loop {
        let op = StoreOp::List {
            kind: Kind::Hosts,
            prefix: Name::from(""),
            labels: Labels::new(),
            after,
            limit: PAGE,
        };
        let StoreAnswer::Page { items, next, version } = door.store.call(op).await else {
            return None;
        };
        leaving.extend(items.iter().filter_map(|it| leaving_address(door, it)));
        after = next;
        if after.is_none() {
            return Some((leaving, version));
        }
    }
}

fn leaving_address(door: &Door, stored: &Stored) -> Option<IpAddr> {
    let entry = serde_json::from_slice::<HostEntry>(&stored.value);
    let address = entry.as_ref().ok().and_then(|it| it.address.parse().ok());
    match (entry, address) {
        (Ok(entry), Some(address)) => entry.leaving.then_some(address),
        _ => {
            door.metrics.peer_refused(PeerRefusal::UnreadableHost);
            log::warn!("hosts: the entry of {} cannot be read", stored.name);
            None
        }
    }
}

fn tell(door: &Door, leaving: &HashSet<IpAddr>) {
    let manifest = door.manifest.current();
    for target in manifest.targets.values().filter(|it| leaving.contains(&it.address.ip())) {
        door.dispatch.leaving(Name::clone(&target.name));
        door.peers.tell_all(Hint::Leaving(Name::clone(&target.name)));
    }
}
