//! Keeps the routes and the table of targets up to date with the store.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashSet},
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
    watch::{StoreEvent, Watcher},
};

/// How long an entry that is missing after an outage of the store is kept. Entries expire during an outage, and running
/// targets register again about two seconds after it; removing all entries at once would leave no target to use.
const EXPIRY_GRACE: Duration = Duration::from_millis(2_200);
/// Targets of a list beyond which they are logged as one line: a line for each would displace all others of that second.
const MAX_LOGGED_TARGETS: usize = 100;
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
                StoreEvent::Recovered => self.health.mark_recovered(),
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
                    table.replace(self.read_all(part));
                    self.publish(&table);
                    *self.known.borrow_mut() = KnownTargets::FirstPart(table.services());
                    continue;
                }
                Some(StoreEvent::Snapshot(all)) => table.replace(self.read_all(all)),
                Some(StoreEvent::Changes(changes)) => self.apply_changes(&mut table, changes),
                Some(StoreEvent::Lost) => continue,
                Some(StoreEvent::Recovered) => {
                    table.start_grace();
                    continue;
                }
                None => table.remove_expired(),
            }
            self.publish(&table);
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
                        None => table.remove(&stored.name),
                    }
                }
                Change::Deleted(name) => table.remove(&name),
            }
        }
    }

    fn publish(&self, table: &TargetTable) {
        let targets: Vec<TargetEntry> = table.entries.values().cloned().collect();
        self.metrics.targets(targets.len());
        let names: HashSet<Name> = table.entries.keys().cloned().collect();
        self.client.keep_only(&names);
        self.roster.set_targets(targets.iter());
        self.stream_origins.set_targets(&targets);
        self.placement.set_targets(targets);
        self.placement.set_cell_targets(self.roster.own_cell_targets());
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

/// All known targets, with those whose entries may only have expired during an outage of the store.
#[derive(Debug, Default)]
struct TargetTable {
    entries: BTreeMap<Name, TargetEntry>,
    /// Entries that are missing in the store, and when they are removed.
    expiring: BTreeMap<Name, Instant>,
    grace_until: Option<Instant>,
}

impl TargetTable {
    /// Starts the grace period, in which missing entries are kept.
    fn start_grace(&mut self) {
        self.grace_until = Some(Instant::now() + EXPIRY_GRACE);
    }

    /// Services with at least one target.
    fn services(&self) -> HashSet<Name> {
        self.entries.values().map(|it| Name::clone(&it.service)).collect()
    }

    fn grace_end(&self) -> Option<Instant> {
        self.grace_until.filter(|it| Instant::now() < *it)
    }

    fn insert(&mut self, entry: TargetEntry) {
        if self.update(&entry) {
            let state = format!("{:?}", entry.state).to_lowercase();
            log::info!(target = &*entry.name, address:% = entry.address, state; "targets: changed");
        }
    }

    /// Adds or replaces an entry; returns whether it is new or its state has changed.
    fn update(&mut self, entry: &TargetEntry) -> bool {
        self.expiring.remove(&entry.name);
        let before = self.entries.insert(Name::clone(&entry.name), entry.clone());
        before.is_none_or(|it| it.state != entry.state)
    }

    /// Removes an entry, at the end of the grace period if there is one.
    fn remove(&mut self, name: &Name) {
        match self.grace_end() {
            Some(until) if self.entries.contains_key(name) => {
                self.expiring.insert(Name::clone(name), until);
            }
            _ => self.remove_now(name),
        }
    }

    fn remove_now(&mut self, name: &Name) {
        self.expiring.remove(name);
        if self.entries.remove(name).is_some() {
            log::info!(target = &**name; "targets: removed");
        }
    }

    fn replace(&mut self, entries: BTreeMap<Name, TargetEntry>) {
        let missing: Vec<Name> =
            self.entries.keys().filter(|it| !entries.contains_key(*it)).cloned().collect();
        for name in &missing {
            self.remove(name);
        }
        if entries.len() <= MAX_LOGGED_TARGETS {
            entries.into_values().for_each(|it| self.insert(it));
            return;
        }
        let listed = entries.len();
        let changed = entries.into_values().filter(|it| self.update(it)).count();
        log::info!(listed, changed, removed = missing.len(); "targets: list applied");
    }

    fn next_expiry(&self) -> Option<Instant> {
        self.expiring.values().min().copied()
    }

    fn remove_expired(&mut self) {
        let now = Instant::now();
        let expired: Vec<Name> = self
            .expiring
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(it, _)| it.clone())
            .collect();
        for name in &expired {
            self.remove_now(name);
        }
    }
}
