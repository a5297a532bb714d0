//! What follows from the answers of the holders of a stream.

use samphiredoor_core::software_versions::{Answer, Found, Lookup, StreamOrigin};

use super::origin;

fn recorded() -> Answer {
    Answer::Recorded(origin("v1", 1, 1))
}

fn sole(version: &str) -> Answer {
    Answer::NoRecord(Some(version.into()))
}

/// Result of a lookup at three holders, of which these answer in order.
fn find(own: Answer, answers: &[Answer]) -> Found {
    let mut lookup = match Lookup::new([1, 2, 3].into_iter().collect(), own) {
        Ok(lookup) => lookup,
        Err(found) => return found,
    };
    let found =
        answers.iter().zip(1..).find_map(|(it, holder)| lookup.answered(holder, it.clone()));
    found.unwrap_or_else(|| lookup.conclude())
}

macro_rules! lookups {
    ($($name:ident: $own:expr, [$($answer:expr),*] => $found:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(find($own, &[$($answer),*]), $found);
            }
        )*
    };
}

fn known() -> Found {
    Found::Origin(origin("v1", 1, 1))
}

fn follows() -> Found {
    Found::Origin(StreamOrigin::of_version("v1".into()))
}

lookups! {
    an_own_record_suffices: recorded(), [] => known();
    the_record_of_one_holder_suffices: Answer::NoRecord(None), [Answer::NoRecord(None), recorded()] => known();
    a_record_goes_before_what_seems_to_follow: sole("v2"), [sole("v2"), recorded()] => known();
    an_uncertain_origin_is_unknown: sole("v1"), [Answer::Ambiguous, recorded()] => Found::Unknown;
    an_own_uncertain_record_is_unknown: Answer::Ambiguous, [recorded()] => Found::Unknown;
    without_a_record_the_sole_version_of_a_holder_follows: Answer::NoRecord(None), [sole("v1")] => follows();
    without_an_answer_an_own_sole_version_may_be_out_of_date: sole("v1"), [] => Found::Unknown;
    with_any_answer_the_own_sole_version_follows: sole("v1"), [Answer::NoRecord(None)] => follows();
    gateways_that_contradict_each_other_know_nothing: sole("v1"), [sole("v2")] => Found::Unknown;
    the_own_sole_version_does_not_follow_beside_several: sole("v1"), [sole("v1"), Answer::SeveralVersions] => Found::Unknown;
    nor_does_that_of_a_holder_beside_several_here: Answer::SeveralVersions, [sole("v1")] => Found::Unknown;
    a_record_goes_before_several_versions: Answer::SeveralVersions, [Answer::SeveralVersions, recorded()] => known();
    without_any_knowledge_the_version_is_unknown:
        Answer::NoRecord(None), [Answer::NoRecord(None), Answer::NoRecord(None), Answer::NoRecord(None)] => Found::Unknown;
}

#[test]
fn a_gateway_without_others_relies_on_itself() {
    let lookup = |own| Lookup::new(Default::default(), own).expect_err("there is no one to ask");
    assert_eq!(lookup(sole("v1")), follows());
    assert_eq!(lookup(Answer::NoRecord(None)), Found::Unknown);
}

/// Guards against answers to an earlier lookup, or of a gateway that was not asked.
#[test]
fn only_the_first_answer_of_each_holder_counts() {
    let mut lookup =
        Lookup::new([1, 2].into_iter().collect(), Answer::NoRecord(None)).expect("asks");
    assert_eq!(lookup.answered(9, recorded()), None);
    assert_eq!(lookup.answered(1, Answer::NoRecord(None)), None);
    assert_eq!(lookup.answered(1, recorded()), None);
    assert_eq!(lookup.waiting(), [2]);
    assert_eq!(lookup.answered(2, recorded()), Some(known()));
}
