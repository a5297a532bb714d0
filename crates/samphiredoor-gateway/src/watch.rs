//! Following all objects of one kind in the store.
//!
//! A follower lists a kind once and then watches it. Whenever the history that it needs is gone, or the store did not
//! answer, it goes on from what it has, or lists anew; so it may miss changes in between, but never the state that
//! stands after them.
//!
//! A watch that was asked while the store was silent is never answered. It ends in its turn (`renewal`), or sooner when
//! another call of the process gets no answer, or when another process has seen a change that this one has not.
//!
//! In a large fleet most processes watch through another one, and ask the store as soon as that one fails them.

use std::{
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use samphiredoor_core::{
    Name,
    store::{Kind, Stored, Version},
    watch_cache::Delta,
};
use samphiredoor_net::pool::within;

use crate::{
    fleet::Fleet,
    metrics::Metrics,
    mirror::Mirrors,
    peers::{
        WatchRelay,
        watch_relay::{self, RelayedChanges},
    },
    platform_api::{Change, Freshness, ObjectStore, WatchAnswer},
    store_health::StoreHealth,
};

/// First pause after a call that got no usable answer.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause: what was accepted while the store could not be reached has to be in force soon after.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Wait of the first watch after failures. An answer is what shows that the store is back, and a watch gives none while
/// nothing changes.
const RETURNING_WAIT: Duration = Duration::from_millis(50);
/// Part of the time within which a change has to be in force for which a follower rests after changes. Changes come in
/// rows, as when all targets of a service are replaced, and each watch is a call that is paid for.
const REST_PART: f64 = 0.4;
/// How often a follower that waits for another one to reach the store looks.
const GATE_PAUSE: Duration = Duration::from_millis(100);
/// Longest wait for that.
const GATE_LIMIT: Duration = Duration::from_secs(3);
/// Wait of a watch in the place of one through another process that did not answer; by then another one speaks for the
/// cell.
const INSTEAD_WAIT: Duration = Duration::from_millis(1_500);
/// Part of the time within which a change has to be in force for which a watch through another process waits; one that is
/// silent is found out in it.
const RELAYED_PART: f64 = 0.4;
/// How often a watch that waits looks whether it may be deaf.
const DOUBT_PAUSE: Duration = Duration::from_millis(250);
/// Looks in a row at which others have to be ahead; the word of a change may come from them a little sooner than from the
/// store.
const LOOKS_BEHIND: u32 = 2;
/// How long the first list is waited for before others are asked what they saw last. The store answers in a few
/// milliseconds, and a caller that is refused comes back within some hundred.
const FIRST_LIST_PATIENCE: Duration = Duration::from_millis(250);

/// What a follower learns.
#[derive(Debug, Clone)]
pub enum StoreEvent {
    /// All objects of the kind, as they stood at one moment.
    Snapshot(Vec<Stored>),
    /// Changes since, in order.
    Changes(Vec<Change>),
    /// The store gives no usable answers from now on.
    Lost,
    /// The store answers again; [`StoreEvent::Snapshot`] or [`StoreEvent::Changes`] may follow.
    Recovered,
}

/// Why a watch that waits may be deaf.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Doubt {
    /// Another call of the process got no answer.
    CallLost,
    /// Another process has seen a change that this one has not.
    OthersAhead,
}

/// What became of a watch through another process.
enum Relayed {
    /// It told this.
    Seen(StoreEvent),
    /// It may be deaf.
    Doubted(Doubt),
    /// There is none, or it did not answer, or the store has to be asked.
    Not,
}

