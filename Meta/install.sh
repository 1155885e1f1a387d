#!/usr/bin/env bash
# Installs the packages that the build and the tests need.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache
  libcxxtools-dev libjsonrpccpp-dev libjsoncpp-dev libboost-dev libcli11-dev
  liblog4cplus-dev libcpputest-dev liblua5.4-dev libxxhash-dev rapidjson-dev
)
if [ "${1:-}" = --checks ]; then
  packages+=(clang-format clang-tidy)
fi

missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
