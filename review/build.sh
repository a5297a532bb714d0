#!/bin/sh
# Builds the stand-ins of the scripted cases; needs no crates and no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -A dead_code -o target/review/stand review/stand/main.rs
