#!/bin/sh
# Builds the stand-ins of the cases 7 and 8. The program itself is built by the command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-2/Cargo.toml --target-dir target/review-2 ||
    cargo build --release --locked --manifest-path review/stand-2/Cargo.toml --target-dir target/review-2

# Stand-ins of the third review: the standard library only.
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/late_answers review/stand-3/late_answers.rs
rustc --edition 2024 -O -o target/review-3/lost_halves review/stand-3/lost_halves.rs
