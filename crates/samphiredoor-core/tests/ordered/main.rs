//! Tests of ordered jobs: several writers of one log against a store that loses answers, and what item ends mean.

mod items;
mod log;
