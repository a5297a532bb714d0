//! Routes and targets, as the store tells them.

use std::{
    cell::Cell,
    collections::{BTreeMap, HashSet},
    rc::Rc,
    time::{Duration, Instant},
};

use samphiredoor_core::{Name, placement::TargetEntry, store::Stored};
use samphiredoor_net::pool::within;

use crate::{
    metrics::Metrics,
    peers::Roster,
    placement::PlacementHandle,
    platform_api::{Change, Dialect, Platform},
    routes::Routes,
    store_health::StoreHealth,
    target_client::TargetClient,
    watch::{StoreEvent, Watcher},
};

/// How long an entry that is missing after an outage of the store still counts. Entries lapse while the store is away,
/// and targets that live are back about two seconds after its return; dropping all at once would leave none to use.
const LAPSED_GRACE: Duration = Duration::from_millis(2_200);
const FOREVER: Duration = Duration::from_secs(3_600);

/// Keeps the operators' routes in force.
pub struct RoutesTask {
    /// The platform.
    pub platform: Platform,
    /// Routes in force.
    pub routes: Routes,
    /// Whether the store answers.
    pub health: StoreHealth,
    /// Counters.
    pub metrics: Rc<Metrics>,
}

impl RoutesTask {
    /// Puts in force what other gateways have, for as long as the process runs.
    pub async fn run_relay(self: Rc<Self>, relayed: flume::Receiver<Stored>) {
        while let Ok(stored) = relayed.recv_async().await {
            self.offer(stored);
        }
    }

    /// Follows the routes for as long as the process runs.
    pub async fn run(self: Rc<Self>, mut watcher: Watcher) {
        loop {
            match watcher.next().await {
                StoreEvent::Snapshot(all) => all.into_iter().for_each(|it| self.offer(it)),
                StoreEvent::Changes(changes) => changes.into_iter().for_each(|it| match it {
                    Change::Written(stored) => self.offer(stored),
                    Change::Deleted(name) => {
                        log::warn!(object = &*name; "routes: object deleted, keeping what is in force");
                    }
                }),
                StoreEvent::Lost => self.health.mark_lost(),
                StoreEvent::Recovered => self.health.mark_recovered(),
            }
        }
    }

    fn offer(&self, stored: Stored) {
        match self.platform.dialect.routes(&stored) {
            Ok(Some(table)) => {
                let (version, before, count) = (table.version, self.routes.version(), table.len());
                if self.routes.update_if_newer(table, &stored) {
                    self.metrics.routes_version(version);
                    log::info!(version, before, routes = count; "routes: in force");
                }
            }
            Ok(None) => {}
            Err(problem) => {
                self.metrics.invalid_entry("routes");
                log::warn!(object = &*stored.name, problem; "routes: cannot be read, ignored");
            }
        }
    }
}

/// Keeps the table of targets.
pub struct TargetsTask {
    /// The platform.
    pub platform: Platform,
    /// Where the targets are told.
    pub placement: PlacementHandle,
    /// Other gateways, which share the targets out.
    pub roster: Roster,
    /// Connections to targets.
    pub client: TargetClient,
    /// Number of targets that are known; `None` before the first list.
    pub known: Rc<Cell<Option<usize>>>,
    /// Counters.
    pub metrics: Rc<Metrics>,
}

impl TargetsTask {
    /// Follows the targets for as long as the process runs.
    pub async fn run(self, mut watcher: Watcher) {
        let mut table = TargetTable::default();
        loop {
            let left = table
                .next_lapse()
                .map_or(FOREVER, |it| it.saturating_duration_since(Instant::now()));
            match within(left, watcher.next()).await {
                Some(StoreEvent::Snapshot(all)) => table.replace(self.read_all(all)),
                Some(StoreEvent::Changes(changes)) => self.change(&mut table, changes),
                Some(StoreEvent::Lost) => continue,
                Some(StoreEvent::Recovered) => {
                    table.regained();
                    continue;
                }
                None => table.drop_lapsed(),
            }
            self.tell(&table);
        }
    }

    fn read_all(&self, all: Vec<Stored>) -> BTreeMap<Name, TargetEntry> {
        let entries =
            all.iter().filter_map(|it| read_entry(&*self.platform.dialect, it, &self.metrics));
        entries.map(|it| (Name::clone(&it.name), it)).collect()
    }

    fn change(&self, table: &mut TargetTable, changes: Vec<Change>) {
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

    fn tell(&self, table: &TargetTable) {
        let targets: Vec<TargetEntry> = table.entries.values().cloned().collect();
        self.metrics.targets(targets.len());
        self.known.set(Some(targets.len()));
        let names: HashSet<Name> = table.entries.keys().cloned().collect();
        self.client.keep_only(&names);
        self.roster.set_targets(targets.iter());
        self.placement.set_targets(targets);
        self.placement.set_cell_targets(self.roster.own_cell_targets());
    }
}

fn read_entry(dialect: &dyn Dialect, stored: &Stored, metrics: &Metrics) -> Option<TargetEntry> {
    match dialect.target(stored) {
        Ok(entry) => Some(entry),
        Err(problem) => {
            metrics.invalid_entry("target");
            log::warn!(target = &*stored.name, problem; "targets: entry ignored");
            None
        }
    }
}

/// All targets as discovery knows them, with those that may only have lapsed.
#[derive(Debug, Default)]
struct TargetTable {
    entries: BTreeMap<Name, TargetEntry>,
    /// Missing entries, and until when they still count.
    lapsed: BTreeMap<Name, Instant>,
    grace_until: Option<Instant>,
}

impl TargetTable {
    fn regained(&mut self) {
        self.grace_until = Some(Instant::now() + LAPSED_GRACE);
    }

    fn grace(&self) -> Option<Instant> {
        self.grace_until.filter(|it| Instant::now() < *it)
    }

    fn insert(&mut self, entry: TargetEntry) {
        self.lapsed.remove(&entry.name);
        let before = self.entries.insert(Name::clone(&entry.name), entry.clone());
        if before.as_ref().is_none_or(|it| it.state != entry.state) {
            let state = format!("{:?}", entry.state).to_lowercase();
            log::info!(target = &*entry.name, address:% = entry.address, state; "targets: changed");
        }
    }

    fn remove(&mut self, name: &Name) {
        match self.grace() {
            Some(until) if self.entries.contains_key(name) => {
                self.lapsed.insert(Name::clone(name), until);
            }
            _ => self.drop(name),
        }
    }

    fn drop(&mut self, name: &Name) {
        self.lapsed.remove(name);
        if self.entries.remove(name).is_some() {
            log::info!(target = &**name; "targets: gone");
        }
    }

    fn replace(&mut self, entries: BTreeMap<Name, TargetEntry>) {
        let missing: Vec<Name> =
            self.entries.keys().filter(|it| !entries.contains_key(*it)).cloned().collect();
        for name in &missing {
            self.remove(name);
        }
        for entry in entries.into_values() {
            self.insert(entry);
        }
    }

    fn next_lapse(&self) -> Option<Instant> {
        self.lapsed.values().min().copied()
    }

    fn drop_lapsed(&mut self) {
        let now = Instant::now();
        let over: Vec<Name> = self
            .lapsed
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(it, _)| it.clone())
            .collect();
        for name in &over {
            self.drop(name);
        }
    }
}
