#!/usr/bin/env bash
# Stops an instance as planned while consumers read their streams slowly. See claim.txt. TROUBLE=0 has them read at once.
set -u
cd "$(dirname "$0")/../.."
TROUBLE="${TROUBLE:-1}" exec target/review-2/case7 review/7/record.txt
