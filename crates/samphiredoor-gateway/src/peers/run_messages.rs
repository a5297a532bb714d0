//! Messages between a gateway and the coordinators of a rate limit.

use samphiredoor_core::rate_limit::{RateLimit, RunGrant, RunReport};
use samphiredoor_schema::peer_capnp::{run_grant, run_report};

/// A coordinator's answer, and what identifies its sender and the process that it is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AddressedGrant {
    /// Hash of the coordinator's name.
    pub coordinator: u64,
    /// Incarnation of the gateway that sent the report.
    pub incarnation: u64,
    /// The answer.
    pub grant: RunGrant,
}

pub(super) fn write_report(report: &RunReport, mut root: run_report::Builder<'_>) {
    root.set_workspace(report.workspace);
    root.set_gateway(report.gateway);
    root.set_incarnation(report.incarnation);
    root.set_sequence(report.sequence);
    root.set_used(report.used);
    root.set_wanted(report.wanted);
    root.set_rate_per_s(report.limit.rate_per_s);
    root.set_burst(report.limit.burst);
    root.set_limit_version(report.limit_version);
}

/// Reads a report; its limit has to be valid, as a bucket is created from it.
pub(super) fn read_report(root: run_report::Reader<'_>) -> capnp::Result<RunReport> {
    let limit = RateLimit::new(root.get_rate_per_s(), root.get_burst());
    let limit = limit.map_err(|err| capnp::Error::failed(err.to_string()))?;
    let limit = limit.ok_or_else(|| capnp::Error::failed("a report without a limit".to_owned()))?;
    Ok(RunReport {
        workspace: root.get_workspace(),
        gateway: root.get_gateway(),
        incarnation: root.get_incarnation(),
        sequence: root.get_sequence(),
        used: root.get_used(),
        wanted: root.get_wanted(),
        limit,
        limit_version: root.get_limit_version(),
    })
}

pub(super) fn write_grant(message: &AddressedGrant, mut root: run_grant::Builder<'_>) {
    let grant = &message.grant;
    root.set_workspace(grant.workspace);
    root.set_coordinator(message.coordinator);
    root.set_incarnation(message.incarnation);
    root.set_sequence(grant.sequence);
    root.set_granted(grant.granted);
    root.set_retry_after_ms(grant.retry_after_ms);
    root.set_is_new(grant.is_new);
}

pub(super) fn read_grant(root: run_grant::Reader<'_>) -> AddressedGrant {
    AddressedGrant {
        coordinator: root.get_coordinator(),
        incarnation: root.get_incarnation(),
        grant: RunGrant {
            workspace: root.get_workspace(),
            sequence: root.get_sequence(),
            granted: root.get_granted(),
            retry_after_ms: root.get_retry_after_ms(),
            is_new: root.get_is_new(),
        },
    }
}
