#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/*.cpp; do
  [ -f "$source" ] || continue
  g++ -std=c++20 -O1 -pthread -o "target/review-3/$(basename "$source" .cpp)" "$source"
done
