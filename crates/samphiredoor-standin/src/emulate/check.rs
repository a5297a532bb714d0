//! What a scenario's values have to be, besides being of the right type.

use anyhow::ensure;

use super::scenario::{Batch, Fault, FaultKind, Network, Online, Scenario, Span, Targets};

/// Names the first value that cannot be played.
pub fn check(scenario: &Scenario) -> anyhow::Result<()> {
    let Scenario { gateways, targets, bursts, .. } = scenario;
    above_0("duration_s", scenario.duration_s)?;
    at_least_0("finish_s", scenario.finish_s)?;
    fleet("gateways", gateways.count, &gateways.zones)?;
    fleet("targets", targets.count, &targets.zones)?;
    engine(targets)?;
    network(&scenario.network)?;
    above_0("bursts.factor", bursts.factor)?;
    at_least_0("bursts.every_s", bursts.every_s)?;
    at_least_0("bursts.lasts_s", bursts.lasts_s)?;
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
    above_0("targets.slots", f64::from(targets.slots))?;
    above_0("targets.step_ms", targets.step_ms)?;
    at_least_0("targets.step_per_request_ms", targets.step_per_request_ms)?;
    above_0("targets.prompt_tokens_per_ms", targets.prompt_tokens_per_ms)?;
    above_0("targets.chunk_tokens", f64::from(targets.chunk_tokens))
}

fn network(network: &Network) -> anyhow::Result<()> {
    at_least_0("network.zone_ms", network.zone_ms)?;
    at_least_0("network.region_ms", network.region_ms)?;
    at_least_0("network.far_ms", network.far_ms)?;
    at_least_0("network.jitter_ms", network.jitter_ms)?;
    part("network.lost_part", network.lost_part)
}

fn online(key: &dyn Fn(&str) -> String, online: &Online) -> anyhow::Result<()> {
    at_least_0(&key("rate_per_s"), online.rate_per_s)?;
    above_0(&key("beginnings"), f64::from(online.beginnings))?;
    span(&key("prompt_tokens"), online.prompt_tokens, 0)?;
    span(&key("output_tokens"), online.output_tokens, 1)?;
    worth(&key("worth"), online.worth, online.worth_late)?;
    let in_order = online.aim_ms <= online.deadline_ms;
    ensure!(in_order, "`{}` must not be above `deadline_ms`", key("aim_ms"));
    Ok(())
}

fn batch(key: &dyn Fn(&str) -> String, batch: &Batch) -> anyhow::Result<()> {
    at_least_0(&key("jobs_per_s"), batch.jobs_per_s)?;
    at_least_0(&key("rush_at_s"), batch.rush_at_s)?;
    above_0(&key("beginnings"), f64::from(batch.beginnings))?;
    span(&key("items"), batch.items, 1)?;
    span(&key("prompt_tokens"), batch.prompt_tokens, 0)?;
    span(&key("output_tokens"), batch.output_tokens, 1)?;
    worth(&key("worth"), batch.worth, batch.worth_late)?;
    above_0(&key("due_s"), batch.due_s)?;
    at_least_0(&key("give_up_s"), batch.give_up_s)?;
    let in_order = batch.due_s <= batch.give_up_s;
    ensure!(in_order, "`{}` must not be above `give_up_s`", key("due_s"));
    Ok(())
}

fn fault(key: &dyn Fn(&str) -> String, fault: &Fault, scenario: &Scenario) -> anyhow::Result<()> {
    at_least_0(&key("at_s"), fault.at_s)?;
    above_0(&key("lasts_s"), fault.lasts_s)?;
    match &fault.what {
        FaultKind::TargetsDown(them) => {
            numbers(&key("what.targets_down"), them, scenario.targets.count)
        }
        FaultKind::GatewaysDown(them) => {
            numbers(&key("what.gateways_down"), them, scenario.gateways.count)
        }
        FaultKind::MessagesLateMs(late_ms) => at_least_0(&key("what.messages_late_ms"), *late_ms),
        FaultKind::MessagesLostPart(lost) => part(&key("what.messages_lost_part"), *lost),
    }
}

fn above_0(name: &str, value: f64) -> anyhow::Result<()> {
    ensure!(value.is_finite() && value > 0.0, "`{name}` must be above 0, not {value}");
    Ok(())
}

fn at_least_0(name: &str, value: f64) -> anyhow::Result<()> {
    ensure!(value.is_finite() && value >= 0.0, "`{name}` must be 0 or more, not {value}");
    Ok(())
}

fn part(name: &str, value: f64) -> anyhow::Result<()> {
    ensure!((0.0..=1.0).contains(&value), "`{name}` must be from 0 to 1, not {value}");
    Ok(())
}

fn fleet(name: &str, count: usize, zones: &[String]) -> anyhow::Result<()> {
    ensure!(count > 0, "`{name}.count` must be above 0");
    ensure!(!zones.is_empty(), "`{name}.zones` must name a zone");
    for zone in zones {
        ensure!(zone.contains('/'), "`{name}.zones`: `{zone}` must be written as region/zone");
    }
    Ok(())
}

fn span(name: &str, [least, most]: Span, floor: u32) -> anyhow::Result<()> {
    ensure!(least >= floor, "`{name}` must be {floor} or more");
    ensure!(least <= most, "`{name}` must have its least first: [{least}, {most}]");
    Ok(())
}

fn worth(name: &str, worth: f64, worth_late: f64) -> anyhow::Result<()> {
    above_0(name, worth)?;
    let in_order = (0.0..=worth).contains(&worth_late);
    ensure!(in_order, "`{name}_late` must be from 0 to `worth`, not {worth_late}");
    Ok(())
}

fn numbers(name: &str, numbers: &[usize], count: usize) -> anyhow::Result<()> {
    match numbers.iter().find(|it| **it >= count) {
        Some(number) => anyhow::bail!("`{name}`: there is no number {number} among {count}"),
        None => Ok(()),
    }
}
