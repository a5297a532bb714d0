//! Other gateways: how they find each other, and what they tell each other all the time.
//!
//! Each gateway registers its address in the store and follows the others' entries. Its state goes as datagrams to the
//! gateways of its cell, and to those whose targets it uses; of all others it hears sums, cell by cell. Everything here is
//! a hint; a datagram that is lost is made good by the next one.

mod cell_statuses;
mod datagram;
mod listener;
mod owners;
pub mod registration;
mod roster;
pub mod routes_relay;
mod status;
mod status_sender;
mod summary;
mod summary_sender;
pub mod watch_relay;

use std::{net::SocketAddr, time::Duration};

use samphiredoor_core::{Name, dispatch::Location};

pub use cell_statuses::CellStatuses;
pub use listener::Listener;
pub use owners::{JobOwners, Owner};
pub use registration::registered_address;
pub use roster::{Liveness, Roster};
pub use status::OwnedJob;
pub use status_sender::StatusSender;
pub use summary_sender::SummarySender;
pub use watch_relay::WatchRelay;

/// How long the store may be silent before others are told that this process does not reach it. They may take its jobs
/// from then on, so it holds its runs back from then on as well.
pub const STORE_LOST_AFTER: Duration = Duration::from_millis(1_000);

/// This process, as others know it.
#[derive(Debug, Clone)]
pub struct LocalGateway {
    /// Name.
    pub name: Name,
    /// Which start.
    pub incarnation: u64,
    /// Where it stands.
    pub location: Location,
    /// Where it listens for others.
    pub address: SocketAddr,
}
