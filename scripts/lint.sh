#!/usr/bin/env bash
# Checks formatting, vet and staticcheck for the given modules.
set -euo pipefail
cd "$(dirname "$0")/.."

unformatted=$(gofmt -l "$@")
if [ -n "$unformatted" ]; then
  echo "gofmt: run 'gofmt -w' on these files:" >&2
  echo "$unformatted" >&2
  exit 1
fi
for module in "$@"; do
  go vet "./$module/..."
done
mkdir -p bin
(cd router && go build -o ../bin/staticcheck honnef.co/go/tools/cmd/staticcheck)
for module in "$@"; do
  bin/staticcheck "./$module/..."
done
