#!/usr/bin/env bash
# Builds the stand-ins of the review's cases 6 to 10 into target/review-2/, with
# the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in Timed Repeat Gang Wide; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread \
    -o "target/review-2/$(tr '[:upper:]' '[:lower:]' <<<"$name")" \
    review/standins-2/{Http,World,Case$name}.cpp
done
