//! Watches all objects of one kind in the store, starting from a list.
//!
//! After a failed call the watcher continues from the last version that it has, and if the store has dropped that part of
//! its history, it lists the kind again. It may therefore miss intermediate changes, but never the state after them.
//!
//! A watch that is sent during an outage of the store is never answered. It ends after a time that is staggered among all
//! gateways (`watch_schedule`), or earlier when another call of the process gets no answer or when a peer has seen a newer
//! change.
//!
//! In a large deployment most gateways watch through a peer of their cell, the watch relay, and query the store themselves
//! as soon as the relay fails. A watch through a narrow link may be answered late only because many answers share that link.
//! If every gateway then asked for all changes itself, the answers would grow while they are given up and asked for again, and
//! fill the link for good. So a gateway that other gateways of its cell precede checks with a small read whether the store
//! answers, and leaves the changes to them; it asks for them itself only if none of them reaches the store.

mod budget;
mod event;
mod interruption;
mod relayed;

use std::{
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use samphiredoor_core::store::{Kind, Version};
use samphiredoor_net::pool::within;

use crate::{
    lists::{Listed, ObjectList, list_all, list_pages, received_within},
    metrics::Metrics,
    mirror::{MirrorUse, Mirrors},
    peers::{WatchRelay, watch_relay},
    platform_api::{Freshness, ObjectStore, WatchAnswer},
    store_health::StoreHealth,
    watch_schedule::WatchSchedule,
};

pub use self::{
    budget::WatchBudget,
    event::{EventOrigin, EventSource, StoreEvent},
    interruption::Interruption,
};
use budget::BEHIND_TOLERANCE;

/// Base of the exponential backoff after calls without a usable answer; the first pause is twice as long.
const BACKOFF_BASE: Duration = Duration::from_millis(100);
/// Longest pause between retries. Changes that were written during an outage have to take effect soon after it.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// How long the first watch after failures waits for changes. Only an answer shows that the store is reachable again, and
/// a watch without changes is answered only at its end.
const PROBE_WAIT: Duration = Duration::from_millis(50);
/// How often a watcher that waits for another one to reach the store again checks for that.
const LOST_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for another watcher to reach the store again.
const MAX_LOST_WAIT: Duration = Duration::from_secs(3);
/// How long a watch at the store waits after the watch relay has failed. By then another gateway is the relay of the cell.
const FALLBACK_WAIT: Duration = Duration::from_millis(1_500);
/// How often a waiting watch is checked for signs that the store has dropped it.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait of a watch for the list of gateways after the start of a process. Until then the relay of its cell is unknown.
const MAX_FLEET_WAIT: Duration = Duration::from_secs(5);
/// How long the first list may send nothing before mirrors are queried. The store answers in a few milliseconds, and a
/// caller that is refused retries after some hundred.
const FIRST_LIST_IDLE_TIMEOUT: Duration = Duration::from_millis(250);
/// Pages of a first list beyond which the list is taken from a mirror. If all gateways of a region started at once and
/// read thousands of objects from a store in another region, the link between the regions would be full for many seconds.
const MAX_FIRST_LIST_PAGES: usize = 4;

/// Why the store may have dropped a watch that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StallReason {
    /// Another call of the process got no answer.
    CallLost,
    /// A peer has seen a change that this process has not.
    PeersAhead,
}

/// Result of a watch through the relay.
enum RelayWatch {
    /// The relay answered.
    Event(StoreEvent),
    /// The watch may have stalled.
    Stalled(StallReason),
    /// There is no relay, or it did not answer, or the store has to be queried directly.
    Unavailable,
}

