//! Scenario files of the emulator, in TOML: the fleet, its load, and the faults to inject.

use std::path::Path;

use anyhow::Context;
use serde::Deserialize;

use super::check::check;

/// Minimum and maximum, both inclusive, of a uniformly distributed count.
pub type CountRange = [u32; 2];

/// Content of a scenario file.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Period in which requests arrive.
    pub duration_s: f64,
    /// Additional time after that period for requests to finish.
    pub finish_s: f64,
    /// Gateways of the fleet.
    pub gateways: Gateways,
    /// Targets of the fleet; all serve the same service.
    pub targets: Targets,
    /// Latency and message loss between processes.
    pub network: Network,
    /// Behaviour of callers after a refusal or when their gateway is dead.
    pub callers: Callers,
    /// Takeover, saving and ordering of batch items.
    #[serde(default)]
    pub jobs: Jobs,
    /// Classes of online requests.
    #[serde(default)]
    pub online: Vec<Online>,
    /// Classes of batch jobs.
    #[serde(default)]
    pub batch: Vec<Batch>,
    /// Bursts of online requests.
    #[serde(default)]
    pub bursts: Bursts,
    /// Faults to inject.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Gateways, distributed evenly over the zones.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateways {
    /// Number of processes.
    pub count: usize,
    /// Availability zones, as `region/zone`.
    pub zones: Vec<String>,
}

/// Targets, distributed evenly over the zones, and the performance of their engines.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Targets {
    /// Number of processes.
    pub count: usize,
    /// Availability zones, as `region/zone`.
    pub zones: Vec<String>,
    /// Requests that a target runs concurrently.
    pub slots: u32,
    /// Requests that may wait at a target; it refuses further ones.
    pub queue: u32,
    /// Base duration of a step, without requests.
    pub step_ms: f64,
    /// Additional duration of a step for each running request.
    pub step_per_request_ms: f64,
    /// Prompt tokens that are prefilled per millisecond.
    pub prompt_tokens_per_ms: f64,
    /// Most prompt tokens that are prefilled in one step.
    pub chunk_tokens: u32,
    /// Capacity of a target's prefix cache, which keeps the most recently used shared prefixes of prompts.
    pub kept_beginnings: usize,
    /// Delay until gateways discover that a target has died or is back.
    pub discovery_ms: u64,
}

/// One-way latencies between processes, and loss of messages between gateways.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Network {
    /// Within an availability zone.
    pub zone_ms: f64,
    /// Between zones of a region.
    pub region_ms: f64,
    /// Between different regions.
    pub far_ms: f64,
    /// Most random delay that is added to a message between gateways.
    pub jitter_ms: f64,
    /// Fraction of the messages between gateways that is lost.
    pub lost_part: f64,
}

/// Behaviour of callers after a refusal or when their gateway is dead.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Callers {
    /// Retries of a caller after refusals.
    pub retries: u32,
    /// Time until a caller of a dead gateway reaches another gateway.
    pub reconnect_ms: u64,
}

/// Takeover, saving and ordering of batch items.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Jobs {
    /// Time until another gateway takes over the items of a dead one.
    pub takeover_ms: u64,
    /// Interval at which partial output of running items is saved; 0 for never.
    pub keep_output_ms: u64,
    /// Order in which a gateway dispatches its waiting items.
    pub order: ItemOrder,
}

impl Default for Jobs {
    fn default() -> Jobs {
        Jobs { takeover_ms: 2_500, keep_output_ms: 3_000, order: ItemOrder::Due }
    }
}

/// Order in which a gateway dispatches its waiting items.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemOrder {
    /// Earliest due time first.
    Due,
    /// Latest arrival first.
    Newest,
    /// Fewest output tokens left first.
    LeastLeft,
}

/// A class of online requests with the same distribution, latency objective and worth.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Online {
    /// Arrivals at all gateways together, outside bursts.
    pub rate_per_s: f64,
    /// Tokens of the prefix that a prompt shares with other prompts.
    #[serde(default)]
    pub shared_tokens: u32,
    /// Number of different shared prefixes.
    #[serde(default = "one")]
    pub beginnings: u32,
    /// Tokens of the prompt after the shared prefix.
    pub prompt_tokens: CountRange,
    /// Output tokens of an answer.
    pub output_tokens: CountRange,
    /// Latency objective: an answer has its full worth if its first token arrives within this time.
    pub aim_ms: u64,
    /// Time after which the caller disconnects.
    pub deadline_ms: u64,
    /// Priority level; 0 is the highest.
    #[serde(default)]
    pub priority: u32,
    /// Worth of an answer that starts within the latency objective.
    pub worth: f64,
    /// Worth of an answer that starts later.
    pub worth_late: f64,
}

