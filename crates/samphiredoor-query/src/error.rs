//! Errors that point at the word that is wrong.

use std::{fmt, ops::Range};

/// A statement that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError {
    /// The whole statement.
    pub statement: String,
    /// Bytes of the word that is wrong; empty at the end when a word is missing.
    pub span: Range<usize>,
    /// What is wrong, with a hint.
    pub problem: String,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let before = self.statement.get(..self.span.start).unwrap_or_default().chars().count();
        let marked = self.statement.get(self.span.clone()).unwrap_or_default().chars().count();
        writeln!(f, "{}", self.problem)?;
        writeln!(f, "  {}", self.statement)?;
        write!(f, "  {}{}", " ".repeat(before), "^".repeat(marked.max(1)))
    }
}

impl std::error::Error for ParseError {}

/// The known word nearest to `word`, if one is near enough to have been meant.
pub(crate) fn nearest<'a>(word: &str, known: &[&'a str]) -> Option<&'a str> {
    let near = known.iter().map(|it| (distance(word, it), *it)).min()?;
    (near.0 <= 2).then_some(near.1)
}

fn distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, l) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, r) in right.iter().enumerate() {
            let changed = diagonal + usize::from(l != *r);
            diagonal = row[j + 1];
            row[j + 1] = changed.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}
