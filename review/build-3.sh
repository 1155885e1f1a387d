#!/usr/bin/env bash
# Builds the stand-ins of the cases from 11 on, into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
exec c++ -std=c++20 -O2 -pthread -o target/review-3/review-cases \
  review/standins-3/*.cpp
