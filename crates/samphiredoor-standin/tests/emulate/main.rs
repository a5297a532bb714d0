//! Tests of the emulator: scenario files, the engine model, simulations of fleets, and the upper bound.

mod bound;
mod engine;
mod scenario;
mod simulation;
