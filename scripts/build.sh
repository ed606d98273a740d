#!/usr/bin/env bash
# Builds into build/ (or the folder given), incrementally. Further arguments
# go to CMake.
set -eu
cd "$(dirname "$0")/.."
dir=${1:-build}
[ $# -eq 0 ] || shift
[ -f "$dir/build.ninja" ] || cmake -S . -B "$dir" -G Ninja "$@" >/dev/null
ninja -C "$dir" --quiet
