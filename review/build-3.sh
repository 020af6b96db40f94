#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They use the standard library only.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-3 || exit 2
exec rustc --edition 2024 -O -o target/review-3/standin-3 review/standin-3/main.rs
