#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. Needs the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/cases review/standins/main.rs
