//! Chains of runs in all streams and texts that callers received.
//!
//! A stream that its caller takes up is one chain over all of its attempts.

use std::{borrow::Cow, collections::HashMap};

use super::{connection::Reply, versions::TakeUp};
use crate::{
    platform_target::{stream_without_names, text_without_names},
    run_chain::{ChainBreak, RunChain},
};

/// What callers received of each stream.
#[derive(Debug, Default)]
pub struct Chains {
    are_runs_named: bool,
    /// Streams by the id of the attempt that brought the first event.
    streams: HashMap<String, RunChain>,
}

impl Chains {
    /// Sets that all targets name their runs; until then nothing is checked.
    pub fn expect_names(&mut self) {
        self.are_runs_named = true;
    }

    /// What breaks the chain of a stream in the body of a success.
    pub fn stream_break(
        &mut self,
        id: &str,
        take_up: Option<&TakeUp>,
        body: &[u8],
    ) -> Option<ChainBreak> {
        if !self.are_runs_named {
            return None;
        }
        let (first, after) = take_up.map_or((id, None), |it| (&*it.first, Some(it.after)));
        let begun = self.streams.remove(first).filter(|it| it.last() == after);
        let mut chain = begun.filter(|_| take_up.is_some()).unwrap_or(RunChain::after(after));
        let found = chain.push_stream(body).err();
        self.streams.insert(first.to_owned(), chain);
        found
    }

    /// What breaks the chain of the text of an item.
    pub fn text_break(&self, text: &str) -> Option<ChainBreak> {
        if !self.are_runs_named {
            return None;
        }
        RunChain::after(None).push_text(text).err()
    }

    /// An answer as it is without the names of runs.
    pub fn reply_without_names<'a>(&self, reply: &'a Reply) -> Cow<'a, Reply> {
        if !self.are_runs_named {
            return Cow::Borrowed(reply);
        }
        Cow::Owned(Reply { body: stream_without_names(&reply.body), ..reply.clone() })
    }

    /// The text of an item as it is without the names of runs.
    pub fn text_without_names<'a>(&self, text: &'a str) -> Cow<'a, str> {
        match self.are_runs_named {
            true => Cow::Owned(text_without_names(text)),
            false => Cow::Borrowed(text),
        }
    }
}
