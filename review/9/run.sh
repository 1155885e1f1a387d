#!/usr/bin/env bash
# Plays the case once; review/build-2.sh builds its stand-ins.
set -euo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
exec target/review-2/wide "$folder/record.txt" "${TROUBLE:-1}"
