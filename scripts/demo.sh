#!/usr/bin/env bash
# Starts stand-in backend servers and three daemons on 127.0.0.1, sends reads,
# non-idempotent requests and archive fetches while backend servers turn gray,
# and checks the promises. Ends with an error if one broke.
# DEMO_PORT is the first of the 200 ports in use.
set -eu
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh build

readonly Base=${DEMO_PORT:-20100}
readonly Key="demo-key-$$"
readonly Wind="1 2 3 4" Notices="11 12 13" Archive="21 22"
readonly Daemons="1 2 3"
readonly ArchiveBytes=4000000 DrainBytes=64000000
. scripts/processes.sh
broken=0

# Prints the body that the stand-in at offset $1 gives for path $2.
control() {
  exec 3<>"/dev/tcp/127.0.0.1/$((Base + $1))"
  printf 'GET %s HTTP/1.1\r\nhost: demo\r\nconnection: close\r\n\r\n' "$2" >&3
  sed '1,/^\r$/d' <&3
  exec 3>&-
}

# Waits until something listens at offset $1.
await() {
  for _ in $(seq 200); do
    (exec 3<>"/dev/tcp/127.0.0.1/$((Base + $1))") 2>/dev/null && return
    sleep 0.05
  done
  echo "nothing listens on port $((Base + $1))" >&2
  exit 1
}

instances() { # service name, offsets
  local n
  for n in $2; do
    printf '[[service.instance]]\nname = "%s-%s"\naddress = "127.0.0.1"\nport = %s\nzone = "riohacha"\n' \
      "$1" "$n" "$((Base + n))"
  done
}

route() { # name, timeout
  printf '[[route]]\nname = "%s"\nprefix = "/%s"\nservice = "%s"\ntimeout_ms = %s\n' "$1" "$1" "$1" "$2"
}

settings() { # daemon number
  printf '[daemon]\nname = "vm-%s"\nzone = "riohacha"\nlisten_port = %s\n' "$1" "$((Base + 100 + $1))"
  printf '[[service]]\nname = "wind"\n' && instances wind "$Wind"
  printf '[[service]]\nname = "notices"\n' && instances notices "$Notices"
  printf '[[service]]\nname = "archive"\n' && instances archive "$Archive"
  route wind 2000 && route notices 2000 && route archive 20000
  printf '[[workspace]]\nname = "kite-school"\n[[workspace.key]]\nid = "demo"\ndigest = "%s"\n' \
    "$(printf '%s' "$Key" | build/guavasail digest)"
}

for n in $Wind $Notices $Archive; do
  build/tools/standin_backend --port "$((Base + n))" --work_us 2000 --forbid "$Key" &
  pids+=($!)
done
for n in $Wind $Notices $Archive; do await "$n"; done
for n in $Daemons; do
  settings "$n" >"$work/vm-$n.toml"
  build/guavasail serve --settings "$work/vm-$n.toml" >"$work/vm-$n.log" 2>&1 &
  pids+=($!)
  daemonPid[n]=$!
done
for n in $Daemons; do await "$((100 + n))"; done

call() { # label, daemon number, further flags
  local label=$1 daemon=$2
  shift 2
  build/tools/load_caller --label "$label" --port "$((Base + 100 + daemon))" --key "$Key" \
    --max_seconds 25 --outcomes "$work/$label.outcomes" "$@" >"$work/$label.figures" || true
}

callers=()
for n in $Daemons; do
  call "reads-$n" "$n" --path /wind/cabo-vela --concurrency 8 --interval_us 20000 --requests 4000 &
  callers+=($!)
  call "notices-$n" "$n" --path /notices/close --method POST --number --concurrency 4 --interval_us 20000 \
    --requests 1500 &
  callers+=($!)
  call "archive-$n" "$n" --path "/archive/$ArchiveBytes" --expect_bytes $ArchiveBytes --concurrency 2 \
    --interval_us 400000 --requests 30 &
  callers+=($!)
done
pids+=("${callers[@]}")

echo "callers run; backend servers turn gray"
fault() { # seconds to wait before, offset, fault
  sleep "$1"
  echo "  port $((Base + $2)): $(control "$2" "/-/fault/$3")"
}
fault 2 1 slow
fault 1 2 reset
fault 1 11 reset
fault 1 12 shed
fault 1 21 truncate
fault 2 2 stall
fault 2 2 none
for n in 1 11 12 21; do fault 0 "$n" none; done
wait "${callers[@]}"

echo "daemon 3 drains during an archive fetch"
call drain 3 --path "/archive/$DrainBytes" --expect_bytes $DrainBytes --concurrency 1 --requests 1 &
fetch=$!
pids+=($fetch)
for _ in $(seq 100); do
  running=0
  for n in $Archive; do running=$((running + $(control "$n" /-/running | tr -d '\r'))); done
  [ $running -eq 0 ] || break
done
kill -TERM "${daemonPid[3]}"
drained=0
wait "${daemonPid[3]}" || drained=$?
wait $fetch

figure() { # kind, name: sum over the daemons
  cat "$work/$1"*.figures | awk -v name=".$2" 'index($1, name) { sum += $2 } END { print sum + 0 }'
}
check() { # promise, number of breaches
  if [ "$2" -eq 0 ]; then
    echo "  kept    $1"
  else
    echo "  BROKEN  $1: $2"
    broken=1
  fi
}

printf '\n%-10s %8s %8s %8s %8s\n' requests whole refused broken wrong
for kind in reads notices archive drain; do
  printf '%-10s %8s %8s %8s %8s\n' "$kind" "$(figure $kind whole)" "$(figure $kind refused)" \
    "$(figure $kind broken)" "$(figure $kind wrong)"
done
echo
grep -h -E 'p50|p99 ' "$work"/reads-*.figures

for n in $Notices; do control "$n" /-/runs; done | tr -d '\r' | sort >"$work/runs"
for word in whole not-run; do
  cat "$work"/notices-*.outcomes | awk -v w=$word '$2 == w { print $1 }' | sort >"$work/notices.$word"
done
forbidden=0
for n in $Wind $Notices $Archive; do
  forbidden=$((forbidden + $(control "$n" /-/forbidden | tr -d '\r')))
done
unanswered() { # kind, requests in total
  echo $(($2 - $(figure "$1" whole) - $(figure "$1" refused) - $(figure "$1" broken) - $(figure "$1" wrong)))
}

printf '\npromises\n'
check "each read gets a whole answer or a refusal" "$(($(figure reads broken) + $(unanswered reads 12000)))"
check "no answer is wrong or crossed" "$(figure '' wrong)"
check "each non-idempotent request is answered or refused" \
  "$(($(figure notices broken) + $(unanswered notices 4500)))"
check "no non-idempotent request ran twice" "$(uniq -d "$work/runs" | wc -l)"
check "each completed one did run" "$(comm -23 "$work/notices.whole" "$work/runs" | wc -l)"
check "none that was refused as not run did run" "$(comm -12 "$work/notices.not-run" "$work/runs" | wc -l)"
check "each archive fetch is whole or visibly broken" "$(($(figure archive wrong) + $(unanswered archive 90)))"
check "no backend server saw a key" "$forbidden"
check "the drain cut no request" "$(($(figure drain whole) == 1 ? drained : 1))"
unlogged=0
for n in $Daemons; do grep -q serving "$work/vm-$n.log" || unlogged=$((unlogged + 1)); done
check "each daemon writes its log" "$unlogged"
check "no log holds a key" "$(cat "$work"/vm-*.log | grep -c -- "$Key" || true)"
exit $broken
