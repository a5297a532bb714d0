//! Following all objects of one kind in the store.
//!
//! A follower lists a kind once and then watches it. Whenever the history that it needs is gone, or the store did not
//! answer, it goes on from what it has, or lists anew; so it may miss changes in between, but never the state that
//! stands after them.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use samphiredoor_core::{
    Name,
    store::{Kind, Stored, Version},
};
use samphiredoor_net::pool::within;

use crate::{
    discovery::StoreHealth,
    edge::{Change, Freshness, ObjectStore, WatchAnswer},
    metrics::Metrics,
    mirror::Mirrors,
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
/// How often a watch that waits looks whether another call got no answer.
const DOUBT_PAUSE: Duration = Duration::from_millis(500);
/// How long the first list is waited for before others are asked what they saw last. The store answers in a few
/// milliseconds, and a caller that is refused comes back within some hundred.
const FIRST_LIST_PATIENCE: Duration = Duration::from_millis(250);

/// What a follower learns.
#[derive(Debug, Clone)]
pub enum Seen {
    /// All objects of the kind, as they stood at one moment.
    All(Vec<Stored>),
    /// Changes since, in order.
    Changes(Vec<Change>),
    /// The store gives no usable answers from now on.
    Lost,
    /// The store answers again; [`Seen::All`] or [`Seen::Changes`] may follow.
    Regained,
}

/// Follows one kind of objects.
pub struct Follower {
    store: Rc<dyn ObjectStore>,
    kind: Kind,
    wait: Duration,
    since: Option<Version>,
    failures: u32,
    queued: Option<Seen>,
    changed: bool,
    rest: Duration,
    gate: Option<StoreHealth>,
    health: Option<StoreHealth>,
    /// Who is asked for the first list if the store does not answer; taken when it was asked.
    mirrors: Option<Mirrors>,
    metrics: Option<Rc<Metrics>>,
    /// When the store last answered.
    heard: Instant,
}

impl Follower {
    /// Follower that has seen nothing. A watch waits for events at most for `wait`.
    pub fn new(store: Rc<dyn ObjectStore>, kind: Kind, wait: Duration) -> Follower {
        Follower {
            store,
            kind,
            wait,
            since: None,
            failures: 0,
            queued: None,
            changed: false,
            rest: Duration::ZERO,
            gate: None,
            health: None,
            mirrors: None,
            metrics: None,
            heard: Instant::now(),
        }
    }

    /// Has the follower count what it hears of the store.
    pub fn with_metrics(mut self, metrics: Rc<Metrics>) -> Follower {
        self.metrics = Some(metrics);
        self
    }

    /// Has a watch that waits be asked anew when another call of the process got no answer. A store that falls silent cuts no
    /// connection, and a watch that was waiting hears nothing when it is back, for as long as it may wait: routes that were
    /// accepted meanwhile were in force nowhere 5 s later.
    pub fn with_health(mut self, health: StoreHealth) -> Follower {
        self.health = Some(health);
        self
    }

    /// Has the first list come from a mirror if the store does not answer.
    pub fn with_mirrors(mut self, mirrors: Mirrors) -> Follower {
        self.mirrors = Some(mirrors).filter(|it| !it.is_empty());
        self
    }

    /// Sets within which time a change has to be in force; the follower rests for a part of it after changes.
    pub fn with_in_force_within(mut self, within: Duration) -> Follower {
        self.rest = within.mul_f64(REST_PART);
        self
    }

    /// Has the follower wait while the store is known to be lost: one follower that tries is enough.
    pub fn with_gate(mut self, gate: StoreHealth) -> Follower {
        self.gate = Some(gate);
        self
    }

    /// Waits for the next thing to learn.
    pub async fn next(&mut self) -> Seen {
        if let Some(seen) = self.queued.take() {
            return seen;
        }
        if let Some(seen) = self.first().await {
            return seen;
        }
        loop {
            if std::mem::take(&mut self.changed) {
                compio::time::sleep(self.rest).await;
            }
            let seen = match self.since {
                None => self.list().await,
                Some(since) => self.watch(since).await,
            };
            let Some(seen) = seen else {
                self.failures += 1;
                compio::time::sleep(self.pause()).await;
                self.wait_at_gate().await;
                if self.failures == 1 {
                    return Seen::Lost;
                }
                continue;
            };
            let news = !matches!(&seen, Seen::Changes(changes) if changes.is_empty());
            self.changed = news && matches!(seen, Seen::Changes(_));
            if std::mem::take(&mut self.failures) > 0 {
                self.queued = news.then_some(seen);
                return Seen::Regained;
            }
            if news {
                return seen;
            }
        }
    }

    /// The first list, from the store or from a mirror; the store is listed anew after a mirror's.
    async fn first(&mut self) -> Option<Seen> {
        let mirrors = self.mirrors.take()?;
        match within(FIRST_LIST_PATIENCE, self.list()).await.flatten() {
            Some(seen) => Some(seen),
            None => mirrors.list(self.kind).await.map(Seen::All),
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

    async fn list(&mut self) -> Option<Seen> {
        let (all, version) = list_all(&*self.store, self.kind, Freshness::Current).await?;
        self.since = Some(version);
        self.heard();
        Some(Seen::All(all))
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
    }

    /// Notes how a watch ended that was asked at some moment; the first of a row without an answer is logged.
    fn watch_ended(&mut self, asked: Instant, answer: &WatchAnswer) {
        if let Some(metrics) = &self.metrics {
            metrics.watch_ended(self.kind, answer.label());
        }
        match answer {
            WatchAnswer::Changes { .. } | WatchAnswer::HistoryGone => self.heard(),
            WatchAnswer::Refused | WatchAnswer::NoAnswer if self.failures == 0 => log::warn!(
                kind = self.kind.path(), end = answer.label(),
                waited_ms = asked.elapsed().as_millis() as u64,
                heard_ms_ago = self.heard.elapsed().as_millis() as u64;
                "store: watch failed"
            ),
            WatchAnswer::Refused | WatchAnswer::NoAnswer => {}
        }
    }

    async fn watch(&mut self, since: Version) -> Option<Seen> {
        let wait = if self.failures > 0 { RETURNING_WAIT } else { self.wait };
        let asked = Instant::now();
        let answer = match &self.health {
            Some(health) => undoubted(health, self.store.watch(self.kind, since, wait)).await,
            None => self.store.watch(self.kind, since, wait).await,
        };
        self.watch_ended(asked, &answer);
        match answer {
            WatchAnswer::Changes { changes, version } => {
                self.since = Some(version);
                Some(Seen::Changes(changes))
            }
            WatchAnswer::HistoryGone => {
                self.since = None;
                Some(Seen::Changes(Vec::new()))
            }
            WatchAnswer::Refused | WatchAnswer::NoAnswer => None,
        }
    }
}

/// Waits for the answer to a watch, unless another call gets none meanwhile.
async fn undoubted(health: &StoreHealth, watch: impl Future<Output = WatchAnswer>) -> WatchAnswer {
    let before = health.doubts();
    let mut watch = std::pin::pin!(watch);
    loop {
        if let Some(answer) = within(DOUBT_PAUSE, &mut watch).await {
            return answer;
        }
        if health.doubts() != before {
            return WatchAnswer::NoAnswer;
        }
    }
}

/// Reads all pages of a kind, and the version from which a watch goes on; `None` if a page could not be read.
pub async fn list_all(
    store: &dyn ObjectStore,
    kind: Kind,
    freshness: Freshness,
) -> Option<(Vec<Stored>, Version)> {
    let first = store.list(kind, None, freshness).await?;
    // Changes during the list are seen again from the version of its first page on.
    let version = first.version;
    let (mut all, mut has_more) = (first.items, first.has_more);
    while has_more && let Some(last) = all.last() {
        let page = store.list(kind, Some(Name::clone(&last.name)), freshness).await?;
        has_more = page.has_more && !page.items.is_empty();
        all.extend(page.items);
    }
    Some((all, version))
}
