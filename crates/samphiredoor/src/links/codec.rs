//! Converts between the Cap'n Proto messages of the wire and the types of `samphiredoor_core`.
//!
//! The schema calls a hint `News`.

use capnp::{Error, NotInSchema, struct_list};
use samphiredoor_core::{
    Name,
    hints::{Hint, Origin, TargetLoad},
    membership::{Heartbeat, Member, MemberState},
};
use samphiredoor_schema::peer_capnp::{self as wire, heartbeat, member, news, target_load};

use crate::peers::HintMessage;

/// Most members that one message may contain.
const MAX_MEMBERS: u32 = 1_000;

pub(super) fn write_heartbeat(heartbeat: &Heartbeat, mut builder: heartbeat::Builder<'_>) {
    builder.set_incarnation(heartbeat.incarnation);
    builder.set_renewals(heartbeat.renewals);
    builder.set_manifest_revision(heartbeat.revision);
    builder.set_members_digest(heartbeat.members_digest);
    if !heartbeat.changes.is_empty() {
        write_members(&heartbeat.changes, builder.init_changes(heartbeat.changes.len() as u32));
    }
}

pub(super) fn read_heartbeat(reader: heartbeat::Reader<'_>) -> Result<Heartbeat, Error> {
    Ok(Heartbeat {
        incarnation: reader.get_incarnation(),
        renewals: reader.get_renewals(),
        revision: reader.get_manifest_revision(),
        members_digest: reader.get_members_digest(),
        changes: read_members(reader.get_changes()?)?,
    })
}

pub(super) fn write_members(members: &[Member], mut list: struct_list::Builder<'_, member::Owned>) {
    for (index, member) in members.iter().enumerate() {
        write_member(member, list.reborrow().get(index as u32));
    }
}

pub(super) fn read_members(
    list: struct_list::Reader<'_, member::Owned>,
) -> Result<Vec<Member>, Error> {
    if list.len() > MAX_MEMBERS {
        return Err(Error::failed("too many members in one message".to_owned()));
    }
    list.iter().map(read_member).collect()
}

pub(super) fn write_member(member: &Member, mut builder: member::Builder<'_>) {
    builder.set_name(&*member.name);
    builder.set_address(&*member.address);
    builder.set_incarnation(member.incarnation);
    builder.set_counter(member.counter);
    builder.set_state(match member.state {
        MemberState::Live => wire::MemberState::Live,
        MemberState::Stopping => wire::MemberState::Stopping,
        MemberState::Dead => wire::MemberState::Dead,
    });
    builder.set_zone(&*member.availability_zone);
    builder.set_region(&*member.region);
}

pub(super) fn read_member(reader: member::Reader<'_>) -> Result<Member, Error> {
    let name = to_name(reader.get_name()?)?;
    if name.is_empty() {
        return Err(Error::failed("a member without a name".to_owned()));
    }
    Ok(Member {
        name,
        address: to_name(reader.get_address()?)?,
        incarnation: reader.get_incarnation(),
        counter: reader.get_counter(),
        state: match reader.get_state()? {
            wire::MemberState::Live => MemberState::Live,
            wire::MemberState::Stopping => MemberState::Stopping,
            wire::MemberState::Dead => MemberState::Dead,
        },
        region: to_name(reader.get_region()?)?,
        availability_zone: to_name(reader.get_zone()?)?,
    })
}

pub(super) fn write_hint(message: &HintMessage, mut builder: news::Builder<'_>) {
    if let Some(origin) = &message.origin {
        builder.set_origin(&*origin.gateway);
        builder.set_number(origin.number);
    }
    match &message.hint {
        Hint::Cancelled(job) => builder.set_cancelled(&**job),
        Hint::Suspect { fingerprint, deaths, lifted } => {
            let mut suspect = builder.init_suspect();
            suspect.set_fingerprint(*fingerprint);
            suspect.set_deaths(*deaths);
            suspect.set_lifted(*lifted);
        }
        Hint::Leaving(target) => builder.set_leaving(&**target),
        Hint::SlotGrant { target, batch_slots, epoch } => {
            let mut grant = builder.init_recall();
            grant.set_target(&**target);
            grant.set_batch_slots(*batch_slots);
            grant.set_epoch(*epoch);
        }
        Hint::Demand(load) => write_load(load, builder.init_need()),
        Hint::Revision(revision) => builder.set_revision(*revision),
        Hint::HandedOver(job) => builder.set_handed_over(&**job),
        Hint::LeaseExpired { process, incarnation } => {
            let mut expired = builder.init_lapsed();
            expired.set_process(&**process);
            expired.set_incarnation(*incarnation);
        }
    }
}

/// Reads a hint; `None` for a kind that only a newer version defines.
pub(super) fn read_hint(reader: news::Reader<'_>) -> Result<Option<HintMessage>, Error> {
    let hint = match reader.which() {
        Ok(news::Cancelled(job)) => Hint::Cancelled(to_name(job?)?),
        Ok(news::Suspect(suspect)) => {
            let suspect = suspect?;
            Hint::Suspect {
                fingerprint: suspect.get_fingerprint(),
                deaths: suspect.get_deaths(),
                lifted: suspect.get_lifted(),
            }
        }
        Ok(news::Leaving(target)) => Hint::Leaving(to_name(target?)?),
        Ok(news::Recall(grant)) => {
            let grant = grant?;
            Hint::SlotGrant {
                target: to_name(grant.get_target()?)?,
                batch_slots: grant.get_batch_slots(),
                epoch: grant.get_epoch(),
            }
        }
        Ok(news::Need(load)) => Hint::Demand(read_load(load?)?),
        Ok(news::Revision(revision)) => Hint::Revision(revision),
        Ok(news::HandedOver(job)) => Hint::HandedOver(to_name(job?)?),
        Ok(news::Lapsed(expired)) => {
            let expired = expired?;
            Hint::LeaseExpired {
                process: to_name(expired.get_process()?)?,
                incarnation: expired.get_incarnation(),
            }
        }
        Err(NotInSchema(_)) => return Ok(None),
    };
    let gateway = to_name(reader.get_origin()?)?;
    let origin = (!gateway.is_empty()).then(|| Origin { gateway, number: reader.get_number() });
    Ok(Some(HintMessage { origin, hint }))
}

fn write_load(load: &TargetLoad, mut builder: target_load::Builder<'_>) {
    builder.set_target(&*load.target);
    builder.set_online_in_flight(load.online_in_flight);
    builder.set_online_envelope(load.online_envelope);
    builder.set_batch_in_flight(load.batch_in_flight);
    builder.set_batch_wanted(load.batch_wanted);
}

fn read_load(reader: target_load::Reader<'_>) -> Result<TargetLoad, Error> {
    Ok(TargetLoad {
        target: to_name(reader.get_target()?)?,
        online_in_flight: reader.get_online_in_flight(),
        online_envelope: reader.get_online_envelope(),
        batch_in_flight: reader.get_batch_in_flight(),
        batch_wanted: reader.get_batch_wanted(),
    })
}

fn to_name(text: capnp::text::Reader<'_>) -> Result<Name, Error> {
    Ok(text.to_str().map_err(|err| Error::failed(err.to_string()))?.into())
}
