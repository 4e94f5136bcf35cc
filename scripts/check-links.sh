#!/usr/bin/env bash
# Checks that every relative link in the Markdown files leads to a file.
set -euo pipefail
cd "$(dirname "$0")/.."

status=0
while IFS= read -r page; do
  while IFS= read -r target; do
    path=${target%%#*}
    [ -z "$path" ] && continue
    if [ ! -e "$(dirname "$page")/$path" ]; then
      echo "$page: broken link: $target" >&2
      status=1
    fi
  done < <(grep -oE '\]\([^)]+\)' "$page" | sed -E 's/^\]\(//; s/\)$//' | grep -vE '^(https?|mailto):' || true)
done < <(git ls-files '*.md')
exit $status
