#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/tanagerwood ] && [ -x target/review/lostwatches ] || { echo "build the deploy file and review/build.sh first" >&2; exit 2; }
temp=$(mktemp -d) || exit 2
trap 'rm -rf "$temp"' EXIT
TROUBLE=${TROUBLE:-1} target/review/lostwatches "$here" "$temp"
