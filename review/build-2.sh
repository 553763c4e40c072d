#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. It needs only the compiler: the
# stand-ins use nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig review/rig-2/rig.rs
