#!/usr/bin/env bash
# Scores deployments of the users' bench and hunts days on them; prints scores,
# broken rules and the line that replays the first day of each.
# usage: round.sh BENCH "WHY" DAYS SITE...   JOBS: days at a time, 3 by default
set -eu
cd "$(dirname "$0")/.."
bench=${1:?bench} why=${2:?why} days=${3:?days}
shift 3
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
for site in "$@"; do
  "$bench" score "$site" --quick --jobs "${JOBS:-3}" --why "$why" >"$work/score" 2>&1 || true
  grep -E '^(quick estimate|GATE|[a-z]+-[0-9]+ )|BROKEN' "$work/score" | cut -c1-180 || true
  [ "$days" -gt 0 ] || continue
  "$bench" hunt "$site" --days "$days" --jobs "${JOBS:-3}" --why "$why" >"$work/hunt" 2>&1 || true
  grep -E '^[0-9]+ days on' "$work/hunt" || tail -n 3 "$work/hunt"
  grep -E 'BROKEN' "$work/hunt" | while read -r day rest; do
    echo "$day $rest" | cut -c1-180
    echo "  replay: $bench replay $site $day --log all"
  done
done
