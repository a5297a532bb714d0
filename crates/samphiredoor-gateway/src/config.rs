//! Checked settings of a process.

use std::{collections::BTreeMap, net::SocketAddr, ops::RangeInclusive, time::Duration};

use log::LevelFilter;
use samphiredoor_core::{
    Name,
    dispatch::Location,
    overload::{Activation, OverloadPolicy},
    rate_limit::Tolerance,
};
use samphiredoor_schema::gateway_settings::{
    GatewayJobs, GatewayListener, GatewayLog, GatewayLogLevel, GatewayOverload,
    GatewayOverloadControl, GatewayRateLimits, GatewaySettings, GatewayStopping,
};

use crate::{
    client_limits::ClientLimits,
    settings::{SettingError, address},
    shutdown::ShutdownTimes,
};

/// Level and volume of the log.
#[derive(Debug, Clone, Copy)]
pub struct LogConfig {
    /// Least severe level that is written.
    pub level: LevelFilter,
    /// Most lines that are written in one second.
    pub lines_per_s: u32,
}

/// Settings that every process has.
#[derive(Debug, Clone)]
pub struct CommonConfig {
    /// Name of the process.
    pub name: Name,
    /// Region and availability zone of its host.
    pub location: Location,
    /// Region of each availability zone.
    pub regions: BTreeMap<Name, Name>,
    /// Address of the platform's object store.
    pub store: SocketAddr,
    /// Processes that serve a recent copy of the store's objects during an outage.
    pub mirrors: Vec<SocketAddr>,
    /// Time limit for the calls to the store.
    pub store_timeout: Duration,
    /// Longest wait of a watch for a change.
    pub max_watch: Duration,
    /// Time within which new routes have to be active.
    pub routes_within: Duration,
    /// Time after which a leaving target gets no new requests.
    pub targets_within: Duration,
    /// Listener for metrics.
    pub metrics: Option<SocketAddr>,
    /// Level and volume of the log.
    pub log: LogConfig,
}

/// Settings of a gateway.
#[derive(Debug, Clone)]
pub struct GatewayConfig {
    /// Settings that every process has.
    pub common: CommonConfig,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for the readiness checks of the load balancer.
    pub readiness: SocketAddr,
    /// Listener for peers, for TCP and UDP.
    pub peers: SocketAddr,
    /// How long the steps of a graceful shutdown take.
    pub shutdown: ShutdownTimes,
    /// How long a job is kept after its submission.
    pub keep_jobs: Duration,
    /// How far rate limits may be exceeded while gateways cannot coordinate.
    pub rate_tolerance: Tolerance,
    /// Decisions while there is less capacity than demand.
    pub overload: OverloadConfig,
    /// Limits on what is held for callers.
    pub client_limits: ClientLimits,
}

/// When overload control is on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OverloadSwitch {
    /// Never.
    Off,
    /// For all services.
    On,
    /// For all services if the platform knows a feature of the deployment that calls for it; otherwise for services whose
    /// targets report the speed of their hosts.
    Auto,
}

/// Settings of overload control.
#[derive(Debug, Clone)]
pub struct OverloadConfig {
    /// When it is on.
    pub switch: OverloadSwitch,
    /// Features of the deployment, as its platform names them.
    pub deployment_features: Vec<Name>,
    /// Limits of its decisions.
    pub policy: OverloadPolicy,
    /// Whether the memory of the host is known.
    pub has_memory_limit: bool,
}

/// Overload control of one gateway.
#[derive(Debug, Clone, Copy)]
pub struct ActiveOverload {
    /// Policy of the placement; `None` if overload control is off.
    pub policy: Option<OverloadPolicy>,
    /// Whether streams are read ahead of slow callers.
    pub reads_ahead: bool,
}

