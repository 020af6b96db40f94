#!/usr/bin/env bash
# Builds the stand-ins of the cases with the Rust compiler alone. The hosts are those of the build
# of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/[1-5]/main.rs; do
    [ -e "$main" ] || continue
    number=$(basename "$(dirname "$main")")
    rustc --edition 2024 -O -o "target/review/case-$number" "$main"
done
