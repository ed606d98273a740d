#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into build/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/6/case.cpp review/7/case.cpp review/9/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -o "build/review-2/case-$number" \
    "$source" review/standins-2/rig.cpp -lsodium -pthread
done
