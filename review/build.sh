#!/usr/bin/env bash
# Builds the programs of the cases that are scripts, stand-ins included, into review/build/.
# They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in */case.cpp; do
    number=$(dirname "$source")
    echo "building case $number"
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/case-$number" "$source"
done
echo "building the rig"
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o build/rig rig/rig.cpp
