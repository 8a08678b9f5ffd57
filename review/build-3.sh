#!/bin/sh
# Builds the stand-in that the script of case 11 starts. Run it after the build of the deploy file. It
# uses the standard library only, and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O review/standin-3/main.rs -o target/review-3/standin-3
