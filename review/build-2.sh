#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 and the folders after it into target/review-2. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS= go build -buildvcs=false -o ../../target/review-2/ ./cmd/...
