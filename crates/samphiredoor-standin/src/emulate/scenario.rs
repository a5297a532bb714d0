//! Scenario files of the emulator: a fleet, its load and its faults.

use std::path::Path;

use anyhow::Context;
use serde::Deserialize;

use super::check::check;

/// Least and most of something that is drawn evenly.
pub type CountRange = [u32; 2];

/// A fleet, its load and its faults.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Time in which requests arrive.
    pub duration_s: f64,
    /// Time after it in which what has arrived may end.
    pub finish_s: f64,
    /// Gateways.
    pub gateways: Gateways,
    /// Targets, all of one service.
    pub targets: Targets,
    /// Ways between them.
    pub network: Network,
    /// What callers do that were refused or found nobody.
    pub callers: Callers,
    /// How jobs are kept and run.
    #[serde(default)]
    pub jobs: Jobs,
    /// Kinds of online requests.
    #[serde(default)]
    pub online: Vec<Online>,
    /// Kinds of jobs.
    #[serde(default)]
    pub batch: Vec<Batch>,
    /// Bursts of online requests.
    #[serde(default)]
    pub bursts: Bursts,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Gateways, spread evenly over the zones.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateways {
    /// How many.
    pub count: usize,
    /// Availability zones, as `region/zone`.
    pub zones: Vec<String>,
}

/// Targets, spread evenly over the zones.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Targets {
    /// How many.
    pub count: usize,
    /// Availability zones, as `region/zone`.
    pub zones: Vec<String>,
    /// Requests that one runs at once.
    pub slots: u32,
    /// Requests that wait at one before it refuses more.
    pub queue: u32,
    /// Time of a step without requests.
    pub step_ms: f64,
    /// Added time of a step for each request that runs.
    pub step_per_request_ms: f64,
    /// Prompt tokens that are read in a millisecond.
    pub prompt_tokens_per_ms: f64,
    /// Prompt tokens that are read in one step at most.
    pub chunk_tokens: u32,
    /// Shared beginnings of prompts that one keeps, the latest used.
    pub kept_beginnings: usize,
    /// Time until gateways learn that a target is gone or back.
    pub discovery_ms: u64,
}

/// One way between two processes.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Network {
    /// Within an availability zone.
    pub zone_ms: f64,
    /// Between zones of a region.
    pub region_ms: f64,
    /// Between regions.
    pub far_ms: f64,
    /// Most that chance adds to the way of a message between gateways.
    pub jitter_ms: f64,
    /// Part of the messages between gateways that is lost.
    pub lost_part: f64,
}

/// What callers do that were refused or found nobody.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Callers {
    /// How often one comes back after a refusal.
    pub retries: u32,
    /// Time until one that reached a dead gateway has reached another.
    pub reconnect_ms: u64,
}

/// How jobs are kept and run.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Jobs {
    /// Time until another gateway runs the items of a dead one.
    pub takeover_ms: u64,
    /// Time between two looks at which output of items is kept; 0 for never.
    pub keep_output_ms: u64,
    /// Which items of a gateway go first.
    pub order: ItemOrder,
}

impl Default for Jobs {
    fn default() -> Jobs {
        Jobs { takeover_ms: 2_500, keep_output_ms: 3_000, order: ItemOrder::Due }
    }
}

/// Which items of a gateway go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemOrder {
    /// Those that are due first.
    Due,
    /// Those that arrived last.
    Newest,
    /// Those with the least left to put out.
    LeastLeft,
}

/// A kind of online requests.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Online {
    /// Arrivals at all gateways together, outside of bursts.
    pub rate_per_s: f64,
    /// Tokens of the beginning that a prompt shares with others.
    #[serde(default)]
    pub shared_tokens: u32,
    /// Number of such beginnings.
    #[serde(default = "one")]
    pub beginnings: u32,
    /// Tokens of the rest of the prompt.
    pub prompt_tokens: CountRange,
    /// Tokens of the answer.
    pub output_tokens: CountRange,
    /// Time to the first token within which an answer has its full worth.
    pub aim_ms: u64,
    /// Time after which the caller leaves.
    pub deadline_ms: u64,
    /// Urgency; 0 is the highest.
    #[serde(default)]
    pub priority: u32,
    /// Worth of an answer that begins in the aim.
    pub worth: f64,
    /// Worth of one that begins later.
    pub worth_late: f64,
}

