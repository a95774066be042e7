#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. Needs no network once the packages of the root's
# Cargo.lock have been fetched.
set -eu
cd "$(dirname "$0")/stand-ins-2"
cargo build --release --locked --offline