impl OverloadConfig {
    fn new(settings: Option<&GatewayOverload>) -> Result<OverloadConfig, SettingError> {
        let settings = settings.cloned().unwrap_or_default();
        let percent = |key, value: u32, bounds: RangeInclusive<u32>| match bounds.contains(&value) {
            true => Ok(value),
            false => {
                let (least, most) = (bounds.start(), bounds.end());
                Err(SettingError::new(key, format!("{value} is not between {least} and {most}")))
            }
        };
        let switch = match settings.control {
            GatewayOverloadControl::Off => OverloadSwitch::Off,
            GatewayOverloadControl::On => OverloadSwitch::On,
            GatewayOverloadControl::Auto => OverloadSwitch::Auto,
        };
        if settings.min_retry_ms == 0 {
            return Err(SettingError::new("overload.min_retry_ms", "is 0; set at least 1"));
        }
        let policy = OverloadPolicy {
            activation: Activation::SpeedReported,
            queue_percent: percent(
                "overload.queue_percent",
                settings.queue_percent.get(),
                1..=100,
            )?,
            min_used_percent: percent(
                "overload.min_used_percent",
                settings.min_used_percent,
                0..=100,
            )?,
            min_retry_ms: settings.min_retry_ms,
            max_retry_percent: percent(
                "overload.max_retry_percent",
                settings.max_retry_percent.get(),
                1..=100,
            )?,
            reject_late_jobs: settings.reject_late_jobs,
        };
        Ok(OverloadConfig {
            switch,
            deployment_features: settings
                .deployment_features
                .iter()
                .map(|it| Name::from(&**it))
                .collect(),
            policy,
            has_memory_limit: settings.memory_limit_bytes > 0,
        })
    }

    /// What is active in a gateway. `is_requested` tells whether a feature of the deployment calls for overload control.
    pub fn active(&self, is_requested: bool) -> ActiveOverload {
        let activation = match self.switch {
            OverloadSwitch::Off => None,
            OverloadSwitch::Auto if !is_requested => Some(Activation::SpeedReported),
            OverloadSwitch::On | OverloadSwitch::Auto => Some(Activation::Always),
        };
        ActiveOverload {
            policy: activation.map(|activation| OverloadPolicy { activation, ..self.policy }),
            reads_ahead: activation == Some(Activation::Always) && self.has_memory_limit,
        }
    }
}

impl CommonConfig {
    /// Checks the settings that every process has.
    ///
    /// # Errors
    ///
    /// The first invalid setting.
    pub fn new(settings: &GatewaySettings) -> Result<CommonConfig, SettingError> {
        if settings.name.is_empty() {
            return Err(SettingError::new("name", "is empty; set a name for the process"));
        }
        let regions = settings.regions.iter();
        let log = settings.log.clone().unwrap_or_else(default_log);
        let level = match log.level {
            GatewayLogLevel::Error => LevelFilter::Error,
            GatewayLogLevel::Warn => LevelFilter::Warn,
            GatewayLogLevel::Info => LevelFilter::Info,
            GatewayLogLevel::Debug => LevelFilter::Debug,
        };
        Ok(CommonConfig {
            name: settings.name.as_str().into(),
            location: Location {
                region: settings.region.as_str().into(),
                availability_zone: settings.availability_zone.as_str().into(),
            },
            regions: regions
                .map(|(zone, region)| (Name::from(&**zone), Name::from(&**region)))
                .collect(),
            store: address("store.address", &settings.store.address)?,
            mirrors: mirrors(settings)?,
            store_timeout: Duration::from_millis(settings.store.timeout_ms),
            max_watch: Duration::from_millis(settings.store.watch_ms),
            routes_within: Duration::from_millis(settings.store.routes_within_ms),
            targets_within: Duration::from_millis(settings.store.targets_within_ms),
            metrics: match &settings.metrics {
                Some(listener) => Some(address("metrics.address", &listener.address)?),
                None => None,
            },
            log: LogConfig { level, lines_per_s: log.lines_per_s },
        })
    }
}

/// Settings of the process on a storage host.
#[derive(Debug, Clone)]
pub struct StorageConfig {
    /// Settings that every process has.
    pub common: CommonConfig,
    /// Listener for gateways that start during an outage of the store.
    pub mirror: Option<SocketAddr>,
}

