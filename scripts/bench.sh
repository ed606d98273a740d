#!/usr/bin/env bash
# usage: scripts/bench.sh [path|decisions|fleet ...]
# Runs measurements and prints `name value unit` lines; ratios are against the
# baseline of the same run. `path` measures the real daemon on 127.0.0.1; the
# other groups run the programs build/bench/guavasail_bench_*: those with fleet
# in their name belong to fleet, the others to decisions.
# Without a group all of them run. BENCH_PORT is the first of 10 ports in use.
set -eu
cd "$(dirname "$0")/.."
scripts/build.sh build

readonly Base=${BENCH_PORT:-20400}
readonly Key="bench-key"
. scripts/processes.sh
failed=0


await() { # port
  for _ in $(seq 200); do
    (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null && return
    sleep 0.05
  done
  echo "nothing listens on port $1" >&2
  exit 1
}

settings() {
  printf '[daemon]\nzone = "a"\nlisten_port = %s\nlog_level = "warning"\n' "$Base"
  printf '[[service]]\nname = "wind"\n'
  local n
  for n in 1 2; do
    printf '[[service.instance]]\nname = "w%s"\naddress = "127.0.0.1"\nport = %s\nzone = "a"\nslots = 64\n' \
      "$n" "$((Base + n))"
  done
  printf '[[route]]\nname = "wind"\nprefix = "/wind"\nservice = "wind"\n'
  printf '[[workspace]]\nname = "bench"\n[[workspace.key]]\nid = "bench"\ndigest = "%s"\n' \
    "$(printf '%s' $Key | build/guavasail digest)"
}

call() { # label, port, further flags
  local label=$1 port=$2
  shift 2
  build/tools/load_caller --label "$label" --port "$port" --key $Key "$@" >"$work/$label"
}
figure() { awk -v name="$1.$2" '$1 == name { print $3 == "" ? "" : $2 }' "$work/$1"; }
ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
resident() { awk '/^VmRSS/ { print $2 * 1024 }' "/proc/$1/status"; }

benchPath() {
  local n daemon before after
  for n in 1 2; do
    build/tools/standin_backend --port $((Base + n)) --slots 64 &
    pids+=($!)
  done
  settings >"$work/settings.toml"
  build/guavasail serve --settings "$work/settings.toml" &
  daemon=$!
  pids+=($daemon)
  for n in 0 1 2; do await $((Base + n)); done

  # Both callers run at the same time, at moderate load.
  call direct $((Base + 1)) --concurrency 4 --interval_us 5000 --requests 8000 &
  local direct=$!
  call through "$Base" --concurrency 4 --interval_us 5000 --requests 8000
  wait $direct
  for n in p50 p99 p999; do
    echo "path.direct.$n $(figure direct $n) us"
    echo "path.through.$n $(figure through $n) us"
    echo "path.added.$n $(($(figure through $n) - $(figure direct $n))) us"
  done

  call direct-full $((Base + 1)) --concurrency 16 --requests 60000
  before=$(ticks $daemon)
  call full "$Base" --concurrency 16 --requests 60000
  after=$(ticks $daemon)
  echo "path.direct.throughput $(figure direct-full throughput) requests/s"
  echo "path.through.throughput $(figure full throughput) requests/s"
  echo "path.through.whole $(figure full whole) requests"
  awk -v a="$(figure full throughput)" -v b="$(figure direct-full throughput)" \
    'BEGIN { printf "path.throughput.ratio %.3f of-direct\n", a / b }'
  awk -v t=$((after - before)) -v hz="$(getconf CLK_TCK)" \
    'BEGIN { printf "path.cpu %.1f us/request\n", t * 1e6 / hz / 60000 }'
  idleConnections "$daemon"
}

# Opens connections that send nothing and compares the daemon's memory.
idleConnections() { # process id
  local count=1000 before after fd fds=()
  before=$(resident "$1")
  for _ in $(seq $count); do
    exec {fd}<>"/dev/tcp/127.0.0.1/$Base"
    fds+=("$fd")
  done
  build/tools/load_caller --port "$Base" --key $Key --requests 10 >"$work/settle"
  after=$(resident "$1")
  for fd in "${fds[@]}"; do exec {fd}>&-; done
  echo "path.idle_connection $(((after - before) / count)) bytes"
}

benchPrograms() { # group
  local program group
  for program in build/bench/guavasail_bench_*; do
    [ -x "$program" ] && [ ! -d "$program" ] || continue
    group=decisions
    case $program in *fleet*) group=fleet ;; esac
    [ $group != "$1" ] || "$program" || failed=1
  done
}

[ $# -gt 0 ] || set -- path decisions fleet
for group in "$@"; do
  case $group in
    path) benchPath ;;
    fleet)
      benchPrograms fleet
      scripts/smoke.sh build/guavasail
      ;;
    *) benchPrograms "$group" ;;
  esac
done
exit $failed
