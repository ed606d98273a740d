#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.cpp; do
  g++ -std=c++20 -O2 -Wall -Wextra -o "target/review/$(basename "$source" .cpp)" \
    "$source" -lsodium -pthread
done
