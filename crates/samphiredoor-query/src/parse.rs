//! From tokens to a checked statement.

use std::ops::Range;

use crate::{
    ast::{Command, Condition, Noun, Op, Order, Query, Settable, Statement},
    error::{ParseError, nearest},
    token::{Token, tokens},
};

const VERBS: [&str; 8] =
    ["cancel", "drain", "undrain", "reclaim", "release", "set", "lift", "rollback"];

/// Reads one statement.
///
/// # Errors
///
/// The first word that is wrong or missing, with a hint.
pub fn parse(statement: &str) -> Result<Statement, ParseError> {
    let mut words = Words { statement, tokens: tokens(statement)?, next: 0 };
    let parsed = words.statement()?;
    words.end()?;
    Ok(parsed)
}

struct Words<'a> {
    statement: &'a str,
    tokens: Vec<(Token, Range<usize>)>,
    next: usize,
}

impl Words<'_> {
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
            return Err(self.unknown(noun, &known));
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
            self.expect("by")?;
            let field = self.field(noun.fields())?;
            let descending = self.take_word("desc");
            query.order = Some(Order { field, descending });
        }
        if self.take_word("limit") {
            query.limit = Some(self.number("a number of rows")?);
        }
        if noun == Noun::Items && query.equal_to("job").is_none() {
            return Err(self.missing("name the job: items where job = ID"));
        }
        Ok(query)
    }

    fn condition(&mut self, noun: Noun) -> Result<Condition, ParseError> {
        let field = self.field(noun.fields())?;
        let op = match self.peek() {
            Some((Token::Op(op), _)) => *op,
            Some(_) => return Err(self.wrong("put one of = != < <= > >= ~ here")),
            None => return Err(self.missing("a comparison is missing")),
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
            return Err(self.unknown(&word, &known));
        };
        let name = self.value()?;
        let field = self.field(object.fields())?;
        match self.peek() {
            Some((Token::Op(Op::Equal), _)) => self.next += 1,
            Some(_) => return Err(self.wrong("put = here")),
            None => return Err(self.missing("= and a value are missing")),
        }
        let value = self.number("a number")?.to_string();
        Ok(Command::Set { object, name, field, value })
    }

    fn named(&mut self, kind: &str) -> Result<String, ParseError> {
        self.expect(kind)?;
        self.value()
    }

    fn field(&mut self, known: &'static [&'static str]) -> Result<&'static str, ParseError> {
        let word = self.word("a field")?;
        match known.iter().find(|it| **it == word) {
            Some(field) => Ok(field),
            None => Err(self.unknown(&word, known)),
        }
    }

    fn number(&mut self, what: &str) -> Result<usize, ParseError> {
        let word = self.word(what)?;
        word.parse().map_err(|_| {
            self.next -= 1;
            self.wrong(&format!("put {what} here"))
        })
    }

    fn value(&mut self) -> Result<String, ParseError> {
        match self.peek() {
            Some((Token::Word(text) | Token::Text(text), _)) => {
                let text = text.clone();
                self.next += 1;
                Ok(text)
            }
            Some(_) => Err(self.wrong("put a value here; quote it if it holds spaces")),
            None => Err(self.missing("a value is missing")),
        }
    }

    fn word(&mut self, what: &str) -> Result<String, ParseError> {
        match self.peek() {
            Some((Token::Word(word), _)) => {
                let word = word.clone();
                self.next += 1;
                Ok(word)
            }
            Some(_) => Err(self.wrong(&format!("put {what} here"))),
            None => Err(self.missing(&format!("{what} is missing"))),
        }
    }

    fn take_word(&mut self, wanted: &str) -> bool {
        let found = matches!(self.peek(), Some((Token::Word(word), _)) if word == wanted);
        self.next += usize::from(found);
        found
    }

    fn expect(&mut self, wanted: &str) -> Result<(), ParseError> {
        if self.take_word(wanted) {
            return Ok(());
        }
        match self.peek() {
            Some(_) => Err(self.wrong(&format!("put `{wanted}` here"))),
            None => Err(self.missing(&format!("`{wanted}` is missing"))),
        }
    }

    fn end(&self) -> Result<(), ParseError> {
        match self.peek() {
            None => Ok(()),
            Some(_) => Err(self.wrong("the statement should end here")),
        }
    }

    fn peek(&self) -> Option<&(Token, Range<usize>)> {
        self.tokens.get(self.next)
    }

    fn unknown(&self, word: &str, known: &[&str]) -> ParseError {
        let hint = match nearest(word, known) {
            Some(near) => format!("did you mean `{near}`?"),
            None => format!("use one of {}", known.join(", ")),
        };
        let span = self.tokens[self.next - 1].1.clone();
        self.error(span, format!("`{word}` is not known here; {hint}"))
    }

    fn wrong(&self, problem: &str) -> ParseError {
        let span = self.tokens[self.next].1.clone();
        self.error(span, problem.to_owned())
    }

    fn missing(&self, problem: &str) -> ParseError {
        let end = self.statement.trim_end().len();
        let end = if end == 0 { 0 } else { (end + 1).min(self.statement.len()) };
        self.error(end..end, problem.to_owned())
    }

    fn error(&self, span: Range<usize>, problem: String) -> ParseError {
        ParseError { statement: self.statement.to_owned(), span, problem }
    }
}
