//! Checked options of the process, from the command line and the settings file.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use log::LevelFilter;
use samphiredoor_core::{Name, manifest::validate_name};
use samphiredoor_gateway::{
    config::{GatewayConfig, StorageConfig},
    settings::{self, SettingError, address},
};
use samphiredoor_schema::settings::{LogLevel, OwnershipSettings, Settings};

use crate::{
    access::{self, Token},
    cli::Opts,
};

const MIN_LEASE_MS: u64 = 500;

/// Mode of operation, one for each command of the command line.
#[derive(Debug)]
pub enum Mode {
    /// Run the gateway of this crate, with the listeners and settings of [`DoorConfig`].
    Serve(Box<DoorConfig>),
    /// Run a gateway on the users' platform; the file is read again when settings are reloaded.
    Gateway(Box<GatewayConfig>, PathBuf),
    /// Run the process on a storage host of the users' platform.
    Storage(Box<StorageConfig>),
    /// Check the settings and exit.
    Check,
    /// Print the digest of an API key and exit.
    Digest,
    /// Run the gateway of this crate with an embedded object API and embedded engines.
    Dev(DevConfig),
}

/// Checked options of the process.
#[derive(Debug)]
pub struct Config {
    /// Mode of operation, with its options.
    pub mode: Mode,
    /// Least severe level that is logged.
    pub log_level: LevelFilter,
}

/// Options of `dev`.
#[derive(Debug)]
pub struct DevConfig {
    /// Address of the callers' listener; the operators' and the peers' listeners use the next two ports.
    pub callers: SocketAddr,
    /// Whether to run one completion and one job, print them, and exit.
    pub demo: bool,
}

/// Settings of the gateway of this crate.
#[derive(Debug, Clone)]
pub struct DoorConfig {
    /// Name of the process, unique in the fleet.
    pub name: Name,
    /// Region of the host.
    pub region: Name,
    /// Availability zone of the host.
    pub availability_zone: Name,
    /// Address of the callers' listener.
    pub callers: SocketAddr,
    /// Address of the operators' listener.
    pub operators: SocketAddr,
    /// Token that operators present; `None` admits everyone, which is allowed on loopback only.
    pub operators_token: Option<Token>,
    /// Address of the peers' listener.
    pub peers: SocketAddr,
    /// Token that gateways present to each other.
    pub peer_token: Arc<[u8]>,
    /// Addresses of peers to connect to while this process has no link, for a start while the store is down.
    pub seeds: Vec<Arc<str>>,
    /// Interval of heartbeats to a neighbour.
    pub heartbeat: Duration,
    /// Address of the object API.
    pub store: SocketAddr,
    /// Timeout of a store call.
    pub store_timeout: Duration,
    /// Largest request body.
    pub max_body_bytes: usize,
    /// Longest wait for the next part of a request body.
    pub body_timeout: Duration,
    /// Most simultaneous connections from callers.
    pub max_connections: usize,
    /// Deadline of a request that does not set one.
    pub default_deadline: Duration,
    /// How long an idempotency key is remembered.
    pub remember_keys: Duration,
    /// Duration of the process's lease.
    pub lease: Duration,
    /// Interval of lease renewals.
    pub renew: Duration,
    /// Time between failing readiness and closing the callers' listener.
    pub unready: Duration,
    /// Longest wait for running requests in a graceful shutdown.
    pub finish: Duration,
}

impl Config {
    /// Reads and checks the options that the command line names.
    ///
    /// # Errors
    ///
    /// The settings cannot be read or are invalid; one sentence with the line and a hint.
    pub fn new(opts: Opts) -> anyhow::Result<Config> {
        match opts {
            Opts::Serve { file } => {
                let (door, log_level) = read_settings(&file)?;
                Ok(Config { mode: Mode::Serve(Box::new(door)), log_level })
            }
            Opts::Gateway { file } => {
                let gateway = gateway_config(&file)?;
                let log_level = gateway.common.log.level;
                Ok(Config { mode: Mode::Gateway(Box::new(gateway), file), log_level })
            }
            Opts::Storage { file } => {
                let storage = settings::read(&file, StorageConfig::new)?;
                let log_level = storage.common.log.level;
                Ok(Config { mode: Mode::Storage(Box::new(storage)), log_level })
            }
            Opts::Check { file } => {
                let (_, log_level) = read_settings(&file)?;
                Ok(Config { mode: Mode::Check, log_level })
            }
            Opts::Digest => Ok(Config { mode: Mode::Digest, log_level: LevelFilter::Warn }),
            Opts::Dev { callers, demo } => {
                let log_level = if demo { LevelFilter::Warn } else { LevelFilter::Info };
                Ok(Config { mode: Mode::Dev(DevConfig { callers, demo }), log_level })
            }
        }
    }
}

/// Reads and checks the settings of a gateway.
///
/// # Errors
///
/// The settings cannot be read or are invalid; one sentence with the line and a hint.
pub fn gateway_config(file: &Path) -> anyhow::Result<GatewayConfig> {
    settings::read(file, GatewayConfig::new)
}

