# Functions for scripts that run the processes of an experiment on loopback addresses. Sourced, not run.
# The process ids are in $RUN/pids/NAME, so that a script ends only processes that it started.

export TANAGERWOOD_PLATFORM_TOKEN=lab-platform-token
export TANAGERWOOD_PEER_TOKEN=lab-token-between-peers

# start_process NAME COMMAND… starts a process in $RUN with its output in NAME.log.
start_process() {
  local name=$1
  shift
  (cd "$RUN" && exec "$@") >>"$RUN/$name.log" 2>&1 &
  echo $! >"$RUN/pids/$name"
  disown $!
}

pid_of() { cat "$RUN/pids/$1" 2>/dev/null || echo 0; }

alive() {
  local pid
  pid=$(pid_of "$1")
  [ "$pid" -gt 0 ] && kill -0 "$pid" 2>/dev/null
}

# end_process NAME SIGNAL SECONDS sends a signal and waits for the end; after SECONDS it kills the process.
end_process() {
  local pid waited=0
  pid=$(pid_of "$1")
  [ "$pid" -gt 0 ] || return 0
  kill "-$2" "$pid" 2>/dev/null || true
  while kill -0 "$pid" 2>/dev/null; do
    sleep 0.1
    waited=$((waited + 1))
    if [ "$waited" -ge $(($3 * 10)) ]; then
      kill -KILL "$pid" 2>/dev/null || true
      break
    fi
  done
  rm -f "$RUN/pids/$1"
}

# end_all kills all processes that the script started.
end_all() {
  local file name
  [ -d "$RUN/pids" ] || return 0
  for file in "$RUN"/pids/*; do
    [ -e "$file" ] || continue
    # A process that has ended already must not keep the others from being ended.
    kill -KILL "$(cat "$file")" 2>/dev/null || true
  done
  for file in "$RUN"/pids/*; do
    [ -e "$file" ] || continue
    name=$(basename "$file")
    end_process "$name" KILL 2
  done
}

# wait_for URL SECONDS waits until the URL answers 200.
wait_for() {
  local waited=0
  until curl -sf -o /dev/null --max-time 1 "$1"; do
    sleep 0.1
    waited=$((waited + 1))
    if [ "$waited" -ge $(($2 * 10)) ]; then
      echo "no answer from $1 within $2 s" >&2
      return 1
    fi
  done
}

# cpu_ticks NAME… prints the user and system time of the processes in clock ticks.
cpu_ticks() {
  local name sum=0 line fields
  for name in "$@"; do
    line=$(cat "/proc/$(pid_of "$name")/stat" 2>/dev/null) || continue
    read -r -a fields <<<"${line##*) }"
    sum=$((sum + fields[11] + fields[12]))
  done
  echo "$sum"
}

# io_bytes NAME… prints the bytes that the processes read and wrote, on sockets and files alike.
io_bytes() {
  local name sum=0 key value
  for name in "$@"; do
    while read -r key value; do
      case $key in rchar: | wchar:) sum=$((sum + value)) ;; esac
    done < <(cat "/proc/$(pid_of "$name")/io" 2>/dev/null)
  done
  echo "$sum"
}

# rss_kb NAME prints the resident memory of a process.
rss_kb() { awk '/^VmRSS:/ {print $2}' "/proc/$(pid_of "$1")/status" 2>/dev/null || echo 0; }

now_ms() { date +%s%3N; }
