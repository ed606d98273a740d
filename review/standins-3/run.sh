# Sourced by the run.sh of a case, with the name of its program. Runs it in a
# temporary folder and ends what it has left.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/target/guavasail
driver=$root/target/review-3/$1
[ -x "$program" ] && [ -x "$driver" ] || exit 2
work=$(mktemp -d) || exit 2
# Daemons that the case left behind are in its process group.
set -m
timeout -k 5 115 "$driver" "$program" "$root/deploy/settings.toml" "$work" \
  "$here/record.txt" &
driver_pid=$!
wait "$driver_pid"
result=$?
kill -KILL -- "-$driver_pid" 2>/dev/null
[ -z "${KEEP_LOGS:-}" ] || cp -r "$work" "$KEEP_LOGS"
rm -rf "$work"
case $result in 0 | 1) exit $result ;; esac
exit 2
