//! The task that reads the platform's host list and notifies all gateways of targets on leaving hosts.
//!
//! A few processes of the whole fleet read the list for all. They repeat the hints while a host is leaving, so that
//! gateways that start later receive them, too; the hints expire, so that a host that stays after all needs no message.
//! The list lags: a gateway also marks a target as leaving when it refuses connections, and the first report takes
//! effect.

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
const PAGE_LEN: usize = 500;
/// Interval of the hint that a target is leaving; it expires after 30 s.
const REPEAT_INTERVAL: Duration = Duration::from_secs(10);
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Runs the task until the process ends; it reads the list only while this process is one of the readers.
pub async fn run(door: Rc<Door>) {
    loop {
        if !is_reader(&door) {
            compio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        let version = match leaving_hosts(&door).await {
            Some((leaving, version)) => {
                broadcast_leaving(&door, &leaving);
                version
            }
            None => {
                compio::time::sleep(RETRY_DELAY).await;
                continue;
            }
        };
        match door.store.watch(Kind::Hosts, version).await {
            Some(mut watch) => {
                let ended =
                    within(REPEAT_INTERVAL, watch.next()).await.is_some_and(|it| it.is_none());
                if ended {
                    compio::time::sleep(RETRY_DELAY).await;
                }
            }
            None => compio::time::sleep(RETRY_DELAY).await,
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
            limit: PAGE_LEN,
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
            door.metrics.count_peer_refusal(PeerRefusal::UnreadableHost);
            log::warn!("hosts: the entry of {} cannot be read", stored.name);
            None
        }
    }
}

fn broadcast_leaving(door: &Door, leaving: &HashSet<IpAddr>) {
    let manifest = door.manifest.current();
    for target in manifest.targets.values().filter(|it| leaving.contains(&it.address.ip())) {
        door.dispatch.mark_leaving(Name::clone(&target.name));
        door.peers.broadcast_hint(Hint::Leaving(Name::clone(&target.name)));
    }
}
