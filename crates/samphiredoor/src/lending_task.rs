//! Connects the dispatcher with other gateways for the allocation of batch slots: reports the live gateways to the
//! dispatcher, and sends its slot grants and traffic reports to them.

use std::{rc::Rc, time::Duration};

use samphiredoor_core::{
    Name,
    dispatch::{Input, slot_allocator::LiveGateway},
    hints::Hint,
};
use samphiredoor_net::pool::within;

use crate::door::Door;

const LIVE_REPORT_PERIOD: Duration = Duration::from_millis(250);

/// Reports the live gateways periodically and forwards hints until the process ends.
pub async fn run(door: Rc<Door>, hints: flume::Receiver<(Name, Hint)>) {
    loop {
        report_live_gateways(&door);
        let forwarding = async {
            while let Ok((to, hint)) = hints.recv_async().await {
                door.peers.send_hint(to, hint);
            }
        };
        if within(LIVE_REPORT_PERIOD, forwarding).await.is_some() {
            return;
        }
    }
}

/// Reports which gateways share the batch slots of targets. This gateway is left out while it is stopping, so that its
/// slots are granted to others before it ends.
fn report_live_gateways(door: &Door) {
    let own = LiveGateway { name: door.config.name(), region: Name::clone(&door.config.region) };
    let members = door.peers.live();
    let others = members.iter().filter(|it| it.name != own.name);
    let mut live: Vec<LiveGateway> = others
        .map(|it| LiveGateway { name: Name::clone(&it.name), region: Name::clone(&it.region) })
        .collect();
    if !door.stopping.get() {
        live.push(own);
    }
    live.sort_by(|a, b| a.name.cmp(&b.name));
    door.dispatch.input(Input::LiveGateways { own_name: door.config.name(), live });
}
