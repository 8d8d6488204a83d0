#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8, from the repository's root: standard library only, no package.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/rig review/standin-2/rig.rs
