#!/usr/bin/env bash
# Runs a small system in the foreground until interrupted. When it is ready, out/up.json says where everything is.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/system.sh
. scripts/system.sh

rm -f out/up.json
trap 'end_all; rm -f out/up.json' EXIT
trap 'exit 0' INT TERM
start_system
write_up_json
echo "ready; out/up.json says where everything is. Interrupt to stop."
# A foreground sleep would delay the traps until it ends.
while :; do
  sleep 3600 &
  wait $!
done
