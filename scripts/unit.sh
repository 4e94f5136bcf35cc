#!/usr/bin/env bash
# Runs the tests of the given modules under the race detector.
#
# TestRandomFaults runs by itself: Go's race detector sometimes dies in it with a failed check of its own (KNOWN-RED.txt).
# Exactly that crash is printed and passed over, and the test must then pass without the detector.
set -euo pipefail
cd "$(dirname "$0")/.."

packages=()
for module in "$@"; do
  packages+=("./$module/...")
done
mapfile -t listed < <(go list "${packages[@]}" | grep -v '/lab/e2e$')
[ "${#listed[@]}" -gt 0 ] || { echo "no packages to test" >&2; exit 1; }
go test -race -timeout 20m -skip '^TestRandomFaults$' "${listed[@]}"

# One spec of the processes' tests is listed in KNOWN-RED.txt; the others must pass.
red='cuts no request in planned stops through the whole fleet under load'
go test -race -timeout 20m ./lab/e2e -ginkgo.skip="$red"
output=$(mktemp)
trap 'rm -f "$output"' EXIT
if ! go test -race -timeout 20m ./lab/e2e -ginkgo.focus="$red" >"$output" 2>&1; then
  cat "$output"
  # Only the listed failure is passed over: a completion that was refused for its rate.
  if grep -q 'DATA RACE\|^panic:' "$output" || ! grep -q 'code "rate_limited"' "$output"; then
    exit 1
  fi
  echo "KNOWN-RED: lab/e2e: $red"
fi

random=(-count=1 -timeout 20m -run '^TestRandomFaults$' ./router/internal/app/quotasync)
if go test -race "${random[@]}" >"$output" 2>&1; then
  cat "$output"
  exit 0
fi
cat "$output"
# The detector's crashes begin a line; a nil dereference in Go code prints "panic:" and "[signal SIGSEGV" instead.
if grep -q '^--- FAIL\|DATA RACE\|^panic:' "$output" || ! grep -q '^ThreadSanitizer: CHECK failed\|^SIGSEGV: segmentation violation$' "$output"; then
  exit 1
fi
echo "KNOWN-RED: the race detector died in TestRandomFaults; running the test without it"
go test "${random[@]}"
