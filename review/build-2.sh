#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10, after the build of the
# deploy file. Needs rustc and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/standins-2/main.rs
