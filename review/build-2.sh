#!/bin/sh
# Builds what the cases 6 to 10 start: the project's program with its own stand-ins, and those of the cases.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline -p slipreel-cli || cargo build --release --locked -p slipreel-cli
mkdir -p review/bin
rustc --edition 2021 -O -o review/bin/cases-2 review/stand-ins-2/main.rs
