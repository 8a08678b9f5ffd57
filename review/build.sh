#!/bin/sh
# Builds the stand-in program that the scripts of the cases start. It uses the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -A warnings -o target/review/standin review/standin/main.rs
