//! Validates the values of a scenario beyond their types.

use anyhow::ensure;

use super::scenario::{Batch, CountRange, Fault, FaultKind, Network, Online, Scenario, Targets};

/// Returns an error that names the first invalid value.
pub fn check(scenario: &Scenario) -> anyhow::Result<()> {
    let Scenario { gateways, targets, bursts, .. } = scenario;
    positive("duration_s", scenario.duration_s)?;
    non_negative("finish_s", scenario.finish_s)?;
    fleet("gateways", gateways.count, &gateways.zones)?;
    fleet("targets", targets.count, &targets.zones)?;
    engine(targets)?;
    network(&scenario.network)?;
    positive("bursts.factor", bursts.factor)?;
    non_negative("bursts.every_s", bursts.every_s)?;
    non_negative("bursts.lasts_s", bursts.lasts_s)?;
    for (number, kind) in scenario.online.iter().enumerate() {
        online(&|field| format!("online.{number}.{field}"), kind)?;
    }
    for (number, kind) in scenario.batch.iter().enumerate() {
        batch(&|field| format!("batch.{number}.{field}"), kind)?;
    }
    for (number, it) in scenario.faults.iter().enumerate() {
        fault(&|field| format!("faults.{number}.{field}"), it, scenario)?;
    }
    Ok(())
}

fn engine(targets: &Targets) -> anyhow::Result<()> {
    positive("targets.slots", f64::from(targets.slots))?;
    positive("targets.step_ms", targets.step_ms)?;
    non_negative("targets.step_per_request_ms", targets.step_per_request_ms)?;
    positive("targets.prompt_tokens_per_ms", targets.prompt_tokens_per_ms)?;
    positive("targets.chunk_tokens", f64::from(targets.chunk_tokens))
}

fn network(network: &Network) -> anyhow::Result<()> {
    non_negative("network.zone_ms", network.zone_ms)?;
    non_negative("network.region_ms", network.region_ms)?;
    non_negative("network.far_ms", network.far_ms)?;
    non_negative("network.jitter_ms", network.jitter_ms)?;
    fraction("network.lost_part", network.lost_part)
}

fn online(key: &dyn Fn(&str) -> String, online: &Online) -> anyhow::Result<()> {
    non_negative(&key("rate_per_s"), online.rate_per_s)?;
    positive(&key("beginnings"), f64::from(online.beginnings))?;
    range(&key("prompt_tokens"), online.prompt_tokens, 0)?;
    range(&key("output_tokens"), online.output_tokens, 1)?;
    worth(&key("worth"), online.worth, online.worth_late)?;
    let in_order = online.aim_ms <= online.deadline_ms;
    ensure!(in_order, "`{}` must not be above `deadline_ms`", key("aim_ms"));
    Ok(())
}

fn batch(key: &dyn Fn(&str) -> String, batch: &Batch) -> anyhow::Result<()> {
    non_negative(&key("jobs_per_s"), batch.jobs_per_s)?;
    non_negative(&key("rush_at_s"), batch.rush_at_s)?;
    positive(&key("beginnings"), f64::from(batch.beginnings))?;
    range(&key("items"), batch.items, 1)?;
    range(&key("prompt_tokens"), batch.prompt_tokens, 0)?;
    range(&key("output_tokens"), batch.output_tokens, 1)?;
    worth(&key("worth"), batch.worth, batch.worth_late)?;
    positive(&key("due_s"), batch.due_s)?;
    non_negative(&key("give_up_s"), batch.give_up_s)?;
    let in_order = batch.due_s <= batch.give_up_s;
    ensure!(in_order, "`{}` must not be above `give_up_s`", key("due_s"));
    Ok(())
}

fn fault(key: &dyn Fn(&str) -> String, fault: &Fault, scenario: &Scenario) -> anyhow::Result<()> {
    non_negative(&key("at_s"), fault.at_s)?;
    positive(&key("lasts_s"), fault.lasts_s)?;
    match &fault.what {
        FaultKind::TargetsDown(them) => {
            indices(&key("what.targets_down"), them, scenario.targets.count)
        }
        FaultKind::GatewaysDown(them) => {
            indices(&key("what.gateways_down"), them, scenario.gateways.count)
        }
        FaultKind::MessagesLateMs(late_ms) => non_negative(&key("what.messages_late_ms"), *late_ms),
        FaultKind::MessagesLostPart(lost) => fraction(&key("what.messages_lost_part"), *lost),
    }
}

fn positive(name: &str, value: f64) -> anyhow::Result<()> {
    ensure!(value.is_finite() && value > 0.0, "`{name}` must be above 0, not {value}");
    Ok(())
}

fn non_negative(name: &str, value: f64) -> anyhow::Result<()> {
    ensure!(value.is_finite() && value >= 0.0, "`{name}` must be 0 or more, not {value}");
    Ok(())
}

fn fraction(name: &str, value: f64) -> anyhow::Result<()> {
    ensure!((0.0..=1.0).contains(&value), "`{name}` must be from 0 to 1, not {value}");
    Ok(())
}

fn fleet(name: &str, count: usize, zones: &[String]) -> anyhow::Result<()> {
    ensure!(count > 0, "`{name}.count` must be above 0");
    ensure!(!zones.is_empty(), "`{name}.zones` must contain at least one zone");
    for zone in zones {
        ensure!(zone.contains('/'), "`{name}.zones`: `{zone}` must be written as region/zone");
    }
    Ok(())
}

fn range(name: &str, [min, max]: CountRange, lowest_min: u32) -> anyhow::Result<()> {
    ensure!(min >= lowest_min, "`{name}` must be {lowest_min} or more");
    ensure!(min <= max, "`{name}` must have its minimum first: [{min}, {max}]");
    Ok(())
}

fn worth(name: &str, worth: f64, worth_late: f64) -> anyhow::Result<()> {
    positive(name, worth)?;
    let in_order = (0.0..=worth).contains(&worth_late);
    ensure!(in_order, "`{name}_late` must be from 0 to `worth`, not {worth_late}");
    Ok(())
}

fn indices(name: &str, indices: &[usize], count: usize) -> anyhow::Result<()> {
    match indices.iter().find(|it| **it >= count) {
        Some(number) => {
            anyhow::bail!("`{name}`: index {number} is out of range, the count is {count}")
        }
        None => Ok(()),
    }
}
