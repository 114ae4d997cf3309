#!/bin/bash
# Builds the stand-ins of this review, with the compiler alone: they use nothing but the standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/scene review/standin-2/main.rs
