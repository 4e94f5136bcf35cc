# Starts a small system on loopback addresses from the example catalogue of Asahan: one platform, two prefill and two
# decode engines, one plain service and three routers. Sourced by demo.sh and up.sh, not run.
#
# BASE_PORT (18000) sets the ports.

ROOT=$PWD
RUN=$ROOT/out/run
# shellcheck source=scripts/lab-lib.sh
. scripts/lab-lib.sh

base_port=${BASE_PORT:-18000}
lab=$ROOT/bin/tanagerlab
router=$ROOT/bin/tanagerwood
example=$ROOT/examples/asahan
catalogue=${CATALOGUE:-$example/catalogue.json}
region=my-west
model=tulis
customer=kilang-pisau
other_customer=dapur-hotel
booking_path=/bookings
lookup_path=/balances
url() { echo "http://127.0.0.1:$((base_port + $1))"; }
platform_url=$(url 0)

export TANAGERWOOD_PLATFORM_TOKEN=${TANAGERWOOD_PLATFORM_TOKEN:-demo-platform-token}
export TANAGERWOOD_PEER_TOKEN=${TANAGERWOOD_PEER_TOKEN:-demo-peer-token}

# Lines of "name role pool port domain".
endpoints() {
  cat <<LINES
prefill-1 prefill Tulis-prefill 11 Klang
prefill-2 prefill Tulis-prefill 12 Ipoh
decode-1 decode Tulis-decode 21 Melaka
decode-2 decode Tulis-decode 22 Penang
kaunter-1 service Kaunter 31 Klang
LINES
}

# Lines of "name port domain"; the port is the callers', then peers', then operators'.
routers() {
  cat <<LINES
router-1 41 Klang
router-2 44 Ipoh
router-3 47 Melaka
LINES
}

write_instances() {
  local name role pool port domain separator=""
  {
    echo '{"instances":['
    while read -r name role pool port domain; do
      printf '%s{"name":"%s","role":"%s","pool":"%s","url":"%s","domain":"%s","region":"%s","state":"live"}\n' \
        "$separator" "$name" "$role" "$pool" "$(url "$port")" "$domain" "$region"
      separator=,
    done < <(endpoints)
    while read -r name port domain; do
      printf ',{"name":"%s","role":"router","url":"%s","domain":"%s","region":"%s","state":"live"}\n' \
        "$name" "$(url $((port + 1)))" "$domain" "$region"
    done < <(routers)
    echo ']}'
  } >"$RUN/instances.json"
}

start_endpoints() {
  local name role pool port domain
  while read -r name role pool port domain; do
    if [ "$role" = service ]; then
      start_process "$name" "$lab" service -listen "127.0.0.1:$((base_port + port))" -name "$name"
    else
      start_process "$name" "$lab" engine -listen "127.0.0.1:$((base_port + port))" -name "$name" -role "$role" \
        -model "$model" "${engine_flags[@]}"
    fi
  done < <(endpoints)
  while read -r name role pool port domain; do
    wait_for "$(url "$port")/healthz" 10
  done < <(endpoints)
}

start_routers() {
  local name port domain
  while read -r name port domain; do
    start_process "$name" "$router" serve -instance "$name" -domain "$domain" -region "$region" \
      -platform-url "$platform_url" -caller-listen "127.0.0.1:$((base_port + port))" \
      -peer-listen "127.0.0.1:$((base_port + port + 1))" -peer-url "$(url $((port + 1)))" \
      -operator-listen "127.0.0.1:$((base_port + port + 2))"
  done < <(routers)
  while read -r name port domain; do
    wait_for "$(url $((port + 2)))/readyz" 30
  done < <(routers)
}

# start_system starts everything and waits until the routers are ready.
start_system() {
  rm -rf "$RUN"
  mkdir -p "$RUN/pids"
  engine_flags=(${ENGINE_FLAGS:-})
  write_instances
  start_process platform "$lab" platform -listen "127.0.0.1:$base_port" -platform-token "$TANAGERWOOD_PLATFORM_TOKEN" \
    -instances instances.json
  wait_for "$platform_url/calls" 10
  "$router" apply -create -platform-url "$platform_url" -catalogue "$catalogue" >"$RUN/apply.log"
  start_endpoints
  start_routers
}

# key_of CUSTOMER prints the clear demonstration key of a customer.
key_of() { awk -v customer="$1" '$1 == customer {print $2; exit}' "$example/keys.txt"; }

json_list() { awk 'BEGIN {printf "["} {printf "%s\"%s\"", (NR > 1 ? "," : ""), $0} END {printf "]"}'; }

# write_up_json tells other programs where everything is.
write_up_json() {
  local name role pool port domain
  cat >"$ROOT/out/up.json.tmp" <<JSON
{
  "routers": $(routers | while read -r name port domain; do url "$port"; done | json_list),
  "operators": $(routers | while read -r name port domain; do url $((port + 2)); done | json_list),
  "platform": "$platform_url",
  "engines": $(endpoints | while read -r name role pool port domain; do [ "$role" = service ] || url "$port"; done | json_list),
  "services": $(endpoints | while read -r name role pool port domain; do [ "$role" != service ] || url "$port"; done | json_list),
  "key": "$(key_of "$customer")",
  "otherKey": "$(key_of "$other_customer")",
  "model": "$model",
  "bookingPath": "$booking_path",
  "lookupPath": "$lookup_path",
  "adminToken": "$TANAGERWOOD_PLATFORM_TOKEN"
}
JSON
  mv "$ROOT/out/up.json.tmp" "$ROOT/out/up.json"
}
