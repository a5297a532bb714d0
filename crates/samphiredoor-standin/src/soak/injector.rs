//! The processes of a run, and the injection of faults into them from outside.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use serde_json::json;

use super::{
    Options,
    checks::{FAILS, IMPOSSIBLE, ROUTE_ATTEMPTS},
    crashes::set_faults,
    plan::{Disturbed, Fault, PlannedLinkFault, Sizes, Step},
    silences::{Changes, OTHER_SERVICE, OTHER_SERVICE_EVERY, RunEnd},
    starvation::{Starvation, Switch},
    trace::RunState,
};
use crate::{
    fleet::Platform,
    link::{Link, LinkFault},
    platform_store::StoreFault,
    platform_target::{PlatformTarget, Run, TargetFault},
    process::ChildProcess,
};

/// Time between two events of a target's answer.
const EVENT_PAUSE: Duration = Duration::from_millis(40);
/// The same with bursts of crashes: several pulses of a series hit one run.
const LONG_EVENT_PAUSE: Duration = Duration::from_millis(200);
/// Time for which a request runs before it fails, as long as an engine takes to its first event.
const FAILURE_PAUSE: Duration = Duration::from_millis(20);
/// Together the events of an answer are more than the kernel holds for a caller who does not read.
pub const EVENT_BYTES: usize = 32 * 1024;
/// Time after which a target aborts an answer that stays unread.
const UNREAD_LIMIT: Duration = Duration::from_secs(2);
/// Settings with a budget that answers to all slow clients of a run do not fit into.
const BUDGET_SETTINGS: &str = "overload.control = \"on\"\noverload.buffer_percent = 20\n\
                               overload.memory_limit_bytes = 2000000";
/// Longer than any run: a stalled watch never times out, so that the gateway has to detect it in another way.
const WATCH_MS: u64 = 300_000;
/// Version of the configuration that a run begins with.
const FIRST_CHANGE: u64 = 2;
/// Time after which a target that has crashed starts again.
const DOWN_TIME: Duration = Duration::from_millis(1_500);
/// Time from SIGTERM to SIGKILL, as on the platform.
const TERM_GRACE: Duration = Duration::from_secs(15);

/// How requests crash targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Crashing {
    /// They don't.
    Off,
    /// Before the first event.
    AtOnce,
    /// At some targets between two events.
    Mixed,
}

/// How targets are started.
#[derive(Debug, Clone, Copy)]
struct TargetSettings {
    /// Software versions of targets, by turns.
    versions: &'static [&'static str],
    /// How requests crash targets.
    crashes: Crashing,
    /// Whether targets are reached through links. A link would accept connections for a target that has crashed.
    is_linked: bool,
    event_pause: Duration,
    /// Whether some targets serve another service.
    has_other_service: bool,
}

/// Store, targets, gateways and the process of a storage host; the child processes are killed when this value is
/// dropped.
pub struct Injector<'a> {
    shared: &'a RunState,
    /// Store and gateway processes.
    pub platform: Platform,
    /// Numbers of gateways and targets.
    pub sizes: Sizes,
    storage: ChildProcess,
    storages_started: usize,
    targets: Vec<PlatformTarget>,
    /// Index into `targets` for each target number of the plan; changes when a target is replaced.
    current: Vec<usize>,
    target_settings: TargetSettings,
    /// Whether targets crash by chance only, in bursts, so that all requests are sound.
    has_bursts: bool,
    /// Since when each target number of the plan has been down.
    crashed: Vec<Option<Instant>>,
    /// Gateways that received SIGTERM, with the time of the signal.
    stopping: Vec<(usize, Instant)>,
    /// Gateways that are paused by a fault.
    paused: BTreeSet<usize>,
    /// Changes of the configuration, if there are others than of limits.
    changes: Option<Changes>,
    /// When gateways get no processor time; `None` if they always do.
    starvation: Option<Starvation>,
    /// Version of the newest configuration.
    pub routes_version: u64,
}

