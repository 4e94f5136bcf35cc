#!/usr/bin/env bash
# Starts a small system, sends one streamed chat completion and one booking through two different instances, shows the
# answers and the timeline, and stops everything.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/system.sh
. scripts/system.sh

trap end_all EXIT
started=$(now_ms)
start_system
echo "ready after $(($(now_ms) - started)) ms"

mapfile -t callers < <(routers | while read -r _ port _; do url "$port"; done)
mapfile -t operators < <(routers | while read -r _ port _; do url $((port + 2)); done)
key=$(key_of "$customer")

echo
echo "== streamed chat completion through ${callers[0]}"
curl -sfN --max-time 30 "${callers[0]}/v1/chat/completions" -H "Authorization: Bearer $key" \
  -H 'Content-Type: application/json' -o "$RUN/stream.txt" -d "{\"model\":\"$model\",\"stream\":true,\"max_tokens\":24,
  \"messages\":[{\"role\":\"user\",\"content\":\"Write the route briefing for the Pasar Ipoh circuit: three restaurants, twelve knives each.\"}]}"
grep -c '^data: {' "$RUN/stream.txt" | sed 's/$/ chunks/'
sed -n 's/^data: .*"content":"\([^"]*\)".*/\1/p' "$RUN/stream.txt" | tr -d '\n'
echo
tail -n 2 "$RUN/stream.txt" | grep -q '^data: \[DONE\]' || { echo "the stream has no end marker" >&2; exit 1; }

echo
echo "== booking through ${callers[1]}"
booking='{"booking":"demo-1","kitchen":"Restoran Seri Ipoh","slot":"2026-12-05T09:00"}'
for attempt in first repeated; do
  echo "-- $attempt"
  curl -sf --max-time 30 -D "$RUN/headers.txt" "${callers[1]}$booking_path" -H "Authorization: Bearer $key" \
    -H 'Content-Type: application/json' -H 'Idempotency-Key: "demo-booking-1"' -d "$booking"
  echo
  grep -i '^idempotency-replayed' "$RUN/headers.txt" || true
done
echo "-- runs counted by the service: $(curl -sf "$(url 31)/runs")"

echo
echo "== timeline"
"$router" timeline -processes "$(IFS=,; echo "${operators[*]}"),$platform_url$(endpoints | while read -r _ _ _ port _; do printf ',%s' "$(url "$port")"; done)" \
  -chrome "$ROOT/out/trace.json" | grep -E 'request\.|prefill\.|transfer\.|decode\.|service\.|claim\.' | tail -n 40
echo
echo "done after $(($(now_ms) - started)) ms; out/trace.json opens in a browser's trace viewer"
