//! Which software version began a stream: what gateways remember, ask each other and conclude.

mod fleet;
mod history;
mod lookup;
mod records;

use samphiredoor_core::software_versions::StreamOrigin;

/// Origin at a target that has started at a time.
fn origin(version: &str, target: u64, started: u64) -> StreamOrigin {
    StreamOrigin { version: version.into(), service: 3, target, target_started_unix_ms: started }
}
