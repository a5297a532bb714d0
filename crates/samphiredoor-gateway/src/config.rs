//! All that was decided before the process starts.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use log::LevelFilter;
use samphiredoor_core::{Name, dispatch::Location};
use samphiredoor_schema::gateway_settings::{
    GatewayJobs, GatewayListener, GatewayLog, GatewayLogLevel, GatewaySettings, GatewayStopping,
};

use crate::settings::{SettingError, address};

/// How logs are written.
#[derive(Debug, Clone, Copy)]
pub struct LogConfig {
    /// Least severe level.
    pub level: LevelFilter,
    /// Most lines a second.
    pub lines_per_s: u32,
}

/// What every process of the system needs.
#[derive(Debug, Clone)]
pub struct CommonConfig {
    /// Name of the process.
    pub name: Name,
    /// Where its host stands.
    pub location: Location,
    /// Region of each availability zone.
    pub regions: BTreeMap<Name, Name>,
    /// The platform's store.
    pub store: SocketAddr,
    /// Processes that tell what they saw last of the store.
    pub mirrors: Vec<SocketAddr>,
    /// Longest wait for the store's answer.
    pub store_timeout: Duration,
    /// How long a watch waits for an event.
    pub watch: Duration,
    /// Within which time new routes have to be in force.
    pub routes_within: Duration,
    /// Within which time a leaving target may get no new work.
    pub targets_within: Duration,
    /// Listener for metrics.
    pub metrics: Option<SocketAddr>,
    /// Logs.
    pub log: LogConfig,
}

/// Options of a gateway.
#[derive(Debug, Clone)]
pub struct GatewayConfig {
    /// What every process needs.
    pub common: CommonConfig,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for the balancer's questions.
    pub readiness: SocketAddr,
    /// Listener for other gateways, for TCP and UDP.
    pub peers: SocketAddr,
    /// Time between failing readiness and closing the callers' listener.
    pub unready: Duration,
    /// Longest wait for running requests after that.
    pub finish: Duration,
    /// How long a job is kept after its submission.
    pub keep_jobs: Duration,
}

impl CommonConfig {
    /// Checks the settings that every process needs.
    ///
    /// # Errors
    ///
    /// The first setting that makes no sense.
    pub fn new(settings: &GatewaySettings) -> Result<CommonConfig, SettingError> {
        if settings.name.is_empty() {
            return Err(SettingError::new("name", "is empty; name the process"));
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
            watch: Duration::from_millis(settings.store.watch_ms),
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

/// Options of the process on a storage host.
#[derive(Debug, Clone)]
pub struct StorageConfig {
    /// What every process needs.
    pub common: CommonConfig,
    /// Listener for gateways that start while the store is lost.
    pub mirror: Option<SocketAddr>,
}

impl StorageConfig {
    /// Checks settings of the process on a storage host.
    ///
    /// # Errors
    ///
    /// The first setting that makes no sense.
    pub fn new(settings: &GatewaySettings) -> Result<StorageConfig, SettingError> {
        let mirror = settings.mirror.as_ref().map(|it| address("mirror.address", &it.address));
        Ok(StorageConfig { common: CommonConfig::new(settings)?, mirror: mirror.transpose()? })
    }
}

impl GatewayConfig {
    /// Checks settings of a gateway.
    ///
    /// # Errors
    ///
    /// The first setting that is missing or makes no sense.
    pub fn new(settings: &GatewaySettings) -> Result<GatewayConfig, SettingError> {
        let stopping = settings.stopping.clone().unwrap_or_else(default_stopping);
        let jobs = settings.jobs.clone().unwrap_or_else(default_jobs);
        Ok(GatewayConfig {
            common: CommonConfig::new(settings)?,
            callers: listener("callers.address", settings.callers.as_ref())?,
            readiness: listener("readiness.address", settings.readiness.as_ref())?,
            peers: listener("peers.address", settings.peers.as_ref())?,
            unready: Duration::from_millis(stopping.unready_ms),
            finish: Duration::from_millis(stopping.finish_ms),
            keep_jobs: Duration::from_millis(jobs.keep_ms),
        })
    }
}

fn default_log() -> GatewayLog {
    GatewayLog { level: GatewayLogLevel::Info, lines_per_s: 200 }
}

fn default_stopping() -> GatewayStopping {
    GatewayStopping { unready_ms: 3_000, finish_ms: 4_500 }
}

fn default_jobs() -> GatewayJobs {
    GatewayJobs { keep_ms: 120_000 }
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
        None => Err(SettingError::new(key, "is missing; use an address, as 10.0.0.1:8080")),
    }
}
