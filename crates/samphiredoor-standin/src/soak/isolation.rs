//! Drill: the owner of a job is isolated from the store while the job is cancelled, a write of the owner takes effect
//! late, and the owner is killed and restarted some seconds later. What callers have read of the job before, meanwhile and after it is
//! checked at all gateways.

use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use serde_json::json;

use super::{
    drills,
    final_checks::FinalChecks,
    injector::Injector,
    invariant::Invariant,
    plan::{Disturbed, Fault, PlannedLinkFault, Step},
};
use crate::platform_store::StoreFault;

const JOB: &str = "drill-isolation";
/// Gateway to which the job is submitted.
const GATEWAY: usize = 0;
/// More items than end before the first results can be read, so that the owner has results to write when it is isolated.
const ITEMS: usize = 200;
/// Number of results that are read before the isolation.
const RESULTS_BEFORE: usize = 4;
/// Time within which the owner sends results to the store, where they are held; then nothing reaches it any more.
const HELD_WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// From the held write to the cancellation; the job is taken over after about 4 s.
const CANCEL_AFTER_MS: std::ops::Range<u64> = 1_000..4_500;
/// Probability that the cancellation follows the takeover.
const CANCEL_AT_TAKEOVER_PROBABILITY: f64 = 0.5;
/// From the takeover to the cancellation; the next owner writes its first results a moment later.
const CANCEL_AFTER_TAKEOVER_MS: std::ops::Range<u64> = 0..300;
/// From the held write to the moment when it takes effect; the store applies no write later than 6 s after it was sent.
const ISOLATED_MS: std::ops::Range<u64> = 4_700..5_900;
/// From the end of the isolation to the kill of the former owner.
const KILL_AFTER_MS: std::ops::Range<u64> = 2_000..8_000;
/// Time after which the isolation goes on without a takeover.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(4_500);
const CANCEL_RETRY_INTERVAL: Duration = Duration::from_millis(100);
const DOWN_TIME: Duration = Duration::from_secs(1);
/// Time after the restart for which the job is read again.
const READ_AGAIN_TIME: Duration = Duration::from_secs(10);
/// Time within which the first results of the job are there.
const TIMEOUT: Duration = Duration::from_secs(30);

/// When the job is cancelled.
#[derive(Debug, Clone, Copy)]
enum CancelMoment {
    /// This long after the held write.
    AfterIsolation(Duration),
    /// This long after the job was taken over.
    AfterTakeover(Duration),
}

/// Moments of the drill of one seed.
#[derive(Debug, Clone, Copy)]
struct Moments {
    cancel: CancelMoment,
    isolated_for: Duration,
    kill_after: Duration,
}

impl Moments {
    fn of_seed(seed: u64) -> Moments {
        let mut rng = SmallRng::seed_from_u64(seed);
        let is_after_takeover = rng.random_bool(CANCEL_AT_TAKEOVER_PROBABILITY);
        let mut random_ms = |range| Duration::from_millis(rng.random_range(range));
        let cancel = match is_after_takeover {
            true => CancelMoment::AfterTakeover(random_ms(CANCEL_AFTER_TAKEOVER_MS)),
            false => CancelMoment::AfterIsolation(random_ms(CANCEL_AFTER_MS)),
        };
        let (isolated_for, kill_after) = (random_ms(ISOLATED_MS), random_ms(KILL_AFTER_MS));
        Moments { cancel, isolated_for, kill_after }
    }
}

struct Drill<'a, 'b> {
    final_checks: &'a FinalChecks<'b>,
    rng: SmallRng,
    /// Number of results that were read.
    known: usize,
    is_cancelled: bool,
}

/// Plays the drill once; the moments of its faults depend on the seed.
pub fn check(final_checks: &FinalChecks<'_>, injector: &mut Injector<'_>, seed: u64) {
    let (rng, moments) = (SmallRng::seed_from_u64(seed), Moments::of_seed(seed));
    final_checks.shared.trace("isolation", json!(format!("{moments:?}")));
    let mut drill = Drill { final_checks, rng, known: 0, is_cancelled: false };
    let Some(owner) = drill.start_job(injector) else { return };
    let began_at = Instant::now();
    drill.isolate(injector, owner, moments);
    drill.cancel_and_read_until(Instant::now() + moments.kill_after, owner);
    drill.restart(injector, owner);
    let disturbed = Disturbed::Gateway(owner);
    final_checks.shared.checks().add_fault_window(disturbed, began_at, Instant::now());
    drill.read_until(Instant::now() + READ_AGAIN_TIME, None);
}