/// Watches one kind of objects.
pub struct Watcher {
    store: Rc<dyn ObjectStore>,
    kind: Kind,
    /// Longest wait of a watch.
    max_wait: Duration,
    /// Version from which the next watch starts; `None` if a list is needed.
    since: Option<Version>,
    /// How current the next list has to be. Lists after the first one follow a loss of history and are always current.
    list_freshness: Freshness,
    /// Consecutive attempts without a usable answer.
    failures: u32,
    /// Those of them in which a call failed; in the others the store answered, and this process waits for those that precede it.
    failed_calls: u32,
    /// Whether the last attempt was one of the others.
    waits_for_others: bool,
    /// Whether the store refused one of them.
    was_refused: bool,
    /// Event to return by the next call of `next`.
    queued: Option<StoreEvent>,
    /// Whether the last event had changes, so that the next watch starts after a pause.
    had_changes: bool,
    /// Health that another watcher updates; while it shows the store as lost, this one does not retry.
    recovery_by: Option<StoreHealth>,
    health: Option<StoreHealth>,
    /// Staggers the watches with those of the peers.
    schedule: Option<WatchSchedule>,
    /// Whether the last watch was cancelled because a peer is ahead.
    is_behind: bool,
    /// Since when peers have been ahead of a watch that waits.
    behind_since: Option<Instant>,
    /// Consecutive small reads that the store has answered since it was lost.
    answered_probes: u32,
    /// Access to the relay of the cell, and a cache of what this process has seen for peers that use it as their relay.
    watch_relay: Option<WatchRelay>,
    /// Division of the time within which a change has to take effect.
    budget: WatchBudget,
    /// Until when watches wait for the list of gateways.
    fleet_wait_until: Option<Instant>,
    /// Relay of the last watch through one.
    relay: Option<SocketAddr>,
    /// When the relay last answered with changes, or was chosen.
    relayed_changes_at: Option<Instant>,
    /// Epoch of the relay in its last answer.
    relay_epoch: Option<watch_relay::RelayEpoch>,
    /// Whether the last answer came from another relay than the one before, or from one that has restarted or lost the store
    /// in between.
    relay_epoch_changed: bool,
    /// Whether the last watch through the relay got no answer.
    relay_failed: bool,
    /// Sources of the first list if the store does not answer; `None` after the first list.
    mirrors: Option<Mirrors>,
    /// Whether the first part of the first list is to be reported.
    wants_first_part: bool,
    /// Whether it was reported.
    has_first_part: bool,
    metrics: Option<Rc<Metrics>>,
    /// When the store last answered.
    answered_at: Instant,
    /// When this process last knew all changes, and the time before.
    complete_at: Instant,
    complete_before: Instant,
    /// Origin of the last event with changes.
    origin: EventOrigin,
}

impl Watcher {
    /// Creates a watcher; its first event is a list. A watch waits for changes for at most `max_wait`.
    pub fn new(store: Rc<dyn ObjectStore>, kind: Kind, max_wait: Duration) -> Watcher {
        let now = Instant::now();
        Watcher {
            store,
            kind,
            max_wait,
            since: None,
            list_freshness: Freshness::Current,
            failures: 0,
            failed_calls: 0,
            waits_for_others: false,
            was_refused: false,
            queued: None,
            had_changes: false,
            recovery_by: None,
            health: None,
            schedule: None,
            is_behind: false,
            behind_since: None,
            answered_probes: 0,
            watch_relay: None,
            budget: WatchBudget::new(Duration::ZERO),
            fleet_wait_until: None,
            relay: None,
            relayed_changes_at: None,
            relay_epoch: None,
            relay_epoch_changed: false,
            relay_failed: false,
            mirrors: None,
            wants_first_part: false,
            has_first_part: false,
            metrics: None,
            answered_at: now,
            complete_at: now,
            complete_before: now,
            origin: EventOrigin { source: EventSource::Store, complete_at: now },
        }
    }

    /// Counts answers and failures of the store in `metrics`.
    pub fn with_metrics(mut self, metrics: Rc<Metrics>) -> Watcher {
        self.metrics = Some(metrics);
        self
    }

    /// Allows the first list to be stale, which costs less. The watch from its version on reports what has changed since.
    pub fn with_stale_start(mut self) -> Watcher {
        self.list_freshness = Freshness::MayBeStale;
        self
    }

    /// Reports answers and failures to `health`, and sends a waiting watch again when another call of the process got no
    /// answer.
    pub fn with_health(mut self, health: StoreHealth) -> Watcher {
        self.health = Some(health);
        self
    }

    /// Takes the first list from a mirror if the store does not answer.
    pub fn with_mirrors(mut self, mirrors: Mirrors) -> Watcher {
        self.mirrors = Some(mirrors).filter(|it| !it.is_empty());
        self
    }

    /// Reports the first part of the list if a mirror is still reading the rest of it.
    pub fn with_first_part(mut self) -> Watcher {
        self.wants_first_part = true;
        self
    }

