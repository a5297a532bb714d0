//! Records in the store what is quarantined, and reads what earlier processes have recorded.
//!
//! The first coordinator of a service, which grants trials of what crashes its targets, writes one object for it, when
//! something is quarantined or cleared, and after each trial, to allow the next one. Nothing is written while nothing is
//! quarantined. A gateway that becomes the first coordinator reads the records first.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use samphiredoor_core::{
    crash_reports::RecordedQuarantines,
    placement::name_hash,
    store::{Kind, Labels, StoreAnswer, StoreOp, Stored, Version},
};

use super::{CrashReports, Hex, LocalGateway, Roster};
use crate::{
    lists::list_all,
    platform_api::{Freshness, ObjectStore},
};

/// Interval of the checks for changes. What is quarantined and not recorded when all gateways end is counted anew.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a call to the store that failed.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// The object of a service, as this process has read or written it.
#[derive(Debug, Default)]
struct StoredRecord {
    record: RecordedQuarantines,
    /// `None` if there is no object.
    version: Option<Version>,
}

/// Task that records what is quarantined.
pub struct QuarantineRecorder {
    own_key: u64,
    store: Rc<dyn ObjectStore>,
    roster: Roster,
    reports: CrashReports,
    /// Records of the services of which this process is the first coordinator.
    records: BTreeMap<u64, StoredRecord>,
}

impl QuarantineRecorder {
    /// Creates the task of a gateway.
    pub fn new(
        local: &LocalGateway,
        store: Rc<dyn ObjectStore>,
        roster: Roster,
        reports: CrashReports,
    ) -> QuarantineRecorder {
        let own_key = name_hash(&local.name);
        QuarantineRecorder { own_key, store, roster, reports, records: BTreeMap::new() }
    }

    /// Reads and writes records for as long as the process runs.
    pub async fn run(mut self) {
        loop {
            compio::time::sleep(CHECK_INTERVAL).await;
            if self.check().await.is_none() {
                compio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Brings the records of the own services up to date; `None` if the store did not answer.
    async fn check(&mut self) -> Option<()> {
        let own: BTreeSet<u64> =
            self.roster.services().into_iter().filter(|it| self.grants_trials(*it)).collect();
        self.records.retain(|it, _| own.contains(it));
        if own.iter().any(|it| !self.records.contains_key(it)) {
            self.read_all(&own).await?;
        }
        for service in own {
            self.record(service).await?;
        }
        Some(())
    }

    /// Whether this process grants the trials of a service. One that reaches too few others does so for itself.
    fn grants_trials(&self, service: u64) -> bool {
        let coordinators = self.roster.coordinators(service).chosen;
        self.roster.is_listed() && coordinators.first().is_none_or(|it| *it == self.own_key)
    }

    /// Reads the records of all services, and takes over those of the own ones.
    async fn read_all(&mut self, own: &BTreeSet<u64>) -> Option<()> {
        let list = list_all(&*self.store, Kind::Quarantines, Freshness::Current).await?;
        let mut records: BTreeMap<u64, StoredRecord> =
            own.iter().map(|it| (*it, StoredRecord::default())).collect();
        for stored in &list.objects {
            let service = RecordedQuarantines::service(&stored.name);
            let Some(service) = service.filter(|it| own.contains(it)) else { continue };
            records.insert(service, parse(stored));
        }
        for (service, stored) in records {
            self.take_over(service, stored);
        }
        Some(())
    }

    fn take_over(&mut self, service: u64, stored: StoredRecord) {
        if !stored.record.is_empty() {
            let suspects = stored.record.iter().count();
            log::info!(service:% = Hex(service), suspects; "crashes: record of quarantines read");
        }
        self.reports.recorded(service, &stored.record);
        self.records.insert(service, stored);
    }

    /// Writes what is quarantined of a service, unless the store has it.
    async fn record(&mut self, service: u64) -> Option<()> {
        let stored = self.records.get(&service)?;
        let record = self.reports.quarantines_to_record(service);
        if record.has_same_trials(&stored.record) {
            return Some(());
        }
        let key = RecordedQuarantines::key(service);
        let write = StoreOp::write(key, stored.version, Labels::new(), record.value());
        match self.store.call(write).await {
            StoreAnswer::Object(written) => {
                let suspects = record.iter().count();
                log::info!(service:% = Hex(service), suspects; "crashes: quarantines recorded");
                self.reports.recorded(service, &record);
                let version = Some(written.version);
                self.records.insert(service, StoredRecord { record, version });
                Some(())
            }
            // Another gateway has written, or the call was done without an answer.
            _ => {
                self.records.remove(&service);
                None
            }
        }
    }
}

/// A stored record; empty if it is invalid, so that it is written anew.
fn parse(stored: &Stored) -> StoredRecord {
    let record = RecordedQuarantines::parse(&stored.value);
    if record.is_none() {
        log::warn!(name = &*stored.name; "crashes: invalid record of quarantines ignored");
    }
    StoredRecord { record: record.unwrap_or_default(), version: Some(stored.version) }
}