impl<'a> Injector<'a> {
    /// Starts all processes and waits until the gateways are ready; the gateways have a budget for buffered data with odd seeds,
    /// with which targets also crash at once only.
    pub fn start(
        shared: &'a RunState,
        options: &Options,
        seed: u64,
        versions: &'static [&'static str],
    ) -> Injector<'a> {
        let mut platform = Platform::new(&options.binary);
        let sizes = options.sizes();
        let crashes = match (options.crashes, seed % 2) {
            (false, _) => Crashing::Off,
            (true, 1) => Crashing::AtOnce,
            (true, _) => Crashing::Mixed,
        };
        let has_budget = seed % 2 == 1 && !options.silences;
        if has_budget {
            platform.more_settings = BUDGET_SETTINGS.to_owned();
        }
        shared.checks().versions().set_event_bytes(EVENT_BYTES);
        shared.checks().versions().set_versions(versions);
        shared.checks().chains().expect_names();
        platform.linked = true;
        platform.watch_ms = WATCH_MS;
        let target_settings = TargetSettings {
            versions,
            crashes,
            has_other_service: options.silences,
            is_linked: crashes == Crashing::Off && !options.bursts && !options.silences,
            event_pause: if options.bursts { LONG_EVENT_PAUSE } else { EVENT_PAUSE },
        };
        let targets = (0..sizes.targets)
            .map(|it| start_target(&mut platform, (it, it), target_settings))
            .collect();
        let changes = options.silences.then(Changes::default);
        if let Some(changes) = &changes {
            changes.put(&platform, FIRST_CHANGE, ROUTE_ATTEMPTS, shared.checks().silences());
        }
        let storage = platform.start_storage("storage-0");
        for _ in 0..sizes.gateways {
            platform.start_gateway();
        }
        let current = (0..sizes.targets).collect();
        let injector = Injector {
            shared,
            platform,
            sizes,
            storage,
            storages_started: 1,
            targets,
            current,
            target_settings,
            has_bursts: options.bursts && crashes == Crashing::Off,
            crashed: vec![None; sizes.targets],
            stopping: Vec::new(),
            paused: BTreeSet::new(),
            changes,
            starvation: None,
            routes_version: FIRST_CHANGE,
        };
        injector.publish_addresses();
        injector
    }

    fn publish_addresses(&self) {
        let addresses = (0..self.sizes.gateways).map(|it| self.platform.callers(it)).collect();
        self.shared.set_gateways(addresses);
    }

    /// All runs at targets so far, in the order of their starts.
    pub fn runs(&self) -> Vec<Run> {
        let mut runs: Vec<Run> = self.targets.iter().flat_map(PlatformTarget::runs).collect();
        runs.sort_by_key(|it| it.at);
        runs
    }

    /// Times at which targets crashed.
    pub fn crashes(&self) -> Vec<Instant> {
        self.targets.iter().filter_map(PlatformTarget::crashed_at).collect()
    }

    /// Runs of a request, with the crashes of their targets.
    pub fn runs_of(&self, id: &str) -> Vec<RunEnd> {
        let runs_at = |it: &PlatformTarget| {
            let crashed_at = it.crashed_at();
            let runs = it.runs().into_iter().filter(|it| it.id == id);
            runs.map(move |it| RunEnd { at: it.at, crashed_at }).collect::<Vec<RunEnd>>()
        };
        self.targets.iter().flat_map(runs_at).collect()
    }

    /// Runs at targets of the service to which only one route is moved.
    pub fn runs_of_other_service(&self) -> Vec<Run> {
        let targets = self.targets.iter().filter(|it| it.service == OTHER_SERVICE);
        targets.flat_map(PlatformTarget::runs).collect()
    }

    /// Writes the configuration if a fault that starts or ends changes it.
    fn change_configuration(&mut self, fault: Fault, begins: bool) {
        let Some(changes) = &mut self.changes else { return };
        if changes.note(fault, begins) {
            self.routes_version += 1;
            let mut checks = self.shared.checks();
            changes.put(&self.platform, self.routes_version, ROUTE_ATTEMPTS, checks.silences());
        }
    }

    /// Starts a fault.
    pub fn begin(&mut self, step: &Step) {
        self.shared.trace("fault", json!(step));
        let now = Instant::now();
        self.shared.checks().add_fault_window(
            step.fault.disturbs(),
            now,
            now + Duration::from_millis(step.for_ms),
        );
        match step.fault {
            Fault::PauseGateway(gateway) => {
                self.paused.insert(gateway);
                self.signal(gateway, "STOP");
            }
            Fault::KillGateway(gateway) => self.platform.gateway(gateway).kill(),
            Fault::StopGateway(gateway) => {
                self.signal(gateway, "TERM");
                self.stopping.push((gateway, now));
            }
            Fault::PauseStorage => self.signal_storage("STOP"),
            Fault::KillStorage => self.storage.kill(),
            Fault::GatewayLink(gateway, fault) => {
                self.platform
                    .gateway_link(gateway)
                    .into_iter()
                    .for_each(|it| apply_link_fault(it, fault));
            }
            Fault::TargetLink(target, fault) => {
                self.target_link(target).into_iter().for_each(|it| apply_link_fault(it, fault));
            }
            Fault::Store(fault) => self.platform.store.set_fault(fault),
            Fault::StoreTowards(gateway, fault) => {
                self.platform.set_store_path_fault(gateway, fault)
            }
            Fault::ForgetHistory => self.platform.store.forget_history(),
            Fault::Target(target, fault, count) => self.target(target).fail_next(count, fault),
            Fault::ReplaceTarget(target) => self.platform.register(self.target(target), "draining"),
            Fault::ChangeRoutes => {
                self.routes_version += 1;
                self.platform.put_routes(self.routes_version, ROUTE_ATTEMPTS);
            }
            Fault::ChangeLimits(..) | Fault::MoveRoute | Fault::RemoveRoute
                if self.changes.is_some() =>
            {
                self.change_configuration(step.fault, true);
            }
            Fault::ChangeLimits(idle_ms, timeout_ms) => {
                self.routes_version += 1;
                let version = self.routes_version;
                self.platform.put_limits(version, ROUTE_ATTEMPTS, idle_ms, timeout_ms);
            }
            Fault::CrashTarget(target) => self.crash(target),
            Fault::SilenceTarget(target) => {
                self.target(target).fall_silent(Duration::from_millis(step.for_ms));
            }
            Fault::MoveRoute | Fault::RemoveRoute => {}
        }
    }

    /// Ends a fault; a SIGTERM, a history loss and a new configuration have no end of their own.
    pub fn end(&mut self, step: &Step) {
        self.shared.trace("fault over", json!(step));
        match step.fault {
            Fault::PauseGateway(gateway) => {
                self.paused.remove(&gateway);
                self.signal(gateway, "CONT");
            }
            Fault::KillGateway(gateway) => self.restart_gateway(gateway),
            Fault::PauseStorage => self.signal_storage("CONT"),
            Fault::KillStorage => self.restart_storage(),
            Fault::GatewayLink(gateway, _) => {
                self.platform
                    .gateway_link(gateway)
                    .into_iter()
                    .for_each(|it| it.set_fault(LinkFault::None));
            }
            Fault::TargetLink(target, _) => {
                self.target_link(target).into_iter().for_each(|it| it.set_fault(LinkFault::None));
            }
            Fault::Store(_) => self.platform.store.set_fault(StoreFault::None),
            Fault::StoreTowards(gateway, _) => {
                self.platform.set_store_path_fault(gateway, StoreFault::None);
            }
            Fault::Target(target, ..) => self.target(target).fail_next(0, TargetFault::None),
            Fault::ReplaceTarget(target) | Fault::CrashTarget(target) => self.replace(target),
            Fault::MoveRoute | Fault::RemoveRoute => self.change_configuration(step.fault, false),
            Fault::StopGateway(_)
            | Fault::SilenceTarget(_)
            | Fault::ForgetHistory
            | Fault::ChangeRoutes
            | Fault::ChangeLimits(..) => {}
        }
    }

    /// Restarts gateways that have exited after SIGTERM, and kills those that exceed [`TERM_GRACE`]; returns whether no
    /// gateway is still shutting down.
    pub fn tick(&mut self) -> bool {
        self.starve();
        if self.target_settings.crashes != Crashing::Off {
            self.restart_targets();
        }
        for (gateway, since) in std::mem::take(&mut self.stopping) {
            if since.elapsed() > TERM_GRACE {
                self.platform.gateway(gateway).kill();
            }
            match self.platform.gateway(gateway).has_ended() {
                true => {
                    let disturbed = Disturbed::Gateway(gateway);
                    self.shared.checks().add_fault_window(disturbed, since, Instant::now());
                    self.restart_gateway(gateway);
                }
                false => self.stopping.push((gateway, since)),
            }
        }
        self.stopping.is_empty()
    }

    /// Starts a target anew for each one that has been down long enough.
    fn restart_targets(&mut self) {
        for number in 0..self.sizes.targets {
            if !self.target(number).has_crashed() {
                self.crashed[number] = None;
            } else if self.crashed[number].get_or_insert_with(Instant::now).elapsed() > DOWN_TIME {
                self.replace(number);
            }
        }
    }

    /// Lets gateways get no processor time by turns, from now on.
    pub fn begin_starvation(&mut self, seed: u64) {
        self.starvation = Some(Starvation::new(seed, self.sizes.gateways));
    }

    /// Lets all gateways run again.
    pub fn end_starvation(&mut self) {
        if self.starvation.take().is_some() {
            (0..self.sizes.gateways).for_each(|it| self.switch(it, Switch::Continue));
        }
    }

    fn starve(&mut self) {
        let now = Instant::now();
        while let Some((gateway, switch)) = self.starvation.as_mut().and_then(|it| it.next(now)) {
            self.switch(gateway, switch);
        }
    }

    /// Stops or continues a gateway, unless a fault has paused it.
    fn switch(&mut self, gateway: usize, switch: Switch) {
        if !self.paused.contains(&gateway) {
            self.signal(gateway, if switch == Switch::Stop { "STOP" } else { "CONT" });
        }
    }

    /// Restarts a gateway whose process has exited.
    pub fn restart_gateway(&mut self, gateway: usize) {
        self.stopping.retain(|(it, _)| *it != gateway);
        self.platform.restart_gateway(gateway);
        self.publish_addresses();
    }

    fn restart_storage(&mut self) {
        self.storage = self.platform.start_storage(&format!("storage-{}", self.storages_started));
        self.storages_started += 1;
    }

    fn signal(&mut self, gateway: usize, name: &str) {
        if !self.platform.gateway(gateway).has_ended() {
            self.platform.signal(gateway, name);
        }
    }

    fn signal_storage(&mut self, name: &str) {
        if !self.storage.has_ended() {
            self.storage.signal(name);
        }
    }

    fn target(&self, number: usize) -> &PlatformTarget {
        &self.targets[self.current[number]]
    }

    fn target_link(&self, number: usize) -> Option<&Link> {
        self.platform.target_link(&self.target(number).name)
    }

    fn crash(&self, number: usize) {
        let is_by_chance = self.has_bursts && !self.target(number).has_crashed();
        self.target(number).crash();
        if is_by_chance {
            self.shared.checks().bursts().record_crash(Instant::now());
        }
    }

    fn replace(&mut self, number: usize) {
        self.crash(number);
        self.platform.store.remove("servers", &self.target(number).name);
        let numbers = (number, self.targets.len());
        let target = start_target(&mut self.platform, numbers, self.target_settings);
        self.current[number] = self.targets.len();
        self.targets.push(target);
    }
}

