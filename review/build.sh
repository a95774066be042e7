#!/bin/sh
# Builds the stand-ins of the cases. Needs no network.
set -e
cd "$(dirname "$0")/standin"
cargo build --release --locked --offline
