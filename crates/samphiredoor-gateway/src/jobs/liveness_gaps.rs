//! Liveness gaps: periods in which other gateways may have declared this process dead.
//!
//! They then take over its jobs, and acknowledge cancellations of jobs without being able to reach it. A gap is a pause
//! of this process, an outage of the store, or a period in which it receives heartbeats from less than half of the
//! other gateways. The last one suffices because a gateway declares another one dead only while it receives heartbeats
//! from at least half of the fleet.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use samphiredoor_core::{ordered::LATE_WRITE_MS, time::Now};
use samphiredoor_net::clock::Clock;

use crate::{peers::Roster, store_health::StoreHealth};

/// Interval between two checks of the clocks, the store and the peers.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two checks of the clocks from which the process counts as paused, for example because its host slept.
/// Peers declare a process dead after 2.5 s without a heartbeat.
const MIN_PAUSE: Duration = Duration::from_millis(1_500);
/// Interval at which a process that stays isolated records a further gap.
const ISOLATION_REPEAT: Duration = Duration::from_millis(2_000);

/// Time after a gap by which all peers have received a heartbeat of this process again. Until then they may still take
/// over its jobs, even after their headers were checked, so another gap is counted afterwards and they are checked
/// again.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// Time after a gap from which no takeover of its time can take effect any more: the last one may have been sent before the
/// gap was settled, and a write may take effect late.
const LATE_TAKEOVERS: Duration = SETTLE_TIME.saturating_add(Duration::from_millis(LATE_WRITE_MS));

/// Shared handle to the gap detector of this process.
#[derive(Clone)]
pub struct LivenessGaps {
    state: Rc<State>,
}

struct State {
    clock: Clock,
    roster: Roster,
    health: StoreHealth,
    /// Time of the last check of the clocks.
    checked: Cell<Now>,
    /// Number of gaps, without the store's recoveries.
    recorded: Cell<u64>,
    /// Recoveries of the store after which a further check of the jobs is scheduled.
    handled_recoveries: Cell<u64>,
    /// When the gap after the last one is counted.
    settles_at: Cell<Option<Instant>>,
    /// Until when takeovers of the last gap may take effect; `None` before the first gap.
    late_takeovers_until: Cell<Option<Instant>>,
    /// Whether heartbeats of at least half of the fleet have arrived since the start.
    was_connected: Cell<bool>,
    /// When the process was last recorded as isolated; `None` while it is not.
    isolated_since: Cell<Option<Instant>>,
}

impl LivenessGaps {
    /// Creates a detector that counts gaps from now on.
    pub fn new(clock: Clock, roster: Roster, health: StoreHealth) -> LivenessGaps {
        let state = State {
            checked: Cell::new(clock.now()),
            clock,
            roster,
            health,
            recorded: Cell::default(),
            handled_recoveries: Cell::default(),
            settles_at: Cell::default(),
            late_takeovers_until: Cell::default(),
            was_connected: Cell::default(),
            isolated_since: Cell::default(),
        };
        LivenessGaps { state: Rc::new(state) }
    }

    /// Number of gaps so far, including one that has just ended.
    pub fn count(&self) -> u64 {
        self.check_clocks();
        self.state.recorded.get() + self.state.health.recoveries()
    }

    /// Whether the last gap is so long over that all peers have received a heartbeat of this process since.
    pub fn is_settled(&self) -> bool {
        self.check_clocks();
        self.check_store();
        self.state.settles_at.get().is_none()
    }

    /// Until when takeovers may take effect that were sent because of the last gap; `None` if there was no gap. Only a read
    /// of a job's header that was sent later shows whether this process has lost the job.
    pub fn late_takeovers_until(&self) -> Option<Instant> {
        self.check_clocks();
        self.check_store();
        self.state.late_takeovers_until.get()
    }

    /// Checks for gaps periodically for as long as the process runs.
    pub async fn run(self) {
        loop {
            compio::time::sleep(CHECK_INTERVAL).await;
            self.check_clocks();
            self.check_store();
            self.check_peers();
            self.settle();
        }
    }

    /// Detects pauses of the process by both clocks: the monotonic clock may stand still while a host sleeps, and the
    /// wall clock may be set.
    fn check_clocks(&self) {
        let now = self.state.clock.now();
        let before = self.state.checked.replace(now);
        let passed_ms =
            (now.mono_ms - before.mono_ms).max(now.unix_ms.saturating_sub(before.unix_ms));
        if Duration::from_millis(passed_ms) >= MIN_PAUSE {
            self.record("slept");
        }
    }

    fn check_store(&self) {
        let recoveries = self.state.health.recoveries();
        if self.state.handled_recoveries.replace(recoveries) != recoveries {
            self.settle_later();
        }
    }

    fn settle_later(&self) {
        let now = Instant::now();
        self.state.settles_at.set(Some(now + SETTLE_TIME));
        self.state.late_takeovers_until.set(Some(now + LATE_TAKEOVERS));
    }

    fn check_peers(&self) {
        let state = &self.state;
        let is_over = |at: Instant| at.elapsed() >= ISOLATION_REPEAT;
        match (state.roster.is_isolated(), state.isolated_since.get()) {
            (true, None) if state.was_connected.get() => self.set_isolated(Some(Instant::now())),
            (true, Some(at)) if is_over(at) => self.set_isolated(Some(Instant::now())),
            (true, _) => {}
            (false, Some(_)) => self.set_isolated(None),
            (false, None) => state.was_connected.set(true),
        }
    }

    fn set_isolated(&self, since: Option<Instant>) {
        self.state.isolated_since.set(since);
        self.record("cut off");
    }

    fn record(&self, why: &'static str) {
        log::info!(why; "jobs: peers may have declared this process dead");
        self.settle_later();
        self.increment();
    }

    fn settle(&self) {
        if self.state.settles_at.get().is_some_and(|it| it <= Instant::now()) {
            self.state.settles_at.set(None);
            self.increment();
        }
    }

    fn increment(&self) {
        self.state.recorded.set(self.state.recorded.get() + 1);
    }
}
