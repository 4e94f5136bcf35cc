#!/usr/bin/env bash
# Kills all instances while the list of servers holds large entries of another writer. See claim.txt. TROUBLE=0 leaves the entries out.
set -u
cd "$(dirname "$0")/../.."
TROUBLE="${TROUBLE:-1}" exec target/review-2/case6 review/6/record.txt
