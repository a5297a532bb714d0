//! Messages about the origins of streams.

use samphiredoor_core::{
    Name,
    software_versions::{Answer, StreamOrigin},
};
use samphiredoor_schema::peer_capnp::{origin_answer, origin_question, stream_origin};

/// Record of a stream, for its holders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OriginRecord {
    /// Hash of the id of the caller's first attempt.
    pub stream: u64,
    /// Origin of the stream.
    pub origin: StreamOrigin,
    /// How long its caller may take it up, in milliseconds.
    pub keep_ms: u32,
}

/// Question for the origin of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OriginQuestion {
    /// Hash of the id of the caller's first attempt.
    pub stream: u64,
    /// Hash of the service's name.
    pub service: u64,
    /// How long ago the stream may have begun, in milliseconds.
    pub within_ms: u32,
}

/// Answer of a holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OriginAnswer {
    /// Hash of the id of the caller's first attempt.
    pub stream: u64,
    /// Hash of the holder's name.
    pub holder: u64,
    /// What it knows.
    pub answer: Answer,
}

pub(super) fn write_record(record: &OriginRecord, mut root: stream_origin::Builder<'_>) {
    root.set_stream(record.stream);
    root.set_keep_ms(record.keep_ms);
    write_origin(&record.origin, root);
}

fn write_origin(origin: &StreamOrigin, mut root: stream_origin::Builder<'_>) {
    root.set_version(&*origin.version);
    root.set_service(origin.service);
    root.set_target(origin.target);
    root.set_target_started_unix_ms(origin.target_started_unix_ms);
}

pub(super) fn read_record(root: stream_origin::Reader<'_>) -> capnp::Result<OriginRecord> {
    Ok(OriginRecord {
        stream: root.get_stream(),
        keep_ms: root.get_keep_ms(),
        origin: read_origin(root)?,
    })
}

fn read_origin(root: stream_origin::Reader<'_>) -> capnp::Result<StreamOrigin> {
    Ok(StreamOrigin {
        version: Name::from(root.get_version()?.to_str()?),
        service: root.get_service(),
        target: root.get_target(),
        target_started_unix_ms: root.get_target_started_unix_ms(),
    })
}

pub(super) fn write_question(question: &OriginQuestion, mut root: origin_question::Builder<'_>) {
    root.set_stream(question.stream);
    root.set_service(question.service);
    root.set_within_ms(question.within_ms);
}

pub(super) fn read_question(root: origin_question::Reader<'_>) -> OriginQuestion {
    OriginQuestion {
        stream: root.get_stream(),
        service: root.get_service(),
        within_ms: root.get_within_ms(),
    }
}

pub(super) fn write_answer(answer: &OriginAnswer, mut root: origin_answer::Builder<'_>) {
    root.set_stream(answer.stream);
    root.set_holder(answer.holder);
    match &answer.answer {
        Answer::NoRecord(None) => root.set_no_record(()),
        Answer::NoRecord(Some(version)) => root.set_sole_version(&**version),
        Answer::SeveralVersions => root.set_several_versions(()),
        Answer::Ambiguous => root.set_ambiguous(()),
        Answer::Recorded(origin) => write_origin(origin, root.init_recorded()),
    }
}

pub(super) fn read_answer(root: origin_answer::Reader<'_>) -> capnp::Result<OriginAnswer> {
    let answer = match root.which()? {
        origin_answer::NoRecord(()) => Answer::NoRecord(None),
        origin_answer::SoleVersion(version) => {
            Answer::NoRecord(Some(Name::from(version?.to_str()?)))
        }
        origin_answer::SeveralVersions(()) => Answer::SeveralVersions,
        origin_answer::Ambiguous(()) => Answer::Ambiguous,
        origin_answer::Recorded(origin) => Answer::Recorded(read_origin(origin?)?),
    };
    Ok(OriginAnswer { stream: root.get_stream(), holder: root.get_holder(), answer })
}
