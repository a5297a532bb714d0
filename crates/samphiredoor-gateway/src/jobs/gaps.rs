//! Gaps in which other gateways may have taken this process for gone.
//!
//! They take its jobs then, and acknowledge ends of jobs that it cannot be told of. Such a gap is a sleep of this process, an
//! outage of the store, or a time in which it hears less than half of the others: who takes a process for gone hears at
//! least half of all.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use samphiredoor_core::time::Now;
use samphiredoor_net::clock::Clock;

use crate::{peers::Roster, store_health::StoreHealth};

/// Time between two looks at the clocks and at who is heard.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two looks at the clocks that only a process has which slept or stood still; one that is silent for 2.5 s
/// counts as gone.
const MIN_PAUSE: Duration = Duration::from_millis(1_500);
/// Time after which a process that is still cut off counts a further gap.
const CUT_OFF_REPEAT: Duration = Duration::from_millis(2_000);

/// Time after a gap in which all others have heard this process again. Until then they may still take its jobs, also after
/// these were looked for, so that they are looked for once more.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// Handle to the gaps of this process.
#[derive(Clone)]
pub struct Gaps {
    state: Rc<State>,
}

struct State {
    clock: Clock,
    roster: Roster,
    health: StoreHealth,
    checked: Cell<Now>,
    recorded: Cell<u64>,
    handled_recoveries: Cell<u64>,
    settles_at: Cell<Option<Instant>>,
    has_heard_majority: Cell<bool>,
    cut_off_since: Cell<Option<Instant>>,
}

impl Gaps {
    /// No gaps yet.
    pub fn new(clock: Clock, roster: Roster, health: StoreHealth) -> Gaps {
        let state = State {
            checked: Cell::new(clock.now()),
            clock,
            roster,
            health,
            recorded: Cell::default(),
            handled_recoveries: Cell::default(),
            settles_at: Cell::default(),
            has_heard_majority: Cell::default(),
            cut_off_since: Cell::default(),
        };
        Gaps { state: Rc::new(state) }
    }

    /// Number of gaps so far.
    pub fn count(&self) -> u64 {
        self.check_clocks();
        self.state.recorded.get() + self.state.health.regains()
    }

    /// Looks for gaps for as long as the process runs.
    pub async fn run(self) {
        loop {
            compio::time::sleep(CHECK_INTERVAL).await;
            self.check_clocks();
            self.check_store();
            self.check_peers();
            self.settle();
        }
    }

    /// The monotonic clock may stand still while a host sleeps; the wall clock may be set.
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
        let regains = self.state.health.regains();
        if self.state.handled_recoveries.replace(regains) != regains {
            self.state.settles_at.set(Some(Instant::now() + SETTLE_TIME));
        }
    }

    fn check_peers(&self) {
        let state = &self.state;
        let is_over = |at: Instant| at.elapsed() >= CUT_OFF_REPEAT;
        match (state.roster.is_cut_off(), state.cut_off_since.get()) {
            (true, None) if state.has_heard_majority.get() => {
                self.set_cut_off(Some(Instant::now()))
            }
            (true, Some(at)) if is_over(at) => self.set_cut_off(Some(Instant::now())),
            (true, _) => {}
            (false, Some(_)) => self.set_cut_off(None),
            (false, None) => state.has_heard_majority.set(true),
        }
    }

    fn set_cut_off(&self, since: Option<Instant>) {
        self.state.cut_off_since.set(since);
        self.record("cut off");
    }

    fn record(&self, why: &'static str) {
        log::info!(why; "jobs: others may take this process for gone");
        self.state.settles_at.set(Some(Instant::now() + SETTLE_TIME));
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
