//! Records the software versions of each service in the store, and reads what earlier processes have recorded.
//!
//! One gateway of the fleet writes, when a version comes or the last target of one leaves. Only streams that callers may take up
//! need the record, so none is written without routes for such streams. A gateway that starts makes sure by itself that the
//! versions in its first list are recorded, as it begins streams at them before it knows the others.

use std::{rc::Rc, time::Duration};

use samphiredoor_core::{
    software_versions::RecordedVersions,
    store::{Labels, StoreAnswer, StoreOp, Version},
};

use super::{Roster, StreamOrigins};
use crate::{platform_api::ObjectStore, routes::Routes, store_health::StoreHealth};

/// Interval of the checks for changes. A version that is not recorded when all gateways end is unknown to the next ones, if
/// its targets have left by then.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a call to the store that failed.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// How often a gateway that starts checks for its first routes and targets.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Longest random delay before a gateway that starts writes versions. If all start at once, the first ones write for the others.
const MAX_FIRST_DELAY: Duration = Duration::from_millis(100);
/// Time after the first list of gateways by which their statuses have arrived, so that one of them writes.
const STATUSES_ARRIVED: Duration = Duration::from_millis(1_500);

/// Task that records the versions.
pub struct VersionRecorder {
    /// Store of the platform.
    pub store: Rc<dyn ObjectStore>,
    /// Other gateways, one of which may write instead.
    pub roster: Roster,
    /// Active routes.
    pub routes: Routes,
    /// Whether the store answers this process.
    pub health: StoreHealth,
    /// Versions of the targets.
    pub stream_origins: StreamOrigins,
}

impl VersionRecorder {
    /// Records changes for as long as the process runs.
    pub async fn run(self) {
        self.record_first().await;
        let mut recorded = None;
        loop {
            compio::time::sleep(CHECK_INTERVAL).await;
            if !self.has_to_record() {
                // Another gateway may write meanwhile.
                recorded = None;
                continue;
            }
            let Some(versions) = self.stream_origins.versions_to_record() else { continue };
            if recorded.as_ref().is_some_and(|it| versions.has_same_versions(it)) {
                continue;
            }
            match self.record(&versions).await {
                Some(()) => recorded = Some(versions),
                None => compio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Makes sure that the versions of the first targets are recorded.
    async fn record_first(&self) {
        loop {
            let routes = self.routes.current();
            match (routes, self.stream_origins.versions_to_record()) {
                (Some(routes), _) if !routes.has_resumable_streams() => break,
                (Some(_), Some(versions)) if self.add_listed(&versions).await => break,
                _ => compio::time::sleep(START_CHECK_INTERVAL).await,
            }
        }
        self.stream_origins.mark_recorded();
    }

    /// Adds listed versions to the record unless they are there; returns whether it has them.
    async fn add_listed(&self, versions: &RecordedVersions) -> bool {
        let Some((stored, _)) = read(&*self.store).await else {
            compio::time::sleep(RETRY_PAUSE).await;
            return false;
        };
        if stored.lists_all_of(versions) {
            return true;
        }
        compio::time::sleep(MAX_FIRST_DELAY.mul_f64(rand::random())).await;
        let Some((stored, version)) = read(&*self.store).await else { return false };
        if stored.lists_all_of(versions) {
            return true;
        }
        let new = stored.with_listed_of(versions);
        let write = StoreOp::write(RecordedVersions::key(), version, Labels::new(), new.value());
        let StoreAnswer::Object(_) = self.store.call(write).await else { return false };
        log::info!(versions = new.iter().count(); "versions: first ones recorded");
        true
    }

    fn has_to_record(&self) -> bool {
        let has_resumable = || self.routes.current().is_some_and(|it| it.has_resumable_streams());
        self.roster.is_listed_for(STATUSES_ARRIVED)
            && !self.health.is_lost()
            && self.roster.is_first_working()
            && has_resumable()
    }

    /// Writes the versions unless they are recorded already; `None` if the store did not take them.
    async fn record(&self, versions: &RecordedVersions) -> Option<()> {
        let (stored, version) = read(&*self.store).await?;
        let unix_ms = self.stream_origins.unix_ms();
        let new = versions.clone().with_older(&stored, unix_ms);
        if version.is_some() && new.has_same_versions(&stored) {
            return Some(());
        }
        let write = StoreOp::write(RecordedVersions::key(), version, Labels::new(), new.value());
        let StoreAnswer::Object(_) = self.store.call(write).await else { return None };
        log::info!(versions = new.iter().count(); "versions: recorded");
        Some(())
    }
}

/// Reads the record, and the version of its object if there is one; `None` if the store gives no usable answer.
pub async fn read(store: &dyn ObjectStore) -> Option<(RecordedVersions, Option<Version>)> {
    match store.call(StoreOp::Get { key: RecordedVersions::key() }).await {
        StoreAnswer::Object(stored) => {
            let versions = RecordedVersions::parse(&stored.value);
            if versions.is_none() {
                log::warn!("versions: invalid record ignored");
            }
            Some((versions.unwrap_or_default(), Some(stored.version)))
        }
        StoreAnswer::Absent => Some((RecordedVersions::default(), None)),
        _ => None,
    }
}
