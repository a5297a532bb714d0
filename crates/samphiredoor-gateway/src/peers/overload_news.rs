//! Encoding of what overload control shares, in statuses and summaries.
//!
//! Each list has a fixed maximum. A message that is still too large for one packet is written with shorter lists.

use samphiredoor_core::overload::{
    ExpectedReturns, FailingTarget, ItemRunTime, MAX_ENTRIES, OverloadNews, OwedItems, SpeedReport,
    WorkspaceUsage,
};
use samphiredoor_schema::peer_capnp::overload_news;

/// Writes the first entries of each list.
pub(super) fn write_news(
    news: &OverloadNews,
    max_entries: usize,
    mut root: overload_news::Builder<'_>,
) {
    let list_len = |len: usize| len.min(max_entries) as u32;
    let mut list = root.reborrow().init_speeds(list_len(news.speeds.len()));
    for (index, report) in news.speeds.iter().take(max_entries).enumerate() {
        let mut it = list.reborrow().get(index as u32);
        it.set_target(report.target);
        it.set_percent(saturating_u16(report.percent));
        it.set_age_ms(saturating_u16(report.age_ms));
    }
    let mut list = root.reborrow().init_failing(list_len(news.failing.len()));
    for (index, failing) in news.failing.iter().take(max_entries).enumerate() {
        let mut it = list.reborrow().get(index as u32);
        it.set_target(failing.target);
        it.set_failures(saturating_u16(failing.failures));
        it.set_age_ms(saturating_u16(failing.age_ms));
    }
    let mut list = root.reborrow().init_usage(list_len(news.usage.len()));
    for (index, usage) in news.usage.iter().take(max_entries).enumerate() {
        let mut it = list.reborrow().get(index as u32);
        it.set_workspace(usage.workspace);
        it.set_running(saturating_u16(usage.running));
        it.set_rejected(saturating_u16(usage.rejected));
    }
    let mut list = root.reborrow().init_returns(list_len(news.returns.len()));
    for (index, returns) in news.returns.iter().take(max_entries).enumerate() {
        let mut it = list.reborrow().get(index as u32);
        it.set_service(returns.service);
        it.set_callers(saturating_u16(returns.callers));
        it.set_last_in_ms(saturating_u16(returns.last_in_ms));
    }
    let mut list = root.reborrow().init_owed(list_len(news.owed.len()));
    for (index, owed) in news.owed.iter().take(max_entries).enumerate() {
        let mut it = list.reborrow().get(index as u32);
        it.set_service(owed.service);
        it.set_due_in_ms(owed.due_in_ms);
        it.set_items(saturating_u16(owed.items));
    }
    let mut list = root.init_item_runs(list_len(news.item_runs.len()));
    for (index, runs) in news.item_runs.iter().take(max_entries).enumerate() {
        let mut it = list.reborrow().get(index as u32);
        it.set_service(runs.service);
        it.set_run_ms(runs.run_ms);
        it.set_weight(saturating_u16(runs.weight));
    }
}

/// Reads the news; an absent structure has none.
///
/// # Errors
///
/// The message is malformed.
pub(super) fn read_news(root: overload_news::Reader<'_>) -> capnp::Result<OverloadNews> {
    let speeds = root.get_speeds()?.iter().map(|it| SpeedReport {
        target: it.get_target(),
        percent: it.get_percent().into(),
        age_ms: it.get_age_ms().into(),
    });
    let failing = root.get_failing()?.iter().map(|it| FailingTarget {
        target: it.get_target(),
        failures: it.get_failures().into(),
        age_ms: it.get_age_ms().into(),
    });
    let usage = root.get_usage()?.iter().map(|it| WorkspaceUsage {
        workspace: it.get_workspace(),
        running: it.get_running().into(),
        rejected: it.get_rejected().into(),
    });
    let returns = root.get_returns()?.iter().map(|it| ExpectedReturns {
        service: it.get_service(),
        callers: it.get_callers().into(),
        last_in_ms: it.get_last_in_ms().into(),
    });
    let owed = root.get_owed()?.iter().map(|it| OwedItems {
        service: it.get_service(),
        due_in_ms: it.get_due_in_ms(),
        items: it.get_items().into(),
    });
    let item_runs = root.get_item_runs()?.iter().map(|it| ItemRunTime {
        service: it.get_service(),
        run_ms: it.get_run_ms(),
        weight: it.get_weight().into(),
    });
    Ok(OverloadNews {
        speeds: speeds.take(MAX_ENTRIES).collect(),
        failing: failing.take(MAX_ENTRIES).collect(),
        usage: usage.take(MAX_ENTRIES).collect(),
        returns: returns.take(MAX_ENTRIES).collect(),
        owed: owed.take(MAX_ENTRIES).collect(),
        item_runs: item_runs.take(MAX_ENTRIES).collect(),
    })
}

fn saturating_u16(value: u32) -> u16 {
    value.try_into().unwrap_or(u16::MAX)
}
