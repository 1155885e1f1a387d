#!/usr/bin/env bash
# Runs the linter over all source files, or over those given.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "$#" -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files '*.cpp')
fi
printf '%s\n' "${files[@]}" |
  xargs -r -P "$(nproc)" -n 2 clang-tidy --quiet -p "${BUILD_DIR:-build}" \
    2> >(grep -v -E 'warnings? (generated|treated)|Suppressed|Use -header' >&2 || true)
