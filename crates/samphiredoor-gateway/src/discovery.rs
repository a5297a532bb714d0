//! Keeps the routes and the table of targets up to date with the store.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use samphiredoor_core::{Name, placement::TargetEntry, store::Stored};
use samphiredoor_net::pool::within;

use crate::{
    metrics::Metrics,
    peers::{Roster, StreamOrigins},
    placement::PlacementHandle,
    platform_api::{Change, Dialect, Platform},
    readiness::KnownTargets,
    routes::Routes,
    store_health::StoreHealth,
    target_client::TargetClient,
    target_table::TargetTable,
    watch::{EventOrigin, StoreEvent, Watcher},
};

/// Wait while no entry is about to expire; any event ends it.
const FOREVER: Duration = Duration::from_secs(3_600);

/// Keeps the active routes up to date.
pub struct RoutesTask {
    /// Store and formats of the platform.
    pub platform: Platform,
    /// Active routes.
    pub routes: Routes,
    /// Updated with the state of the store that the watcher of the routes reports.
    pub health: StoreHealth,
    /// Metrics of the process.
    pub metrics: Rc<Metrics>,
}

impl RoutesTask {
    /// Activates newer routes that peers send, for as long as the process runs.
    pub async fn run_peer_routes(self: Rc<Self>, from_peers: flume::Receiver<Stored>) {
        while let Ok(stored) = from_peers.recv_async().await {
            self.activate(stored);
        }
    }

    /// Watches the routes in the store for as long as the process runs.
    pub async fn run(self: Rc<Self>, mut watcher: Watcher) {
        loop {
            match watcher.next().await {
                StoreEvent::Snapshot(all) => all.into_iter().for_each(|it| self.activate(it)),
                StoreEvent::Changes(changes) => changes.into_iter().for_each(|it| match it {
                    Change::Written(stored) => self.activate(stored),
                    Change::Deleted(name) => {
                        log::warn!(object = &*name; "routes: object deleted, keeping the active routes");
                    }
                }),
                // Only requested for targets.
                StoreEvent::FirstPart(_) => {}
                StoreEvent::Lost => self.health.mark_lost(),
                StoreEvent::Recovered(_) => self.health.mark_recovered(),
            }
        }
    }

    /// Activates the routes of a stored object if they are newer than the active ones.
    fn activate(&self, stored: Stored) {
        match self.platform.dialect.routes(&stored) {
            Ok(Some(table)) => {
                let (version, before, count) = (table.version, self.routes.version(), table.len());
                if self.routes.update_if_newer(table, &stored) {
                    self.metrics.routes_version(version);
                    log::info!(version, before, routes = count; "routes: activated");
                }
            }
            Ok(None) => {}
            Err(problem) => {
                self.metrics.invalid_entry("routes");
                log::warn!(object = &*stored.name, problem; "routes: invalid object ignored");
            }
        }
    }
}

/// Keeps the table of targets up to date.
pub struct TargetsTask {
    /// Store and formats of the platform.
    pub platform: Platform,
    /// Placement, which gets every new version of the table.
    pub placement: PlacementHandle,
    /// Known gateways, from which the targets of the own cell are computed.
    pub roster: Roster,
    /// Connections to targets; those to removed targets are closed.
    pub client: TargetClient,
    /// Updated with what is known of the targets.
    pub known: Rc<RefCell<KnownTargets>>,
    /// Remembers the software versions of targets.
    pub stream_origins: StreamOrigins,
    /// Metrics of the process.
    pub metrics: Rc<Metrics>,
}

impl TargetsTask {
    /// Watches the targets in the store for as long as the process runs.
    pub async fn run(self, mut watcher: Watcher) {
        let mut table = TargetTable::default();
        loop {
            let left = table
                .next_expiry()
                .map_or(FOREVER, |it| it.saturating_duration_since(Instant::now()));
            match within(left, watcher.next()).await {
                Some(StoreEvent::FirstPart(part)) => {
                    table.replace(self.read_all(part), Instant::now());
                    self.publish(&table, watcher.origin());
                    *self.known.borrow_mut() = KnownTargets::FirstPart(table.services());
                    continue;
                }
                Some(StoreEvent::Snapshot(all)) => {
                    table.replace(self.read_all(all), Instant::now());
                }
                Some(StoreEvent::Changes(changes)) => self.apply_changes(&mut table, changes),
                Some(StoreEvent::Lost) => continue,
                Some(StoreEvent::Recovered(interruption)) => {
                    table.start_grace(interruption, Instant::now());
                    continue;
                }
                None => table.remove_expired(Instant::now()),
            }
            self.publish(&table, watcher.origin());
            *self.known.borrow_mut() = KnownTargets::All;
        }
    }

    fn read_all(&self, all: Vec<Stored>) -> BTreeMap<Name, TargetEntry> {
        let entries =
            all.iter().filter_map(|it| read_entry(&*self.platform.dialect, it, &self.metrics));
        entries.map(|it| (Name::clone(&it.name), it)).collect()
    }

    fn apply_changes(&self, table: &mut TargetTable, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Written(stored) => {
                    match read_entry(&*self.platform.dialect, &stored, &self.metrics) {
                        Some(entry) => table.insert(entry),
                        None => table.remove(&stored.name, Instant::now()),
                    }
                }
                Change::Deleted(name) => table.remove(&name, Instant::now()),
            }
        }
    }

    fn publish(&self, table: &TargetTable, origin: EventOrigin) {
        let targets: Vec<TargetEntry> = table.entries().values().cloned().collect();
        self.metrics.targets(targets.len());
        let departed = self.client.set_targets(&targets);
        if departed > 0 {
            self.note_departures(departed, origin);
        }
        self.roster.set_targets(targets.iter());
        self.stream_origins.set_targets(&targets);
        self.placement.set_targets(targets);
        self.placement.set_cell_targets(self.roster.own_cell_targets());
    }

    /// Reports that targets get no more requests from now on, and how long ago they may have left at most.
    fn note_departures(&self, departed: usize, origin: EventOrigin) {
        let left_ago = origin.complete_at.elapsed();
        self.metrics.departures(left_ago);
        log::info!(
            departed, at_most_ms_ago = left_ago.as_millis() as u64, source = origin.source.label();
            "targets: departures applied"
        );
    }
}

fn read_entry(dialect: &dyn Dialect, stored: &Stored, metrics: &Metrics) -> Option<TargetEntry> {
    match dialect.target(stored) {
        Ok(entry) => Some(entry),
        Err(problem) => {
            metrics.invalid_entry("target");
            log::warn!(target = &*stored.name, problem; "targets: invalid entry ignored");
            None
        }
    }
}
