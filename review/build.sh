#!/bin/sh
# Builds the stand-ins of the review's scripts into review/build/. Needs only the compiler.
set -e
cd "$(dirname "$0")"
mkdir -p build
for number in 1 2 3; do
  if [ -f "$number/case.cpp" ]; then
    g++ -std=c++17 -O2 -pthread -o "build/case-$number" "$number/case.cpp" standin/standin.cpp
  fi
done
