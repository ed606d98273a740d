#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 9 into build/review-2/. Case 10 is a day.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for number in 6 7 8 9; do
  g++ -std=c++20 -O1 -Wall -Wextra -o "build/review-2/case-$number" \
    "review/$number/case.cpp" review/standins-2/rig.cpp -lsodium -pthread
done
