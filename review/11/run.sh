#!/usr/bin/env bash
# Plays the case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/tanagerwood ] && [ -x target/standin3 ] || { echo "run the build of deploy/system.toml and review/build-3.sh first"; exit 2; }
TROUBLE="${TROUBLE:-1}" exec target/standin3 refused review/11/record.txt
