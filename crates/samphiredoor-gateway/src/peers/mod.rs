//! Discovery of the other gateways (peers), and the state that gateways exchange.
//!
//! Each gateway registers its address in the store and watches the entries of the others. It sends its state as UDP
//! datagrams to the gateways of its cell (see [`samphiredoor_core::placement::Cells`]) and of the cells whose targets
//! it uses; of all other cells it receives summaries. All of this is advisory: a lost datagram is superseded by the
//! next one, and the store remains authoritative.

mod datagram;
pub mod followed;
mod listener;
mod mates;
mod owners;
pub mod registration;
pub mod relay;
mod roster;
mod speaker;
mod status;
mod summary;
mod teller;

use std::{net::SocketAddr, time::Duration};

use samphiredoor_core::{Name, dispatch::Place};

pub use followed::Followed;
pub use listener::Listener;
pub use mates::Mates;
pub use owners::{Owner, Owners};
pub use registration::registered_address;
pub use roster::{Liveness, Roster};
pub use speaker::Speaker;
pub use status::OwnedJob;
pub use teller::Teller;

/// How long the store has to be lost before this process reports to its peers that it does not reach it. From then on
/// they may take over its jobs, so this process holds its own runs back from then on as well.
pub const STORE_LOST: Duration = Duration::from_millis(1_000);

/// Identity, location and address of this process, as its peers see them.
#[derive(Debug, Clone)]
pub struct Own {
    /// Name under which it is registered in the store.
    pub name: Name,
    /// Number of this start of the process; a restart has a higher one.
    pub incarnation: u64,
    /// Region and availability zone.
    pub place: Place,
    /// Address for calls and datagrams of peers.
    pub address: SocketAddr,
}
