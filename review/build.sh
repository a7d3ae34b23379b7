#!/usr/bin/env bash
# Builds the stand-ins of the cases: one program, standard library only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
rustc --edition 2021 -O stand-ins/main.rs -o bin/stand-ins
