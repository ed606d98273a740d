#!/usr/bin/env bash
# Runs 8 daemons on loopback: all see all, then one is killed, started again,
# paused and resumed, and the others find out. Prints `name value unit` lines.
# usage: smoke.sh PROGRAM [BASE_PORT]
set -u
program=$1
base=${2:-23100}
size=8
limit=40 # seconds for each step
dir=$(mktemp -d)
pids=()
export GUAVASAIL_PEER_SECRET=smoke-secret
zones=(kerdaniel-haut kerdaniel-bas depot-rennes siege-quimper)

cleanup() {
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null
    kill -CONT "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$dir"
}
trap cleanup EXIT

vms=""
for n in $(seq 0 $((size - 1))); do
  vms+="
[[vm]]
name = \"vm-$n\"
address = \"127.0.0.1\"
peer_port = $((base + 50 + n))
zone = \"${zones[n % 4]}\"
"
done

start() {
  cat >"$dir/$1.toml" <<TOML
[daemon]
name = "vm-$1"
zone = "${zones[$1 % 4]}"
listen_port = $((base + $1))
log_format = "text"
$vms
TOML
  "$program" serve --settings "$dir/$1.toml" >"$dir/$1.log" 2>&1 &
  pids[$1]=$!
}

# Counts daemons whose latest word on VM $1 is $2.
count() {
  local n=0 it
  for it in $(seq 0 $((size - 1))); do
    [ "$it" = "$1" ] && continue
    grep "member-changed vm=\"vm-$1\"" "$dir/$it.log" | tail -1 |
      grep -q "state=\"$2\"" && n=$((n + 1))
  done
  echo "$n"
}

all_see_all() {
  local it
  for it in $(seq 0 $((size - 1))); do
    [ "$(count "$it" alive)" = $((size - 1)) ] || return 1
  done
}

one_gone() { [ "$(count 3 gone)" = $((size - 1)) ]; }
one_back() { [ "$(count 3 alive)" = $((size - 1)) ]; }

# Waits until $2 holds and prints the time as $1.
await() {
  local begin now
  begin=$(date +%s%N)
  while ! "$2"; do
    now=$(date +%s%N)
    if [ $(((now - begin) / 1000000000)) -ge $limit ]; then
      echo "smoke.$1 failed after $limit s"
      tail -n 5 "$dir"/*.log
      exit 1
    fi
    sleep 0.1
  done
  now=$(date +%s%N)
  echo "smoke.$1 $(((now - begin) / 1000000)) ms"
}

for n in $(seq 0 $((size - 1))); do start "$n"; done
await all-see-all all_see_all
kill -KILL "${pids[3]}"
await killed-is-gone-everywhere one_gone
start 3
await restarted-is-alive-everywhere one_back
kill -STOP "${pids[3]}"
await paused-is-gone-everywhere one_gone
kill -CONT "${pids[3]}"
await resumed-is-alive-everywhere one_back
# Processor time and memory of one idle daemon, fleet traffic included.
ticks() { awk '{ print $14 + $15 }' "/proc/${pids[0]}/stat"; }
seconds=10
before=$(ticks)
sleep $seconds
after=$(ticks)
awk -v t=$((after - before)) -v hz="$(getconf CLK_TCK)" -v s=$seconds \
  'BEGIN { printf "smoke.daemon.core %.2f %%\n", 100 * t / hz / s }'
awk '/^VmRSS/ { printf "smoke.daemon.memory %d KiB\n", $2 }' \
  "/proc/${pids[0]}/status"

for n in $(seq 0 $((size - 1))); do
  [ "$n" = 3 ] && continue
  if grep -v 'vm="vm-3"' "$dir/$n.log" | grep -q 'state="gone"'; then
    echo "smoke.false-accusations failed"
    grep 'state="gone"' "$dir/$n.log"
    exit 1
  fi
done
echo "smoke.false-accusations 0 count"
