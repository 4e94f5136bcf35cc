#!/usr/bin/env bash
# Runs "tanagerwood check" on every example catalogue.
set -euo pipefail
cd "$(dirname "$0")/.."

binary=$1
found=0
for file in examples/*/catalogue.json; do
  "$binary" check -catalogue "$file"
  found=$((found + 1))
done
if [ "$found" -lt 2 ]; then
  echo "expected at least two example catalogues, found $found" >&2
  exit 1
fi
