//! What operators see of the fair shares of workspaces: gauges, and a log line while a workspace loses requests.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use samphiredoor_core::{
    Name,
    overload::fair_share::{COMMON_KEY, ShareFigures, UNKNOWN_KEY},
    placement::ShareReport,
};

/// Interval of the gauges and of the log line.
const INTERVAL: Duration = Duration::from_secs(1);
/// Most workspaces whose names are kept. A share key beyond them is shown as [`OTHER`].
const MAX_NAMES: usize = 16_384;
/// Most workspaces with gauges of their own.
const MAX_LABELS: usize = 16;
/// Label of all workspaces without gauges of their own.
const OTHER: &str = "other";

/// Names of the workspaces that have sent requests to this process, by share key.
#[derive(Debug, Default)]
pub struct WorkspaceNames(HashMap<u64, Name>);

impl WorkspaceNames {
    /// Adds a workspace.
    pub fn add(&mut self, key: u64, name: &Name) {
        if self.0.len() < MAX_NAMES && !self.0.contains_key(&key) {
            self.0.insert(key, Name::clone(name));
        }
    }

    /// Name to show for a share key.
    pub fn label(&self, key: u64) -> &str {
        match key {
            UNKNOWN_KEY => "none",
            COMMON_KEY => "unknown_addresses",
            _ => self.0.get(&key).map_or(OTHER, |it| it),
        }
    }
}

/// Requests and share of one workspace, or of all that have no gauges of their own.
#[derive(Debug, Clone, PartialEq)]
pub struct LabelledShare {
    /// Name of the workspace.
    pub workspace: String,
    /// Requests at targets.
    pub running: f64,
    /// Requests rejected in the last second.
    pub rejected: f64,
    /// Requests that it may have at targets; `None` while capacity suffices, and for the sum of several.
    pub share: Option<f64>,
}

/// When the gauges and the log line are due.
#[derive(Debug)]
pub struct ShareLog {
    last: Instant,
}

impl ShareLog {
    /// The first ones are due after one interval.
    pub fn new() -> ShareLog {
        ShareLog { last: Instant::now() }
    }

    /// Whether they are due; they are due again after an interval.
    pub fn is_due(&mut self) -> bool {
        let is_due = self.last.elapsed() >= INTERVAL;
        if is_due {
            self.last = Instant::now();
        }
        is_due
    }
}

/// Figures of the workspaces with the highest use, and the sum of all others.
pub fn labelled(report: &ShareReport, names: &WorkspaceNames) -> Vec<LabelledShare> {
    let mut labelled = Vec::new();
    let mut others = labelled_sum(OTHER, None);
    for figures in &report.workspaces {
        let label = names.label(figures.key);
        let share = Some(figures.share).filter(|it| it.is_finite());
        let mut of_others = label == OTHER || labelled.len() == MAX_LABELS;
        // Two names with the same share key, or a workspace that is named like one of the fixed labels.
        of_others |= labelled.iter().any(|it: &LabelledShare| it.workspace == label);
        let sum = if of_others {
            &mut others
        } else {
            labelled.push(labelled_sum(label, share));
            let last = labelled.len() - 1;
            &mut labelled[last]
        };
        sum.running += figures.running;
        sum.rejected += figures.rejected;
    }
    labelled.push(others);
    labelled
}

fn labelled_sum(label: &str, share: Option<f64>) -> LabelledShare {
    LabelledShare { workspace: label.to_owned(), running: 0.0, rejected: 0.0, share }
}

/// Logs the workspace that loses the most requests above its share, if any does.
pub fn log_losses(report: &ShareReport, names: &WorkspaceNames) {
    let losing = report.workspaces.iter().filter(|it| it.is_limited());
    let Some(worst) = losing.clone().max_by(|one, other| one.rejected.total_cmp(&other.rejected))
    else {
        return;
    };
    let ShareFigures { key, running, rejected, share } = *worst;
    log::info!(
        workspace = names.label(key), running = running.round() as u64, share = share.round() as u64,
        rejected = rejected.round() as u64, workspaces_losing = losing.count(), peers = report.peers,
        news_age_ms = report.oldest_news_ms.map_or(-1, |it| it as i64);
        "shares: workspace above its share loses requests"
    );
}
