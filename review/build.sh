#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
compile() { g++ -std=c++20 -O1 -Wall -Wextra -pthread -c "$1" -o "$2"; }
objects=()
for source in standins/*.cpp; do
  object="build/$(basename "$source" .cpp).o"
  compile "$source" "$object"
  objects+=("$object")
done
for source in [1-5]/Case.cpp; do
  [ -e "$source" ] || continue
  n="$(dirname "$source")"
  compile "$source" "build/case$n.o"
  g++ -pthread "build/case$n.o" "${objects[@]}" -o "build/case$n"
done
