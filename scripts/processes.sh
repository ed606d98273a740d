# Sourced by scripts that start processes: a work folder and the ids of what
# was started, both cleaned up at the end.
work=$(mktemp -d)
pids=()

cleanup() {
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  wait
  rm -rf "$work"
}
trap cleanup EXIT