impl StorageConfig {
    /// Checks the settings of the process on a storage host.
    ///
    /// # Errors
    ///
    /// The first invalid setting.
    pub fn new(settings: &GatewaySettings) -> Result<StorageConfig, SettingError> {
        let mirror = settings.mirror.as_ref().map(|it| address("mirror.address", &it.address));
        Ok(StorageConfig { common: CommonConfig::new(settings)?, mirror: mirror.transpose()? })
    }
}

impl GatewayConfig {
    /// Checks the settings of a gateway.
    ///
    /// # Errors
    ///
    /// The first setting that is missing or invalid.
    pub fn new(settings: &GatewaySettings) -> Result<GatewayConfig, SettingError> {
        let stopping = settings.stopping.clone().unwrap_or_default();
        let jobs = settings.jobs.clone().unwrap_or_else(default_jobs);
        Ok(GatewayConfig {
            common: CommonConfig::new(settings)?,
            callers: listener("callers.address", settings.callers.as_ref())?,
            readiness: listener("readiness.address", settings.readiness.as_ref())?,
            peers: listener("peers.address", settings.peers.as_ref())?,
            shutdown: shutdown_times(&stopping)?,
            keep_jobs: Duration::from_millis(jobs.keep_ms),
            rate_tolerance: rate_tolerance(settings.rate_limits.as_ref())?,
            overload: OverloadConfig::new(settings.overload.as_ref())?,
            client_limits: ClientLimits::new(&settings.overload.clone().unwrap_or_default())?,
        })
    }
}

fn default_log() -> GatewayLog {
    GatewayLog { level: GatewayLogLevel::Info, lines_per_s: 200 }
}

/// Longest time between the signal to stop and the end of the process that can be set.
const MAX_GRACE: Duration = Duration::from_secs(24 * 60 * 60);

fn shutdown_times(settings: &GatewayStopping) -> Result<ShutdownTimes, SettingError> {
    let grace = Duration::try_from_secs_f64(settings.grace_s);
    let invalid = || format!("{} is not a number of seconds between 0 and a day", settings.grace_s);
    let grace = grace.ok().filter(|it| !it.is_zero() && *it <= MAX_GRACE);
    let grace = grace.ok_or_else(|| SettingError::new("stopping.grace_s", invalid()))?;
    let finish = settings.finish_ms.map(Duration::from_millis);
    Ok(ShutdownTimes::new(Duration::from_millis(settings.unready_ms), finish, grace))
}

fn default_jobs() -> GatewayJobs {
    GatewayJobs { keep_ms: 120_000 }
}

fn rate_tolerance(settings: Option<&GatewayRateLimits>) -> Result<Tolerance, SettingError> {
    let settings = settings.cloned().unwrap_or_default();
    let checked = |key, value: f64, least: f64| match value >= least && value.is_finite() {
        true => Ok(value),
        false => {
            Err(SettingError::new(key, format!("{value} is not a number of at least {least}")))
        }
    };
    let window_s = checked("rate_limits.window_s", settings.window_s, 0.001)?;
    Ok(Tolerance {
        window_ms: (window_s * 1_000.0) as u64,
        fraction: checked("rate_limits.excess_fraction", settings.excess_fraction, 0.0)?,
        runs: checked("rate_limits.excess_runs", settings.excess_runs, 0.0)?,
    })
}

fn mirrors(settings: &GatewaySettings) -> Result<Vec<SocketAddr>, SettingError> {
    let listed = settings.mirrors.iter().flat_map(|it| &it.addresses);
    listed.map(|it| address("mirrors.addresses", it)).collect()
}

fn listener(
    key: &'static str,
    listener: Option<&GatewayListener>,
) -> Result<SocketAddr, SettingError> {
    match listener {
        Some(listener) => address(key, &listener.address),
        None => Err(SettingError::new(key, "is missing; set an address like 10.0.0.1:8080")),
    }
}
