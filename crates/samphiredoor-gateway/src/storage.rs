//! The process on a storage host.
//!
//! What has to last lives in the platform's store, so a storage host keeps nothing of the system. Its process answers
//! requests to empty hosts: they are empty at any time, and every process says so for all of them. And it tells gateways
//! that start while the store is lost what it saw last (`mirror`).

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
    process::{SIGHUP, bind, side_limits, wait_for, wait_for_stop},
    watch::{StoreEvent, Watcher},
};

/// Longest wait of a watch for requests to empty hosts. A watch that the store has swallowed hides them for as long, and the
/// platform waits for the answer before it takes a host away; these processes are few, so that turns are not needed.
const RETIREMENT_WATCH: Duration = Duration::from_secs(5);
/// Pause before a status is written again that was not taken.
const WRITE_PAUSE: Duration = Duration::from_millis(300);
/// Tries for one status; whatever then fails is tried again at the next list.
const WRITE_TRIES: u32 = 20;

/// Runs until told to stop.
///
/// # Errors
///
/// What keeps it from starting.
pub fn run(
    config: &StorageConfig,
    platform: impl FnOnce(&CommonConfig) -> Platform,
) -> anyhow::Result<()> {
    let runtime = compio::runtime::Runtime::new().context("the runtime cannot start")?;
    let platform = platform(&config.common);
    runtime.block_on(async {
        let mirror = match config.mirror {
            Some(address) => serve_mirror(&platform, address).await?.to_string(),
            None => "none".to_owned(),
        };
        log::info!(name = &*config.common.name, mirror; "storage: started, keeps nothing");
        compio::runtime::spawn(ignore_reloads()).detach();
        let watch = config.common.watch.min(RETIREMENT_WATCH);
        let watcher = Watcher::new(Rc::clone(&platform.store), Kind::Retirement, watch);
        let following = std::pin::pin!(follow(platform, watcher));
        if let Either::Left(_) = select(following, std::pin::pin!(wait_for_stop())).await {
            log::error!("storage: no longer follows requests to empty hosts");
        }
        log::info!("storage: stopped");
        Ok(())
    })
}

/// Looks at what gateways need, and tells it; returns the address.
async fn serve_mirror(platform: &Platform, address: SocketAddr) -> anyhow::Result<SocketAddr> {
    let server = bind("mirror", address, side_limits()).await?;
    let address = server.local_addr()?;
    let mirror = Mirror::default();
    compio::runtime::spawn(mirror.clone().run(Rc::clone(&platform.store))).detach();
    let answer = move |request: Request<Incoming>| {
        let response = mirror.answer(request.uri());
        async move { response }
    };
    compio::runtime::spawn(server.run(answer)).detach();
    Ok(address)
}

/// A signal that nobody waits for would end the process.
async fn ignore_reloads() {
    loop {
        wait_for(SIGHUP).await;
        log::info!("storage: told to reload, its settings hold until the next start");
    }
}

async fn follow(platform: Platform, mut watcher: Watcher) {
    // Requests that were answered; the answer itself is seen as a change of the request.
    let answered: Rc<RefCell<HashSet<Name>>> = Rc::default();
    loop {
        match watcher.next().await {
            StoreEvent::Snapshot(all) => all.iter().for_each(|it| answer(&platform, &answered, it)),
            StoreEvent::Changes(changes) => changes.iter().for_each(|it| match it {
                Change::Written(stored) => answer(&platform, &answered, stored),
                Change::Deleted(name) => {
                    answered.borrow_mut().remove(name);
                }
            }),
            StoreEvent::Lost => log::warn!("storage: store lost"),
            StoreEvent::Recovered => log::info!("storage: store regained"),
        }
    }
}

fn answer(platform: &Platform, answered: &Rc<RefCell<HashSet<Name>>>, stored: &Stored) {
    let name = Name::clone(&stored.name);
    if !answered.borrow_mut().insert(Name::clone(&name)) {
        return;
    }
    let (platform, answered) = (platform.clone(), Rc::clone(answered));
    compio::runtime::spawn(async move {
        if !say_emptied(&platform, &name).await {
            log::error!(host = &*name; "storage: could not say that the host is empty");
            answered.borrow_mut().remove(&name);
        }
    })
    .detach();
}

async fn say_emptied(platform: &Platform, name: &Name) -> bool {
    for _ in 0..WRITE_TRIES {
        let key = ObjectKey::new(Kind::Retirement, Name::clone(name));
        match platform.store.set_status(key, platform.dialect.drained_status()).await {
            StoreAnswer::Object(_) | StoreAnswer::Absent => {
                log::info!(host = &**name; "storage: host is empty");
                return true;
            }
            _ => compio::time::sleep(WRITE_PAUSE).await,
        }
    }
    false
}
