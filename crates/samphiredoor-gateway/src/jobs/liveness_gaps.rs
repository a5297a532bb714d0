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
const TICK: Duration = Duration::from_millis(500);
/// Time between two looks at the clocks that only a process has which slept or stood still; one that is silent for 2.5 s
/// counts as gone.
const ASLEEP: Duration = Duration::from_millis(1_500);
/// Time after which a process that is still cut off counts a further gap.
const CUT_OFF_PAUSE: Duration = Duration::from_millis(2_000);

/// Time after a gap in which all others have heard this process again. Until then they may still take its jobs, also after
/// these were looked for, so that they are looked for once more.
const SETTLED: Duration = Duration::from_millis(2_500);

/// Handle to the gaps of this process.
#[derive(Clone)]
pub struct LivenessGaps {
    state: Rc<State>,
}

struct State {
    clock: Clock,
    roster: Roster,
    health: StoreHealth,
    looked: Cell<Now>,
    noted: Cell<u64>,
    regains: Cell<u64>,
    settled_at: Cell<Option<Instant>>,
    has_heard_most: Cell<bool>,
    cut_off: Cell<Option<Instant>>,
}

impl LivenessGaps {
    /// No gaps yet.
    pub fn new(clock: Clock, roster: Roster, health: StoreHealth) -> LivenessGaps {
        let state = State {
            looked: Cell::new(clock.now()),
            clock,
            roster,
            health,
            noted: Cell::default(),
            regains: Cell::default(),
            settled_at: Cell::default(),
            has_heard_most: Cell::default(),
            cut_off: Cell::default(),
        };
        LivenessGaps { state: Rc::new(state) }
    }

    /// Number of gaps so far.
    pub fn count(&self) -> u64 {
        self.look_at_clocks();
        self.state.noted.get() + self.state.health.recoveries()
    }

    /// Looks for gaps for as long as the process runs.
    pub async fn run(self) {
        loop {
            compio::time::sleep(TICK).await;
            self.look_at_clocks();
            self.look_at_store();
            self.look_at_peers();
            self.settle();
        }
    }

    /// The monotonic clock may stand still while a host sleeps; the wall clock may be set.
    fn look_at_clocks(&self) {
        let now = self.state.clock.now();
        let before = self.state.looked.replace(now);
        let passed_ms =
            (now.mono_ms - before.mono_ms).max(now.unix_ms.saturating_sub(before.unix_ms));
        if Duration::from_millis(passed_ms) >= ASLEEP {
            self.note("slept");
        }
    }

    fn look_at_store(&self) {
        let regains = self.state.health.recoveries();
        if self.state.regains.replace(regains) != regains {
            self.state.settled_at.set(Some(Instant::now() + SETTLED));
        }
    }

    fn look_at_peers(&self) {
        let state = &self.state;
        let is_over = |at: Instant| at.elapsed() >= CUT_OFF_PAUSE;
        match (state.roster.is_isolated(), state.cut_off.get()) {
            (true, None) if state.has_heard_most.get() => self.note_cut_off(Some(Instant::now())),
            (true, Some(at)) if is_over(at) => self.note_cut_off(Some(Instant::now())),
            (true, _) => {}
            (false, Some(_)) => self.note_cut_off(None),
            (false, None) => state.has_heard_most.set(true),
        }
    }

    fn note_cut_off(&self, since: Option<Instant>) {
        self.state.cut_off.set(since);
        self.note("cut off");
    }

    fn note(&self, why: &'static str) {
        log::info!(why; "jobs: others may take this process for gone");
        self.state.settled_at.set(Some(Instant::now() + SETTLED));
        self.add();
    }

    fn settle(&self) {
        if self.state.settled_at.get().is_some_and(|it| it <= Instant::now()) {
            self.state.settled_at.set(None);
            self.add();
        }
    }

    fn add(&self) {
        self.state.noted.set(self.state.noted.get() + 1);
    }
}
