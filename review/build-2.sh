#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
sources=review/standins-2
for name in world store; do
  g++ -std=c++20 -O1 -c "$sources/$name.cc" -o "target/review-2/$name.o" &
done
wait
for file in "$sources"/*.cc; do
  name=$(basename "$file" .cc)
  case "$name" in world | store) continue ;; esac
  g++ -std=c++20 -O1 "$file" target/review-2/world.o target/review-2/store.o \
    -o "target/review-2/$name" -lboost_json -lpthread &
done
wait
