#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, without a network. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
CARGO_TARGET_DIR="$PWD/target/review-2" exec cargo build --release --offline --locked \
    --manifest-path review/standins-2/Cargo.toml
