#!/usr/bin/env bash
# Runs "tanagerwood check" on every example, and compares the clear demonstration keys with the catalogue's digests.
set -euo pipefail
cd "$(dirname "$0")/.."

binary=$1
found=0
for file in examples/*/catalogue.json; do
  directory=$(dirname "$file")
  "$binary" check -catalogue "$file" -settings "$directory/settings.env"
  while read -r customer key; do
    case $customer in '#'* | '') continue ;; esac
    digest=$(printf %s "$key" | sha256sum | cut -d' ' -f1)
    if ! grep -q "\"$digest\"" "$file"; then
      echo "$directory/keys.txt: the catalogue has no digest of the key of $customer" >&2
      exit 1
    fi
  done <"$directory/keys.txt"
  found=$((found + 1))
done
if [ "$found" -lt 2 ]; then
  echo "expected at least two example catalogues, found $found" >&2
  exit 1
fi
