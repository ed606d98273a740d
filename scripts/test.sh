#!/usr/bin/env bash
# Builds with address and undefined-behaviour sanitizers and runs all tests.
set -eu
cd "$(dirname "$0")/.."
scripts/build.sh build-sanitize -DGUAVASAIL_SANITIZE=ON
ctest --test-dir build-sanitize --output-on-failure -j "$(nproc)"