/// Fault that starts and ends when the drill says so.
fn step(fault: Fault) -> Step {
    Step { at_ms: 0, for_ms: 0, fault }
}

impl Drill<'_, '_> {
    /// Submits the job and reads its first results; returns its owner.
    fn start_job(&mut self, injector: &Injector<'_>) -> Option<usize> {
        let (deadline, items) = (Instant::now() + TIMEOUT, drills::items(JOB, ITEMS));
        let final_checks = self.final_checks;
        final_checks.wait_for(deadline, || final_checks.submit(GATEWAY, JOB, &items));
        let has_results = final_checks.wait_for(deadline, || {
            self.read_at(GATEWAY);
            self.known >= RESULTS_BEFORE
        });
        let owner = drills::owner(injector, JOB, final_checks.gateways).filter(|_| has_results);
        if owner.is_none() {
            let observed =
                format!("{} results in {} s without faults", self.known, TIMEOUT.as_secs());
            final_checks.record_violation(Invariant::JobReadable, JOB, observed);
        }
        owner
    }

    /// Isolates the owner from the store with a write under way, and cancels the job meanwhile.
    fn isolate(&mut self, injector: &mut Injector<'_>, owner: usize, moments: Moments) {
        let held_writes = step(Fault::StoreTowards(owner, StoreFault::WritesHeld));
        let silent_link = step(Fault::GatewayLink(owner, PlannedLinkFault::Silent));
        injector.begin(&held_writes);
        self.read_until_write(injector, owner);
        injector.begin(&silent_link);
        let isolated_at = Instant::now();
        match moments.cancel {
            CancelMoment::AfterIsolation(delay) => {
                self.read_until(isolated_at + delay, Some(owner))
            }
            CancelMoment::AfterTakeover(delay) => {
                self.read_until_takeover(injector, isolated_at + TAKEOVER_TIMEOUT, owner);
                self.read_until(Instant::now() + delay, Some(owner));
            }
        }
        self.cancel_and_read_until(isolated_at + moments.isolated_for, owner);
        injector.end(&held_writes);
        injector.end(&silent_link);
    }

    /// Kills the former owner and restarts it.
    fn restart(&mut self, injector: &mut Injector<'_>, owner: usize) {
        let kill = step(Fault::KillGateway(owner));
        injector.begin(&kill);
        self.read_until(Instant::now() + DOWN_TIME, Some(owner));
        injector.end(&kill);
    }

    /// Reads the job at all gateways except one, until a point in time.
    fn read_until(&mut self, until: Instant, except: Option<usize>) {
        let gateways: Vec<usize> =
            (0..self.final_checks.gateways).filter(|it| Some(*it) != except).collect();
        self.final_checks.wait_for(until, || {
            let gateway = *gateways.choose(&mut self.rng).expect("a gateway");
            self.read_at(gateway);
            false
        });
    }

    /// Reads the job until the store has received a segment of results, which only the owner sends.
    fn read_until_write(&mut self, injector: &Injector<'_>, owner: usize) {
        let gateways = self.final_checks.gateways;
        let writes =
            || injector.platform.store.calls().get("POST jobsegments").copied().unwrap_or(0);
        let before = writes();
        self.final_checks.wait_for(Instant::now() + HELD_WRITE_TIMEOUT, || {
            self.read_at((owner + 1) % gateways);
            writes() > before
        });
    }

    /// Reads the job until it has another owner, at most until a point in time.
    fn read_until_takeover(&mut self, injector: &Injector<'_>, until: Instant, owner: usize) {
        let gateways = self.final_checks.gateways;
        self.final_checks.wait_for(until, || {
            self.read_at((owner + 1) % gateways);
            drills::owner(injector, JOB, gateways) != Some(owner)
        });
    }

    fn read_at(&mut self, gateway: usize) {
        let after = self.rng.random_range(0..=self.known);
        let count = self.final_checks.read(gateway, JOB, after).unwrap_or(0);
        self.known = self.known.max(after + count);
    }

    /// Cancels the job at another gateway than its former owner, and reads it until a point in time.
    fn cancel_and_read_until(&mut self, until: Instant, owner: usize) {
        let gateway = (owner + 1) % self.final_checks.gateways;
        while !self.is_cancelled && Instant::now() < until {
            self.is_cancelled = self.final_checks.cancel(gateway, JOB);
            self.read_until(Instant::now() + CANCEL_RETRY_INTERVAL, Some(owner));
        }
        self.read_until(until, Some(owner));
    }
}
