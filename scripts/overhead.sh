#!/usr/bin/env bash
# Measures what one router adds to the time to first token, and its processor time, at several request rates, with
# engines that answer without delay. Prints a Markdown table.
#
#   scripts/overhead.sh [REQUESTS_PER_SECOND…]
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p out
# The customers' rates must not be what limits the load.
CATALOGUE=$PWD/out/overhead-catalogue.json
sed -E 's/("rateTokensPerSecond"): [0-9]+/\1: 100000000/; s/("burstTokens"): [0-9]+/\1: 100000000/' \
  examples/asahan/catalogue.json >"$CATALOGUE"
ENGINE_FLAGS="-zero-delay -slots 2000 -blocks 100000"
# shellcheck source=scripts/system.sh
. scripts/system.sh
trap end_all EXIT
rates=("$@")
[ $# -gt 0 ] || rates=(50 100 200 400 800)
seconds=15
charge=120 # tokens of a request: 100 of prompt, 20 of output

start_system
sleep 12
echo "| requests/s | answered/s | first token p50 ms | p95 ms | p99 ms | router CPU ms/request | router cores |"
echo "|---|---|---|---|---|---|---|"
for rate in "${rates[@]}"; do
  cat >"$RUN/scenario.json" <<JSON
{"name": "overhead", "seed": 1, "durationMs": $((seconds * 1000)), "mixes": [{"customer": "$customer",
 "key": "$(key_of "$customer")", "model": "$model", "rateMultiple": $(awk -v r="$rate" -v c="$charge" 'BEGIN {print r * c / 1e8}'),
 "prompt": {"median": 100, "sigma": 0.01, "min": 100, "max": 100}, "output": {"median": 20, "sigma": 0.01, "min": 20, "max": 20}}]}
JSON
  before=$(cpu_ticks router-1)
  "$lab" load -scenario "$RUN/scenario.json" -catalogue "$CATALOGUE" -routers "$(url 41)" \
    -out "$RUN/result.json" >"$RUN/table.txt" 2>"$RUN/load.log"
  ticks=$(($(cpu_ticks router-1) - before))
  awk -v rate="$rate" -v ticks="$ticks" -v hz="$(getconf CLK_TCK)" -v seconds="$seconds" '
    /"overall"/ {overall = 1}
    overall && /"answered":/ && !answered {gsub(/[^0-9]/, ""); answered = $0}
    overall && /"p50Ms":/ && !p50 {gsub(/[^0-9.]/, "", $2); p50 = $2}
    overall && /"p95Ms":/ && !p95 {gsub(/[^0-9.]/, "", $2); p95 = $2}
    overall && /"p99Ms":/ && !p99 {gsub(/[^0-9.]/, "", $2); p99 = $2}
    END {printf "| %d | %.0f | %s | %s | %s | %.2f | %.2f |\n", rate, answered / seconds, p50, p95, p99,
      ticks / hz * 1000 / answered, ticks / hz / seconds}' "$RUN/result.json"
done
