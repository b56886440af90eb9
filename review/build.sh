#!/bin/sh
# Builds the stand-ins of the review's scripts into review/build/. Needs only the compiler.
set -e
cd "$(dirname "$0")"
mkdir -p build
for number in 1 2 3; do
  program="build/case-$number"
  [ -f "$number/case.cpp" ] || continue
  if [ ! -x "$program" ] || [ -n "$(find "$number/case.cpp" standin -newer "$program")" ]; then
    g++ -std=c++17 -O2 -pthread -o "$program" "$number/case.cpp" standin/standin.cpp
  fi
done
