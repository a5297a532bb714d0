//! Tests of the emulator: its scenarios, its engines, its fleets, and the bound.

mod bound;
mod engine;
mod scenario;
mod simulation;
