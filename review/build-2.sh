#!/bin/bash
# Builds the stand-ins of the second review's scripts into build/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for program in review/rig-2/*.cpp; do
    name=$(basename "$program" .cpp)
    [ "$name" = rig ] && continue
    g++ -std=c++20 -O1 -Wall -Wextra -o "build/review-2/$name" "$program" review/rig-2/rig.cpp -lboost_json -lpthread
done