    /// Staggers the watches with those of the peers, and queries the store when a peer has seen a newer change. Otherwise a
    /// watch that the store has dropped hides all changes until its wait is over, possibly in all processes at once: callers
    /// are served by replaced routes, and leaving targets get new requests.
    pub fn with_schedule(mut self, schedule: WatchSchedule) -> Watcher {
        self.schedule = Some(schedule);
        self
    }

    /// Watches through the watch relay of the cell, and keeps what this process sees for peers that use it as their relay.
    /// Changes have to take effect `within` some time.
    pub fn with_watch_relay(mut self, watch_relay: WatchRelay, within: Duration) -> Watcher {
        self.watch_relay = Some(watch_relay);
        self.budget = WatchBudget::new(within);
        self
    }

    /// Starts to watch once the gateways are known, and with them the relay of the cell.
    pub fn with_wait_for_fleet(mut self) -> Watcher {
        self.fleet_wait_until = Some(Instant::now() + MAX_FLEET_WAIT);
        self
    }

    /// Pauses after changes, for a part of the time within which they have to take effect.
    pub fn with_pause_after_changes(mut self) -> Watcher {
        self.budget = self.budget.with_pause();
        self
    }

    /// Delays retries while `health`, which another watcher updates, shows the store as lost: one watcher that retries is
    /// enough.
    pub fn with_recovery_by_another(mut self, health: StoreHealth) -> Watcher {
        self.recovery_by = Some(health);
        self
    }

    /// Version up to which the events of this watcher include all changes.
    pub fn version(&self) -> Option<Version> {
        self.since
    }

    /// Origin of the last event with changes.
    pub fn origin(&self) -> EventOrigin {
        self.origin
    }

    /// Waits for the next event.
    pub async fn next(&mut self) -> StoreEvent {
        if let Some(event) = self.queued.take() {
            return event;
        }
        loop {
            if std::mem::take(&mut self.had_changes) {
                compio::time::sleep(self.budget.pause()).await;
            }
            let event = match self.since {
                None if self.mirrors.is_some() => self.first_list().await,
                None => self.list().await,
                Some(since) => self.watch(since).await,
            };
            let Some(event) = event else {
                self.failures += 1;
                self.failed_calls += u32::from(!std::mem::take(&mut self.waits_for_others));
                self.record_outage();
                if let Some(event) = self.list_from_mirror(MirrorUse::StoreLost).await {
                    if self.failures > 1 {
                        return event;
                    }
                    self.queued = Some(event);
                    return StoreEvent::Lost;
                }
                compio::time::sleep(self.backoff()).await;
                self.wait_while_lost().await;
                if self.failures == 1 {
                    return StoreEvent::Lost;
                }
                continue;
            };
            let has_content = !matches!(&event, StoreEvent::Changes(changes) if changes.is_empty());
            self.had_changes = has_content && matches!(event, StoreEvent::Changes(_));
            let interruption = self.interruption(has_content);
            (self.failures, self.failed_calls, self.was_refused) = (0, 0, false);
            (self.is_behind, self.relay_epoch_changed) = (false, false);
            self.answered_probes = 0;
            if let Some(interruption) = interruption {
                self.queued = has_content.then_some(event);
                return StoreEvent::Recovered(interruption);
            }
            if has_content {
                return event;
            }
        }
    }

    /// Notes that an answer has arrived, after which this process knows all changes so far.
    fn note_complete(&mut self, source: EventSource, has_content: bool) {
        self.complete_before = std::mem::replace(&mut self.complete_at, Instant::now());
        if has_content {
            self.origin = EventOrigin { source, complete_at: self.complete_before };
        }
    }

    /// Lists the kind at a mirror, in place of the first list; later changes come from the store.
    async fn list_from_mirror(&mut self, mirror_use: MirrorUse) -> Option<StoreEvent> {
        let copy = self.mirrors.as_ref()?.list(self.kind, mirror_use).await?;
        let list = copy.list;
        self.origin.source = EventSource::Mirror;
        if copy.is_partial {
            self.has_first_part = true;
            return Some(StoreEvent::FirstPart(list.objects));
        }
        self.mirrors = None;
        self.since = Some(list.version);
        self.list_freshness = Freshness::Current;
        self.record_list(&list.objects, list.version);
        Some(StoreEvent::Snapshot(list.objects))
    }