/// Follows one kind of objects.
pub struct Watcher {
    store: Rc<dyn ObjectStore>,
    kind: Kind,
    wait: Duration,
    since: Option<Version>,
    /// How current the first list has to be; later ones are read because history was missed.
    first_list: Freshness,
    failures: u32,
    queued: Option<StoreEvent>,
    changed: bool,
    rest: Duration,
    gate: Option<StoreHealth>,
    health: Option<StoreHealth>,
    /// The other processes that follow the kind.
    fleet: Option<Fleet>,
    /// Whether the last watch was given up because another process is ahead.
    behind: bool,
    /// What this process has seen, and the one through which it may watch.
    watch_relay: Option<WatchRelay>,
    relayed_wait: Duration,
    /// Process that was last watched through.
    relay: Option<SocketAddr>,
    /// Who told the last changes that came through another process.
    told_by: Option<watch_relay::RelayEpoch>,
    /// Whether that one has missed the store since, or is another one.
    relay_regained: bool,
    /// Whether the process that was to be watched through has just not answered.
    relay_silent: bool,
    /// Who is asked for the first list if the store does not answer; nobody after it.
    mirrors: Option<Mirrors>,
    metrics: Option<Rc<Metrics>>,
    /// When the store last answered.
    heard: Instant,
}

impl Watcher {
    /// Watcher that has seen nothing. A watch waits for events at most for `wait`.
    pub fn new(store: Rc<dyn ObjectStore>, kind: Kind, wait: Duration) -> Watcher {
        Watcher {
            store,
            kind,
            wait,
            since: None,
            first_list: Freshness::Current,
            failures: 0,
            queued: None,
            changed: false,
            rest: Duration::ZERO,
            gate: None,
            health: None,
            fleet: None,
            behind: false,
            watch_relay: None,
            relayed_wait: Duration::ZERO,
            relay: None,
            told_by: None,
            relay_regained: false,
            relay_silent: false,
            mirrors: None,
            metrics: None,
            heard: Instant::now(),
        }
    }

    /// Has the follower count what it hears of the store.
    pub fn with_metrics(mut self, metrics: Rc<Metrics>) -> Watcher {
        self.metrics = Some(metrics);
        self
    }

    /// Has the first list be one that may be stale, and costs little. The watch from its version on tells what has changed
    /// since.
    pub fn with_stale_start(mut self) -> Watcher {
        self.first_list = Freshness::MayBeStale;
        self
    }

    /// Has a watch that waits be asked anew when another call of the process got no answer.
    pub fn with_health(mut self, health: StoreHealth) -> Watcher {
        self.health = Some(health);
        self
    }

    /// Has the first list come from a mirror if the store does not answer.
    pub fn with_mirrors(mut self, mirrors: Mirrors) -> Watcher {
        self.mirrors = Some(mirrors).filter(|it| !it.is_empty());
        self
    }

    /// Has the follower take turns with the other processes that follow the kind, and ask anew when one of them has seen
    /// more. Without it a watch that the store has swallowed hides all changes for as long as it may wait, from every process
    /// at once: callers are served by routes that were replaced, and targets that leave get new requests.
    pub fn with_fleet(mut self, fleet: Fleet) -> Watcher {
        self.fleet = Some(fleet);
        self
    }

    /// Has the follower watch through the process that follows the store for its cell, and keep what it sees for others. A
    /// change has to be in force `within` some time.
    pub fn with_watch_relay(mut self, watch_relay: WatchRelay, within: Duration) -> Watcher {
        self.watch_relay = Some(watch_relay);
        self.relayed_wait = within.mul_f64(RELAYED_PART);
        self
    }

    /// Has the follower rest after changes, for a part of the time within which a change has to be in force.
    pub fn with_rest_after_changes(mut self, within: Duration) -> Watcher {
        self.rest = within.mul_f64(REST_PART);
        self
    }

    /// Has the follower wait while the store is known to be lost: one follower that tries is enough.
    pub fn with_gate(mut self, gate: StoreHealth) -> Watcher {
        self.gate = Some(gate);
        self
    }

