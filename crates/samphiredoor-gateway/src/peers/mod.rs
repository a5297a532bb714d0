//! Discovery of the other gateways (peers), and the state that gateways exchange.
//!
//! Each gateway registers its address in the store and watches the entries of the others. It sends its state as UDP
//! datagrams to the gateways of its cell (see [`samphiredoor_core::placement::Cells`]) and of the cells whose targets
//! it uses; of all other cells it receives summaries. All of this is advisory: a lost datagram is superseded by the
//! next one, and the store remains authoritative.

mod cell_statuses;
mod crash_messages;
mod crash_reports;
pub mod datagram;
mod listener;
mod origin_messages;
mod overload_news;
mod owners;
mod presence;
mod quarantine_record;
pub mod registration;
mod roster;
pub mod routes_relay;
mod run_limits;
mod run_messages;
mod sent_run;
mod status;
mod status_sender;
mod stream_origins;
mod summary;
mod summary_sender;
mod trials;
mod version_record;
pub mod watch_relay;

use std::{net::SocketAddr, time::Duration};

use samphiredoor_core::{Name, dispatch::Location};

pub use cell_statuses::CellStatuses;
pub use crash_messages::{CrashNews, Suspects, TrialAnswer, TrialPurpose, TrialQuestion};
pub use crash_reports::{CrashReports, CrashReportsTask, Hex};
pub use listener::Listener;
pub use origin_messages::{OriginAnswer, OriginQuestion, OriginRecord};
pub use owners::{JobOwners, Owner};
pub use presence::{Presence, PresenceCheck};
pub use quarantine_record::QuarantineRecorder;
pub use registration::registered_address;
pub use roster::{Liveness, Roster, WatchRole};
pub use run_limits::{OverLimit, RunLimits, RunLimitsTask, RunPermit};
pub use sent_run::{RunEnd, SentRun, Trial};
pub use status::{OwnedJob, Status};
pub use status_sender::StatusSender;
pub use stream_origins::{StreamOrigins, StreamOriginsTask};
pub use summary_sender::SummarySender;
pub use version_record::VersionRecorder;
pub use watch_relay::WatchRelay;

/// How long the store has to be lost before this process reports to its peers that it does not reach it. From then on
/// they may take over its jobs, so this process holds its own runs back from then on as well.
pub const STORE_LOST_AFTER: Duration = Duration::from_millis(1_000);

/// Identity, location and address of this process, as its peers see them.
#[derive(Debug, Clone)]
pub struct LocalGateway {
    /// Name under which it is registered in the store.
    pub name: Name,
    /// Incarnation of the process; a restart has a higher one.
    pub incarnation: u64,
    /// Region and availability zone.
    pub location: Location,
    /// Address for calls and datagrams of peers.
    pub address: SocketAddr,
}
