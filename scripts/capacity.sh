#!/usr/bin/env bash
# Measures what a router costs without callers, over fleets of growing size: idle CPU, memory, control bytes and platform
# calls. Starts each fleet on loopback ports, ends its own processes by id, and fits slopes.
#
#   scripts/capacity.sh OUT_DIRECTORY [POINT_PATTERN]
#
# BASE_PORT (23000) sets the ports, SETTLE_SECONDS (8) the wait before measuring, MEASURE_SECONDS (15) its length.
set -euo pipefail
cd "$(dirname "$0")/.."
ROOT=$PWD
# shellcheck source=scripts/lab-lib.sh
. scripts/lab-lib.sh

out=$(realpath -m "$1")
pattern=${2:-*}
base_port=${BASE_PORT:-23000}
settle=${SETTLE_SECONDS:-8}
measure=${MEASURE_SECONDS:-15}
lab=${LAB_BINARY:-$ROOT/bin/tanagerlab}
router=${ROUTER_BINARY:-$ROOT/bin/tanagerwood}
mkdir -p "$out"
RUN=$out
trap 'end_all' EXIT

platform_calls() { curl -sf --max-time 2 "$1/calls" | sed -E 's/.*"total": ?([0-9]+).*/\1/'; }

start_fleet() {
  local name kind url operators platform
  local -a arguments
  while read -r name kind _ url operators arguments_line; do
    read -r -a arguments <<<"$arguments_line"
    if [ "$kind" = router ]; then
      start_process "$name" "$router" serve "${arguments[@]}"
      continue
    fi
    start_process "$name" "$lab" "$kind" "${arguments[@]}"
    if [ "$kind" = platform ]; then
      platform=$url
      wait_for "$platform/calls" 10 || return 1
      curl -sf -o /dev/null -X PUT -H "Authorization: Bearer $TANAGERWOOD_PLATFORM_TOKEN" -H 'If-None-Match: *' \
        --data-binary "@$RUN/catalogue.json" "$platform/api/v1/catalogue/main"
    else
      wait_for "$url/healthz" 10 || return 1
    fi
  done <"$RUN/processes.txt"
  while read -r name kind _ url operators _; do
    if [ "$kind" = router ]; then wait_for "$operators/readyz" 40 || return 1; fi
  done <"$RUN/processes.txt"
}

run_point() {
  local platform cpu bytes calls begin span rss=0 name count
  local -a routers
  mapfile -t routers < <(awk '$2 == "router" {print $1}' "$RUN/processes.txt")
  count=${#routers[@]}
  platform=$(awk '$2 == "platform" {print $4}' "$RUN/processes.txt")
  start_fleet || return 1
  sleep "$settle"
  begin=$(now_ms)
  cpu=$(cpu_ticks "${routers[@]}")
  bytes=$(io_bytes "${routers[@]}")
  calls=$(platform_calls "$platform")
  sleep "$measure"
  span=$(($(now_ms) - begin))
  cpu=$(($(cpu_ticks "${routers[@]}") - cpu))
  bytes=$(($(io_bytes "${routers[@]}") - bytes))
  calls=$(($(platform_calls "$platform") - calls))
  for name in "${routers[@]}"; do rss=$((rss + $(rss_kb "$name"))); done
  awk -v n="$count" -v ms="$span" -v cpu="$cpu" -v tick="$(getconf CLK_TCK)" -v b="$bytes" -v c="$calls" -v rss="$rss" 'BEGIN {
    s = ms / 1000
    printf "{\"cpuPercentOfCore\": %.3f, \"rssMegabytes\": %.2f, \"controlBytesPerSecond\": %.1f, \"platformCallsPerSecond\": %.3f}\n",
      100 * cpu / tick / s / n, rss / 1024 / n, b / s / n, c / s / n }' >"$RUN/sample.json"
}

failed=0
for point in $("$lab" capacity plan); do
  # shellcheck disable=SC2254
  case $point in $pattern) ;; *) continue ;; esac
  RUN=$out/$point
  if [ -e "$RUN/sample.json" ]; then continue; fi
  rm -rf "$RUN"
  mkdir -p "$RUN/pids"
  "$lab" capacity -point "$point" -dir "$RUN" -base-port "$base_port" prepare
  if run_point; then
    echo "$(date -u +%H:%M:%S) $point $(cat "$RUN/sample.json")"
  else
    failed=$((failed + 1))
    echo "$point failed; see $RUN/*.log" >&2
  fi
  end_all
done
"$lab" capacity -dir "$out" summarize >"$out/capacity.md"
echo "summary: $out/capacity.md ($failed points failed)"
[ "$failed" -eq 0 ]
