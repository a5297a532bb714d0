//! All that was decided before the process starts.

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use anyhow::{Context, bail};
use log::LevelFilter;
use samphiredoor_core::{Name, manifest::checked_name};
use samphiredoor_schema::settings::{LogLevel, Settings};

use crate::{access::Token, cli::Opts};

/// What the process does.
#[derive(Debug)]
pub enum Mode {
    /// Run a door.
    Serve(Box<DoorConfig>),
    /// Only check the settings.
    Check,
    /// Run a door with everything it needs inside.
    Dev(DevConfig),
}

/// Decided options.
#[derive(Debug)]
pub struct Config {
    /// What to do.
    pub mode: Mode,
    /// Least severe level that is logged.
    pub log_level: LevelFilter,
}

/// Options of `dev`.
#[derive(Debug)]
pub struct DevConfig {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Whether to show one completion and one job, and end.
    pub demo: bool,
}

/// Options of a door.
#[derive(Debug, Clone)]
pub struct DoorConfig {
    /// Name of the process.
    pub name: Name,
    /// Region of the host.
    pub region: Name,
    /// Availability zone of the host.
    pub availability_zone: Name,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
    /// Token that operators show; `None` lets all in, which is for loopback only.
    pub operators_token: Option<Token>,
    /// Listener for other doors.
    pub peers: SocketAddr,
    /// The object API.
    pub store: SocketAddr,
    /// Longest wait for the store.
    pub store_timeout: Duration,
    /// Largest body of a request.
    pub max_body_bytes: usize,
    /// Connections of callers held at once.
    pub max_connections: usize,
    /// Deadline of a request that names none.
    pub default_deadline: Duration,
    /// Length of the process's lease.
    pub lease: Duration,
    /// Time between two renewals of the lease.
    pub renew: Duration,
    /// Time between failing readiness and closing the callers' listener.
    pub unready: Duration,
    /// Longest wait for running requests in a planned stop.
    pub finish: Duration,
}

impl Config {
    /// Decides all options.
    ///
    /// # Errors
    ///
    /// Settings that cannot be read or make no sense; one sentence with the place and a hint.
    pub fn new(opts: Opts) -> anyhow::Result<Config> {
        match opts {
            Opts::Serve { file } => {
                let (door, log_level) = read_settings(&file)?;
                Ok(Config { mode: Mode::Serve(Box::new(door)), log_level })
            }
            Opts::Check { file } => {
                let (_, log_level) = read_settings(&file)?;
                Ok(Config { mode: Mode::Check, log_level })
            }
            Opts::Dev { callers, demo } => {
                let log_level = if demo { LevelFilter::Warn } else { LevelFilter::Info };
                Ok(Config { mode: Mode::Dev(DevConfig { callers, demo }), log_level })
            }
        }
    }
}

fn read_settings(file: &Path) -> anyhow::Result<(DoorConfig, LevelFilter)> {
    let text = std::fs::read_to_string(file)
        .with_context(|| format!("{}: cannot be read; name a settings file", file.display()))?;
    let settings: Settings =
        toml::from_str(&text).map_err(|err| anyhow::anyhow!("{}: {err}", file.display()))?;
    let door = DoorConfig::new(&settings).with_context(|| file.display().to_string())?;
    Ok((door, log_level(&settings)))
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
    /// Checks settings.
    ///
    /// # Errors
    ///
    /// The first setting that makes no sense.
    pub fn new(settings: &Settings) -> anyhow::Result<DoorConfig> {
        let callers = address("callers.address", &settings.callers.address)?;
        let operators = address("operators.address", &settings.operators.address)?;
        let peers = address("peers.address", &settings.peers.address)?;
        let listeners = [callers, operators, peers];
        for (index, listener) in listeners.iter().enumerate() {
            if listener.port() != 0 && listeners[..index].contains(listener) {
                bail!(
                    "{listener} is given to two listeners; callers, operators and peers are kept apart"
                );
            }
        }
        let ownership = settings.ownership.clone().unwrap_or_default();
        if ownership.renew_ms * 2 > ownership.lease_ms {
            bail!(
                "ownership.renew_ms: is above half of lease_ms; one lost renewal would end the lease"
            );
        }
        let stopping = settings.stopping.clone().unwrap_or_default();
        Ok(DoorConfig {
            name: checked_name("name", &settings.name)?,
            region: checked_name("region", &settings.region)?,
            availability_zone: checked_name("availability_zone", &settings.availability_zone)?,
            callers,
            operators,
            operators_token: operators_token(settings, operators)?,
            peers,
            store: address("store.address", &settings.store.address)?,
            store_timeout: Duration::from_millis(settings.store.timeout_ms),
            max_body_bytes: settings.callers.max_body_bytes as usize,
            max_connections: settings.callers.max_connections.get() as usize,
            default_deadline: Duration::from_millis(settings.callers.default_deadline_ms.get()),
            lease: Duration::from_millis(ownership.lease_ms),
            renew: Duration::from_millis(ownership.renew_ms),
            unready: Duration::from_millis(stopping.unready_ms),
            finish: Duration::from_millis(stopping.finish_ms),
        })
    }

    /// Name of the process, shared.
    pub fn name(&self) -> Name {
        Arc::clone(&self.name)
    }
}

fn operators_token(settings: &Settings, listener: SocketAddr) -> anyhow::Result<Option<Token>> {
    match &settings.operators.token_file {
        Some(file) => Token::read(Path::new(file)).context("operators.token_file").map(Some),
        None if listener.ip().is_loopback() => Ok(None),
        None => bail!("operators.token_file: is missing; only a loopback listener can do without"),
    }
}

fn address(key: &str, text: &str) -> anyhow::Result<SocketAddr> {
    text.parse().with_context(|| format!("{key}: `{text}` is not an IP address with a port"))
}
