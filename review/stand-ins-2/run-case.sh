#!/bin/sh
# Runs one case: run-case.sh NAME FOLDER. Ends every process that the case has started.
case_name=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.." || exit 2
program=review/stand-ins-2/target/release/review-case
if [ ! -x "$program" ] || [ ! -x target/release/copperfield ]; then
    echo "not built: run the build of deploy/service.toml and review/build-2.sh" >&2
    exit 2
fi
CASE_PIDS=$(mktemp) || exit 2
export CASE_PIDS
runner=
started=
end_processes() {
    [ -z "$runner" ] || kill "$runner" 2>/dev/null
    while read -r pid; do
        if grep -q copperfield "/proc/$pid/cmdline" 2>/dev/null; then
            kill -9 "$pid" 2>/dev/null
        fi
    done < "$CASE_PIDS"
    rm -f "$CASE_PIDS"
    [ -z "$started" ] || rm -rf "${TMPDIR:-/tmp}/copperfield-review-$started"
}
trap end_processes EXIT
trap 'exit 2' INT TERM HUP
"$program" "$case_name" "$folder/record.txt" &
runner=$!
started=$runner
wait "$runner"
code=$?
runner=
case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