    /// Waits for the next thing to learn.
    pub async fn next(&mut self) -> StoreEvent {
        if let Some(seen) = self.queued.take() {
            return seen;
        }
        loop {
            if std::mem::take(&mut self.changed) {
                compio::time::sleep(self.rest).await;
            }
            let seen = match self.since {
                None if self.failures == 0 && self.mirrors.is_some() => {
                    self.list_while_it_comes().await
                }
                None => self.list().await,
                Some(since) => self.watch(since).await,
            };
            let Some(seen) = seen else {
                self.failures += 1;
                if let Some(seen) = self.mirrored().await {
                    if self.failures > 1 {
                        return seen;
                    }
                    self.queued = Some(seen);
                    return StoreEvent::Lost;
                }
                compio::time::sleep(self.pause()).await;
                self.wait_at_gate().await;
                if self.failures == 1 {
                    return StoreEvent::Lost;
                }
                continue;
            };
            let news = !matches!(&seen, StoreEvent::Changes(changes) if changes.is_empty());
            self.changed = news && matches!(seen, StoreEvent::Changes(_));
            // News that only others told of had been missed: entries may have lapsed with the store, as after a failure.
            let was_deaf = std::mem::take(&mut self.behind) && news;
            let relay_regained = std::mem::take(&mut self.relay_regained);
            if std::mem::take(&mut self.failures) > 0 || was_deaf || relay_regained {
                self.queued = news.then_some(seen);
                return StoreEvent::Recovered;
            }
            if news {
                return seen;
            }
        }
    }

    /// What a mirror tells in the place of the first list; the store tells what has changed since.
    async fn mirrored(&mut self) -> Option<StoreEvent> {
        let list = self.mirrors.as_ref()?.list(self.kind).await?;
        self.mirrors = None;
        self.since = Some(list.version);
        self.first_list = Freshness::Current;
        self.note_listed(&list.objects, list.version);
        Some(StoreEvent::Snapshot(list.objects))
    }

    /// The first list, given up as soon as nothing of it comes, so that a mirror is asked. A large one comes for a while, and a
    /// mirror's would only share the line with it.
    async fn list_while_it_comes(&mut self) -> Option<StoreEvent> {
        let store = Rc::clone(&self.store);
        let mut list = pin!(self.list());
        loop {
            match within(FIRST_LIST_PATIENCE, &mut list).await {
                Some(listed) => return listed,
                None if received_within(&*store, FIRST_LIST_PATIENCE) => {}
                None => return None,
            }
        }
    }

    async fn wait_at_gate(&self) {
        let Some(gate) = &self.gate else { return };
        let until = Instant::now() + GATE_LIMIT;
        while gate.is_lost_for(Duration::ZERO) && Instant::now() < until {
            compio::time::sleep(GATE_PAUSE).await;
        }
    }

    fn pause(&self) -> Duration {
        FIRST_PAUSE.saturating_mul(1 << self.failures.min(4)).min(LONGEST_PAUSE)
    }

    async fn list(&mut self) -> Option<StoreEvent> {
        let asked = Instant::now();
        let listed = list_all(&*self.store, self.kind, self.first_list).await;
        if let (None, Some(health)) = (&listed, &self.health) {
            health.record_failure(asked);
        }
        let (all, version) = listed?;
        self.since = Some(version);
        self.first_list = Freshness::Current;
        self.mirrors = None;
        self.note_listed(&all, version);
        self.heard();
        Some(StoreEvent::Snapshot(all))
    }

    /// Notes that the store has answered. A store that falls silent cuts no connection, and nothing else shows a follower
    /// that hears nothing any more.
    fn heard(&mut self) {
        let silent = std::mem::replace(&mut self.heard, Instant::now()).elapsed();
        if self.failures > 0 {
            let silent_ms = silent.as_millis() as u64;
            log::info!(kind = self.kind.path(), silent_ms; "store: heard again");
        }
        if let Some(metrics) = &self.metrics {
            metrics.store_heard(self.kind);
        }
        if let Some(health) = &self.health {
            health.record_answer();
        }
    }

