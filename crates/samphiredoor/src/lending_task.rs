//! Carries between the dispatcher and the other doors what lending needs: who lives, shares, and traffic.

use std::{rc::Rc, time::Duration};

use samphiredoor_core::{
    Name,
    dispatch::{Input, slot_allocator::LiveGateway},
    hints::Hint,
};
use samphiredoor_net::pool::within;

use crate::door::Door;

const PERIOD: Duration = Duration::from_millis(250);

/// Runs until the process ends.
pub async fn run(door: Rc<Door>, news: flume::Receiver<(Name, Hint)>) {
    loop {
        tell_live_doors(&door);
        let telling = async {
            while let Ok((to, news)) = news.recv_async().await {
                door.peers.send_hint(to, news);
            }
        };
        if within(PERIOD, telling).await.is_some() {
            return;
        }
    }
}

/// Lending divides targets among the doors that live; a stopping one is left out, so that its part moves on in time.
fn tell_live_doors(door: &Door) {
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