/// Starts a target that some items always fail at, by its number in the plan and among all targets.
fn start_target(
    platform: &mut Platform,
    (planned, number): (usize, usize),
    settings: TargetSettings,
) -> PlatformTarget {
    let TargetSettings { versions, crashes, is_linked, event_pause, has_other_service } = settings;
    let were_linked = std::mem::replace(&mut platform.linked, is_linked);
    let name = format!("t-{number}");
    let target = match has_other_service && planned.is_multiple_of(OTHER_SERVICE_EVERY) {
        true => platform.start_target_of(OTHER_SERVICE, &name, event_pause),
        false => platform.start_target_at(versions[number % versions.len()], &name, event_pause),
    };
    let target = target
        .with_named_runs()
        .with_event_bytes(EVENT_BYTES)
        .with_unread_limit(UNREAD_LIMIT)
        .with_failure_pause(FAILURE_PAUSE)
        .with_fault_of_bodies_ending(FAILS, TargetFault::Fails)
        .with_fault_of_bodies_ending(IMPOSSIBLE, TargetFault::Impossible);
    platform.linked = were_linked;
    match crashes {
        Crashing::Off => {}
        Crashing::AtOnce => set_faults(&target, true),
        Crashing::Mixed => set_faults(&target, number.is_multiple_of(2)),
    }
    target
}

fn apply_link_fault(link: &Link, fault: PlannedLinkFault) {
    match fault {
        PlannedLinkFault::Cut => link.cut(),
        _ => link.set_fault(fault.fault()),
    }
}
