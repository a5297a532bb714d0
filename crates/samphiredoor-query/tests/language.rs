//! Parsing and running of statements, and the words that parse errors mark.

use expect_test::{Expect, expect};
use proptest::prelude::*;
use samphiredoor_query::{Noun, Query, Row, Statement, parse, select};
use serde_json::json;

fn rows() -> Vec<Row> {
    let jobs = [("a", "running", 9), ("b", "finished", 10), ("c", "running", 100)];
    let row = |(id, state, items)| json!({ "id": id, "state": state, "items": items });
    jobs.into_iter().filter_map(|it| row(it).as_object().cloned()).collect()
}

fn ids(statement: &str) -> String {
    let Ok(Statement::Query(query)) = parse(statement) else { panic!("no query: {statement}") };
    let selected = select(&query, rows());
    selected.iter().filter_map(|it| it["id"].as_str()).collect()
}

macro_rules! selects {
    ($($name:ident: $statement:expr => $ids:expr;)*) => {
        $(#[test] fn $name() { assert_eq!(ids($statement), $ids); })*
    };
}

selects! {
    a_bare_noun_selects_all: "jobs" => "abc";
    an_equal_condition_filters: "jobs where state = running" => "ac";
    conditions_are_combined: "jobs where state = running and items > 9" => "c";
    numbers_compare_as_numbers: "jobs where items >= 10" => "bc";
    texts_can_be_quoted: "jobs where state != 'running'" => "b";
    a_contained_text_matches: "jobs where state ~ run" => "ac";
    rows_are_sorted_and_limited: "jobs order by items desc limit 2" => "cb";
}

fn check(statement: &str, expected: Expect) {
    let shown = match parse(statement) {
        Ok(parsed) => format!("{parsed:?}"),
        Err(err) => err.to_string(),
    };
    expected.assert_eq(&shown);
}

#[test]
fn an_unknown_noun_is_marked() {
    check(
        "jibs where state = running",
        expect![[r#"
            `jibs` is not known here; did you mean `jobs`?
              jibs where state = running
              ^^^^"#]],
    );
}

#[test]
fn an_unknown_field_is_marked() {
    check(
        "jobs where sate = running",
        expect![[r#"
            `sate` is not known here; did you mean `state`?
              jobs where sate = running
                         ^^^^"#]],
    );
}

#[test]
fn a_missing_value_is_marked() {
    check(
        "jobs where state =",
        expect![[r#"
            a value is missing
              jobs where state =
                                ^"#]],
    );
}

#[test]
fn an_invalid_number_is_marked() {
    check(
        "jobs limit many",
        expect![[r#"
            put a number of rows here
              jobs limit many
                         ^^^^"#]],
    );
}

#[test]
fn items_need_a_job() {
    check(
        "items where state = failed",
        expect![[r#"
            name the job: items where job = ID
              items where state = failed
                                        ^"#]],
    );
}

#[test]
fn commands_are_parsed() {
    check("drain target engine-3", expect![[r#"Command(Drain { target: "engine-3" })"#]]);
    check("cancel job job-12ab", expect![[r#"Command(Cancel { job: "job-12ab" })"#]]);
    check(
        "set service small headroom_percent = 50",
        expect![[
            r#"Command(Set { object: Service, name: "small", field: "headroom_percent", value: "50" })"#
        ]],
    );
    check("rollback", expect!["Command(Rollback)"]);
    check("lift suspect 00ab", expect![[r#"Command(Lift { suspect: "00ab" })"#]]);
}

#[test]
fn a_command_with_extra_words_is_an_error() {
    check(
        "drain target a b",
        expect![[r#"
            the statement should end here
              drain target a b
                             ^"#]],
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn errors_mark_a_range_within_any_text(statement in "\\PC{0,60}") {
        if let Err(err) = parse(&statement) {
            prop_assert!(err.span.end <= statement.len());
            prop_assert!(statement.is_char_boundary(err.span.start));
            let _ = err.to_string();
        }
    }

    #[test]
    fn a_limit_bounds_the_rows(limit in 0_usize..5) {
        let query = Query { limit: Some(limit), ..Query::new(Noun::Jobs) };
        prop_assert!(select(&query, rows()).len() <= limit);
    }
}
