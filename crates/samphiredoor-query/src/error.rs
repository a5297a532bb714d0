//! Parse errors, which mark the word that is wrong, and suggestions for misspelt words.

use std::{fmt, ops::Range};

/// Why a statement could not be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError {
    /// The whole statement.
    pub statement: String,
    /// Byte range of the word that is wrong; empty and at the end if a word is missing.
    pub span: Range<usize>,
    /// What is wrong, and how to fix it.
    pub problem: String,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let before = self.statement.get(..self.span.start).unwrap_or_default().chars().count();
        let width = self.statement.get(self.span.clone()).unwrap_or_default().chars().count();
        writeln!(f, "{}", self.problem)?;
        writeln!(f, "  {}", self.statement)?;
        write!(f, "  {}{}", " ".repeat(before), "^".repeat(width.max(1)))
    }
}

impl std::error::Error for ParseError {}

/// The known word nearest to `word`, if its edit distance is at most two.
pub(crate) fn nearest<'a>(word: &str, known: &[&'a str]) -> Option<&'a str> {
    let near = known.iter().map(|it| (edit_distance(word, it), *it)).min()?;
    (near.0 <= 2).then_some(near.1)
}

/// Levenshtein distance, in characters.
fn edit_distance(left: &str, right: &str) -> usize {
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
