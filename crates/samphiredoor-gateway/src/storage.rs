//! The process on a storage host.
//!
//! All durable data is in the platform's store, so a storage host holds no data of the system. Its process confirms the
//! platform's requests to empty a host: hosts are always empty, so every process confirms the requests for all hosts. It
//! also serves copies of the store's objects to gateways that start during an outage of the store (`mirror`).

use std::{cell::RefCell, collections::HashSet, net::SocketAddr, rc::Rc, time::Duration};

use anyhow::Context;
use futures_util::future::{Either, select};
use hyper::{Request, body::Incoming};
use samphiredoor_core::{
    Name,
    store::{Kind, ObjectKey, StoreAnswer, Stored},
};

use crate::{
    config::{CommonConfig, StorageConfig},
    mirror::Mirror,
    platform_api::{Change, Platform},
    process::{bind, internal_limits},
    signals::{SIGHUP, keep_from_ending, wait_for, wait_for_stop},
    watch::{StoreEvent, Watcher},
};

/// Longest wait of a watch for requests to empty hosts. A watch that the store has dropped hides requests for this time,
/// and the platform does not remove a host before the confirmation. There are few of these processes, so their watches
/// need not be staggered.
const RETIREMENT_WATCH: Duration = Duration::from_secs(5);
/// Pause before a failed write of a status is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Attempts to write one status. If all fail, the request is handled again when a later list has it.
const MAX_WRITE_ATTEMPTS: u32 = 20;

/// Runs the process until it gets a signal to stop.
///
/// # Errors
///
/// The runtime does not start, or the listener cannot be bound.
pub fn run(
    config: &StorageConfig,
    platform: impl FnOnce(&CommonConfig) -> Platform,
) -> anyhow::Result<()> {
    let runtime = compio::runtime::Runtime::new().context("the runtime cannot start")?;
    let platform = platform(&config.common);
    runtime.block_on(async {
        keep_from_ending(SIGHUP);
        let mirror = match config.mirror {
            Some(address) => {
                let region = Name::clone(&config.common.location.region);
                serve_mirror(&platform, address, region).await?.to_string()
            }
            None => "none".to_owned(),
        };
        log::info!(name = &*config.common.name, mirror; "storage: started, holds no data");
        compio::runtime::spawn(ignore_reload_signals()).detach();
        let watch = config.common.max_watch.min(RETIREMENT_WATCH);
        let watcher = Watcher::new(Rc::clone(&platform.store), Kind::Retirement, watch);
        let confirming = std::pin::pin!(confirm_all(platform, watcher));
        if let Either::Left(_) = select(confirming, std::pin::pin!(wait_for_stop())).await {
            log::error!("storage: no longer watches for requests to empty hosts");
        }
        log::info!("storage: stopped");
        Ok(())
    })
}

/// Starts the mirror and its listener; returns the address of the listener.
async fn serve_mirror(
    platform: &Platform,
    address: SocketAddr,
    region: Name,
) -> anyhow::Result<SocketAddr> {
    let server = bind("mirror", address, internal_limits()).await?;
    let address = server.local_addr()?;
    let mirror = Mirror::new(region, Rc::clone(&platform.store));
    compio::runtime::spawn(mirror.clone().run()).detach();
    let answer = move |request: Request<Incoming>| {
        let mirror = mirror.clone();
        async move { mirror.answer(request.uri()).await }
    };
    compio::runtime::spawn(server.run(answer)).detach();
    Ok(address)
}

/// Handles SIGHUP without effect; without a handler the signal would end the process.
async fn ignore_reload_signals() {
    loop {
        wait_for(SIGHUP).await;
        log::info!("storage: reload signal ignored, settings change at the next start");
    }
}

/// Confirms requests to empty hosts for as long as the process runs.
async fn confirm_all(platform: Platform, mut watcher: Watcher) {
    // Confirmed requests. A confirmation is itself a change of the request, and must not be confirmed again.
    let confirmed: Rc<RefCell<HashSet<Name>>> = Rc::default();
    loop {
        match watcher.next().await {
            StoreEvent::Snapshot(all) => {
                all.iter().for_each(|it| confirm(&platform, &confirmed, it))
            }
            StoreEvent::Changes(changes) => changes.iter().for_each(|it| match it {
                Change::Written(stored) => confirm(&platform, &confirmed, stored),
                Change::Deleted(name) => {
                    confirmed.borrow_mut().remove(name);
                }
            }),
            // Only requested for targets.
            StoreEvent::FirstPart(_) => {}
            StoreEvent::Lost => log::warn!("storage: store lost"),
            StoreEvent::Recovered(_) => log::info!("storage: store recovered"),
        }
    }
}

/// Spawns a task that confirms one request, unless it was confirmed before.
fn confirm(platform: &Platform, confirmed: &Rc<RefCell<HashSet<Name>>>, stored: &Stored) {
    let name = Name::clone(&stored.name);
    if !confirmed.borrow_mut().insert(Name::clone(&name)) {
        return;
    }
    let (platform, confirmed) = (platform.clone(), Rc::clone(confirmed));
    compio::runtime::spawn(async move {
        if !write_emptied(&platform, &name).await {
            log::error!(host = &*name; "storage: could not write that the host is empty");
            confirmed.borrow_mut().remove(&name);
        }
    })
    .detach();
}

/// Writes that a host is empty, with retries; returns whether it is written or the request was deleted.
async fn write_emptied(platform: &Platform, name: &Name) -> bool {
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let key = ObjectKey::new(Kind::Retirement, Name::clone(name));
        match platform.store.set_status(key, platform.dialect.drained_status()).await {
            StoreAnswer::Object(_) | StoreAnswer::Absent => {
                log::info!(host = &**name; "storage: host is empty");
                return true;
            }
            _ => compio::time::sleep(RETRY_PAUSE).await,
        }
    }
    false
}
