#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. It needs Go alone and no module from elsewhere.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
GOWORK=off GOFLAGS="${GOFLAGS:-} -buildvcs=false" go build -o ../../target/review/ ./cmd/...