    /// Notes how a watch ended that was asked at some moment.
    fn watch_ended(&mut self, asked: Instant, answer: &WatchAnswer) {
        match answer {
            WatchAnswer::Changes { .. } | WatchAnswer::HistoryGone => {
                if let Some(metrics) = &self.metrics {
                    metrics.watch_ended(self.kind, answer.label());
                }
                self.heard();
            }
            WatchAnswer::Refused | WatchAnswer::NoAnswer => {
                if let Some(health) = &self.health {
                    health.record_failure(asked);
                    // What swallowed this watch may have swallowed the others of the process.
                    if self.failures == 0 && matches!(answer, WatchAnswer::NoAnswer) {
                        health.raise_suspicion();
                    }
                }
                self.watch_failed(asked, answer.label());
            }
        }
    }

    /// Notes that a watch ended without a usable answer; the first of a row is logged.
    fn watch_failed(&self, asked: Instant, end: &'static str) {
        if let Some(metrics) = &self.metrics {
            metrics.watch_ended(self.kind, end);
        }
        if self.failures > 0 {
            return;
        }
        log::warn!(
            kind = self.kind.path(), end, waited_ms = asked.elapsed().as_millis() as u64,
            heard_ms_ago = self.heard.elapsed().as_millis() as u64;
            "store: watch failed"
        );
    }

    async fn watch(&mut self, since: Version) -> Option<StoreEvent> {
        let mut asked = match self.watch_relayed(since).await {
            Relayed::Seen(seen) => return Some(seen),
            Relayed::Doubted(doubt) => Err(doubt),
            Relayed::Not => self.watch_store(since).await,
        };
        if matches!(asked, Err(Doubt::OthersAhead)) {
            self.behind = true;
            asked = self.watch_store(since).await;
        }
        let answer = asked.unwrap_or(WatchAnswer::NoAnswer);
        match answer {
            WatchAnswer::Changes { changes, version } => {
                self.note_changes(&changes, version);
                Some(StoreEvent::Changes(changes))
            }
            WatchAnswer::HistoryGone => {
                self.since = None;
                Some(StoreEvent::Changes(Vec::new()))
            }
            WatchAnswer::Refused | WatchAnswer::NoAnswer => None,
        }
    }

    /// Watches through the process that follows the store for this one, unless there is a reason to ask the store.
    async fn watch_relayed(&mut self, since: Version) -> Relayed {
        if self.failures > 0 || self.behind {
            return Relayed::Not;
        }
        let Some(watch_relay) = self.watch_relay.clone() else { return Relayed::Not };
        let Some(address) = watch_relay.relay_address() else { return Relayed::Not };
        if self.relay.replace(address) != Some(address) {
            log::info!(kind = self.kind.path(), peer:% = address; "store: watched through another gateway");
        }
        let (asked, wait) = (Instant::now(), self.relayed_wait);
        let watch = watch_relay.watch(address, self.kind, since, wait);
        match self.until_doubted(since, watch).await {
            Ok(Some(told)) => Relayed::Seen(self.take_told(told)),
            Ok(None) => {
                self.watch_failed(asked, "relay_silent");
                self.relay_silent = true;
                Relayed::Not
            }
            Err(doubt) => {
                self.doubted(asked, doubt);
                Relayed::Doubted(doubt)
            }
        }
    }

    /// Takes what another process has seen. One that has missed the store meanwhile may tell of entries that have lapsed.
    fn take_told(&mut self, told: RelayedChanges) -> StoreEvent {
        let before = self.told_by.replace(told.epoch);
        self.relay_regained = before.is_some_and(|it| it != told.epoch);
        match told.delta {
            Delta::None => StoreEvent::Changes(Vec::new()),
            Delta::Changed { objects, version } => {
                let changes = objects.into_iter().map(|(name, stored)| match stored {
                    Some(stored) => Change::Written(stored),
                    None => Change::Deleted(name),
                });
                let changes: Vec<Change> = changes.collect();
                self.note_changes(&changes, version);
                StoreEvent::Changes(changes)
            }
            Delta::Snapshot { objects, version } => {
                self.note_listed(&objects, version);
                self.since = Some(version);
                StoreEvent::Snapshot(objects)
            }
        }
    }

    fn note_listed(&self, all: &[Stored], version: Version) {
        if let Some(fleet) = &self.fleet {
            fleet.listed(all);
        }
        if let Some(watch_relay) = &self.watch_relay {
            self.note_regained(watch_relay);
            watch_relay.record_list(self.kind, all, version);
        }
    }

