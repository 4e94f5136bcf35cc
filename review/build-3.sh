#!/usr/bin/env bash
# Builds the stand-in of the cases of the third review. It needs no network; run the build of deploy/system.toml before it.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/standin3 .
