//! Parser: builds a statement from tokens, and checks its words.

use std::ops::Range;

use crate::{
    ast::{Command, Condition, Noun, Op, Order, Query, Settable, Statement},
    error::{ParseError, nearest},
    token::{Token, tokens},
};

const VERBS: [&str; 8] =
    ["cancel", "drain", "undrain", "reclaim", "release", "set", "lift", "rollback"];

/// Parses one statement.
///
/// # Errors
///
/// The first word that is wrong or missing.
pub fn parse(statement: &str) -> Result<Statement, ParseError> {
    let mut parser = Parser { statement, tokens: tokens(statement)?, next: 0 };
    let parsed = parser.statement()?;
    parser.end()?;
    Ok(parsed)
}

struct Parser<'a> {
    statement: &'a str,
    tokens: Vec<(Token, Range<usize>)>,
    /// Index of the next token.
    next: usize,
}

impl Parser<'_> {
    fn statement(&mut self) -> Result<Statement, ParseError> {
        let first = self.word("a noun or a verb")?;
        if first == "count" {
            let noun = self.word("a noun")?;
            return self.query(&noun, true).map(Statement::Query);
        }
        if VERBS.contains(&first.as_str()) {
            return self.command(&first).map(Statement::Command);
        }
        self.query(&first, false).map(Statement::Query)
    }

    fn query(&mut self, noun: &str, count: bool) -> Result<Query, ParseError> {
        let Some(noun) = Noun::ALL.into_iter().find(|it| it.word() == noun) else {
            let mut known: Vec<&str> = Noun::ALL.iter().map(|it| it.word()).collect();
            known.extend(VERBS);
            return Err(self.unknown_word(noun, &known));
        };
        let mut query = Query::new(noun);
        query.count = count;
        if self.take_word("where") {
            query.conditions.push(self.condition(noun)?);
            while self.take_word("and") {
                query.conditions.push(self.condition(noun)?);
            }
        }
        if self.take_word("order") {
            self.expect_word("by")?;
            let field = self.field(noun.fields())?;
            let descending = self.take_word("desc");
            query.order = Some(Order { field, descending });
        }
        if self.take_word("limit") {
            query.limit = Some(self.number("a number of rows")?);
        }
        if noun == Noun::Items && query.equal_to("job").is_none() {
            return Err(self.error_at_end("name the job: items where job = ID"));
        }
        Ok(query)
    }

    fn condition(&mut self, noun: Noun) -> Result<Condition, ParseError> {
        let field = self.field(noun.fields())?;
        let op = match self.peek() {
            Some((Token::Op(op), _)) => *op,
            Some(_) => return Err(self.error_at_next("put one of = != < <= > >= ~ here")),
            None => return Err(self.error_at_end("a comparison is missing")),
        };
        self.next += 1;
        let value = self.value()?;
        Ok(Condition { field, op, value })
    }

    fn command(&mut self, verb: &str) -> Result<Command, ParseError> {
        Ok(match verb {
            "cancel" => Command::Cancel { job: self.named("job")? },
            "drain" => Command::Drain { target: self.named("target")? },
            "undrain" => Command::Undrain { target: self.named("target")? },
            "reclaim" => Command::Reclaim { target: self.named("target")? },
            "release" => Command::Release { target: self.named("target")? },
            "set" => self.set()?,
            "lift" => Command::Lift { suspect: self.named("suspect")? },
            _ => Command::Rollback,
        })
    }

    fn set(&mut self) -> Result<Command, ParseError> {
        let word = self.word("service, target or workspace")?;
        let Some(object) = Settable::ALL.into_iter().find(|it| it.word() == word) else {
            let known: Vec<&str> = Settable::ALL.iter().map(|it| it.word()).collect();
            return Err(self.unknown_word(&word, &known));
        };
        let name = self.value()?;
        let field = self.field(object.fields())?;
        match self.peek() {
            Some((Token::Op(Op::Equal), _)) => self.next += 1,
            Some(_) => return Err(self.error_at_next("put = here")),
            None => return Err(self.error_at_end("= and a value are missing")),
        }
        let value = self.number("a number")?.to_string();
        Ok(Command::Set { object, name, field, value })
    }

    /// Parses the keyword `kind` and the name after it.
    fn named(&mut self, kind: &str) -> Result<String, ParseError> {
        self.expect_word(kind)?;
        self.value()
    }

    fn field(&mut self, known: &'static [&'static str]) -> Result<&'static str, ParseError> {
        let word = self.word("a field")?;
        match known.iter().find(|it| **it == word) {
            Some(field) => Ok(field),
            None => Err(self.unknown_word(&word, known)),
        }
    }

    fn number(&mut self, what: &str) -> Result<usize, ParseError> {
        let word = self.word(what)?;
        word.parse().map_err(|_| {
            self.next -= 1;
            self.error_at_next(&format!("put {what} here"))
        })
    }

    fn value(&mut self) -> Result<String, ParseError> {
        match self.peek() {
            Some((Token::Word(text) | Token::Text(text), _)) => {
                let text = text.clone();
                self.next += 1;
                Ok(text)
            }
            Some(_) => Err(self.error_at_next("put a value here; quote it if it holds spaces")),
            None => Err(self.error_at_end("a value is missing")),
        }
    }

    fn word(&mut self, what: &str) -> Result<String, ParseError> {
        match self.peek() {
            Some((Token::Word(word), _)) => {
                let word = word.clone();
                self.next += 1;
                Ok(word)
            }
            Some(_) => Err(self.error_at_next(&format!("put {what} here"))),
            None => Err(self.error_at_end(&format!("{what} is missing"))),
        }
    }

    /// Skips the next token if it is the word `wanted`; returns whether it was.
    fn take_word(&mut self, wanted: &str) -> bool {
        let found = matches!(self.peek(), Some((Token::Word(word), _)) if word == wanted);
        self.next += usize::from(found);
        found
    }

    fn expect_word(&mut self, wanted: &str) -> Result<(), ParseError> {
        if self.take_word(wanted) {
            return Ok(());
        }
        match self.peek() {
            Some(_) => Err(self.error_at_next(&format!("put `{wanted}` here"))),
            None => Err(self.error_at_end(&format!("`{wanted}` is missing"))),
        }
    }

    fn end(&self) -> Result<(), ParseError> {
        match self.peek() {
            None => Ok(()),
            Some(_) => Err(self.error_at_next("the statement should end here")),
        }
    }

    fn peek(&self) -> Option<&(Token, Range<usize>)> {
        self.tokens.get(self.next)
    }

    /// Error for the word that was read last.
    fn unknown_word(&self, word: &str, known: &[&str]) -> ParseError {
        let hint = match nearest(word, known) {
            Some(near) => format!("did you mean `{near}`?"),
            None => format!("use one of {}", known.join(", ")),
        };
        let span = self.tokens[self.next - 1].1.clone();
        self.error(span, format!("`{word}` is not known here; {hint}"))
    }

    fn error_at_next(&self, problem: &str) -> ParseError {
        let span = self.tokens[self.next].1.clone();
        self.error(span, problem.to_owned())
    }

    fn error_at_end(&self, problem: &str) -> ParseError {
        let end = self.statement.trim_end().len();
        let end = if end == 0 { 0 } else { (end + 1).min(self.statement.len()) };
        self.error(end..end, problem.to_owned())
    }

    fn error(&self, span: Range<usize>, problem: String) -> ParseError {
        ParseError { statement: self.statement.to_owned(), span, problem }
    }
}
