#!/usr/bin/env bash
# Runs the cells of an experiment file one after the other: starts platform, engines, services and routers on loopback
# ports, sends the load, switches faults during the run, ends its own processes by id, and collects the results.
# Cells that already have a result are skipped, so an interrupted run can go on.
#
#   scripts/experiment.sh FILE OUT_DIRECTORY [CELL_PATTERN]
#
# BASE_PORT (21000) sets the ports, FILL_SECONDS (11) how long the customers' empty shares fill before the load.
set -euo pipefail
cd "$(dirname "$0")/.."
ROOT=$PWD
# shellcheck source=scripts/lab-lib.sh
. scripts/lab-lib.sh

file=$(realpath "$1")
out=$(realpath -m "$2")
pattern=${3:-*}
base_port=${BASE_PORT:-21000}
fill_seconds=${FILL_SECONDS:-11}
lab=${LAB_BINARY:-$ROOT/bin/tanagerlab}
router=${ROUTER_BINARY:-$ROOT/bin/tanagerwood}
mkdir -p "$out"
RUN=$out
trap 'end_all' EXIT

# start_line starts the process of a line of processes.txt.
start_line() {
  local name=$1 kind=$2
  shift 5
  if [ "$kind" = router ]; then
    start_process "$name" "$router" serve "$@"
  else
    start_process "$name" "$lab" "$kind" "$@"
  fi
}

start_named() {
  local -a fields
  read -r -a fields < <(grep "^$1 " "$RUN/processes.txt")
  start_line "${fields[@]}"
}

names_of() { awk -v kind="$1" '$2 == kind {print $1}' "$RUN/processes.txt"; }
urls_of() { awk -v kind="$1" '$2 == kind {print $4}' "$RUN/processes.txt" | paste -sd, -; }

start_cell() {
  local -a fields
  local platform name kind url operators _
  platform=$(urls_of platform)
  start_named platform
  wait_for "$platform/calls" 10 || return 1
  curl -sf -o /dev/null -X PUT -H "Authorization: Bearer $TANAGERWOOD_PLATFORM_TOKEN" -H 'If-None-Match: *' \
    --data-binary "@$RUN/catalogue.json" "$platform/api/v1/catalogue/main"
  for name in $(names_of engine) $(names_of service); do start_named "$name"; done
  while read -r name kind _ url _; do
    case $kind in engine | service) wait_for "$url/healthz" 10 || return 1 ;; esac
  done <"$RUN/processes.txt"
  for name in $(names_of router); do start_named "$name"; done
  while read -r name kind _ _ operators _; do
    wait_for "$operators/readyz" 30 || return 1
  done < <(grep ' router ' "$RUN/processes.txt")
}

# run_faults BEGIN_MS runs the actions of faults.txt at their times.
run_faults() {
  local at action name url body pause platform
  platform=$(urls_of platform)
  while read -r at action name url body; do
    pause=$(($1 + at - $(now_ms)))
    if [ "$pause" -gt 0 ]; then sleep "$(awk -v ms="$pause" 'BEGIN {print ms / 1000}')"; fi
    echo "fault at $at ms: $action $name ${url:-} ${body:-}"
    case $action in
      kill) kill -KILL "$(pid_of "$name")" || true ;;
      restart)
        { end_process "$name" TERM 60 && start_named "$name"; } &
        restarts+=($!)
        ;;
      post) curl -sf -o /dev/null --max-time 2 -X POST --data-binary "$body" "$url" || echo "no answer from $url" ;;
      remove) curl -sf -o /dev/null --max-time 2 -X POST --data-binary "{\"removed\":[\"$name\"]}" "$platform/instances" || true ;;
    esac
  done <"$RUN/faults.txt"
}

# measure_control prints the bytes a second that a router without callers sends and receives.
measure_control() {
  local count before after
  local -a routers
  mapfile -t routers < <(names_of router)
  count=${#routers[@]}
  before=$(io_bytes "${routers[@]}")
  sleep "$fill_seconds"
  after=$(io_bytes "${routers[@]}")
  awk -v b="$((after - before))" -v n="$count" -v s="$fill_seconds" 'BEGIN {printf "%.0f", b / n / s}'
}

run_cell() {
  local control cpu begin load_pid pid status=0
  restarts=()
  local -a routers
  mapfile -t routers < <(names_of router)
  start_cell || return 1
  control=$(measure_control)
  cpu=$(cpu_ticks "${routers[@]}")
  begin=$(now_ms)
  "$lab" load -scenario "$RUN/scenario.json" -catalogue "$RUN/catalogue.json" -routers "$(urls_of router)" \
    -engines "$(urls_of engine)" -services "$(urls_of service)" -filled "${fill_seconds}s" -out "$RUN/result.tmp" -records "$RUN/records.jsonl" \
    >"$RUN/table.txt" 2>"$RUN/load.log" &
  load_pid=$!
  run_faults "$begin" >"$RUN/faults.log" 2>&1
  wait "$load_pid" || status=$?
  for pid in "${restarts[@]}"; do wait "$pid" || true; done # else a restart could begin after end_all
  if [ "$status" -ne 0 ]; then
    cat "$RUN/load.log" >&2
    return 1
  fi
  if grep -qE ' (kill|restart) router' "$RUN/faults.txt"; then
    # The time of processes that ended is not known.
    echo "{\"controlBytesPerSecondPerRouter\": $control}" >"$RUN/process.json"
  else
    cpu=$(($(cpu_ticks "${routers[@]}") - cpu))
    echo "{\"routerCpuMs\": $((cpu * 1000 / $(getconf CLK_TCK))), \"controlBytesPerSecondPerRouter\": $control}" >"$RUN/process.json"
  fi
  mv "$RUN/result.tmp" "$RUN/result.json"
}

failed=0
for cell in $("$lab" experiment -file "$file" plan); do
  # shellcheck disable=SC2254
  case $cell in $pattern) ;; *) continue ;; esac
  RUN=$out/$cell
  if [ -e "$RUN/result.json" ]; then continue; fi
  echo "$cell $(git -C "$ROOT" describe --always --dirty) router $(sha256sum "$router" | cut -c1-12)" >>"$out/commits.txt"
  echo "$(date -u +%H:%M:%S) $cell"
  rm -rf "$RUN"
  mkdir -p "$RUN/pids"
  "$lab" experiment -file "$file" -cell "$cell" -dir "$RUN" -base-port "$base_port" prepare
  if run_cell; then
    tail -n +2 "$RUN/table.txt" | grep -E '^ *(all|customer)|worst|prefill' || true
  else
    failed=$((failed + 1))
    echo "$cell failed; see $RUN/*.log" >&2
  fi
  end_all
done
"$lab" experiment -file "$file" -dir "$out" aggregate >"$out/summary.md"
echo "summary: $out/summary.md ($failed cells failed)"
[ "$failed" -eq 0 ]