/// A class of batch jobs with the same distribution, due time and worth.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// Arrivals at all gateways together.
    pub jobs_per_s: f64,
    /// Number of items of a job.
    pub items: CountRange,
    /// Tokens of the prefix that the prompts of a job share.
    #[serde(default)]
    pub shared_tokens: u32,
    /// Number of different shared prefixes.
    #[serde(default = "one")]
    pub beginnings: u32,
    /// Tokens of a prompt after the shared prefix.
    pub prompt_tokens: CountRange,
    /// Output tokens of an item.
    pub output_tokens: CountRange,
    /// Time from arrival within which an item has its full worth.
    pub due_s: f64,
    /// Time from arrival after which an item is cancelled.
    pub give_up_s: f64,
    /// Worth of an item that finishes within `due_s`.
    pub worth: f64,
    /// Worth of an item that finishes later.
    pub worth_late: f64,
    /// Additional jobs that arrive simultaneously.
    #[serde(default)]
    pub rush_jobs: u32,
    /// Arrival time of these additional jobs.
    #[serde(default)]
    pub rush_at_s: f64,
}

/// Periodic bursts of online requests, with a random phase.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bursts {
    /// Period from the start of one burst to the next; 0 for no bursts.
    pub every_s: f64,
    /// Duration of a burst.
    pub lasts_s: f64,
    /// Factor by which the arrival rate is multiplied during a burst.
    pub factor: f64,
}

impl Default for Bursts {
    fn default() -> Bursts {
        Bursts { every_s: 0.0, lasts_s: 0.0, factor: 1.0 }
    }
}

/// A fault to inject, with its start and duration.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Start of the fault.
    pub at_s: f64,
    /// Duration of the fault.
    pub lasts_s: f64,
    /// Kind of fault, and what it affects.
    pub what: FaultKind,
}

/// Kind of fault, and what it affects.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Kills the targets with these indices; they restart when the fault ends.
    TargetsDown(Vec<usize>),
    /// Kills the gateways with these indices; they restart when the fault ends.
    GatewaysDown(Vec<usize>),
    /// Adds this delay to messages between gateways.
    MessagesLateMs(f64),
    /// Drops at least this fraction of the messages between gateways.
    MessagesLostPart(f64),
}

fn one() -> u32 {
    1
}

impl Scenario {
    /// Reads a file and applies overrides, as pairs of dotted key and value.
    pub fn read(file: &Path, overrides: &[(String, toml::Value)]) -> anyhow::Result<Scenario> {
        let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
        Scenario::parse(&text, overrides).with_context(|| file.display().to_string())
    }

    /// Parses a text and applies overrides, as pairs of dotted key and value.
    pub fn parse(text: &str, overrides: &[(String, toml::Value)]) -> anyhow::Result<Scenario> {
        let scenario: Scenario = if overrides.is_empty() {
            toml::from_str(text)?
        } else {
            let mut value: toml::Value = toml::from_str(text)?;
            for (key, new) in overrides {
                set_value(&mut value, key, new.clone())?;
            }
            value.try_into()?
        };
        check(&scenario)?;
        Ok(scenario)
    }

    /// Duration of the whole simulation.
    pub fn total_s(&self) -> f64 {
        self.duration_s + self.finish_s
    }
}

/// Sets the value at a dotted key, whether or not the file contains it; list entries are addressed by index.
fn set_value(root: &mut toml::Value, key: &str, new: toml::Value) -> anyhow::Result<()> {
    let mut at = root;
    let (path, last) = key.rsplit_once('.').unwrap_or(("", key));
    for part in path.split('.').filter(|it| !it.is_empty()) {
        if let toml::Value::Table(table) = at {
            at = table.entry(part).or_insert_with(|| toml::Value::Table(toml::Table::new()));
        } else {
            let list = at
                .as_array_mut()
                .with_context(|| format!("`{key}`: `{part}` is not inside a table or a list"))?;
            let number: usize =
                part.parse().with_context(|| format!("`{key}`: `{part}` is not a list index"))?;
            at = list
                .get_mut(number)
                .with_context(|| format!("`{key}`: the list has no entry {number}"))?;
        }
    }
    let table = at.as_table_mut().with_context(|| format!("`{key}` is not a field of a table"))?;
    table.insert(last.to_owned(), new);
    Ok(())
}
