#!/bin/sh
# Needs the build of the deploy file and review/build.sh. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
exec ../standin/target/release/review-standin zone-machine-taken "$(cd ../.. && pwd)" "$PWD/record.txt"