/// A kind of jobs.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// Arrivals at all gateways together.
    pub jobs_per_s: f64,
    /// Items of a job.
    pub items: CountRange,
    /// Tokens of the beginning that prompts share.
    #[serde(default)]
    pub shared_tokens: u32,
    /// Number of such beginnings.
    #[serde(default = "one")]
    pub beginnings: u32,
    /// Tokens of the rest of a prompt.
    pub prompt_tokens: CountRange,
    /// Tokens of an output.
    pub output_tokens: CountRange,
    /// Time within which an item has its full worth.
    pub due_s: f64,
    /// Time after which an item is given up.
    pub give_up_s: f64,
    /// Worth of an item in time.
    pub worth: f64,
    /// Worth of a later one.
    pub worth_late: f64,
    /// Jobs that come all at once.
    #[serde(default)]
    pub rush_jobs: u32,
    /// When they come.
    #[serde(default)]
    pub rush_at_s: f64,
}

/// Bursts of online requests; their phase is drawn.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bursts {
    /// Time from one to the next; 0 for none.
    pub every_s: f64,
    /// Length of one.
    pub lasts_s: f64,
    /// Factor on the rate of arrivals in it.
    pub factor: f64,
}

impl Default for Bursts {
    fn default() -> Bursts {
        Bursts { every_s: 0.0, lasts_s: 0.0, factor: 1.0 }
    }
}

/// What goes wrong, from when on and for how long.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins.
    pub at_s: f64,
    /// How long it lasts.
    pub lasts_s: f64,
    /// What it is.
    pub what: FaultKind,
}

/// What goes wrong.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Targets are killed, by number, and start anew at the end.
    TargetsDown(Vec<usize>),
    /// Gateways are killed, by number, and start anew at the end.
    GatewaysDown(Vec<usize>),
    /// Messages between gateways are late by so much more.
    MessagesLateMs(f64),
    /// So large a part of the messages between gateways is lost.
    MessagesLostPart(f64),
}

fn one() -> u32 {
    1
}

impl Scenario {
    /// Reads a file, with some values put in place of its own.
    pub fn read(file: &Path, overrides: &[(String, toml::Value)]) -> anyhow::Result<Scenario> {
        let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
        Scenario::parse(&text, overrides).with_context(|| file.display().to_string())
    }

    /// Reads a text, with some values put in place of its own.
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

    /// Time until the end of everything.
    pub fn total_s(&self) -> f64 {
        self.duration_s + self.finish_s
    }
}

/// Puts a value in place of another one, or of a default, by its key with dots; parts of lists go by number.
fn set_value(root: &mut toml::Value, key: &str, new: toml::Value) -> anyhow::Result<()> {
    let mut at = root;
    let (path, last) = key.rsplit_once('.').unwrap_or(("", key));
    for part in path.split('.').filter(|it| !it.is_empty()) {
        if let toml::Value::Table(table) = at {
            at = table.entry(part).or_insert_with(|| toml::Value::Table(toml::Table::new()));
        } else {
            let list =
                at.as_array_mut().with_context(|| format!("`{key}`: nothing at `{part}`"))?;
            let number: usize = part.parse().with_context(|| format!("`{key}`: `{part}`"))?;
            at = list.get_mut(number).with_context(|| format!("`{key}`: no number {number}"))?;
        }
    }
    let table = at.as_table_mut().with_context(|| format!("`{key}` is no field of a table"))?;
    table.insert(last.to_owned(), new);
    Ok(())
}