fn read_settings(file: &Path) -> anyhow::Result<(DoorConfig, LevelFilter)> {
    settings::read(file, |settings| Ok((DoorConfig::new(settings)?, log_level(settings))))
}

fn log_level(settings: &Settings) -> LevelFilter {
    let level = settings.log.as_ref().and_then(|it| it.level);
    match level.unwrap_or_default() {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    }
}

impl DoorConfig {
    /// Checks the settings and reads the token files.
    ///
    /// # Errors
    ///
    /// The first invalid setting.
    pub fn new(settings: &Settings) -> Result<DoorConfig, SettingError> {
        let callers = address("callers.address", &settings.callers.address)?;
        let operators = address("operators.address", &settings.operators.address)?;
        let peers = address("peers.address", &settings.peers.address)?;
        check_distinct("operators.address", operators, &[callers])?;
        check_distinct("peers.address", peers, &[callers, operators])?;
        let ownership = settings.ownership.clone().unwrap_or_default();
        check_ownership(&ownership)?;
        let stopping = settings.stopping.clone().unwrap_or_default();
        Ok(DoorConfig {
            name: name("name", &settings.name)?,
            region: name("region", &settings.region)?,
            availability_zone: name("availability_zone", &settings.availability_zone)?,
            callers,
            operators,
            operators_token: operators_token(settings, operators)?,
            peers,
            peer_token: peer_token(settings, peers)?,
            seeds: seeds(&settings.peers.seeds)?,
            heartbeat: Duration::from_millis(settings.peers.heartbeat_ms),
            store: address("store.address", &settings.store.address)?,
            store_timeout: Duration::from_millis(settings.store.timeout_ms),
            max_body_bytes: settings.callers.max_body_bytes as usize,
            body_timeout: Duration::from_millis(settings.callers.body_timeout_ms.get()),
            max_connections: settings.callers.max_connections.get() as usize,
            default_deadline: Duration::from_millis(settings.callers.default_deadline_ms.get()),
            remember_keys: Duration::from_millis(settings.callers.remember_keys_ms),
            lease: Duration::from_millis(ownership.lease_ms),
            renew: Duration::from_millis(ownership.renew_ms),
            unready: Duration::from_millis(stopping.unready_ms),
            finish: Duration::from_millis(stopping.finish_ms),
        })
    }

    /// Name of the process, as a shared string.
    pub fn name(&self) -> Name {
        Arc::clone(&self.name)
    }
}

fn name(key: &'static str, text: &str) -> Result<Name, SettingError> {
    validate_name(key, text).map_err(|err| SettingError::new(key, err.problem))
}

fn check_distinct(
    key: &'static str,
    listener: SocketAddr,
    others: &[SocketAddr],
) -> Result<(), SettingError> {
    if listener.port() == 0 || !others.contains(&listener) {
        return Ok(());
    }
    let problem =
        format!("{listener} is given twice; callers, operators and peers need separate listeners");
    Err(SettingError::new(key, problem))
}

fn check_ownership(ownership: &OwnershipSettings) -> Result<(), SettingError> {
    if ownership.lease_ms < MIN_LEASE_MS {
        let problem =
            format!("is below {MIN_LEASE_MS}; a response of the store may take that long");
        return Err(SettingError::new("ownership.lease_ms", problem));
    }
    if ownership.renew_ms == 0 || ownership.renew_ms * 2 > ownership.lease_ms {
        let problem = "use 1 to half of lease_ms, so that one lost renewal does not end the lease";
        return Err(SettingError::new("ownership.renew_ms", problem));
    }
    Ok(())
}

fn operators_token(
    settings: &Settings,
    listener: SocketAddr,
) -> Result<Option<Token>, SettingError> {
    const KEY: &str = "operators.token_file";
    match &settings.operators.token_file {
        Some(file) => match Token::read(Path::new(file)) {
            Ok(token) => Ok(Some(token)),
            Err(err) => Err(SettingError::new(KEY, format!("{err:#}"))),
        },
        None if listener.ip().is_loopback() => Ok(None),
        None => Err(SettingError::new(KEY, "is missing; only a loopback listener may omit it")),
    }
}

fn peer_token(settings: &Settings, listener: SocketAddr) -> Result<Arc<[u8]>, SettingError> {
    const KEY: &str = "peers.token_file";
    match &settings.peers.token_file {
        Some(file) => match access::read_token(Path::new(file)) {
            Ok(token) => Ok(token.as_bytes().into()),
            Err(err) => Err(SettingError::new(KEY, format!("{err:#}"))),
        },
        None if listener.ip().is_loopback() => Ok(Arc::from([])),
        None => Err(SettingError::new(KEY, "is missing; only a loopback listener may omit it")),
    }
}

fn seeds(seeds: &[String]) -> Result<Vec<Arc<str>>, SettingError> {
    let checked = seeds.iter().map(|it| Ok(address("peers.seeds", it)?.to_string().into()));
    checked.collect()
}
