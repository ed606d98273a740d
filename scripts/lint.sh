#!/usr/bin/env bash
# Checks format and lint rules; prints what differs and fails if anything does.
set -eu
cd "$(dirname "$0")/.."
[ -f build/compile_commands.json ] || scripts/build.sh build
git ls-files '*.cpp' '*.h' | xargs clang-format --dry-run --Werror
git ls-files '*.cpp' | xargs -P "$(nproc)" -n 1 scripts/tidy.sh build