    fn note_changes(&mut self, changes: &[Change], version: Version) {
        self.since = Some(version);
        if let Some(fleet) = &self.fleet {
            fleet.watched(changes, version);
        }
        if let Some(watch_relay) = &self.watch_relay {
            self.note_regained(watch_relay);
            watch_relay.record_changes(self.kind, changes, version);
        }
    }

    /// Those that watch through this process have to know that it had missed the store, before they see what has lapsed.
    fn note_regained(&self, watch_relay: &WatchRelay) {
        if self.failures > 0 || self.behind || self.relay_regained {
            watch_relay.record_store_outage(self.kind);
        }
    }

    async fn watch_store(&mut self, since: Version) -> Result<WatchAnswer, Doubt> {
        let asked = Instant::now();
        let store = Rc::clone(&self.store);
        let watch = store.watch(self.kind, since, self.wait());
        let answer = self.until_doubted(since, watch).await;
        match &answer {
            Ok(answer) => self.watch_ended(asked, answer),
            Err(doubt) => self.doubted(asked, *doubt),
        }
        answer
    }

    /// Waits for the end of a watch, until it may be deaf.
    async fn until_doubted<T>(
        &self,
        since: Version,
        watch: impl Future<Output = T>,
    ) -> Result<T, Doubt> {
        let doubts = self.health.as_ref().map(StoreHealth::suspicions);
        let mut watch = pin!(watch);
        let mut looks_behind = 0;
        loop {
            if let Some(answer) = within(DOUBT_PAUSE, &mut watch).await {
                return Ok(answer);
            }
            if self.health.as_ref().map(StoreHealth::suspicions) != doubts {
                return Err(Doubt::CallLost);
            }
            let behind = self.fleet.as_ref().is_some_and(|it| it.is_ahead_of(since));
            looks_behind = if behind { looks_behind + 1 } else { 0 };
            if looks_behind >= LOOKS_BEHIND {
                return Err(Doubt::OthersAhead);
            }
        }
    }

    /// How long the next watch may wait for a change.
    fn wait(&mut self) -> Duration {
        let relay_silent = std::mem::take(&mut self.relay_silent);
        if self.failures > 0 || self.behind {
            return RETURNING_WAIT;
        }
        if relay_silent {
            return INSTEAD_WAIT.min(self.wait);
        }
        self.fleet.as_ref().map_or(self.wait, |it| it.wait().min(self.wait))
    }

    /// Notes that a watch is given up that was asked at some moment.
    fn doubted(&self, asked: Instant, doubt: Doubt) {
        match (doubt, &self.fleet) {
            (Doubt::CallLost, _) => self.watch_failed(asked, "call_lost"),
            (Doubt::OthersAhead, fleet) => {
                self.watch_failed(asked, "others_ahead");
                fleet.iter().for_each(Fleet::ask);
            }
        }
    }
}

/// Whether something of an answer of the store has come lately.
pub fn received_within(store: &dyn ObjectStore, lately: Duration) -> bool {
    store.last_received_at().is_some_and(|it| it.elapsed() < lately)
}

/// Reads all pages of a kind, and the version from which a watch goes on; `None` if a page could not be read.
///
/// Changes between the pages are seen again from the oldest page's version on: those of a list that may be stale can be of
/// any age.
pub async fn list_all(
    store: &dyn ObjectStore,
    kind: Kind,
    freshness: Freshness,
) -> Option<(Vec<Stored>, Version)> {
    let first = store.list(kind, None, freshness).await?;
    let (mut all, mut version, mut has_more) = (first.items, first.version, first.has_more);
    while has_more && let Some(last) = all.last() {
        let page = store.list(kind, Some(Name::clone(&last.name)), freshness).await?;
        has_more = page.has_more && !page.items.is_empty();
        version = version.min(page.version);
        all.extend(page.items);
    }
    Some((all, version))
}
