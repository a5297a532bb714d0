//! Encoding of the datagrams that gateways push to each other.

use capnp::{message, serialize_packed};
use samphiredoor_core::{
    crash_reports::CrashVerdict, overload::MAX_ENTRIES, rate_limit::RunReport,
};
use samphiredoor_schema::peer_capnp::gateway_datagram;

use super::{
    crash_messages::{
        CrashNews, TrialAnswer, TrialQuestion, read_news, read_trial_answer, read_trial_question,
        read_verdict, write_news, write_trial_answer, write_trial_question, write_verdict,
    },
    origin_messages::{
        OriginAnswer, OriginQuestion, OriginRecord, read_answer, read_question, read_record,
        write_answer, write_question, write_record,
    },
    run_messages::{AddressedGrant, read_grant, read_report, write_grant, write_report},
    status::Status,
    summary::Summary,
};

/// Bytes of the largest datagram, which fits into one packet on common links.
pub const MAX_BYTES: usize = 1_400;

/// Words of the largest message in a datagram, of 8 bytes each. A run of 256 zero words is packed into two bytes; messages of
/// gateways have few of them and take some kilobytes.
const MAX_WORDS: usize = 32 * 1024;

/// Content of one datagram.
#[derive(Debug, Clone, PartialEq)]
pub enum Datagram {
    /// State of one gateway.
    Status(Status),
    /// State of a cell.
    Summary(Summary),
    /// Runs of a workspace at one gateway.
    RunReport(RunReport),
    /// Answer to a report.
    RunGrant(AddressedGrant),
    /// News of a request that may crash targets, for the coordinators of its service.
    CrashReport(CrashNews),
    /// What a coordinator tells of such a request, or of a part of its prompt.
    CrashVerdict(CrashVerdict),
    /// At which software version a stream was begun, for its holders.
    StreamOrigin(OriginRecord),
    /// Question for that.
    OriginQuestion(OriginQuestion),
    /// Answer of a holder.
    OriginAnswer(OriginAnswer),
    /// Question whether a quarantined request may be sent as a trial.
    TrialQuestion(TrialQuestion),
    /// Answer of a coordinator.
    TrialAnswer(TrialAnswer),
}

impl Datagram {
    /// Encodes the datagram as a packed Cap'n Proto message. Lists of overload control are shortened until it fits:
    /// receivers drop a larger one, and would count its sender as dead in the overload that has filled its lists.
    pub fn encode(&self) -> Vec<u8> {
        let mut max_entries = MAX_ENTRIES;
        loop {
            let bytes = self.encode_with_news(max_entries);
            if bytes.len() <= MAX_BYTES || max_entries == 0 {
                return bytes;
            }
            max_entries /= 2;
        }
    }

    /// Encodes the datagram with at most this many entries in each list of overload control.
    fn encode_with_news(&self, max_entries: usize) -> Vec<u8> {
        let mut message = message::Builder::new_default();
        let root = message.init_root::<gateway_datagram::Builder<'_>>();
        match self {
            Datagram::Status(status) => status.write(root.init_status(), max_entries),
            Datagram::Summary(summary) => summary.write(root.init_summary(), max_entries),
            Datagram::RunReport(report) => write_report(report, root.init_run_report()),
            Datagram::RunGrant(grant) => write_grant(grant, root.init_run_grant()),
            Datagram::CrashReport(news) => write_news(news, root.init_crash_report()),
            Datagram::CrashVerdict(verdict) => write_verdict(verdict, root.init_crash_verdict()),
            Datagram::StreamOrigin(record) => write_record(record, root.init_stream_origin()),
            Datagram::OriginQuestion(question) => {
                write_question(question, root.init_origin_question())
            }
            Datagram::OriginAnswer(answer) => write_answer(answer, root.init_origin_answer()),
            Datagram::TrialQuestion(question) => {
                write_trial_question(question, root.init_trial_question());
            }
            Datagram::TrialAnswer(answer) => write_trial_answer(*answer, root.init_trial_answer()),
        }
        let mut bytes = Vec::with_capacity(MAX_BYTES);
        // Writing to a vector cannot fail.
        let _ = serialize_packed::write_message(&mut bytes, &message);
        bytes
    }

    /// Decodes a received datagram.
    ///
    /// # Errors
    ///
    /// The bytes are not a packed message, or their content is of no known kind.
    pub fn decode(bytes: &[u8]) -> capnp::Result<Datagram> {
        let mut options = message::ReaderOptions::new();
        options.traversal_limit_in_words(Some(MAX_WORDS));
        let message = serialize_packed::read_message(bytes, options)?;
        let root = message.get_root::<gateway_datagram::Reader<'_>>()?;
        Ok(match root.which()? {
            gateway_datagram::Status(status) => Datagram::Status(Status::read(status?)?),
            gateway_datagram::Summary(summary) => Datagram::Summary(Summary::read(summary?)?),
            gateway_datagram::RunReport(report) => Datagram::RunReport(read_report(report?)?),
            gateway_datagram::RunGrant(grant) => Datagram::RunGrant(read_grant(grant?)),
            gateway_datagram::CrashReport(news) => Datagram::CrashReport(read_news(news?)?),
            gateway_datagram::CrashVerdict(it) => Datagram::CrashVerdict(read_verdict(it?)),
            gateway_datagram::StreamOrigin(it) => Datagram::StreamOrigin(read_record(it?)?),
            gateway_datagram::OriginQuestion(it) => Datagram::OriginQuestion(read_question(it?)),
            gateway_datagram::OriginAnswer(it) => Datagram::OriginAnswer(read_answer(it?)?),
            gateway_datagram::TrialQuestion(it) => {
                Datagram::TrialQuestion(read_trial_question(it?)?)
            }
            gateway_datagram::TrialAnswer(it) => Datagram::TrialAnswer(read_trial_answer(it?)?),
        })
    }
}