    /// Lists the kind, or takes the list from a mirror if it is large.
    async fn first_list(&mut self) -> Option<StoreEvent> {
        if self.failures == 0
            && let Some(event) = self.list_from_mirror(self.first_mirror_use()).await
        {
            return Some(event);
        }
        let sent = Instant::now();
        match self.first_pages().await {
            Some(Listed::All(list)) => Some(self.accept_list(list)),
            Some(Listed::TooLarge) => match self.list_from_mirror(MirrorUse::LargeList).await {
                Some(event) => Some(event),
                None => self.list().await,
            },
            None => {
                self.record_list_failure(sent);
                None
            }
        }
    }

    fn first_mirror_use(&self) -> MirrorUse {
        match (self.wants_first_part, self.has_first_part) {
            (true, true) => MirrorUse::Rest,
            (true, false) => MirrorUse::FirstPart,
            (false, _) => MirrorUse::LargeCopy,
        }
    }

    /// Reads the first pages. The first attempt gives up as soon as the store sends nothing for a while, so that a mirror can
    /// be queried. Large objects take longer to arrive, and the list of a mirror would only compete with them for bandwidth.
    async fn first_pages(&self) -> Option<Listed> {
        let store = &*self.store;
        let pages = list_pages(store, self.kind, self.list_freshness, MAX_FIRST_LIST_PAGES);
        if self.failures > 0 {
            return pages.await;
        }
        let mut pages = pin!(pages);
        loop {
            match within(FIRST_LIST_IDLE_TIMEOUT, &mut pages).await {
                Some(listed) => return listed,
                None if received_within(store, FIRST_LIST_IDLE_TIMEOUT) => {}
                None => return None,
            }
        }
    }

    async fn wait_while_lost(&self) {
        let Some(health) = &self.recovery_by else { return };
        let until = Instant::now() + MAX_LOST_WAIT;
        while health.is_lost_for(Duration::ZERO) && Instant::now() < until {
            compio::time::sleep(LOST_CHECK_INTERVAL).await;
        }
    }

    fn backoff(&self) -> Duration {
        BACKOFF_BASE.saturating_mul(1 << self.failures.min(4)).min(MAX_BACKOFF)
    }

    async fn list(&mut self) -> Option<StoreEvent> {
        let sent = Instant::now();
        let listed = list_all(&*self.store, self.kind, self.list_freshness).await;
        if listed.is_none() {
            self.record_list_failure(sent);
        }
        listed.map(|it| self.accept_list(it))
    }

    fn record_outage(&self) {
        if let Some(health) = self.health.as_ref().filter(|_| self.has_failed_repeatedly()) {
            health.record_outage();
        }
    }

    fn record_list_failure(&self, sent: Instant) {
        if let Some(health) = &self.health {
            health.record_failure(sent);
        }
    }

    fn accept_list(&mut self, list: ObjectList) -> StoreEvent {
        self.since = Some(list.version);
        self.list_freshness = Freshness::Current;
        self.mirrors = None;
        self.record_list(&list.objects, list.version);
        self.record_answer();
        self.note_complete(EventSource::Store, true);
        StoreEvent::Snapshot(list.objects)
    }

    /// Records that the store has answered. During an outage it may keep connections open, so the time since its last answer
    /// is the only sign of a watcher that receives nothing.
    fn record_answer(&mut self) {
        let unanswered = std::mem::replace(&mut self.answered_at, Instant::now()).elapsed();
        if self.failures > 0 {
            let silent_ms = unanswered.as_millis() as u64;
            log::info!(kind = self.kind.path(), silent_ms; "store: answers again");
        }
        if let Some(metrics) = &self.metrics {
            metrics.store_answered(self.kind);
        }
        if let Some(health) = &self.health {
            health.record_answer();
        }
    }

    /// Records the answer to a watch that was sent at some time.
    fn record_watch_end(&mut self, sent: Instant, answer: &WatchAnswer) {
        match answer {
            WatchAnswer::Changes { .. } | WatchAnswer::HistoryGone => {
                if let Some(metrics) = &self.metrics {
                    metrics.watch_ended(self.kind, answer.label());
                }
                self.record_answer();
            }
            WatchAnswer::Refused | WatchAnswer::NoAnswer => {
                if let Some(health) = &self.health {
                    health.record_failure(sent);
                    // The outage in which this watch was lost may have stalled the other watches of the process.
                    if self.failures == 0 && matches!(answer, WatchAnswer::NoAnswer) {
                        health.raise_suspicion();
                    }
                }
                self.record_watch_failure(sent, answer.label());
            }
        }
    }

