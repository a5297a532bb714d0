//! Tokenizer: splits a statement into words, quoted texts and comparison operators, with their byte ranges.

use std::ops::Range;

use winnow::{
    LocatingSlice, Parser,
    ascii::multispace0,
    combinator::{alt, delimited, preceded, repeat, terminated},
    error::ContextError,
    token::{take_till, take_while},
};

use crate::{ast::Op, error::ParseError};

/// One token.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Token {
    /// A bare word or number.
    Word(String),
    /// A text in quotes.
    Text(String),
    /// A comparison operator.
    Op(Op),
}

type Input<'a> = LocatingSlice<&'a str>;
type Parsed<T> = winnow::Result<T, ContextError>;

/// Splits a statement into tokens.
pub(crate) fn tokens(statement: &str) -> Result<Vec<(Token, Range<usize>)>, ParseError> {
    let spaced = preceded(multispace0, token.with_span());
    let mut all = terminated(repeat(0.., spaced), multispace0);
    let parsed: Result<Vec<_>, _> = all.parse(LocatingSlice::new(statement));
    parsed.map_err(|err| {
        let start = err.offset();
        let end = statement[start..].chars().next().map_or(start, |it| start + it.len_utf8());
        ParseError {
            statement: statement.to_owned(),
            span: start..end,
            problem: "this is no word, number, quoted text or comparison".to_owned(),
        }
    })
}

fn token(input: &mut Input<'_>) -> Parsed<Token> {
    alt((text, op, word)).parse_next(input)
}

fn text(input: &mut Input<'_>) -> Parsed<Token> {
    let double = delimited('"', take_till(0.., '"'), '"');
    let single = delimited('\'', take_till(0.., '\''), '\'');
    alt((double, single)).map(|it: &str| Token::Text(it.to_owned())).parse_next(input)
}

fn op(input: &mut Input<'_>) -> Parsed<Token> {
    alt((
        "!=".value(Op::NotEqual),
        "<=".value(Op::LessOrEqual),
        ">=".value(Op::GreaterOrEqual),
        "=".value(Op::Equal),
        "<".value(Op::Less),
        ">".value(Op::Greater),
        "~".value(Op::Contains),
    ))
    .map(Token::Op)
    .parse_next(input)
}

fn word(input: &mut Input<'_>) -> Parsed<Token> {
    let allowed = |it: char| it.is_alphanumeric() || "-_./:".contains(it);
    take_while(1.., allowed).map(|it: &str| Token::Word(it.to_owned())).parse_next(input)
}
