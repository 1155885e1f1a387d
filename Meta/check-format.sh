#!/usr/bin/env bash
# Fails if a source file differs from the formatter's output.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.cpp' '*.h' | xargs -r clang-format --dry-run --Werror