    /// Counts a watch that ended without a usable answer, and logs the first of several consecutive ones.
    fn record_watch_failure(&self, sent: Instant, end: &'static str) {
        if let Some(metrics) = &self.metrics {
            metrics.watch_ended(self.kind, end);
        }
        if self.failures > 0 {
            return;
        }
        log::warn!(
            kind = self.kind.path(), end, waited_ms = sent.elapsed().as_millis() as u64,
            heard_ms_ago = self.answered_at.elapsed().as_millis() as u64;
            "store: watch failed"
        );
    }

    async fn watch(&mut self, since: Version) -> Option<StoreEvent> {
        if !self.wait_for_fleet().await {
            return None;
        }
        if self.failures > 0 && !self.may_resume().await {
            return None;
        }
        let mut result = match self.watch_through_relay(since).await {
            RelayWatch::Event(event) => return Some(event),
            RelayWatch::Stalled(reason) => Err(reason),
            RelayWatch::Unavailable => self.watch_store(since).await,
        };
        if matches!(result, Err(StallReason::PeersAhead)) {
            if !self.may_bypass_relay().await {
                self.behind_since = None;
                return Some(StoreEvent::Changes(Vec::new()));
            }
            self.is_behind = true;
            self.record_query();
            result = self.watch_store(since).await;
        }
        let answer = result.unwrap_or(WatchAnswer::NoAnswer);
        match answer {
            WatchAnswer::Changes { changes, version } => {
                self.record_changes(&changes, version);
                self.note_complete(EventSource::Store, !changes.is_empty());
                Some(StoreEvent::Changes(changes))
            }
            WatchAnswer::HistoryGone => {
                self.since = None;
                Some(StoreEvent::Changes(Vec::new()))
            }
            WatchAnswer::Refused => {
                self.was_refused = true;
                None
            }
            WatchAnswer::NoAnswer => None,
        }
    }

    async fn watch_store(&mut self, since: Version) -> Result<WatchAnswer, StallReason> {
        let sent = Instant::now();
        let store = Rc::clone(&self.store);
        let watch = store.watch(self.kind, since, self.next_wait());
        self.behind_since = None;
        let answer = self.until_stalled(since, watch, BEHIND_TOLERANCE).await;
        match &answer {
            Ok(answer) => self.record_watch_end(sent, answer),
            Err(reason) => self.record_stall(sent, *reason),
        }
        answer
    }

    /// Waits for the answer to a watch; fails if there are signs that the store has dropped it.
    async fn until_stalled<T>(
        &mut self,
        since: Version,
        watch: impl Future<Output = T>,
        behind_tolerance: Duration,
    ) -> Result<T, StallReason> {
        let suspicions = self.health.as_ref().map(StoreHealth::suspicions);
        let mut watch = pin!(watch);
        loop {
            if let Some(answer) = within(STALL_CHECK_INTERVAL, &mut watch).await {
                return Ok(answer);
            }
            if self.health.as_ref().map(StoreHealth::suspicions) != suspicions {
                return Err(StallReason::CallLost);
            }
            let behind = self.schedule.as_ref().is_some_and(|it| it.peers_ahead_of(since));
            if !behind {
                self.behind_since = None;
                continue;
            }
            if self.behind_since.get_or_insert_with(Instant::now).elapsed() >= behind_tolerance {
                return Err(StallReason::PeersAhead);
            }
        }
    }

    /// How long the next watch may wait for a change.
    fn next_wait(&mut self) -> Duration {
        let relay_failed = std::mem::take(&mut self.relay_failed);
        if self.failures > 0 || self.is_behind {
            return PROBE_WAIT;
        }
        if relay_failed {
            return FALLBACK_WAIT.min(self.max_wait);
        }
        self.schedule.as_ref().map_or(self.max_wait, |it| it.next_wait().min(self.max_wait))
    }

    /// Records that a watch that was sent at some time is cancelled.
    fn record_stall(&self, sent: Instant, reason: StallReason) {
        match reason {
            StallReason::CallLost => self.record_watch_failure(sent, "call_lost"),
            StallReason::PeersAhead => {
                self.record_watch_failure(sent, "others_ahead");
                if self.is_behind {
                    self.record_query();
                }
            }
        }
    }

    /// Records that the store is queried for the newest version of the peers.
    fn record_query(&self) {
        self.schedule.iter().for_each(WatchSchedule::record_query);
    }
}
