//! Tokens that protect the operators' and the peers' listeners, and digests of callers' API keys.

use std::{io::Read, path::Path};

use anyhow::{Context, ensure};
use hyper::{HeaderMap, header};
use samphiredoor_core::access::KeyDigest;

const MIN_TOKEN_BYTES: usize = 16;

/// Token that operators present; only its digest is held in memory.
#[derive(Debug, Clone, PartialEq)]
pub struct Token(blake3::Hash);

impl Token {
    /// Reads a token file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, or if its token is so short that it could be guessed.
    pub fn read(file: &Path) -> anyhow::Result<Token> {
        Ok(Token(blake3::hash(read_token(file)?.as_bytes())))
    }

    /// Whether the `authorization` header carries this token. Digests are compared in constant time, so that the
    /// duration reveals nothing about the token.
    pub fn admits(&self, headers: &HeaderMap) -> bool {
        let value = headers.get(header::AUTHORIZATION).and_then(|it| it.to_str().ok());
        let presented = value.and_then(|it| it.strip_prefix("Bearer "));
        presented.is_some_and(|it| self.matches(it.as_bytes()))
    }

    /// Whether `presented` is this token, leading and trailing whitespace aside.
    pub fn matches(&self, presented: &[u8]) -> bool {
        blake3::hash(presented.trim_ascii()) == self.0
    }
}

/// Reads a token file for a process that presents the token itself.
///
/// # Errors
///
/// Fails as [`Token::read`] does.
pub fn read_token(file: &Path) -> anyhow::Result<String> {
    let text = std::fs::read_to_string(file)
        .with_context(|| format!("{}: cannot be read", file.display()))?;
    let token = text.trim();
    ensure!(
        token.len() >= MIN_TOKEN_BYTES,
        "{}: the token is shorter than {MIN_TOKEN_BYTES} bytes",
        file.display()
    );
    Ok(token.to_owned())
}

/// Reads an API key, leading and trailing whitespace aside, and returns its digest.
///
/// # Errors
///
/// The input cannot be read, or the key is so short that it could be guessed.
pub fn digest_of_key(mut input: impl Read) -> anyhow::Result<KeyDigest> {
    let mut key = String::new();
    input.read_to_string(&mut key).context("the key cannot be read from standard input")?;
    let key = key.trim();
    ensure!(key.len() >= MIN_TOKEN_BYTES, "the key is shorter than {MIN_TOKEN_BYTES} bytes");
    Ok(KeyDigest::new(key.as_bytes()))
}
