//! Jobs that their callers have ended, as the store tells.

use super::{directory::Directory, job_task::JobMessage};
use crate::{
    edge::Change,
    watch::{Follower, Seen},
};

/// Tells the own jobs that they are ended, for as long as the process runs.
pub async fn run(directory: Directory, mut follower: Follower) {
    loop {
        match follower.next().await {
            Seen::All(all) => all.iter().for_each(|it| tell(&directory, &it.name)),
            Seen::Changes(changes) => changes.iter().for_each(|it| match it {
                Change::Written(stored) => tell(&directory, &stored.name),
                Change::Deleted(_) => {}
            }),
            Seen::Lost | Seen::Regained => {}
        }
    }
}

fn tell(directory: &Directory, job: &str) {
    directory.tell(job, JobMessage::Ended);
}
